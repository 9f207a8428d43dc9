package policy

import "time"

// Action is something that a Director wants done.
type Action interface{ isAction() }

// SendAttempt sends an attempt. Attempts of a request are numbered from 0 in the order of their Gets.
type SendAttempt struct {
	ID           RequestID
	Endpoint     EndpointID
	Timeout      time.Duration // 0: until the client gives up
	Source       EndpointID    // Node itself: no fill
	CacheRank    int           // 0: no copy, no change; 1 to 3: the rank of the copy
	MaxAge       time.Duration // oldest copy that will do; 0: the class's own limit
	JoinFill     bool          // wait for a fill that runs already
	CachedOnly   bool          // the source gives only what it holds
	BypassParent bool          // leave no copy at the parent
	Revalidate   bool          // fetch an ageing copy anew while serving it
}

// Reject is a final answer: nothing ran, a further try is harmless.
type Reject struct {
	ID         RequestID
	RetryAfter time.Duration // 0: no advice
}

// Fail is a final answer that promises nothing.
type Fail struct{ ID RequestID }

// CancelAttempt abandons one attempt.
type CancelAttempt struct {
	ID      RequestID
	Attempt int
}

// SetTimer asks for a TimerEvent at a time.
type SetTimer struct {
	Token uint64
	At    time.Duration
}

// HealthCheck examines a server.
type HealthCheck struct{ Endpoint EndpointID }

// Watch subscribes to the changes of the list, or ends that.
type Watch struct{ On bool }

// FetchList asks once for the whole list.
type FetchList struct{}

// Log adds a line to the report.
type Log struct{ Text string }

func (SendAttempt) isAction()   {}
func (Reject) isAction()        {}
func (Fail) isAction()          {}
func (CancelAttempt) isAction() {}
func (SetTimer) isAction()      {}
func (HealthCheck) isAction()   {}
func (Watch) isAction()         {}
func (FetchList) isAction()     {}
func (Log) isAction()           {}

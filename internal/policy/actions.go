package policy

import (
	"time"

	"sloequay/internal/policy/outlier"
)

// Action is an output of an Engine: what its caller is to do.
type Action interface{ isAction() }

// SendAttempt sends an attempt. Attempts of a request are numbered from 0 in the order of their sending.
type SendAttempt struct {
	ID           RequestID
	Endpoint     EndpointID
	Timeout      time.Duration // 0: until the client gives up
	Source       EndpointID    // Endpoint itself: no fill
	CacheRank    int           // 0: no copy, no change; 1 to 3: the rank of the copy
	MaxAge       time.Duration // oldest copy that will do; 0: the class's own limit
	JoinFill     bool          // wait for a fill that is in flight already
	CachedOnly   bool          // the source gives only what it caches
	BypassParent bool          // leave no copy at the parent
	Revalidate   bool          // fetch an ageing copy anew while serving it
}

// Reject ends a request: a retry is harmless.
type Reject struct {
	ID         RequestID
	RetryAfter time.Duration // 0: no advice
}

// Fail ends a request and promises nothing.
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

// Watch subscribes to changes of the list, or ends that.
type Watch struct{ On bool }

// EndpointEjected reports that an endpoint gets trial requests only until it is readmitted.
type EndpointEjected struct {
	Endpoint EndpointID
	Cause    outlier.Cause
}

// EndpointReadmitted reports that an endpoint that was ejected takes ordinary requests again.
type EndpointReadmitted struct{ Endpoint EndpointID }

func (SendAttempt) isAction()        {}
func (Reject) isAction()             {}
func (Fail) isAction()               {}
func (CancelAttempt) isAction()      {}
func (SetTimer) isAction()           {}
func (Watch) isAction()              {}
func (EndpointEjected) isAction()    {}
func (EndpointReadmitted) isAction() {}

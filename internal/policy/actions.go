package policy

import (
	"time"

	"sloequay/internal/policy/outlier"
)

// Action is an output of an Engine, which the caller carries out.
type Action interface{ isAction() }

// SendAttempt sends an attempt. The attempts of a request are numbered from 0, in the order of sending.
type SendAttempt struct {
	ID           RequestID
	Endpoint     EndpointID
	Timeout      time.Duration // 0: until the client times out
	Source       EndpointID    // where a miss is filled from; Endpoint itself: no fill
	CacheRank    int           // of the cached copy, 1 to 3; 0: cache no copy, keep an existing one as it is
	MaxAge       time.Duration // of a copy that may be served; 0: only the class's own limit applies
	JoinFill     bool          // wait for a fill of the part that is already in flight
	CachedOnly   bool          // the source serves only a cached copy
	BypassParent bool          // cache no copy at the parent
	Revalidate   bool          // refresh an ageing copy while serving it
}

// Reject ends a request with a rejection, which tells the client that a retry is safe.
type Reject struct {
	ID         RequestID
	RetryAfter time.Duration // 0: the client is not told when to retry
}

// Fail ends a request with a failure, which leaves open whether the request was executed.
type Fail struct{ ID RequestID }

// CancelAttempt cancels one attempt.
type CancelAttempt struct {
	ID      RequestID
	Attempt int
}

// SetTimer requests a TimerEvent with Token at the time At.
type SetTimer struct {
	Token uint64
	At    time.Duration
}

// Watch subscribes to changes of the endpoint list, or unsubscribes from them.
type Watch struct{ On bool }

// EndpointEjected reports that an endpoint gets only trial requests until it is readmitted.
type EndpointEjected struct {
	Endpoint EndpointID
	Cause    outlier.Cause
}

// EndpointReadmitted reports that an ejected endpoint gets ordinary requests again.
type EndpointReadmitted struct{ Endpoint EndpointID }

func (SendAttempt) isAction()        {}
func (Reject) isAction()             {}
func (Fail) isAction()               {}
func (CancelAttempt) isAction()      {}
func (SetTimer) isAction()           {}
func (Watch) isAction()              {}
func (EndpointEjected) isAction()    {}
func (EndpointReadmitted) isAction() {}

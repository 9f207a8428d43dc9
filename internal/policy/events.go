package policy

import "time"

// Event is an input of an Engine.
type Event interface{ isEvent() }

// ListEvent delivers the endpoint list or changes to it.
type ListEvent struct {
	Kind      ListKind
	Endpoints []Endpoint
}

// RequestEvent reports a new request.
type RequestEvent struct {
	ID        RequestID
	Class     int
	Object    uint64
	Part      int
	Group     int
	Remaining time.Duration // time until the client times out
	SizeKB    float64       // 0: unknown
	Retry     bool          // the client marked the request as a retry
}

// ResponseEvent reports how an attempt ended.
type ResponseEvent struct {
	ID        RequestID
	Attempt   int
	Elapsed   time.Duration // since the attempt was sent
	Concluded bool          // the request has ended, and needs no further attempt
	Note      Note
	Status    Status
}

// ClientGoneEvent reports that the client no longer waits for a request.
type ClientGoneEvent struct{ ID RequestID }

// TimerEvent reports that a timer set by SetTimer has expired.
type TimerEvent struct{ Token uint64 }

// PurgeEvent reports a purge of an object, or of a whole group if Object is 0: older copies are out of date.
type PurgeEvent struct {
	Object uint64
	Group  int
	Age    time.Duration // since the purge
}

// ClockEvent only advances the Engine's clock. Callers pass it for input that no decision depends on, since
// the first event of any kind starts the Engine's timer.
type ClockEvent struct{}

func (ListEvent) isEvent()       {}
func (RequestEvent) isEvent()    {}
func (ResponseEvent) isEvent()   {}
func (ClientGoneEvent) isEvent() {}
func (TimerEvent) isEvent()      {}
func (PurgeEvent) isEvent()      {}
func (ClockEvent) isEvent()      {}

package policy

import "time"

// Event is an input of an Engine.
type Event interface{ isEvent() }

// ListEvent brings the list of endpoints or changes to it.
type ListEvent struct {
	Kind      ListKind
	Endpoints []Endpoint
}

// RequestEvent is a new request.
type RequestEvent struct {
	ID        RequestID
	Class     int
	Object    uint64
	Part      int
	Group     int
	Remaining time.Duration // until the client gives this request up
	SizeKB    float64       // 0: not known
	Retry     bool          // the client has made it before
}

// ResponseEvent says how an attempt ended.
type ResponseEvent struct {
	ID        RequestID
	Attempt   int
	Elapsed   time.Duration // since the attempt was sent
	Concluded bool          // the request has its end by it
	Note      Note
	Status    Status
}

// ClientGoneEvent says that a client has left.
type ClientGoneEvent struct{ ID RequestID }

// TimerEvent says that the time of a SetTimer has come.
type TimerEvent struct{ Token uint64 }

// PurgeEvent says that older copies of an object, or of a whole group when Object is 0, are out of date.
type PurgeEvent struct {
	Object uint64
	Group  int
	Age    time.Duration // since the purge
}

// ClockEvent only says that time has come to now. It stands for whatever a caller learns that no decision
// needs: the first event of an Engine starts its timer, whichever it is.
type ClockEvent struct{}

func (ListEvent) isEvent()       {}
func (RequestEvent) isEvent()    {}
func (ResponseEvent) isEvent()   {}
func (ClientGoneEvent) isEvent() {}
func (TimerEvent) isEvent()      {}
func (PurgeEvent) isEvent()      {}
func (ClockEvent) isEvent()      {}

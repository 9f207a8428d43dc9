package broker

import (
	"time"

	"sloequay/internal/membership"
	"sloequay/internal/policy"
)

// Event is something that has happened, as Round takes it.
type Event interface{ isEvent() }

// RequestReceived is a new request.
type RequestReceived struct{ Request *Request }

// RequestCanceled says that nobody waits for a request any more.
type RequestCanceled struct{ Request *Request }

// AttemptEnded says how an attempt ended.
type AttemptEnded struct {
	Attempt *Attempt
	End     End
	Note    policy.Note
	Address string // of the connection that the response came by
	Body    []byte
	Fields  []Field
	// MayHaveRun says that the endpoint may have meant the attempt before, and that this one was canceled: it may have
	// been executed, whatever End says.
	MayHaveRun bool
}

// EndpointList is the complete list of one source of endpoints, or a part of it.
type EndpointList struct {
	Source int // its index in the membership table
	List   membership.List
}

// EndpointDelta is the changes that one source of endpoints reports.
type EndpointDelta struct {
	Source    int // its index in the membership table
	Version   uint64
	Endpoints []membership.Endpoint
}

// SourceStatus says that a source of endpoints is alive, though it has nothing new to report, or that it is silent.
type SourceStatus struct {
	Source int // its index in the membership table
	Silent bool
}

// SnapshotRestored brings what the sources had reported before a restart.
type SnapshotRestored struct{ Reports []membership.SourceReport }

// Purge says that copies from before it are out of date: those of an object, or of a group when Object is 0. It counts
// from the round that takes it.
type Purge struct {
	Object uint64
	Group  int
	Issued time.Duration // on the Unix clock of whoever stamped it
}

// ObjectZero stands for the object 0, since an Object of 0 means a group in a Purge.
const ObjectZero = 1 << 63

// FailInFlight ends all requests that are open: the process can't wait for them any longer.
type FailInFlight struct{}

func (RequestReceived) isEvent()  {}
func (RequestCanceled) isEvent()  {}
func (AttemptEnded) isEvent()     {}
func (EndpointList) isEvent()     {}
func (EndpointDelta) isEvent()    {}
func (SourceStatus) isEvent()     {}
func (SnapshotRestored) isEvent() {}
func (Purge) isEvent()            {}
func (FailInFlight) isEvent()     {}

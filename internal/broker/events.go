package broker

import (
	"time"

	"sloequay/internal/membership"
	"sloequay/internal/policy"
)

// Event is an input of Round.
type Event interface{ isEvent() }

// RequestReceived is a new request.
type RequestReceived struct{ Request *Request }

// RequestCanceled reports that no client waits for a request any more.
type RequestCanceled struct{ Request *Request }

// AttemptEnded reports how an attempt ended.
type AttemptEnded struct {
	Attempt *Attempt
	End     End
	Note    policy.Note
	Address string // of the connection that the response arrived on
	Body    []byte
	Fields  []Field
	// OwnsBody says that Body is not shared, so that it may be kept beyond the round.
	OwnsBody bool
	// BodyDropped says that the body was not kept, because memory is short or the request ignores it.
	BodyDropped bool
	// MayHaveRun says that the response may have been a repeat of the response to an earlier attempt, so this attempt
	// was canceled: it may have been executed, whatever End says.
	MayHaveRun bool
}

// EndpointList is the complete list of one source of endpoints, or a part of it.
type EndpointList struct {
	Source int // its index in the membership table
	List   membership.List
}

// EndpointDelta holds the changes that one source of endpoints reports.
type EndpointDelta struct {
	Source    int // its index in the membership table
	Version   uint64
	Endpoints []membership.Endpoint
}

// SourceStatus reports that a source of endpoints responds, though it has nothing new to report, or that it is silent.
type SourceStatus struct {
	Source int // its index in the membership table
	Silent bool
}

// SnapshotRestored holds the reports of the sources from before a restart, as read from the snapshot.
type SnapshotRestored struct{ Reports []membership.SourceReport }

// Purge invalidates the cached copies of an object that are older than it, or those of a group when Object is 0. It
// counts as issued in the round that handles it.
type Purge struct {
	Object uint64
	Group  int
	Issued time.Duration // Unix time, by the clock of its issuer
}

// ObjectZero stands for the object 0, because a Purge whose Object is 0 names a group.
const ObjectZero = 1 << 63

// FailInFlight ends all open requests because the process can't wait for them any longer.
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

package blockingquery

import "time"

// Fault is the way in which a query failed.
type Fault uint8

// The faults.
const (
	ConnectionFailed Fault = iota // no connection was established, or it was closed or reset
	Rejected                      // a response with an error status
	Malformed                     // a response that can't be decoded
	TimedOut                      // no response in time
)

// String returns the fault's name in the log.
func (f Fault) String() string { return [...]string{"refused", "rejected", "garbled", "hung"}[f] }

// ResponseMeta is the metadata in the header of a response.
type ResponseMeta struct {
	Index       uint64
	KnownLeader bool
	LastContact time.Duration // time since the responding server last contacted its leader
	Filtered    bool          // results were left out because the token lacks permissions
}

// complete reports whether the metadata allows the response to count as the complete list.
func (m ResponseMeta) complete() bool { return m.KnownLeader && !m.Filtered && m.Index > 0 }

// Disposition is the way to use a response.
type Disposition uint8

// The dispositions.
const (
	Complete  Disposition = iota // the complete list: an entry that it lacks is gone
	Partial                      // the list may lack entries: use only those it contains
	Unchanged                    // the same list as in the last accepted response
	Discard                      // older than the last accepted response, or too stale
)

// Reason is the reason why a response is Partial or to be discarded.
type Reason uint8

// The reasons.
const (
	ReasonNone     Reason = iota
	NoLeader              // the agent knows no leader
	Filtered              // the token lacks permissions
	TooStale              // the responding server's last contact with its leader is too long ago
	IndexRegressed        // the index is below that of the last accepted response
	IndexZero             // the index is 0
	reasonCount
)

// String returns the reason's name in the log.
func (r Reason) String() string {
	return [reasonCount]string{"sound", "no-leader", "filtered", "too-old", "index-went-back", "index-zero"}[r]
}

// Verdict says how to use a response, and why.
type Verdict struct {
	Disposition Disposition
	Reason      Reason
	Confirms    bool // the query was requested by Confirm, in consistent mode, and nothing was left out
}

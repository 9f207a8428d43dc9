package blockingquery

import "time"

// Fault is how a query failed.
type Fault uint8

// The faults.
const (
	ConnectionFailed Fault = iota // no connection came up, or it was closed or reset
	Rejected                      // an answer with an error status
	Malformed                     // an answer that can't be decoded
	TimedOut                      // no answer in time
)

// String returns the fault as the log names it.
func (f Fault) String() string { return [...]string{"refused", "rejected", "garbled", "hung"}[f] }

// ResponseMeta is what an answer says of itself in its header.
type ResponseMeta struct {
	Index       uint64
	KnownLeader bool
	LastContact time.Duration // since the last contact of the server that answered with its leader
	Filtered    bool          // results were left out because the token lacks rights
}

// complete says that nothing keeps the answer from being the complete list.
func (m ResponseMeta) complete() bool { return m.KnownLeader && !m.Filtered && m.Index > 0 }

// Disposition is how an answer is to be used.
type Disposition uint8

// The dispositions.
const (
	Complete  Disposition = iota // the complete list: what it does not name is gone
	Partial                      // only what it names counts
	Unchanged                    // the list is the one that was taken over last
	Discard                      // older than what was taken over last, or too stale
)

// Reason is why an answer is not Complete.
type Reason uint8

// The reasons.
const (
	ReasonNone     Reason = iota
	NoLeader              // the agent knows no leader
	Filtered              // its token lacks rights
	TooStale              // the last contact with the leader is too long ago
	IndexRegressed        // its index is below the one that was taken over last
	IndexZero             // its index is 0
	reasonCount
)

// String returns the reason as the log names it.
func (r Reason) String() string {
	return [reasonCount]string{"sound", "no-leader", "filtered", "too-old", "index-went-back", "index-zero"}[r]
}

// Verdict says how to use an answer.
type Verdict struct {
	Disposition Disposition
	Reason      Reason
	Confirms    bool // it answers a Confirm, in the consistent mode, and nothing was left out
}

package pacing

// Decision is what becomes of a request.
type Decision uint8

// The decisions.
const (
	Admit  Decision = iota
	Reject          // too much is open, or memory is short
	Close           // it is rejected, and the connection is to be closed: its client does not look at the responses
)

// Load is what a request meets.
type Load struct {
	Open        int  // requests that are open on its connection
	MemoryShort bool // for the responses to all clients
}

// OpenLimit decides about the requests of one connection.
//
// Invariants: a request is admitted only with fewer than MaxOpen others open and memory left. In one read at most
// MaxExcess requests are rejected before the connection is to be closed.
type OpenLimit struct {
	MaxOpen   int // requests that may be open at once
	MaxExcess int // requests that may be rejected in one read

	excess int // requests that were rejected in this read
}

// StartRead begins a read of the connection.
func (l *OpenLimit) StartRead() { l.excess = 0 }

// Excess returns how many requests were rejected in this read.
func (l *OpenLimit) Excess() int { return l.excess }

// Decide decides about the next request.
func (l *OpenLimit) Decide(load Load) Decision {
	if load.Open < l.MaxOpen && !load.MemoryShort {
		return Admit
	}
	l.excess++
	if l.excess > l.MaxExcess {
		return Close
	}
	return Reject
}

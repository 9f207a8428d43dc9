package pacing

// Decision says how a request is handled.
type Decision uint8

// The decisions.
const (
	Admit  Decision = iota
	Reject          // too many requests are open, or memory is short
	Close           // reject the request and close the connection, because its client ignores the responses
)

// Load is the load when a request arrives.
type Load struct {
	Open        int  // open requests on its connection
	MemoryShort bool // responses to all clients use too much memory
}

// Waiting is what has arrived completely on a rate-limited connection and waits for its turn.
type Waiting struct {
	Messages int // all of them
	Requests int
}

// OpenLimit limits the open requests of one connection, and the messages that wait to be handled.
//
// Invariants: a request is admitted only if fewer than MaxOpen others are open and memory is not short. A client that
// has at most MaxOpen requests open, as it sees it, may have all of them wait, whatever their size, and is not closed
// for what has to be rejected meanwhile. In one read at most MaxExcess messages open and cancel no request before the
// connection must be closed, and during one wait for a turn at most MaxExcess are beyond what a client may send.
type OpenLimit struct {
	MaxOpen   int // requests that may be open at once
	MaxExcess int // messages of one read that may open and cancel no request

	excess  int // such messages in this read
	overrun int // messages beyond what a client may send, since the connection began to wait for its turn
}

// StartRead begins a read of the connection.
func (l *OpenLimit) StartRead() { l.excess = 0 }

// Excess returns the number of messages in this read that opened and canceled no request.
func (l *OpenLimit) Excess() int { return l.excess }

// CountExcess counts a message that opens and cancels no request, and decides whether it closes the connection.
func (l *OpenLimit) CountExcess() Decision {
	l.excess++
	if l.excess > l.MaxExcess {
		return Close
	}
	return Reject
}

// StartWait records that the connection does not wait for a turn.
func (l *OpenLimit) StartWait() { l.overrun = 0 }

// Overrun returns the number of messages beyond what a client may send since the connection began to wait for a turn.
func (l *OpenLimit) Overrun() int { return l.overrun }

// CountWaiting counts the oldest waiting message, which is handled because it may not wait, if the client provably has
// more than MaxOpen requests open, or cancels more than it has open. None of the requests that wait has been answered,
// and all other messages count as cancellations. It decides whether the connection must be closed.
func (l *OpenLimit) CountWaiting(open int, waiting Waiting) Decision {
	cancellations := waiting.Messages - waiting.Requests
	hasTooManyOpen := open+waiting.Requests-cancellations > l.MaxOpen
	if hasTooManyOpen || cancellations > waiting.Requests+l.MaxOpen {
		l.overrun++
	}
	if l.overrun > l.MaxExcess {
		return Close
	}
	return Reject
}

// MaxWaiting returns the number of messages of which more than may wait are found among them.
func (l *OpenLimit) MaxWaiting() int { return l.MaxOpen + l.MaxExcess + 1 }

// MayWait reports whether messages may wait beside a number of open requests. If not, the oldest must be handled now.
func (l *OpenLimit) MayWait(open int, waiting Waiting) bool {
	return open+waiting.Requests <= l.MaxOpen && waiting.Messages < l.MaxWaiting()
}

// Decide decides how the next request is handled.
func (l *OpenLimit) Decide(load Load) Decision {
	if load.Open < l.MaxOpen && !load.MemoryShort {
		return Admit
	}
	return l.CountExcess()
}

// Package shutdown decides how a doorman ends: how long it stays after it was told to, what the clients that are still there are
// owed, and when nothing can be lost any more. It has no I/O and no clock.
//
// Invariants: once begun it comes to Stop, at Longest and grace at the latest; before that it stops only when nothing is open, all answers
// were taken by the system, and no client has been connected for crossing; it never says Cut before a request that came in time could
// have had its answer.
package shutdown

import "time"

const (
	// clientsFor is how long after the signal clients may come and ask: new connections 0.4 s, requests on them 0.2 s more, and
	// as much as a busy loop may be late.
	clientsFor = 900 * time.Millisecond
	// lateFrom is when a request is late: the platform may kill the program after Longest, or killAt where that is shorter, and
	// lateFrom more. What came earlier and is open then is excused, what came later is not.
	lateFrom = 700 * time.Millisecond
	killAt   = 3 * time.Second
	// early is taken off the time of a late request, so that its answer is with the client when the program is killed.
	early = 100 * time.Millisecond
	least = 50 * time.Millisecond // that a late request is given all the same
	// crossing is how long no client must have been connected: one whose request crosses our close comes again within 50 ms.
	crossing = 100 * time.Millisecond
	// grace is given to clients that are slow to read, beyond the longest deadline.
	grace = time.Second
)

// Load is what the doorman holds.
type Load struct {
	Open    int  // requests without an end
	Clients int  // connections of clients
	Unsent  int  // bytes of answers that the system has not taken
	Blocked bool // something else has to end first
}

// Action is what there is to do.
type Action int

// What there is to do, each beside what came before it.
const (
	KeepServing  Action = iota // nothing
	CloseIdle                  // close the connections of clients that have nothing open
	FailInFlight               // end all requests that are open
	Exit                       // end the program
)

// Sequence is the end of one doorman. The zero value has not begun; Longest is to be set.
type Sequence struct {
	LongestDeadline time.Duration // deadline of a class
	begun           bool
	since           time.Duration
	alone           time.Duration // since when no client is there; 0: one is
}

// Begin notes the signal; a second one changes nothing. It says whether it was the first.
func (l *Sequence) Begin(now time.Duration) bool {
	if l.begun {
		return false
	}
	l.begun, l.since = true, now
	return true
}

// Begun says whether the signal came.
func (l *Sequence) Begun() bool { return l.begun }

// TimeoutFor is how long a request that comes now may wait, of the limit that its client told.
func (l *Sequence) TimeoutFor(now, limit time.Duration) time.Duration {
	if !l.begun || now-l.since < lateFrom {
		return limit
	}
	end := l.since + min(l.LongestDeadline, killAt) + lateFrom - early
	return min(limit, max(least, end-now))
}

// Step says what to do now.
func (l *Sequence) Step(now time.Duration, h Load) Action {
	if !l.begun {
		return KeepServing
	}
	if h.Clients > 0 {
		l.alone = 0
	} else if l.alone == 0 {
		l.alone = max(1, now)
	}
	past := now - l.since
	switch end := max(clientsFor, l.LongestDeadline+lateFrom); {
	case past >= end+grace:
		return Exit
	case past >= end && h.Open > 0:
		return FailInFlight
	case past < clientsFor:
		return KeepServing
	case h.Open == 0 && h.Unsent == 0 && !h.Blocked && l.alone > 0 && now-l.alone >= crossing:
		return Exit
	}
	return CloseIdle
}

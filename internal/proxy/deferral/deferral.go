// Package deferral decides whether a round of the event loop writes its attempts to endpoints or defers them to the
// next round. While a round stalls, clients may disconnect and endpoints may start draining; deferring the attempts
// lets the loop read those events first. The package does no I/O and reads no clock.
//
// Invariants:
//   - a round that has deferred its attempts writes none until it ends;
//   - of two consecutive rounds, at most one defers; otherwise a machine that is always slow would never send anything;
//   - a round that takes at most maxRoundTime defers nothing.
//
// Bounds: an attempt is deferred by one round at most.
package deferral

import "time"

// maxRoundTime is how long after the start of a round its attempts are still written.
const maxRoundTime = 50 * time.Millisecond

// Rounds tracks which rounds of one event loop defer their attempts. The zero value is ready for the first round.
type Rounds struct {
	deferred bool // the current round has deferred its attempts
	mayDefer bool // the previous round has not, so this one may
}

// Begin starts the next round.
func (r *Rounds) Begin() {
	r.mayDefer = !r.deferred
	r.deferred = false
}

// MayFlush reports whether the attempts gathered so far may be written, given the time since the start of the round.
// Once it has returned false, it returns false for the rest of the round.
func (r *Rounds) MayFlush(elapsed time.Duration) bool {
	if elapsed > maxRoundTime && r.mayDefer {
		r.deferred = true
	}
	return !r.deferred
}

// Deferred reports whether the current round has deferred its attempts to the next one.
func (r *Rounds) Deferred() bool { return r.deferred }

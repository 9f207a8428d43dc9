// Package deferral decides when the attempts of a round of the event loop are left to the next round. While a round
// stalls, clients may leave and endpoints may drain: what has come meanwhile is read before attempts are written. It
// does no I/O and reads no clock.
//
// Invariants:
//   - a round that has deferred its attempts writes none until it ends;
//   - of two rounds that follow each other at most one defers, or a machine that is always slow would send nothing;
//   - a round that is shorter than maxRoundTime defers nothing.
//
// Bounds: an attempt is deferred by one round at most.
package deferral

import "time"

// maxRoundTime is how long after the beginning of a round its attempts are still written.
const maxRoundTime = 50 * time.Millisecond

// Rounds is the rounds of one event loop. The zero value has had none.
type Rounds struct {
	deferred bool // in this round
	mayDefer bool
}

// Begin begins the next round.
func (r *Rounds) Begin() {
	r.mayDefer = !r.deferred
	r.deferred = false
}

// MayFlush reports whether the attempts gathered so far may be written, given how long the round has taken.
func (r *Rounds) MayFlush(elapsed time.Duration) bool {
	if elapsed > maxRoundTime && r.mayDefer {
		r.deferred = true
	}
	return !r.deferred
}

// Deferred reports whether this round has left attempts to the next one.
func (r *Rounds) Deferred() bool { return r.deferred }

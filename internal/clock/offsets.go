package clock

import "time"

// Offsets follows by which offsets of the Unix clock the stamps of others may go. When this machine's clock is stepped,
// nobody knows whether it was right before or is now: stamps of others may go by either.
//
// Invariant: Latest is never before the time at which something was stamped, if the stamp was made by the Unix clock as
// this machine had it at any time since the first Set. Slewing moves all offsets along and adds none.
type Offsets struct {
	current time.Duration
	lowest  time.Duration // of those that stamps may go by
	seen    bool
}

// Observe takes the newest offset of the Unix clock over the monotonic one. It has to be called often enough for slewing
// between two calls to stay below MinStep/2.
func (o *Offsets) Observe(offset time.Duration) {
	change := offset - o.current
	switch {
	case !o.seen:
		o.seen, o.lowest = true, offset
	case change.Abs() < MinStep/2:
		o.lowest += change
	default:
		o.lowest = min(o.lowest, offset)
	}
	o.current = offset
}

// LatestMonotonic gives the latest monotonic time that a Unix time which others stamped may stand for.
func (o *Offsets) LatestMonotonic(stamp time.Duration) time.Duration { return stamp - o.lowest }

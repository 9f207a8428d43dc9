package clock

import "time"

// Offsets converts Unix times that other machines stamped to monotonic time. When this machine's Unix clock is stepped,
// it is unknown whether it was right before the step or is right after it, so a stamp may match any offset since the
// first Observe.
//
// Invariant: LatestMonotonic is never before the time at which a stamp was made, if it was made by the Unix clock as
// this machine had it at any time since the first Observe. Slewing shifts the offsets and adds none.
type Offsets struct {
	current time.Duration
	lowest  time.Duration // of all offsets that a stamp may match
	seen    bool
}

// Observe records the present offset of the Unix clock from the monotonic clock. It must be called often enough that
// slewing between two calls stays below MinStep/2.
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

// LatestMonotonic returns the latest monotonic time that a Unix time stamped by another machine may correspond to.
func (o *Offsets) LatestMonotonic(stamp time.Duration) time.Duration { return stamp - o.lowest }

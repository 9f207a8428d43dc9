package quota

import (
	"math"
	"time"
)

const (
	nanosPerSecond = 1e9
	// never is the wait for something that cannot happen.
	never = time.Duration(math.MaxInt64)
	// maxWaitNanos is the longest finite wait, in nanoseconds: about 30 years. A longer one counts as never.
	maxWaitNanos = 1e18
	// roundingTolerance is the number of units by which rounding may make a request for a whole burst exceed it.
	roundingTolerance = 1e-9
)

// meter is a refill rate with a burst.
type meter struct {
	rate  float64 // units per second; 0: it never refills
	burst float64 // units
}

// bucket enforces a meter by the generic cell rate algorithm in its virtual scheduling form (ITU-T I.371, annex A). Its
// state is the time at which it is full again, so that the zero state is a full bucket.
type bucket struct {
	meter
	fullAt    float64       // nanoseconds, on the caller's clock
	lastRetry time.Duration // latest time for which a retry that draws from the bucket is scheduled; 0: none
}

// available returns the number of units in the bucket; below 0 if it is in debt.
func (b *bucket) available(now time.Duration) float64 {
	if deficit := b.fullAt - float64(now); deficit > 0 {
		return b.burst - deficit*b.rate/nanosPerSecond
	}
	return b.burst
}

// wait returns how long it takes until the bucket holds the units, if nothing is taken meanwhile.
func (b *bucket) wait(now time.Duration, units float64) time.Duration {
	missing := units - b.available(now)
	switch {
	case missing <= 0:
		return 0
	case b.rate <= 0 || units > b.burst+roundingTolerance:
		return never
	}
	if nanos := math.Ceil(missing / b.rate * nanosPerSecond); nanos < maxWaitNanos {
		return time.Duration(nanos)
	}
	return never
}

// take removes units, even if the bucket goes into debt.
func (b *bucket) take(now time.Duration, units float64) {
	if b.rate > 0 {
		b.fullAt = max(b.fullAt, float64(now)) + units/b.rate*nanosPerSecond
	}
}

// nextRetry returns the earliest time for another retry, after those already scheduled; 0: there are none.
func (b *bucket) nextRetry(cost float64) time.Duration {
	if b.lastRetry == 0 || b.rate <= 0 {
		return 0
	}
	return b.lastRetry + time.Duration(min(cost/b.rate*nanosPerSecond, float64(maxRetryAfter)))
}

// full reports whether the bucket is full and no retry is scheduled for later than now.
func (b *bucket) full(now time.Duration) bool { return b.fullAt <= float64(now) && b.lastRetry <= now }

// withMeter returns a copy of the bucket with another meter. The number of units that it lacks to be full stays the
// same, but is at most the new burst.
func (b *bucket) withMeter(now time.Duration, to meter) bucket {
	out := bucket{meter: to, lastRetry: b.lastRetry}
	deficit := b.burst - b.available(now)
	if deficit > 0 && to.rate > 0 {
		out.fullAt = float64(now) + min(deficit, to.burst)/to.rate*nanosPerSecond
	}
	return out
}

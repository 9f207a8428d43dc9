package quota

import (
	"math"
	"time"
)

const (
	nanosPerSecond = 1e9
	// never is a wait without an end.
	never = time.Duration(math.MaxInt64)
	// maxWaitNanos is the longest wait that is not never: some thirty years.
	maxWaitNanos = 1e18
	// roundingUnits is by how many units rounding may make a burst less than what is wanted of it.
	roundingUnits = 1e-9
)

// meter is a rate with a burst.
type meter struct {
	rate  float64 // units a second; 0: it never refills
	burst float64 // units
}

// bucket counts against a meter by the generic cell rate algorithm in its virtual scheduling form (ITU-T I.371, annex
// A): its state is the time at which it is full again, so that a full one is the zero value.
type bucket struct {
	meter
	fullAt    float64       // nanoseconds
	lastRetry time.Duration // the latest time for which a retry that draws from it is scheduled; 0: none
}

// available returns how many units there are; below 0 in debt.
func (b *bucket) available(now time.Duration) float64 {
	if lack := b.fullAt - float64(now); lack > 0 {
		return b.burst - lack*b.rate/nanosPerSecond
	}
	return b.burst
}

// wait returns how long it takes until there are so many units, if nothing is taken meanwhile.
func (b *bucket) wait(now time.Duration, units float64) time.Duration {
	lack := units - b.available(now)
	switch {
	case lack <= 0:
		return 0
	case b.rate <= 0 || units > b.burst+roundingUnits:
		return never
	}
	if nanos := math.Ceil(lack / b.rate * nanosPerSecond); nanos < maxWaitNanos {
		return time.Duration(nanos)
	}
	return never
}

// take takes units, whether they are there or not.
func (b *bucket) take(now time.Duration, units float64) {
	if b.rate > 0 {
		b.fullAt = max(b.fullAt, float64(now)) + units/b.rate*nanosPerSecond
	}
}

// nextRetry returns the earliest time for one more retry, after those that are scheduled; 0: none is.
func (b *bucket) nextRetry(cost float64) time.Duration {
	if b.lastRetry == 0 || b.rate <= 0 {
		return 0
	}
	return b.lastRetry + time.Duration(min(cost/b.rate*nanosPerSecond, float64(maxRetryAfter)))
}

// full reports whether it owes nothing and no retry is scheduled for later than now.
func (b *bucket) full(now time.Duration) bool { return b.fullAt <= float64(now) && b.lastRetry <= now }

// resized returns the bucket with another meter. What it owes stays the same number of units.
func (b *bucket) resized(now time.Duration, to meter) bucket {
	out := bucket{meter: to, lastRetry: b.lastRetry}
	lack := b.burst - b.available(now)
	if lack > 0 && to.rate > 0 {
		out.fullAt = float64(now) + min(lack, to.burst)/to.rate*nanosPerSecond
	}
	return out
}

package quota

import (
	"math"
	"time"
)

// meter is one rate with a burst by the generic cell rate algorithm in its virtual scheduling form (ITU-T I.371, annex A): its
// only state is the time at which it is full again, so that a full one needs none.
type meter struct {
	rate  float64 // units a second; 0: it never refills
	burst float64 // units
}

// state is when a meter is full again, in nanoseconds.
type state float64

// has is how many units there are; below 0 in debt.
func (m meter) has(now time.Duration, s state) float64 {
	if lack := float64(s) - float64(now); lack > 0 {
		return m.burst - lack*m.rate/1e9
	}
	return m.burst
}

// take takes units, whether they are there or not.
func (m meter) take(now time.Duration, s *state, units float64) {
	if m.rate > 0 {
		*s = state(math.Max(float64(*s), float64(now)) + units/m.rate*1e9)
	}
}

// never is a wait without an end.
const never = time.Duration(math.MaxInt64)

// until is how long it takes until there are so many units, if nothing is taken meanwhile.
func (m meter) until(now time.Duration, s state, units float64) time.Duration {
	lack := units - m.has(now, s)
	switch {
	case lack <= 0:
		return 0
	case m.rate <= 0 || units > m.burst+1e-9:
		return never
	}
	if wait := math.Ceil(lack / m.rate * 1e9); wait < 1e18 {
		return time.Duration(wait)
	}
	return never
}

// Package rto learns when an answer is later than answers are, as TCP learns its retransmission time-out (RFC 6298): from
// the mean of what they take beyond what is expected of them, and its mean deviation. Times are in seconds.
package rto

import "math"

const (
	weight = 1.0 / 16 // of a new answer
	spread = 4.0      // mean deviations beyond the mean, after which one is late
	first  = 0.5      // seconds, before any answer is known
	// MinTimeout is under which nothing is held for late: a stall of the sender's own is as long.
	MinTimeout = 0.05
)

// Estimator is what good answers take beyond their sending time.
type Estimator struct{ mean, dev float64 }

// New makes a Timing that knows no answer yet.
func New() Estimator { return Estimator{0, first} }

// Observe takes an answer that took over seconds more than expected, or less where it is negative.
func (t *Estimator) Observe(over float64) {
	t.dev += (math.Abs(over-t.mean) - t.dev) * weight
	t.mean += (over - t.mean) * weight
}

// Timeout is the time beyond the expected one after which an answer is late.
func (t *Estimator) Timeout() float64 { return max(MinTimeout, t.mean+spread*t.dev) }

// Package rto estimates the time after which an answer counts as lost, as TCP does for its retransmission time-out
// (RFC 6298): the mean of what answers take beyond the expected time, and four times its mean deviation.
//
// Invariants: the time-out is MinTimeout at least; an answer moves the mean towards itself and never past it.
//
// Bounds: two numbers and constant time a call. The package does no I/O and reads no clock; times are in seconds.
package rto

import "math"

const (
	// MinTimeout is the shortest time-out in seconds: a stall of the sender's own lasts as long.
	MinTimeout = 0.05

	weight           = 1.0 / 16 // of a new answer
	deviations       = 4.0      // mean deviations beyond the mean, after which an answer counts as lost
	initialDeviation = 0.5      // seconds, before any answer is known
)

// Estimator is the time-out's state. It is not safe for concurrent use.
type Estimator struct {
	mean          float64 // seconds beyond the expected time
	meanDeviation float64 // seconds
}

// New makes an estimator that knows no answer yet.
func New() Estimator { return Estimator{meanDeviation: initialDeviation} }

// Observe takes an answer that took so many seconds more than expected, or less where they are negative.
func (e *Estimator) Observe(excessSeconds float64) {
	e.meanDeviation += (math.Abs(excessSeconds-e.mean) - e.meanDeviation) * weight
	e.mean += (excessSeconds - e.mean) * weight
}

// Timeout is the number of seconds beyond the expected time after which an answer counts as lost.
func (e *Estimator) Timeout() float64 { return max(MinTimeout, e.mean+deviations*e.meanDeviation) }

// Package rto estimates the timeout after which a response counts as lost, as TCP does for retransmissions (RFC 6298):
// the mean time that responses take beyond their expected time, plus four times the mean deviation.
//
// Invariants: the timeout is at least MinTimeout; a response moves the mean towards its own time and never past it.
//
// Bounds: two numbers, and constant time per call. The package does no I/O and reads no clock; times are in seconds.
package rto

import "math"

const (
	// MinTimeout is the shortest timeout in seconds. It covers a stall of the sender itself, which can last as long.
	MinTimeout = 0.05

	weight           = 1.0 / 16 // of a new response
	deviationFactor  = 4.0      // mean deviations that the timeout lies above the mean
	initialDeviation = 0.5      // seconds, before the first response
)

// Estimator holds the estimates that the timeout is computed from. It is not safe for concurrent use.
type Estimator struct {
	mean          float64 // seconds beyond the expected time
	meanDeviation float64 // seconds
}

// New returns an estimator without any responses.
func New() Estimator { return Estimator{meanDeviation: initialDeviation} }

// Observe records a response that took excessSeconds longer than expected, or less than expected if that is negative.
func (e *Estimator) Observe(excessSeconds float64) {
	e.meanDeviation += (math.Abs(excessSeconds-e.mean) - e.meanDeviation) * weight
	e.mean += (excessSeconds - e.mean) * weight
}

// Timeout returns how many seconds after its expected time a response counts as lost.
func (e *Estimator) Timeout() float64 { return max(MinTimeout, e.mean+deviationFactor*e.meanDeviation) }

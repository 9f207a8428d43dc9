// Package answersize estimates how large the answer to a request will be, so that room for it can be reserved before an
// attempt is made.
//
// An answer has at most MaxBytes. A class's answers tell how many bytes there are for each KB that clients state as the
// size of their objects. Before the first answer an estimate is a guess.
//
// Invariants:
//   - an estimate is at most MaxBytes, and at least smallBytes;
//   - an estimate is at least as large as each answer of its class in the last window would have been estimated.
//
// Bounds: the state of a class has a constant size. The package does no I/O and reads no clock. It is not safe for
// concurrent use.
package answersize

import "time"

const (
	// MaxBytes is the size of the largest answer of the protocol.
	MaxBytes = 240_000
	// unknownBytes is the estimate before the first answer of a class.
	unknownBytes = 8 << 10
	// smallBytes is an answer's size that does not depend on the size of the object.
	smallBytes = 4 << 10
	// minStatedKB is the least size of an object that a ratio is computed for. Clients need not state a size.
	minStatedKB = 1
	// window is how long the largest ratio of a class is remembered at least; it is forgotten within three of them.
	window = time.Minute
)

// Estimator estimates the answers of one class. The zero value has seen no answer.
type Estimator struct {
	startedAt time.Duration // of the current window
	current   largest
	previous  largest
}

// largest is the largest number of bytes for each KB stated, beyond smallBytes, among some answers.
type largest struct {
	isKnown    bool
	bytesPerKB float64
}

// Observe records an answer with a body of some bytes to a request for an object of statedKB.
func (e *Estimator) Observe(now time.Duration, statedKB float64, bytes int) {
	if age := now - e.startedAt; age > window {
		e.previous = e.current
		if age > 2*window {
			e.previous = largest{}
		}
		e.current = largest{}
		e.startedAt = now
	}
	ratio := float64(max(0, bytes-smallBytes)) / max(statedKB, minStatedKB)
	e.current.isKnown = true
	e.current.bytesPerKB = max(e.current.bytesPerKB, ratio)
}

// Estimate returns the bytes to reserve for the answer to a request for an object of statedKB.
func (e *Estimator) Estimate(statedKB float64) int {
	if !e.current.isKnown {
		return unknownBytes
	}
	ratio := max(e.current.bytesPerKB, e.previous.bytesPerKB)
	return int(min(MaxBytes, smallBytes+ratio*max(statedKB, minStatedKB)))
}

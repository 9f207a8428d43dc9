package clock

import "time"

// MinStep is the smallest change of the offset that counts as a step of the Unix clock. Smaller changes come from
// slewing by a time server (at most 0.05%, RFC 5905) or from the delay between the readings of the two clocks.
const MinStep = 500 * time.Millisecond

// Tracker follows the offset of the Unix clock from the monotonic clock and detects steps. The zero value is ready for
// use.
//
// Invariants: Offset is that of the newest reading, so that Monotonic and Unix are inverse to each other; each step is
// reported once.
type Tracker struct {
	offset    time.Duration
	reference time.Duration // the offset from which the next step is measured
	seen      bool
}

// Observe records a reading of both clocks. It returns by how much the Unix clock was stepped since the last reported
// step, or 0 if it was not stepped. The first reading is never a step.
func (t *Tracker) Observe(monotonic, unix time.Duration) (step time.Duration) {
	t.offset = unix - monotonic
	if !t.seen {
		t.seen, t.reference = true, t.offset
		return 0
	}
	change := t.offset - t.reference
	if change.Abs() < MinStep/2 {
		return 0
	}
	t.reference = t.offset
	if change.Abs() < MinStep {
		return 0 // slewed this far gradually; the moved reference keeps slewing from adding up to a step
	}
	return change
}

// Offset returns how far the Unix clock is ahead of the monotonic clock.
func (t *Tracker) Offset() time.Duration { return t.offset }

// Unix converts a monotonic time to Unix time.
func (t *Tracker) Unix(monotonic time.Duration) time.Duration { return monotonic + t.offset }

// Monotonic converts a Unix time to monotonic time.
func (t *Tracker) Monotonic(unix time.Duration) time.Duration { return unix - t.offset }

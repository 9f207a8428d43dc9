package clock

import "time"

// MinStep is the least change of the offset between two readings that counts as a step of the Unix clock. What is less
// is a time server's slewing (at most 0.05%, RFC 5905) or the delay between the readings.
const MinStep = 500 * time.Millisecond

// Tracker follows the offset of the Unix clock from the monotonic one, and finds steps of it. Its zero value has seen
// no reading.
//
// Invariants: Offset is the newest reading's, so that Monotonic and Unix undo one another; a step is reported once.
type Tracker struct {
	offset    time.Duration
	reference time.Duration // the offset that the next step counts from
	seen      bool
}

// Observe takes a reading of both clocks, and gives by how much the Unix clock was stepped since the last step that was
// reported; 0: not at all. The first reading is no step.
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
		return 0 // slewed as far by and by: no step, and not to be taken for one later
	}
	return change
}

// Offset is how far the Unix clock is ahead of the monotonic one.
func (t *Tracker) Offset() time.Duration { return t.offset }

// Unix gives the Unix time of a monotonic one.
func (t *Tracker) Unix(monotonic time.Duration) time.Duration { return monotonic + t.offset }

// Monotonic gives the monotonic time of a Unix one.
func (t *Tracker) Monotonic(unix time.Duration) time.Duration { return unix - t.offset }

// Package clock tells apart the two times that a long-running program needs: one that only ever goes on at its own rate, for
// deadlines, timers, budgets and ages, and the Unix clock, which operators and time servers set, for what others have stamped.
// It reads no clock: its user hands in both readings, taken together.
package clock

import "time"

// MinStep is the least change of the offset between two readings that counts as a step of the Unix clock. What is less
// is a time server's slewing (at most 0.05%, RFC 5905) or the delay between the readings.
const MinStep = 500 * time.Millisecond

// Tracker follows the offset between the two. Its zero value has seen no reading.
//
// Invariants: Offset is the newest reading's, so that Steady and Unix undo one another; a step is told once.
type Tracker struct {
	offset time.Duration
	told   time.Duration // the offset that Step last spoke of
	seen   bool
}

// Read takes a reading of both clocks, and gives by how much the Unix clock was stepped since the one that Read last spoke of;
// 0: not at all. The first reading is no step.
func (k *Tracker) Read(steady, unix time.Duration) (step time.Duration) {
	k.offset = unix - steady
	if !k.seen {
		k.seen, k.told = true, k.offset
		return 0
	}
	d := k.offset - k.told
	if d > -MinStep && d < MinStep {
		if d > -MinStep/2 && d < MinStep/2 {
			return 0
		}
		k.told = k.offset // slewed as far by and by: no step, and not to be taken for one later
		return 0
	}
	k.told = k.offset
	return d
}

// Offset is what the Unix clock is ahead.
func (k *Tracker) Offset() time.Duration { return k.offset }

// Unix gives the Unix time of a steady one.
func (k *Tracker) Unix(steady time.Duration) time.Duration { return steady + k.offset }

// Monotonic gives the steady time of a Unix one.
func (k *Tracker) Monotonic(unix time.Duration) time.Duration { return unix - k.offset }

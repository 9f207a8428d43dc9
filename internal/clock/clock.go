// Package clock tells apart the two times that a long-running program needs: one that only ever goes on at its own rate, for
// deadlines, timers, budgets and ages, and the Unix clock, which operators and time servers set, for what others have stamped.
// It reads no clock: its user hands in both readings, taken together.
package clock

import "time"

// StepLeast is the least change of the offset between two readings that counts as a step of the Unix clock. What is less
// is a time server's slewing (at most 0.05%, RFC 5905) or the delay between the readings.
const StepLeast = 500 * time.Millisecond

// Keeper follows the offset between the two. Its zero value has seen no reading.
//
// Invariants: Offset is the newest reading's, so that Steady and Unix undo one another; a step is told once.
type Keeper struct {
	offset time.Duration
	told   time.Duration // the offset that Step last spoke of
	seen   bool
}

// Read takes a reading of both clocks, and gives by how much the Unix clock was stepped since the one that Read last spoke of;
// 0: not at all. The first reading is no step.
func (k *Keeper) Read(steady, unix time.Duration) (step time.Duration) {
	k.offset = unix - steady
	if !k.seen {
		k.seen, k.told = true, k.offset
		return 0
	}
	d := k.offset - k.told
	if d > -StepLeast && d < StepLeast {
		if d > -StepLeast/2 && d < StepLeast/2 {
			return 0
		}
		k.told = k.offset // slewed as far by and by: no step, and not to be taken for one later
		return 0
	}
	k.told = k.offset
	return d
}

// Offset is what the Unix clock is ahead.
func (k *Keeper) Offset() time.Duration { return k.offset }

// Unix gives the Unix time of a steady one.
func (k *Keeper) Unix(steady time.Duration) time.Duration { return steady + k.offset }

// Steady gives the steady time of a Unix one.
func (k *Keeper) Steady(unix time.Duration) time.Duration { return unix - k.offset }

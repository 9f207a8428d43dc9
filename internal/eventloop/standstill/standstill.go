// Package standstill decides when a loop stood still, because the machine did or its core was taken by others, and
// when it has caught up with what came meanwhile. It does no I/O and knows no clock.
//
// The loop's owner reports each event and each wake-up that is asked for, calls Step where a round is due, and
// RoundBegan when it begins one.
//
// Invariants: a round that comes within Tolerance of when it was asked for is never put off. After a standstill it is
// put off until fewSteps steps on end brought few events each, and by maxSteps steps at most.
//
// Bounds: one Detector has a fixed size.
package standstill

import "time"

const (
	// Tolerance is how much later than asked for a round may come in a loop that is merely busy.
	Tolerance = 100 * time.Millisecond
	// StepInterval is the time from one Step to the next while the loop catches up.
	StepInterval = time.Millisecond
	// fewEvents is less than the system tells of at once (32 or more): after a step with more there may be others. One
	// such step is not enough, as a loop that is held up just there takes the end of a step before it looks what is
	// ready.
	fewEvents = 16
	fewSteps  = 3
	maxSteps  = 20
	// acceptDelay is how long after a standstill a connection may be accepted that was made in it.
	acceptDelay = 250 * time.Millisecond
)

// Verdict is what to do where a round is due.
type Verdict int

// The verdicts.
const (
	BeginRound Verdict = iota // call RoundBegan, and begin it
	CatchUp                   // read what came meanwhile, and Step again after StepInterval
)

// Detector knows when the last rounds were. The zero value has had none.
type Detector struct {
	lastRoundAt time.Time
	wakeAfter   time.Duration // the last round's end, as was asked for
	lastFrom    time.Time     // the last standstill; zero: none
	lastUntil   time.Time
	steps       int // of catching up
	quietSteps  int // the last of them, with few events
	events      int // since the last of them
}

// EventSeen reports that something was read, opened or closed.
func (d *Detector) EventSeen() { d.events++ }

// WakeRequested reports that the next round was asked for after a time, at the end of this one.
func (d *Detector) WakeRequested(after time.Duration) { d.wakeAfter = after }

// Step decides whether a round that is due may begin.
func (d *Detector) Step(now time.Time) Verdict {
	if !d.hasStoodStill(now) {
		return BeginRound
	}
	isFirst := d.steps == 0
	if isFirst || d.events >= fewEvents {
		d.quietSteps = 0
	} else {
		d.quietSteps++
	}
	if d.steps == maxSteps || d.quietSteps == fewSteps {
		return BeginRound
	}
	d.steps++
	d.events = 0
	return CatchUp
}

// RoundBegan reports that a round begins.
func (d *Detector) RoundBegan(now time.Time) {
	if d.hasStoodStill(now) {
		d.lastFrom = d.lastRoundAt
		d.lastUntil = now
	}
	d.lastRoundAt = now
	d.wakeAfter = 0
	d.steps = 0
	d.quietSteps = 0
	d.events = 0
}

// hasStoodStill reports whether the loop stood still since its last round.
func (d *Detector) hasStoodStill(now time.Time) bool {
	return !d.lastRoundAt.IsZero() && now.Sub(d.lastRoundAt) > d.wakeAfter+Tolerance
}

// ReadLag is how much earlier than now bytes may have come that are read now: nothing while the loop reads as it
// should, the time since the last round where it stood still meanwhile.
func (d *Detector) ReadLag(now time.Time) time.Duration {
	if d.hasStoodStill(now) {
		return now.Sub(d.lastRoundAt)
	}
	return 0
}

// FirstReadLag is the same of the first bytes on an accepted connection, which may have waited to be accepted since
// acceptableSince. They may be as old as the connection: it is accepted late where accept had failed, or where the
// program stood still.
func (d *Detector) FirstReadLag(now, acceptableSince time.Time) time.Duration {
	if d.lastRoundAt.IsZero() {
		return 0
	}
	lag := d.ReadLag(now)
	if waited := now.Sub(acceptableSince); waited > Tolerance {
		lag = max(lag, waited)
	}
	if now.Sub(d.lastUntil) < acceptDelay {
		lag = max(lag, now.Sub(d.lastFrom))
	}
	return lag
}

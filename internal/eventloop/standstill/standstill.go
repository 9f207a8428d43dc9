// Package standstill detects that an event loop stood still, because the machine did or the loop got no CPU time, and
// decides when the loop has caught up with the events that arrived meanwhile. It does no I/O and reads no clock.
//
// The loop calls EventSeen for each event, WakeRequested for each wake-up that it requests, Step when a round is due,
// and RoundBegan when it begins the round.
//
// Invariants: a round that comes at most Tolerance later than requested is never postponed. After a standstill the
// round is postponed until requiredQuietSteps consecutive steps had few events each, but by at most maxCatchUpSteps.
//
// Bounds: a Detector has a fixed size.
package standstill

import "time"

const (
	// Tolerance is how late a round may come in a loop that is only busy; a later one shows a standstill.
	Tolerance = 100 * time.Millisecond
	// StepInterval is the interval between calls of Step while the loop catches up.
	StepInterval = time.Millisecond
	// A step with at least busyStepEvents events is busy, and more events may follow. The value is less than epoll
	// reports at once (32 or more). One quiet step is not enough to end catching up: a loop that is delayed just then
	// handles the end of the step before it polls for events that are ready.
	busyStepEvents     = 16
	requiredQuietSteps = 3
	maxCatchUpSteps    = 20
	// maxAcceptDelay is how long after a standstill a connection that was made during it may still be accepted.
	maxAcceptDelay = 250 * time.Millisecond
)

// Verdict tells what to do when a round is due.
type Verdict int

// The values of Verdict.
const (
	BeginRound Verdict = iota // call RoundBegan and begin the round
	CatchUp                   // read what arrived meanwhile, and call Step again after StepInterval
)

// Detector detects standstills from the times of the rounds. Its zero value has seen no round.
type Detector struct {
	lastRoundAt     time.Time
	wakeAfter       time.Duration // the requested time from the last round to the next; 0: none requested
	standstillStart time.Time     // of the last standstill; zero: none
	standstillEnd   time.Time     // of the last standstill
	catchUpSteps    int           // steps since the round was due
	quietSteps      int           // consecutive steps with few events, up to the last one
	stepEvents      int           // events since the last step or round
}

// EventSeen counts an event: something was read, or a connection was opened or closed.
func (d *Detector) EventSeen() { d.stepEvents++ }

// WakeRequested records, at the end of a round, that the next one was requested after the given time.
func (d *Detector) WakeRequested(after time.Duration) { d.wakeAfter = after }

// Step decides whether a round that is due may begin.
func (d *Detector) Step(now time.Time) Verdict {
	if !d.hasStoodStill(now) {
		return BeginRound
	}
	isFirstStep := d.catchUpSteps == 0
	if isFirstStep || d.stepEvents >= busyStepEvents {
		d.quietSteps = 0
	} else {
		d.quietSteps++
	}
	if d.catchUpSteps == maxCatchUpSteps || d.quietSteps == requiredQuietSteps {
		return BeginRound
	}
	d.catchUpSteps++
	d.stepEvents = 0
	return CatchUp
}

// RoundBegan records that a round begins.
func (d *Detector) RoundBegan(now time.Time) {
	if d.hasStoodStill(now) {
		d.standstillStart = d.lastRoundAt
		d.standstillEnd = now
	}
	d.lastRoundAt = now
	d.wakeAfter = 0
	d.catchUpSteps = 0
	d.quietSteps = 0
	d.stepEvents = 0
}

// hasStoodStill reports whether the loop stood still since its last round.
func (d *Detector) hasStoodStill(now time.Time) bool {
	return !d.lastRoundAt.IsZero() && now.Sub(d.lastRoundAt) > d.wakeAfter+Tolerance
}

// ReadLag returns how long bytes that are read now may have waited: 0 in normal operation, and the time since the last
// round if the loop stood still meanwhile.
func (d *Detector) ReadLag(now time.Time) time.Duration {
	if d.hasStoodStill(now) {
		return now.Sub(d.lastRoundAt)
	}
	return 0
}

// FirstReadLag is ReadLag for the first bytes on an accepted connection, which may have waited in the accept queue
// since waitingSince. The bytes may be as old as the connection, which is accepted late if an earlier accept failed or
// if the program stood still.
func (d *Detector) FirstReadLag(now, waitingSince time.Time) time.Duration {
	if d.lastRoundAt.IsZero() {
		return 0
	}
	lag := d.ReadLag(now)
	if waited := now.Sub(waitingSince); waited > Tolerance {
		lag = max(lag, waited)
	}
	if now.Sub(d.standstillEnd) < maxAcceptDelay {
		lag = max(lag, now.Sub(d.standstillStart))
	}
	return lag
}

// Package liveness decides whether a connection to an endpoint is alive. An endpoint that is cut off or stops reading
// leaves its connections open and silent, and shows only by the attempts and bytes on them that are past due.
//
// The owner of a connection reports its events, and every StepInterval gathers Facts, calls Step and carries out the
// Verdict. The package does no I/O and reads no clock; all times are of the owner's monotonic clock.
//
// Invariants: a check is requested only if an attempt is past due, no check is outstanding and nothing was read
// recently. A connection is Unresponsive only if a check was outstanding for checkTimeout without a byte being read,
// and for more than minStepsPerCheck steps, so that a standstill of this process ends no connection. Bytes that an
// endpoint does not read are detected by the first step after maxUnflushed.
//
// Bounds: one entry for each outstanding check, and one for each unflushedResolution in which bytes were queued that
// are not flushed yet.
package liveness

import (
	"slices"
	"time"
)

// StepInterval is how often Step must be called for a connection with something outstanding or unflushed.
const StepInterval = 20 * time.Millisecond

const (
	// minQuietTime is how long nothing must have been read before a connection with a past-due attempt is checked. An
	// endpoint that is merely slow answers the check at once, ahead of its queued requests.
	minQuietTime = 100 * time.Millisecond
	// recheckAfter replaces minQuietTime if all past-due attempts were due before the endpoint last answered a check:
	// they are slow, not cut off. Checks cost the endpoint work, so one slow response must not cause a series of them.
	recheckAfter = time.Second
	// suspectAfter is how long a check may be unanswered before new attempts use another connection.
	suspectAfter = 30 * time.Millisecond
	// checkTimeout is how long a check may be unanswered, with no byte read, before the connection is Unresponsive.
	checkTimeout     = 120 * time.Millisecond
	minStepsPerCheck = 3 // a check times out only after more steps, so not because of a standstill of this process
	// retireAfter is how long nothing may be read on a connection that can't be checked before it is retired.
	retireAfter = 600 * time.Millisecond
	// maxPartialAge is how long a response may be arriving before no new attempt may wait behind it. The largest
	// response takes less at the transfer rate of one response.
	maxPartialAge = time.Second
)

// Verdict tells the owner of a connection what to do.
type Verdict int

// The verdicts. The last three end the connection and everything outstanding on it.
const (
	Healthy        Verdict = iota // do nothing
	SendCheck                     // send a check, and report it by CheckSent
	Retire                        // use the connection for no new attempts
	Unresponsive                  // a check was not answered
	NotReading                    // the endpoint does not read what was sent
	StalledPartial                // a partial response that nothing waits for delays another one
)

// Facts holds what the owner of a connection observes at the time of a Step.
type Facts struct {
	ChecksAllowed  bool   // whether the endpoint answers checks
	Flushed        uint64 // how many of the bytes reported by BytesQueued the operating system has accepted
	PartialAwaited bool   // whether something still waits for the partial response
	PastDue        PastDueAttempts
}

// PastDueAttempts summarizes the past-due attempts on a connection. The zero value has none.
type PastDueAttempts struct {
	hasAny      bool
	latestDueAt time.Duration
	anyAwaited  bool // whether the request of any of them still waits for it
}

// Add adds an attempt whose response was due at dueAt, a time that has passed. awaited reports whether its request
// still waits for it.
func (a *PastDueAttempts) Add(dueAt time.Duration, awaited bool) {
	a.hasAny = true
	a.latestDueAt = max(a.latestDueAt, dueAt)
	a.anyAwaited = a.anyAwaited || awaited
}

// Monitor tracks the liveness of one connection. The zero value is that of a connection that came up at time 0.
type Monitor struct {
	lastReadAt       time.Duration
	outstandingSince time.Duration // start of the current period with something outstanding
	checkAnsweredAt  time.Duration // when the last check was answered
	partialSince     time.Duration // when the partial response started to arrive; 0: there is none
	suspected        bool
	checks           []check // outstanding
	unflushed        unflushedBytes
}

// check is an outstanding liveness check.
type check struct {
	id     string
	sentAt time.Duration
	steps  int // number of steps since it was sent
}

// OutstandingBegan reports that something is about to be sent while nothing else is outstanding.
func (m *Monitor) OutstandingBegan(now time.Duration) { m.outstandingSince = now }

// BytesQueued reports that bytes were queued for the endpoint. end is the total number of bytes queued so far.
func (m *Monitor) BytesQueued(now time.Duration, end uint64) { m.unflushed.add(now, end) }

// BytesRead reports that the connection came up, or that bytes were read.
func (m *Monitor) BytesRead(now time.Duration) {
	m.lastReadAt = now
	m.suspected = false
}

// ResponseCompleted reports that the bytes last read completed a response.
func (m *Monitor) ResponseCompleted() { m.partialSince = 0 }

// ResponseIncomplete reports that the bytes last read are, or end with, a partial response.
func (m *Monitor) ResponseIncomplete() {
	if m.partialSince == 0 {
		m.partialSince = m.lastReadAt
	}
}

// CheckSent reports that a check was sent, after a SendCheck or for another reason.
func (m *Monitor) CheckSent(now time.Duration, id string) {
	m.checks = append(m.checks, check{id: id, sentAt: now})
}

// IsCheck reports whether an outstanding check has the id.
func (m *Monitor) IsCheck(id string) bool { return len(m.checks) > 0 && m.checkIndex(id) >= 0 }

// CheckAnswered reports that the endpoint answered an outstanding check.
func (m *Monitor) CheckAnswered(now time.Duration, id string) {
	m.checkAnsweredAt = now
	if i := m.checkIndex(id); i >= 0 {
		m.checks = slices.Delete(m.checks, i, i+1)
	}
}

func (m *Monitor) checkIndex(id string) int {
	return slices.IndexFunc(m.checks, func(c check) bool { return c.id == id })
}

// OutstandingChecks returns the number of outstanding checks.
func (m *Monitor) OutstandingChecks() int { return len(m.checks) }

// DropChecks drops the outstanding checks because the connection has ended.
func (m *Monitor) DropChecks() { m.checks = nil }

// IsSuspected reports whether a check has been unanswered so long that new attempts must use another connection.
func (m *Monitor) IsSuspected() bool { return m.suspected }

// PartialAge returns how long the partial response has been arriving, or 0 if there is none.
func (m *Monitor) PartialAge(now time.Duration) time.Duration {
	if m.partialSince == 0 {
		return 0
	}
	return now - m.partialSince
}

// IsPartialSlow reports whether a response has been arriving for so long that no new attempt may wait behind it.
func (m *Monitor) IsPartialSlow(now time.Duration) bool { return m.PartialAge(now) > maxPartialAge }

// Step decides what the owner must do with the connection.
func (m *Monitor) Step(now time.Duration, facts Facts) Verdict {
	switch {
	case m.unflushed.isStuck(now, facts.Flushed):
		return NotReading
	case m.IsPartialSlow(now) && !facts.PartialAwaited && facts.PastDue.anyAwaited:
		return StalledPartial
	case !facts.ChecksAllowed && m.quietTime(now) > retireAfter:
		return Retire
	case !facts.ChecksAllowed:
		return Healthy
	case m.checkTimedOut(now):
		return Unresponsive
	case len(m.checks) == 0 && m.needsCheck(now, facts.PastDue):
		return SendCheck
	}
	return Healthy
}

// quietTime returns how long something has been outstanding without anything being read.
func (m *Monitor) quietTime(now time.Duration) time.Duration {
	return now - max(m.lastReadAt, m.outstandingSince)
}

// checkTimedOut counts a step for each outstanding check, and reports whether one was not answered in time. While bytes
// are read, the answer may still be behind them, so the time counts from the last read.
func (m *Monitor) checkTimedOut(now time.Duration) bool {
	timedOut := false
	for i := range m.checks {
		c := &m.checks[i]
		c.steps++
		unanswered := now - max(c.sentAt, m.lastReadAt)
		m.suspected = m.suspected || unanswered > suspectAfter
		timedOut = timedOut || unanswered > checkTimeout && c.steps > minStepsPerCheck
	}
	return timedOut
}

// needsCheck reports whether a check is to be sent, given that none is outstanding.
func (m *Monitor) needsCheck(now time.Duration, pastDue PastDueAttempts) bool {
	pastDueSinceAnswer := pastDue.hasAny && pastDue.latestDueAt > m.checkAnsweredAt
	quiet := m.quietTime(now)
	return pastDueSinceAnswer && quiet > minQuietTime || pastDue.hasAny && quiet > recheckAfter
}

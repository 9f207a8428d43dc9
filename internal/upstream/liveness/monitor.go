// Package liveness decides whether a connection to an endpoint is alive. An endpoint that is cut off, or that stops
// reading, leaves its connections open and silent: only what is past due on them shows it.
//
// The owner of a connection reports what happens on it, gathers Facts every StepInterval, calls Step and carries out
// the Verdict. The package does no I/O and knows no clock; all times are of the owner's monotonic clock.
//
// Invariants: a check is asked for only where an attempt is past due, none is out and nothing was read lately. A
// connection is Unresponsive only if a check was out for checkTimeout without a byte being read, and that over more
// than minStepsPerCheck steps, so that a process that stood still condemns nothing. Bytes stuck at an endpoint that
// does not read are found within maxUnflushed.
//
// Bounds: one entry for each check that is out, and one for each unflushedStep with bytes that were not flushed yet.
package liveness

import (
	"slices"
	"time"
)

// StepInterval is how often Step is to be called for a connection on which something is outstanding.
const StepInterval = 20 * time.Millisecond

const (
	// minQuiet is how long nothing must have been read until a connection with an attempt past due is checked. What is
	// merely slow answers a check at once, beside its queue.
	minQuiet = 100 * time.Millisecond
	// recheckAfter is the same for attempts that were past due already when the endpoint last answered a check: they
	// are slow, not cut off. Each check costs the endpoint: one slow response must not bring one after the other.
	recheckAfter = time.Second
	// suspectAfter is for how long a check may be out until new attempts go by another connection.
	suspectAfter = 30 * time.Millisecond
	// checkTimeout is for how long a check may be out, and no byte be read, until the connection is Unresponsive.
	checkTimeout     = 120 * time.Millisecond
	minStepsPerCheck = 3 // more than these must pass: a process that stood still knows nothing of the endpoint
	// retireAfter is how long nothing may be read on a connection that can't be checked.
	retireAfter = 600 * time.Millisecond
	// maxPartial is how long a response may be on its way until nothing new is to wait behind it. It is longer than
	// the largest response takes at the pace of one transfer.
	maxPartial = time.Second
)

// Verdict is what a connection's owner is to do.
type Verdict int

// The verdicts. The last three end the connection with all that is outstanding on it.
const (
	Healthy        Verdict = iota // nothing
	SendCheck                     // ask the endpoint whether the connection lives, and report CheckSent
	Retire                        // send nothing new by this connection
	Unresponsive                  // a check was not answered
	NotReading                    // the endpoint does not read what is sent
	StalledPartial                // a partial response that nobody waits for holds up another one
)

// Facts is what the owner of a connection sees at the moment of a Step.
type Facts struct {
	ChecksAllowed  bool   // whether the endpoint may be asked
	Flushed        uint64 // how many of the bytes reported by BytesQueued the system has taken
	PartialAwaited bool   // something still waits for the response that has come in part
	PastDue        PastDueAttempts
}

// PastDueAttempts sums up the attempts on a connection that are past due. The zero value has none.
type PastDueAttempts struct {
	exist        bool
	latestDueAt  time.Duration
	isOneAwaited bool // by its request
}

// Add adds an attempt that was due at dueAt, which has passed. It is awaited if it has no end yet.
func (a *PastDueAttempts) Add(dueAt time.Duration, awaited bool) {
	a.exist = true
	a.latestDueAt = max(a.latestDueAt, dueAt)
	a.isOneAwaited = a.isOneAwaited || awaited
}

// Monitor is what is known of one connection. The zero value is a connection that has just come up at time 0.
type Monitor struct {
	lastReadAt       time.Duration
	outstandingSince time.Duration // since when something has been outstanding without a break
	checkAnsweredAt  time.Duration // the last one
	partialSince     time.Duration // when the response that has come in part began; 0: there is none
	suspected        bool
	checks           []check // that are out
	unflushed        unflushed
}

// check is a question to the endpoint that is out.
type check struct {
	id     string
	sentAt time.Duration
	steps  int // since it was sent
}

// OutstandingBegan reports that something is about to be sent and nothing else is outstanding.
func (m *Monitor) OutstandingBegan(now time.Duration) { m.outstandingSince = now }

// BytesQueued reports that bytes were queued for the endpoint: end is how many there were by now in all.
func (m *Monitor) BytesQueued(now time.Duration, end uint64) { m.unflushed.queued(now, end) }

// BytesRead reports that the connection came up, or that bytes were read.
func (m *Monitor) BytesRead(now time.Duration) {
	m.lastReadAt = now
	m.suspected = false
}

// ResponseCompleted reports that the bytes last read ended a response.
func (m *Monitor) ResponseCompleted() { m.partialSince = 0 }

// ResponseIncomplete reports that the bytes last read are, or end with, a part of a response.
func (m *Monitor) ResponseIncomplete() {
	if m.partialSince == 0 {
		m.partialSince = m.lastReadAt
	}
}

// CheckSent reports that a check was sent, after a SendCheck or for another reason.
func (m *Monitor) CheckSent(now time.Duration, id string) {
	m.checks = append(m.checks, check{id: id, sentAt: now})
}

// IsCheck reports whether a check is out under an id.
func (m *Monitor) IsCheck(id string) bool { return len(m.checks) > 0 && m.indexOf(id) >= 0 }

// CheckAnswered reports that the endpoint answered a check that was out.
func (m *Monitor) CheckAnswered(now time.Duration, id string) {
	m.checkAnsweredAt = now
	if i := m.indexOf(id); i >= 0 {
		m.checks = slices.Delete(m.checks, i, i+1)
	}
}

func (m *Monitor) indexOf(id string) int {
	return slices.IndexFunc(m.checks, func(c check) bool { return c.id == id })
}

// OutstandingChecks is the number of checks that are out.
func (m *Monitor) OutstandingChecks() int { return len(m.checks) }

// DropChecks forgets the checks that are out: the connection has ended.
func (m *Monitor) DropChecks() { m.checks = nil }

// IsSuspected says whether a check has been out for so long that new attempts are to go by another connection.
func (m *Monitor) IsSuspected() bool { return m.suspected }

// PartialAge is how long a response has been coming in part; 0: there is none.
func (m *Monitor) PartialAge(now time.Duration) time.Duration {
	if m.partialSince == 0 {
		return 0
	}
	return now - m.partialSince
}

// IsPartialSlow says whether a response has been on its way for so long that nothing new is to wait behind it.
func (m *Monitor) IsPartialSlow(now time.Duration) bool { return m.PartialAge(now) > maxPartial }

// Step decides what is to be done with the connection.
func (m *Monitor) Step(now time.Duration, facts Facts) Verdict {
	switch {
	case m.unflushed.isStuck(now, facts.Flushed):
		return NotReading
	case m.IsPartialSlow(now) && !facts.PartialAwaited && facts.PastDue.isOneAwaited:
		return StalledPartial
	case !facts.ChecksAllowed && m.quiet(now) > retireAfter:
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

// quiet is for how long something has been outstanding and nothing was read.
func (m *Monitor) quiet(now time.Duration) time.Duration {
	return now - max(m.lastReadAt, m.outstandingSince)
}

// checkTimedOut counts a step of each check that is out, and says whether one was not answered in time. Where bytes
// are still read, the answer may be behind them.
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

// needsCheck reports whether the endpoint is to be asked, none being asked yet.
func (m *Monitor) needsCheck(now time.Duration, pastDue PastDueAttempts) bool {
	pastDueSinceAnswer := pastDue.exist && pastDue.latestDueAt > m.checkAnsweredAt
	quiet := m.quiet(now)
	return pastDueSinceAnswer && quiet > minQuiet || pastDue.exist && quiet > recheckAfter
}

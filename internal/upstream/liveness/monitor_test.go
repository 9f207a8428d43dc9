package liveness

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestNeedsCheck checks which quiet connections a check is sent on. Checks must be rare: each costs the endpoint work,
// and every proxy of a fleet sends its own.
func TestNeedsCheck(t *testing.T) {
	const ms = time.Millisecond
	const now = time.Minute
	const answeredAt = now - 2*time.Second // when the last check was answered
	for _, c := range []struct {
		name    string
		quiet   time.Duration   // without a read
		pastDue []time.Duration // when the attempts were due
		want    Verdict
	}{
		{"nothing past due, 10 s quiet", 10 * time.Second, nil, Healthy},
		{"past due since the last answer, 150 ms quiet", 150 * ms, []time.Duration{now - ms}, SendCheck},
		{"past due since the last answer, 50 ms quiet", 50 * ms, []time.Duration{now - ms}, Healthy},
		{"past due before the last answer: slow, not cut off", 500 * ms, []time.Duration{answeredAt - ms}, Healthy},
		{"past due before the last answer, 1.1 s quiet", 1100 * ms, []time.Duration{answeredAt - ms}, SendCheck},
		{"past due before and since the last answer", 150 * ms, []time.Duration{answeredAt - ms, now - ms}, SendCheck},
	} {
		m := &Monitor{lastReadAt: now - c.quiet, checkAnsweredAt: answeredAt}
		facts := Facts{ChecksAllowed: true}
		for _, dueAt := range c.pastDue {
			facts.PastDue.Add(dueAt, true)
		}
		if got := m.Step(now, facts); got != c.want {
			t.Errorf("%s: got verdict %d, want %d", c.name, got, c.want)
		}
	}
}

// model is a simple reference model of a connection, which keeps all events on it.
type model struct {
	now             time.Duration
	checksAllowed   bool
	attempts        []*modelAttempt
	checks          map[string]*modelCheck
	reads           []time.Duration
	idleUntil       time.Duration // when something was last sent with nothing else outstanding
	checkAnsweredAt time.Duration
	partialReads    []time.Duration // times of the reads of the partial response; empty: there is none
	partialOwner    *modelAttempt   // whose response is partial; nil: nothing waits for it
	queuedAt        []time.Duration // time of each byte
	flushed         int             // number of bytes
}

type modelAttempt struct {
	dueAt time.Duration
	open  bool
}

type modelCheck struct {
	sentAt time.Duration
	steps  int
}

func (m *model) lastRead() time.Duration { return m.reads[len(m.reads)-1] }

func (m *model) pastDue(matches func(*modelAttempt) bool) bool {
	for _, attempt := range m.attempts {
		if m.now > attempt.dueAt && matches(attempt) {
			return true
		}
	}
	return false
}

// expect returns the verdicts that the doc comment of the package allows. There are two if the inexact time of the
// oldest byte may lead to either.
func (m *model) expect() []Verdict {
	otherwise := m.expectWithoutStuckBytes()
	if m.flushed == len(m.queuedAt) {
		return []Verdict{otherwise}
	}
	switch waited := m.now - m.queuedAt[m.flushed]; {
	case waited > maxUnflushed:
		return []Verdict{NotReading}
	case waited+unflushedResolution > maxUnflushed:
		return []Verdict{NotReading, otherwise}
	}
	return []Verdict{otherwise}
}

// expectWithoutStuckBytes returns the verdict for a connection whose bytes have not waited too long.
func (m *model) expectWithoutStuckBytes() Verdict {
	awaited := func(a *modelAttempt) bool { return a.open }
	anyAttempt := func(*modelAttempt) bool { return true }
	pastDueSinceAnswer := func(a *modelAttempt) bool { return a.dueAt > m.checkAnsweredAt }
	partialAwaited := m.partialOwner != nil && m.partialOwner.open
	quiet := min(m.now-m.lastRead(), m.now-m.idleUntil)
	if len(m.partialReads) > 0 && m.now-m.partialReads[0] > maxPartialAge && !partialAwaited && m.pastDue(awaited) {
		return StalledPartial
	}
	if !m.checksAllowed {
		if quiet > retireAfter {
			return Retire
		}
		return Healthy
	}
	for _, c := range m.checks {
		if m.now-c.sentAt > checkTimeout && m.now-m.lastRead() > checkTimeout && c.steps >= minStepsPerCheck {
			return Unresponsive
		}
	}
	if len(m.checks) > 0 {
		return Healthy
	}
	if m.pastDue(pastDueSinceAnswer) && quiet > minQuietTime || m.pastDue(anyAttempt) && quiet > recheckAfter {
		return SendCheck
	}
	return Healthy
}

// TestMonitorMatchesModel applies random events to a connection, and compares each verdict with that of a model that
// keeps all events.
func TestMonitorMatchesModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		start := time.Duration(rapid.IntRange(1, 5000).Draw(t, "start")) * time.Millisecond
		test := &modelTest{t: t, model: model{
			now:           start,
			checksAllowed: rapid.Bool().Draw(t, "checks allowed"),
			checks:        map[string]*modelCheck{},
			reads:         []time.Duration{start},
		}}
		test.monitor.BytesRead(start)
		for range rapid.IntRange(1, 100).Draw(t, "steps") {
			test.randomAction()
			test.advance()
			if verdict := test.step(); verdict >= Unresponsive {
				return // the connection has ended
			}
		}
	})
}

// modelTest applies the same events to a monitor and to its model.
type modelTest struct {
	t          *rapid.T
	monitor    Monitor
	model      model
	checksSent int
}

func (p *modelTest) draw(what string, low, high int) int {
	return rapid.IntRange(low, high).Draw(p.t, what)
}

// advance advances the clock, most often by StepInterval, and sometimes by the length of a standstill.
func (p *modelTest) advance() {
	lengths := []int{1, 20, 20, 20, 20, 25, 60, 400, 1100}
	p.model.now += time.Duration(rapid.SampledFrom(lengths).Draw(p.t, "ms")) * time.Millisecond
}

func (p *modelTest) randomAction() {
	m := &p.model
	switch p.draw("action", 0, 9) {
	case 0:
		p.beforeSending()
		due := m.now + time.Duration(p.draw("due", 1, 300))*time.Millisecond
		m.attempts = append(m.attempts, &modelAttempt{dueAt: due, open: true})
		p.queue()
	case 1: // a check that follows a cancellation
		p.sendCheck()
	case 2:
		p.read()
		m.partialReads = nil
		p.monitor.ResponseCompleted()
		if len(m.attempts) > 0 {
			m.attempts = m.attempts[1:]
		}
	case 3:
		p.read()
		if m.partialReads = append(m.partialReads, m.now); len(m.partialReads) == 1 && len(m.attempts) > 0 {
			m.partialOwner = m.attempts[p.draw("owner", 0, len(m.attempts)-1)]
		}
		p.monitor.ResponseIncomplete()
	case 4:
		p.answerCheck()
	case 5:
		if len(m.attempts) > 0 { // the client leaves
			m.attempts[p.draw("attempt", 0, len(m.attempts)-1)].open = false
		}
	case 6:
		m.flushed = p.draw("flushed", m.flushed, len(m.queuedAt))
	default:
		m.flushed = len(m.queuedAt)
	}
}

func (p *modelTest) read() {
	p.model.reads = append(p.model.reads, p.model.now)
	p.monitor.BytesRead(p.model.now)
}

func (p *modelTest) queue() {
	p.model.queuedAt = append(p.model.queuedAt, p.model.now)
	p.monitor.BytesQueued(p.model.now, uint64(len(p.model.queuedAt)))
}

// beforeSending reports that something is about to become outstanding, if nothing else is.
func (p *modelTest) beforeSending() {
	if len(p.model.attempts)+len(p.model.checks) == 0 {
		p.model.idleUntil = p.model.now
		p.monitor.OutstandingBegan(p.model.now)
	}
}

func (p *modelTest) sendCheck() {
	p.beforeSending()
	p.checksSent++
	id := fmt.Sprint("p", p.checksSent)
	p.model.checks[id] = &modelCheck{sentAt: p.model.now}
	p.monitor.CheckSent(p.model.now, id)
	p.queue()
}

func (p *modelTest) answerCheck() {
	m := &p.model
	p.read()
	id := fmt.Sprint("p", p.draw("check", 0, p.checksSent))
	if _, outstanding := m.checks[id]; outstanding != p.monitor.IsCheck(id) {
		p.t.Fatalf("IsCheck(%s): got %v, want %v", id, !outstanding, outstanding)
	} else if outstanding {
		delete(m.checks, id)
		m.checkAnsweredAt = m.now
		p.monitor.CheckAnswered(m.now, id)
	}
}

// step calls Step, compares the verdict and the monitor's state with the model's, and carries out the verdict.
func (p *modelTest) step() Verdict {
	m := &p.model
	facts := Facts{ChecksAllowed: m.checksAllowed, Flushed: uint64(m.flushed)}
	facts.PartialAwaited = m.partialOwner != nil && m.partialOwner.open
	for _, attempt := range m.attempts {
		if m.now > attempt.dueAt {
			facts.PastDue.Add(attempt.dueAt, attempt.open)
		}
	}
	allowed := m.expect()
	verdict := p.monitor.Step(m.now, facts)
	if verdict != allowed[0] && verdict != allowed[len(allowed)-1] {
		p.t.Fatalf("at %v: got verdict %d, want one of %v", m.now, verdict, allowed)
	}
	if verdict == NotReading || verdict == StalledPartial {
		return verdict
	}
	suspected := false
	for _, c := range m.checks {
		c.steps++
		suspected = suspected || m.now-max(c.sentAt, m.lastRead()) > suspectAfter
	}
	if suspected && m.checksAllowed && !p.monitor.IsSuspected() {
		p.t.Fatalf("at %v: got not suspected, want suspected for a check unanswered too long", m.now)
	}
	if p.monitor.IsSuspected() && m.now == m.lastRead() {
		p.t.Fatalf("at %v: got suspected, want not suspected right after a read", m.now)
	}
	if p.monitor.OutstandingChecks() != len(m.checks) {
		p.t.Fatalf("got %d outstanding checks, want %d", p.monitor.OutstandingChecks(), len(m.checks))
	}
	if verdict == SendCheck {
		p.sendCheck()
	}
	return verdict
}

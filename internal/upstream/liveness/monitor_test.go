package liveness

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestNeedsCheck: which quiet connection is asked whether it lives. Each check costs the endpoint, and every proxy of
// a fleet sends its own.
func TestNeedsCheck(t *testing.T) {
	const ms = time.Millisecond
	const now = time.Minute
	const answeredAt = now - 2*time.Second
	for _, c := range []struct {
		name    string
		quiet   time.Duration
		pastDue []time.Duration // when the attempts were due
		want    Verdict
	}{
		{"nothing past due, however long the quiet", 10 * time.Second, nil, Healthy},
		{"past due since the last answer, after 100 ms of quiet", 150 * ms, []time.Duration{now - ms}, SendCheck},
		{"past due since then, but something came within 100 ms", 50 * ms, []time.Duration{now - ms}, Healthy},
		{"past due from before the answer: slow, not cut off", 500 * ms, []time.Duration{answeredAt - ms}, Healthy},
		{"past due from before, and a second of quiet since", 1100 * ms, []time.Duration{answeredAt - ms}, SendCheck},
		{"past due from before and since", 150 * ms, []time.Duration{answeredAt - ms, now - ms}, SendCheck},
	} {
		m := &Monitor{lastReadAt: now - c.quiet, checkAnsweredAt: answeredAt}
		facts := Facts{ChecksAllowed: true}
		for _, dueAt := range c.pastDue {
			facts.PastDue.Add(dueAt, true)
		}
		if got := m.Step(now, facts); got != c.want {
			t.Errorf("%s: verdict %d, want %d", c.name, got, c.want)
		}
	}
}

// model is the plainest model of a connection: all that ever happened on it.
type model struct {
	now           time.Duration
	checksAllowed bool
	attempts      []*modelAttempt
	checks        map[string]*modelCheck
	reads         []time.Duration
	idleUntil     time.Duration // the last time that something was sent with nothing outstanding
	answeredAt    time.Duration
	partialFrom   []time.Duration // empty: no response has come in part; the reads that brought the parts of one
	partialOwner  *modelAttempt   // nil: nobody waits for it
	queuedAt      []time.Duration // of each byte
	flushed       int
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

// expect gives the verdicts that the package's doc comment allows: two where the oldest byte's time is not exact.
func (m *model) expect() []Verdict {
	rest := m.expectBesideUnread()
	if m.flushed == len(m.queuedAt) {
		return []Verdict{rest}
	}
	switch waits := m.now - m.queuedAt[m.flushed]; {
	case waits > maxUnflushed:
		return []Verdict{NotReading}
	case waits+unflushedStep > maxUnflushed:
		return []Verdict{NotReading, rest}
	}
	return []Verdict{rest}
}

func (m *model) expectBesideUnread() Verdict {
	awaited := func(a *modelAttempt) bool { return a.open }
	anyAttempt := func(*modelAttempt) bool { return true }
	pastDueSinceAnswer := func(a *modelAttempt) bool { return a.dueAt > m.answeredAt }
	partialAwaited := m.partialOwner != nil && m.partialOwner.open
	quiet := min(m.now-m.lastRead(), m.now-m.idleUntil)
	if len(m.partialFrom) > 0 && m.now-m.partialFrom[0] > maxPartial && !partialAwaited && m.pastDue(awaited) {
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
	if m.pastDue(pastDueSinceAnswer) && quiet > minQuiet || m.pastDue(anyAttempt) && quiet > recheckAfter {
		return SendCheck
	}
	return Healthy
}

// TestMonitorFollowsModel plays what may happen on a connection, and compares each verdict with that of a model that
// remembers all of it.
func TestMonitorFollowsModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		start := time.Duration(rapid.IntRange(1, 5000).Draw(t, "start")) * time.Millisecond
		player := &player{t: t, model: model{
			now:           start,
			checksAllowed: rapid.Bool().Draw(t, "checks allowed"),
			checks:        map[string]*modelCheck{},
			reads:         []time.Duration{start},
		}}
		player.monitor.BytesRead(start)
		for range rapid.IntRange(1, 100).Draw(t, "steps") {
			player.act()
			player.advance()
			if verdict := player.step(); verdict >= Unresponsive {
				return // the connection has ended
			}
		}
	})
}

// player does the same to a monitor and to its model.
type player struct {
	t       *rapid.T
	monitor Monitor
	model   model
	sent    int // checks
}

func (p *player) draw(what string, low, high int) int {
	return rapid.IntRange(low, high).Draw(p.t, what)
}

// advance lets time pass: most often a step's interval, sometimes a standstill.
func (p *player) advance() {
	lengths := []int{1, 20, 20, 20, 20, 25, 60, 400, 1100}
	p.model.now += time.Duration(rapid.SampledFrom(lengths).Draw(p.t, "ms")) * time.Millisecond
}

func (p *player) act() {
	m := &p.model
	switch p.draw("act", 0, 9) {
	case 0:
		p.beforeSending()
		due := m.now + time.Duration(p.draw("due", 1, 300))*time.Millisecond
		m.attempts = append(m.attempts, &modelAttempt{dueAt: due, open: true})
		p.queue()
	case 1: // a check behind a QUIT
		p.sendCheck()
	case 2:
		p.read()
		m.partialFrom = nil
		p.monitor.ResponseCompleted()
		if len(m.attempts) > 0 {
			m.attempts = m.attempts[1:]
		}
	case 3:
		p.read()
		if m.partialFrom = append(m.partialFrom, m.now); len(m.partialFrom) == 1 && len(m.attempts) > 0 {
			m.partialOwner = m.attempts[p.draw("owner", 0, len(m.attempts)-1)]
		}
		p.monitor.ResponseIncomplete()
	case 4:
		p.answerCheck()
	case 5:
		if len(m.attempts) > 0 { // its client leaves
			m.attempts[p.draw("attempt", 0, len(m.attempts)-1)].open = false
		}
	case 6:
		m.flushed = p.draw("flushed", m.flushed, len(m.queuedAt))
	default:
		m.flushed = len(m.queuedAt)
	}
}

func (p *player) read() {
	p.model.reads = append(p.model.reads, p.model.now)
	p.monitor.BytesRead(p.model.now)
}

func (p *player) queue() {
	p.model.queuedAt = append(p.model.queuedAt, p.model.now)
	p.monitor.BytesQueued(p.model.now, uint64(len(p.model.queuedAt)))
}

// beforeSending reports that something becomes outstanding.
func (p *player) beforeSending() {
	if len(p.model.attempts)+len(p.model.checks) == 0 {
		p.model.idleUntil = p.model.now
		p.monitor.OutstandingBegan(p.model.now)
	}
}

func (p *player) sendCheck() {
	p.beforeSending()
	p.sent++
	id := fmt.Sprint("p", p.sent)
	p.model.checks[id] = &modelCheck{sentAt: p.model.now}
	p.monitor.CheckSent(p.model.now, id)
	p.queue()
}

func (p *player) answerCheck() {
	m := &p.model
	p.read()
	id := fmt.Sprint("p", p.draw("check", 0, p.sent))
	if _, out := m.checks[id]; out != p.monitor.IsCheck(id) {
		p.t.Fatalf("IsCheck(%s) is %v, want %v", id, !out, out)
	} else if out {
		delete(m.checks, id)
		m.answeredAt = m.now
		p.monitor.CheckAnswered(m.now, id)
	}
}

// step steps the monitor, compares its verdict and its answers with the model's, and carries the verdict out.
func (p *player) step() Verdict {
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
		p.t.Fatalf("at %v the verdict is %d, want one of %v", m.now, verdict, allowed)
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
		p.t.Fatalf("at %v a check is out for long and the connection is not suspected", m.now)
	}
	if p.monitor.IsSuspected() && m.now == m.lastRead() {
		p.t.Fatalf("at %v bytes were just read and the connection is suspected", m.now)
	}
	if p.monitor.OutstandingChecks() != len(m.checks) {
		p.t.Fatalf("%d checks are out, want %d", p.monitor.OutstandingChecks(), len(m.checks))
	}
	if verdict == SendCheck {
		p.sendCheck()
	}
	return verdict
}

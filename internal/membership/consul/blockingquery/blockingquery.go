// Package blockingquery decides how one blocking query of Consul's HTTP API is kept going over several agents: whom to ask, when,
// in which mode, when an agent counts as hung, and what of an answer is to be believed. It does no I/O and asks no clock: its
// user carries out the Actions and tells what came of them.
//
// The rules for the index are those of Consul's page on blocking queries: it is to be above 0, one that went back means to
// begin anew at 0, and an answer with the same index brings nothing new.
//
// Several watches of the same agents share what they know of them (Agents): they must be stepped in turn, by one goroutine.
//
// Invariants: at most one query for the list and one probe are out of each watch; an agent that does not answer well is asked
// at most once in Spacing by all watches together, but for the list behind a probe that was answered; it is asked again no later
// than Spacing after that, and once one watch has its list the others ask at once, so that an agent that is back is found
// within a second and not rushed; the index held never falls but by an answer of the consistent mode.
package blockingquery

import (
	"cmp"
	"math/rand/v2"
	"time"
)

// Mode is how consistent an answer is to be.
type Mode uint8

// The modes of the API.
const (
	Default Mode = iota
	Stale
	Consistent
)

// Config is the settings of a Watch. Times must be above 0 unless said otherwise.
type Config struct {
	AgentCount          int // the first is the one at home
	Mode                Mode
	Wait                time.Duration // of a blocking query
	ResponseTimeout     time.Duration // for an answer that need not wait, and for a body once it has begun
	MinInterval         time.Duration // between two questions while things change: bounds the changes of the list a second
	ProbeAfter          time.Duration // after so long a silence of a blocking query the agent is asked whether it lives; 0: never
	ProbeTimeout        time.Duration // what a probe may take
	PreferredRetryAfter time.Duration // after which the agent at home is tried again
	MaxStaleness        time.Duration // what the agent's last contact with its leader may be ago, in the mode Stale
	Seed                uint64
}

// RetryInterval is the time between two questions to an agent that fails, and Jitter how much longer it may be, by lot. Both
// together stay under the second in which what changed during an outage is to hold once it is over.
const (
	RetryInterval  = 980 * time.Millisecond
	MaxRetryJitter = 12 * time.Millisecond
)

// Kind is what is asked.
type Kind uint8

// The kinds of questions.
const (
	ListQuery     Kind = iota // the list, blocking where Index is not 0
	LivenessProbe             // whether the agent lives: any cheap question
)

// Query is a question to put to an agent. Exactly one of Answered, Probed or Failed is owed for it, unless it is called
// off.
type Query struct {
	Serial uint64
	Kind   Kind
	Agent  int
	Index  uint64
	Wait   time.Duration
	Mode   Mode
}

// Action is what is to be done: a question to put, or one to call off, after which nothing is owed for it.
type Action struct {
	Start  *Query
	Cancel uint64
}

// Fault is how a question failed.
type Fault uint8

// The faults.
const (
	ConnectionFailed Fault = iota // no connection came up, or it broke off
	Rejected                      // an answer that says that it can't be served
	Malformed                     // an answer that can't be read
	TimedOut                      // none in time
)

// String gives the word that the log uses.
func (f Fault) String() string { return [...]string{"refused", "rejected", "garbled", "hung"}[f] }

// ResponseMeta is what an answer says of itself.
type ResponseMeta struct {
	Index       uint64
	KnownLeader bool
	LastContact time.Duration // of the server that answered with its leader
	Filtered    bool          // results were left out for want of rights
}

// Disposition is how an answer is to be used.
type Disposition uint8

// The degrees of belief.
const (
	Complete  Disposition = iota // what it does not name is gone
	Partial                      // what it names counts, and nothing else
	Unchanged                    // nothing is new
	Discard                      // it is older than what is held, or too old
)

// Reason is the reason for a belief below Whole.
type Reason uint8

// The reasons.
const (
	ReasonNone     Reason = iota
	NoLeader              // the agent knows no leader
	Filtered              // its token may not see all
	TooStale              // the last contact with the leader is too long ago
	IndexRegressed        // its index is below the one that is held
	IndexZero             // its index is 0
	reasonCount
)

// String gives the word that the log uses.
func (w Reason) String() string {
	return [reasonCount]string{"sound", "no-leader", "filtered", "too-old", "index-went-back", "index-zero"}[w]
}

// Verdict says how to use an answer.
type Verdict struct {
	Disposition Disposition
	Reason      Reason
	Confirms    bool // it answers a Confirm, in the consistent mode, and is sound
}

// agentState is what one watch knows of an agent.
type agentState struct {
	failedAt    time.Duration // when it failed; 0: it has not
	retryJitter time.Duration
	listAllowed bool // a probe was answered: the list may be asked for at once
	needsProbe  bool // it is to be asked whether it lives before it is asked for the list
}

// SharedAgents is what watches of the same agents know together.
type SharedAgents struct{ states []sharedState }

// sharedState is what is known of one agent by all.
type sharedState struct {
	queriedAt         time.Duration // when it was last asked anything
	respondedAt       time.Duration // when it last answered
	listedAt          time.Duration // when it last gave a list
	probeFailedAt     time.Duration // when a probe last failed
	aliveSinceFailure bool          // since it failed it has said that it lives: it is the lists that fail
}

// NewSharedAgents makes what some watches share of so many agents.
func NewSharedAgents(n int) *SharedAgents { return &SharedAgents{states: make([]sharedState, n)} }

// pendingQuery is one that is out.
type pendingQuery struct {
	Query
	startedAt time.Duration
	deadline  time.Duration // it has failed then
	confirms  bool
}

// Watch is the state. It is not safe for concurrent use.
type Watch struct {
	config           Config
	random           *rand.Rand
	agents           []agentState
	shared           *SharedAgents
	currentAgent     int
	index            uint64
	serial           uint64
	listQuery        *pendingQuery
	probeQuery       *pendingQuery
	notBefore        time.Duration // the next question for the list is not to come before
	preferredRetryAt time.Duration // the agent at home is not to be tried before
	skipWait         bool          // ask without waiting: something may have changed while nobody was asked
	confirmRequested bool          // a Confirm is asked for
	indexRegressed   bool          // the index went back: look once more, consistently
	askLeader        bool          // once in the default mode: the last answer was too old
	lastPartial      bool          // the last answer left things out: rights or a leader may be back with no change of the index
	unavailable      bool          // no agent answers
	canceled         []uint64
	actions          []Action
}

// New makes a watch that has asked nothing, with agents of its own.
func New(cfg Config) *Watch { return NewWithAgents(cfg, NewSharedAgents(cfg.AgentCount)) }

// NewWithAgents is New for a watch that shares its agents with others.
func NewWithAgents(cfg Config, shared *SharedAgents) *Watch {
	return &Watch{config: cfg, shared: shared, random: rand.New(rand.NewPCG(cfg.Seed, 0x7761746368)), agents: make([]agentState, cfg.AgentCount),
		skipWait: true}
}

// Unavailable says that no agent answers: the source is silent.
func (w *Watch) Unavailable() bool { return w.unavailable }

// CurrentAgent is the one in use.
func (w *Watch) CurrentAgent() int { return w.currentAgent }

// Index is the newest index that was believed.
func (w *Watch) Index() uint64 { return w.index }

// Confirm has the list asked for at once, consistently, and where there is one by another agent.
func (w *Watch) Confirm() { w.confirmRequested = true }

// Step gives what is to be done by now. The result is valid until the next call.
func (w *Watch) Step(now time.Duration) []Action {
	w.actions = w.actions[:0]
	if q := w.probeQuery; q != nil && now >= q.deadline {
		w.cancel(q)
		w.probeQuery = nil
		w.shared.states[q.Agent].probeFailedAt = now
		w.failAgent(now, q.Agent, TimedOut)
	}
	if q := w.listQuery; q != nil && now >= q.deadline {
		w.cancel(q)
		w.listQuery = nil
		w.confirmRequested = w.confirmRequested || q.confirms
		w.failAgent(now, q.Agent, TimedOut)
	}
	if q := w.listQuery; q != nil && w.shared.states[q.Agent].probeFailedAt > q.startedAt {
		w.cancel(q) // another watch has found that it does not live
		w.listQuery = nil
		w.confirmRequested = w.confirmRequested || q.confirms
		w.failAgent(now, q.Agent, TimedOut)
	}
	if q := w.listQuery; q != nil && w.confirmRequested && !q.confirms {
		w.cancel(q) // it may block for long
		w.listQuery = nil
	}
	if w.listQuery == nil {
		w.startList(now)
	}
	if q := w.listQuery; q != nil && w.probeQuery == nil {
		switch {
		case w.awayFromPreferred() && now >= w.preferredRetryAt:
			w.startProbe(now, 0)
		case w.mayBlock() && now >= w.probeAt():
			w.startProbe(now, q.Agent)
		}
	}
	for _, serial := range w.canceled {
		w.actions = append(w.actions, Action{Cancel: serial})
	}
	w.canceled = w.canceled[:0]
	return w.actions
}

// awayFromPreferred says that the query that is out is not with the agent at home.
func (w *Watch) awayFromPreferred() bool {
	return w.listQuery != nil && w.listQuery.Agent != 0 && !w.listQuery.confirms
}

// mayBlock says that the query that is out may block for long.
func (w *Watch) mayBlock() bool { return w.config.ProbeAfter > 0 && w.listQuery.Index > 0 }

// probeAt is when the agent of the list's query is to be asked whether it lives.
func (w *Watch) probeAt() time.Duration {
	s := &w.shared.states[w.listQuery.Agent]
	return max(w.listQuery.startedAt, s.respondedAt, s.queriedAt) + w.config.ProbeAfter
}

// Next is when Step is due at the latest; 0: only once something has come of a question.
func (w *Watch) Next() time.Duration {
	var next time.Duration
	sooner := func(at time.Duration) {
		if next == 0 || at < next {
			next = at
		}
	}
	if w.probeQuery != nil {
		sooner(w.probeQuery.deadline)
	}
	if w.listQuery != nil {
		sooner(w.listQuery.deadline)
		if w.shared.states[w.listQuery.Agent].probeFailedAt > w.listQuery.startedAt {
			sooner(1)
		}
		if w.probeQuery == nil && w.mayBlock() {
			sooner(w.probeAt())
		}
		if w.probeQuery == nil && w.awayFromPreferred() {
			sooner(max(w.preferredRetryAt, 1))
		}
		return next
	}
	if w.probeQuery == nil {
		_, at := w.chooseAgent()
		if !w.confirmRequested && !w.indexRegressed {
			at = max(at, w.notBefore)
		}
		sooner(max(at, 1))
	}
	return next
}

// chooseAgent gives the agent to ask and when it may be asked: the one in use, else the one that may be asked soonest.
func (w *Watch) chooseAgent() (int, time.Duration) {
	best := w.currentAgent
	for i := range w.agents {
		n := (w.currentAgent + i) % len(w.agents)
		if w.agents[w.currentAgent].failedAt > 0 && w.retryAt(n) < w.retryAt(best) {
			best = n
		}
	}
	return best, w.retryAt(best)
}

// retryAt is when an agent may be asked for the list, or whether it lives.
func (w *Watch) retryAt(n int) time.Duration {
	a, s := &w.agents[n], &w.shared.states[n]
	if a.failedAt == 0 || a.listAllowed || s.listedAt > a.failedAt {
		return 0
	}
	return s.queriedAt + RetryInterval + a.retryJitter
}

// startList puts the question for the list, or first asks an agent that failed whether it lives.
func (w *Watch) startList(now time.Duration) {
	if w.probeQuery != nil {
		return // it decides about the agent
	}
	n, at := w.chooseAgent()
	if now < at || now < w.notBefore && !w.confirmRequested && !w.indexRegressed {
		return
	}
	w.skipWait = w.skipWait || n != w.currentAgent
	w.currentAgent = n
	if w.agents[n].needsProbe {
		w.startProbe(now, n)
		return
	}
	q := &pendingQuery{Query: Query{Kind: ListQuery, Agent: n, Mode: w.config.Mode}, startedAt: now}
	switch {
	case w.confirmRequested:
		// Another agent's word weighs more than the same one's again.
		for i := 1; i < len(w.agents); i++ {
			if o := (n + i) % len(w.agents); w.agents[o].failedAt == 0 {
				q.Agent = o
				break
			}
		}
		q.Mode, q.confirms, w.confirmRequested = Consistent, true, false
	case w.indexRegressed:
		q.Mode = Consistent
	case w.askLeader:
		q.Mode = Default
	case w.skipWait:
	default:
		q.Index, q.Wait = w.index, w.config.Wait
		if w.lastPartial {
			q.Wait = min(q.Wait, RetryInterval)
		}
	}
	q.deadline = now + w.config.ResponseTimeout
	if q.Index > 0 {
		q.deadline += q.Wait + q.Wait/16 // the agent may add that, so that not all ask again together
	}
	w.skipWait = w.skipWait && q.Agent != n
	w.listQuery = q
	w.start(now, q)
}

func (w *Watch) startProbe(now time.Duration, agent int) {
	w.probeQuery = &pendingQuery{Query: Query{Kind: LivenessProbe, Agent: agent}, startedAt: now, deadline: now + w.config.ProbeTimeout}
	w.start(now, w.probeQuery)
}

func (w *Watch) start(now time.Duration, q *pendingQuery) {
	w.serial++
	q.Serial = w.serial
	w.shared.states[q.Agent].queriedAt = now
	w.agents[q.Agent].listAllowed = false
	ask := q.Query
	w.actions = append(w.actions, Action{Start: &ask})
}

func (w *Watch) cancel(q *pendingQuery) { w.canceled = append(w.canceled, q.Serial) }

// failAgent notes that an agent did not answer well, and goes over to the next.
func (w *Watch) failAgent(now time.Duration, n int, f Fault) {
	a, s := &w.agents[n], &w.shared.states[n]
	// The bound is a second and does not grow: what changed meanwhile has to hold a second after the outage, and one
	// small question a second is no rush.
	if now-s.queriedAt >= RetryInterval { // a blocking query that was out for long
		s.queriedAt = now
	}
	a.failedAt, a.listAllowed, a.retryJitter = max(now, 1), false, time.Duration(w.random.Int64N(int64(MaxRetryJitter)))
	if f == TimedOut {
		s.aliveSinceFailure = false
	}
	a.needsProbe = f == TimedOut || f == ConnectionFailed && !s.aliveSinceFailure
	if q := w.listQuery; q != nil && q.Agent == n {
		w.cancel(q)
		w.listQuery = nil
		w.confirmRequested = w.confirmRequested || q.confirms
	}
	if n == 0 {
		w.preferredRetryAt = now + w.config.PreferredRetryAfter
	}
	w.notBefore, w.skipWait = 0, true
	for i := range w.agents {
		if w.agents[i].failedAt == 0 {
			return
		}
	}
	w.unavailable = true
}

// agentResponded notes that an agent has answered.
func (w *Watch) agentResponded(now time.Duration, n int) {
	w.shared.states[n].respondedAt, w.agents[n].needsProbe = now, false
}

// ProbeSucceeded says that a probe was answered.
func (w *Watch) ProbeSucceeded(now time.Duration, serial uint64) {
	if q := w.probeQuery; q != nil && q.Serial == serial {
		w.probeQuery = nil
		w.agentResponded(now, q.Agent)
		a := &w.agents[q.Agent]
		a.listAllowed = a.failedAt > 0
		w.shared.states[q.Agent].aliveSinceFailure = a.failedAt > 0
		if w.awayFromPreferred() && q.Agent == 0 {
			a.failedAt = 0
			w.cancel(w.listQuery)
			w.listQuery, w.currentAgent, w.skipWait, w.notBefore = nil, 0, true, 0
		}
	}
}

// ResponseStarted says that the answer to a question for the list has begun: the rest must come within Limit.
func (w *Watch) ResponseStarted(now time.Duration, serial uint64) {
	if q := w.listQuery; q != nil && q.Serial == serial {
		q.deadline = now + w.config.ResponseTimeout
	}
}

// QueryFailed says that a question failed. What follows from it the next Step gives.
func (w *Watch) QueryFailed(now time.Duration, serial uint64, f Fault) {
	switch {
	case w.probeQuery != nil && w.probeQuery.Serial == serial:
		q := w.probeQuery
		w.probeQuery = nil
		w.shared.states[q.Agent].probeFailedAt = now
		w.failAgent(now, q.Agent, f)
	case w.listQuery != nil && w.listQuery.Serial == serial:
		q := w.listQuery
		w.listQuery = nil
		w.confirmRequested = w.confirmRequested || q.confirms
		w.failAgent(now, q.Agent, f)
	}
}

// ListReceived says that the list came whole, and gives how to use it. ok is false for a question that was called off.
func (w *Watch) ListReceived(now time.Duration, serial uint64, m ResponseMeta) (v Verdict, ok bool) {
	q := w.listQuery
	if q == nil || q.Serial != serial {
		return v, false
	}
	w.listQuery = nil
	w.agentResponded(now, q.Agent)
	w.agents[q.Agent].failedAt = 0
	w.shared.states[q.Agent].listedAt, w.shared.states[q.Agent].aliveSinceFailure = now, false
	w.unavailable = false
	w.notBefore = now + w.config.MinInterval
	sound := m.KnownLeader && !m.Filtered && m.Index > 0
	v.Confirms = q.confirms && sound
	w.askLeader = false
	switch {
	case q.Mode == Stale && m.LastContact > w.config.MaxStaleness:
		w.askLeader = true // asked of the leader next
		return Verdict{Disposition: Discard, Reason: TooStale}, true
	case m.Index < w.index && q.Mode != Consistent:
		// Another agent that lags, or a cluster that began anew: a consistent answer tells which.
		w.indexRegressed = true
		return Verdict{Disposition: Discard, Reason: IndexRegressed}, true
	case m.Index == 0:
		v.Disposition, v.Reason = Partial, IndexZero
		w.notBefore = now + RetryInterval // it can't be waited on
	case !m.KnownLeader:
		v.Disposition, v.Reason = Partial, NoLeader
	case m.Filtered:
		v.Disposition, v.Reason = Partial, Filtered
	case m.Index == w.index && q.Index > 0 && !w.lastPartial:
		v.Disposition = Unchanged // the wait was over
	}
	w.lastPartial = v.Disposition == Partial
	if q.Mode == Consistent {
		w.indexRegressed = false
	}
	w.index = m.Index
	return v, true
}

// String names a mode as the API does.
func (m Mode) String() string { return [...]string{"default", "stale", "consistent"}[m] }

// ParseMode gives the mode of a name.
func ParseMode(name string) (Mode, bool) {
	for m := Default; m <= Consistent; m++ {
		if m.String() == name {
			return m, true
		}
	}
	return Default, false
}

// WithDefaults fills in what is 0.
func (c Config) WithDefaults() Config {
	c.AgentCount = max(1, c.AgentCount)
	c.Wait = cmp.Or(c.Wait, 30*time.Second)
	c.ResponseTimeout = cmp.Or(c.ResponseTimeout, 3*time.Second)
	c.MinInterval = cmp.Or(c.MinInterval, 200*time.Millisecond)
	c.ProbeTimeout = cmp.Or(c.ProbeTimeout, 700*time.Millisecond)
	c.PreferredRetryAfter = cmp.Or(c.PreferredRetryAfter, 15*time.Second)
	c.MaxStaleness = cmp.Or(c.MaxStaleness, 5*time.Second)
	return c
}

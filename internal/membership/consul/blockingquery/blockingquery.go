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
	Agents    int // the first is the one at home
	Mode      Mode
	Wait      time.Duration // of a blocking query
	Limit     time.Duration // for an answer that need not wait, and for a body once it has begun
	Gap       time.Duration // between two questions while things change: bounds the changes of the list a second
	Probe     time.Duration // after so long a silence of a blocking query the agent is asked whether it lives; 0: never
	ProbeFor  time.Duration // what a probe may take
	Home      time.Duration // after which the agent at home is tried again
	StaleMost time.Duration // what the agent's last contact with its leader may be ago, in the mode Stale
	Seed      uint64
}

// Spacing is the time between two questions to an agent that fails, and Jitter how much longer it may be, by lot. Both
// together stay under the second in which what changed during an outage is to hold once it is over.
const (
	Spacing = 980 * time.Millisecond
	Jitter  = 12 * time.Millisecond
)

// Kind is what is asked.
type Kind uint8

// The kinds of questions.
const (
	List  Kind = iota // the list, blocking where Index is not 0
	Probe             // whether the agent lives: any cheap question
)

// Ask is a question to put to an agent. Exactly one of Answered, Probed or Failed is owed for it, unless it is called
// off.
type Ask struct {
	Serial uint64
	Kind   Kind
	Agent  int
	Index  uint64
	Wait   time.Duration
	Mode   Mode
}

// Action is what is to be done: a question to put, or one to call off, after which nothing is owed for it.
type Action struct {
	Start *Ask
	Abort uint64
}

// Fault is how a question failed.
type Fault uint8

// The faults.
const (
	Refused  Fault = iota // no connection came up, or it broke off
	Rejected              // an answer that says that it can't be served
	Garbled               // an answer that can't be read
	Hung                  // none in time
)

// String gives the word that the log uses.
func (f Fault) String() string { return [...]string{"refused", "rejected", "garbled", "hung"}[f] }

// Meta is what an answer says of itself.
type Meta struct {
	Index       uint64
	KnownLeader bool
	LastContact time.Duration // of the server that answered with its leader
	Filtered    bool          // results were left out for want of rights
}

// Belief is how an answer is to be used.
type Belief uint8

// The degrees of belief.
const (
	Whole  Belief = iota // what it does not name is gone
	Omits                // what it names counts, and nothing else
	Same                 // nothing is new
	Ignore               // it is older than what is held, or too old
)

// Why is the reason for a belief below Whole.
type Why uint8

// The reasons.
const (
	Sound     Why = iota
	NoLeader      // the agent knows no leader
	Filtered      // its token may not see all
	TooOld        // the last contact with the leader is too long ago
	WentBack      // its index is below the one that is held
	ZeroIndex     // its index is 0
	whyCount
)

// String gives the word that the log uses.
func (w Why) String() string {
	return [whyCount]string{"sound", "no-leader", "filtered", "too-old", "index-went-back", "index-zero"}[w]
}

// Verdict says how to use an answer.
type Verdict struct {
	Belief   Belief
	Why      Why
	Confirms bool // it answers a Confirm, in the consistent mode, and is sound
}

// agent is what one watch knows of an agent.
type agent struct {
	failed time.Duration // when it failed; 0: it has not
	jitter time.Duration
	free   bool // a probe was answered: the list may be asked for at once
	probe  bool // it is to be asked whether it lives before it is asked for the list
}

// Agents is what watches of the same agents know together.
type Agents struct{ list []together }

// together is what is known of one agent by all.
type together struct {
	asked  time.Duration // when it was last asked anything
	alive  time.Duration // when it last answered
	well   time.Duration // when it last gave a list
	dead   time.Duration // when a probe last failed
	proved bool          // since it failed it has said that it lives: it is the lists that fail
}

// NewAgents makes what some watches share of so many agents.
func NewAgents(n int) *Agents { return &Agents{list: make([]together, n)} }

// question is one that is out.
type question struct {
	Ask
	at      time.Duration
	until   time.Duration // it has failed then
	confirm bool
}

// Watch is the state. It is not safe for concurrent use.
type Watch struct {
	cfg     Config
	rng     *rand.Rand
	agents  []agent
	shared  *Agents
	current int
	index   uint64
	serial  uint64
	list    *question
	probe   *question
	earlier time.Duration // the next question for the list is not to come before
	home    time.Duration // the agent at home is not to be tried before
	anew    bool          // ask without waiting: something may have changed while nobody was asked
	confirm bool          // a Confirm is asked for
	reset   bool          // the index went back: look once more, consistently
	fresh   bool          // once in the default mode: the last answer was too old
	omits   bool          // the last answer left things out: rights or a leader may be back with no change of the index
	down    bool          // no agent answers
	aborts  []uint64
	out     []Action
}

// New makes a watch that has asked nothing, with agents of its own.
func New(cfg Config) *Watch { return NewWith(cfg, NewAgents(cfg.Agents)) }

// NewWith is New for a watch that shares its agents with others.
func NewWith(cfg Config, shared *Agents) *Watch {
	return &Watch{cfg: cfg, shared: shared, rng: rand.New(rand.NewPCG(cfg.Seed, 0x7761746368)), agents: make([]agent, cfg.Agents),
		anew: true}
}

// Down says that no agent answers: the source is silent.
func (w *Watch) Down() bool { return w.down }

// Agent is the one in use.
func (w *Watch) Agent() int { return w.current }

// Index is the newest index that was believed.
func (w *Watch) Index() uint64 { return w.index }

// Confirm has the list asked for at once, consistently, and where there is one by another agent.
func (w *Watch) Confirm() { w.confirm = true }

// Step gives what is to be done by now. The result is valid until the next call.
func (w *Watch) Step(now time.Duration) []Action {
	w.out = w.out[:0]
	if q := w.probe; q != nil && now >= q.until {
		w.abort(q)
		w.probe = nil
		w.shared.list[q.Agent].dead = now
		w.fail(now, q.Agent, Hung)
	}
	if q := w.list; q != nil && now >= q.until {
		w.abort(q)
		w.list = nil
		w.confirm = w.confirm || q.confirm
		w.fail(now, q.Agent, Hung)
	}
	if q := w.list; q != nil && w.shared.list[q.Agent].dead > q.at {
		w.abort(q) // another watch has found that it does not live
		w.list = nil
		w.confirm = w.confirm || q.confirm
		w.fail(now, q.Agent, Hung)
	}
	if q := w.list; q != nil && w.confirm && !q.confirm {
		w.abort(q) // it may block for long
		w.list = nil
	}
	if w.list == nil {
		w.askList(now)
	}
	if q := w.list; q != nil && w.probe == nil {
		switch {
		case w.homeward() && now >= w.home:
			w.askProbe(now, 0)
		case w.probes() && now >= w.probeAt():
			w.askProbe(now, q.Agent)
		}
	}
	for _, serial := range w.aborts {
		w.out = append(w.out, Action{Abort: serial})
	}
	w.aborts = w.aborts[:0]
	return w.out
}

// homeward says that the query that is out is not with the agent at home.
func (w *Watch) homeward() bool { return w.list != nil && w.list.Agent != 0 && !w.list.confirm }

// probes says that the query that is out may block for long.
func (w *Watch) probes() bool { return w.cfg.Probe > 0 && w.list.Index > 0 }

// probeAt is when the agent of the list's query is to be asked whether it lives.
func (w *Watch) probeAt() time.Duration {
	s := &w.shared.list[w.list.Agent]
	return max(w.list.at, s.alive, s.asked) + w.cfg.Probe
}

// Next is when Step is due at the latest; 0: only once something has come of a question.
func (w *Watch) Next() time.Duration {
	var next time.Duration
	sooner := func(at time.Duration) {
		if next == 0 || at < next {
			next = at
		}
	}
	if w.probe != nil {
		sooner(w.probe.until)
	}
	if w.list != nil {
		sooner(w.list.until)
		if w.shared.list[w.list.Agent].dead > w.list.at {
			sooner(1)
		}
		if w.probe == nil && w.probes() {
			sooner(w.probeAt())
		}
		if w.probe == nil && w.homeward() {
			sooner(max(w.home, 1))
		}
		return next
	}
	if w.probe == nil {
		_, at := w.choose()
		if !w.confirm && !w.reset {
			at = max(at, w.earlier)
		}
		sooner(max(at, 1))
	}
	return next
}

// choose gives the agent to ask and when it may be asked: the one in use, else the one that may be asked soonest.
func (w *Watch) choose() (int, time.Duration) {
	best := w.current
	for i := range w.agents {
		n := (w.current + i) % len(w.agents)
		if w.agents[w.current].failed > 0 && w.again(n) < w.again(best) {
			best = n
		}
	}
	return best, w.again(best)
}

// again is when an agent may be asked for the list, or whether it lives.
func (w *Watch) again(n int) time.Duration {
	a, s := &w.agents[n], &w.shared.list[n]
	if a.failed == 0 || a.free || s.well > a.failed {
		return 0
	}
	return s.asked + Spacing + a.jitter
}

// askList puts the question for the list, or first asks an agent that failed whether it lives.
func (w *Watch) askList(now time.Duration) {
	if w.probe != nil {
		return // it decides about the agent
	}
	n, at := w.choose()
	if now < at || now < w.earlier && !w.confirm && !w.reset {
		return
	}
	w.anew = w.anew || n != w.current
	w.current = n
	if w.agents[n].probe {
		w.askProbe(now, n)
		return
	}
	q := &question{Ask: Ask{Kind: List, Agent: n, Mode: w.cfg.Mode}, at: now}
	switch {
	case w.confirm:
		// Another agent's word weighs more than the same one's again.
		for i := 1; i < len(w.agents); i++ {
			if o := (n + i) % len(w.agents); w.agents[o].failed == 0 {
				q.Agent = o
				break
			}
		}
		q.Mode, q.confirm, w.confirm = Consistent, true, false
	case w.reset:
		q.Mode = Consistent
	case w.fresh:
		q.Mode = Default
	case w.anew:
	default:
		q.Index, q.Wait = w.index, w.cfg.Wait
		if w.omits {
			q.Wait = min(q.Wait, Spacing)
		}
	}
	q.until = now + w.cfg.Limit
	if q.Index > 0 {
		q.until += q.Wait + q.Wait/16 // the agent may add that, so that not all ask again together
	}
	w.anew = w.anew && q.Agent != n
	w.list = q
	w.start(now, q)
}

func (w *Watch) askProbe(now time.Duration, agent int) {
	w.probe = &question{Ask: Ask{Kind: Probe, Agent: agent}, at: now, until: now + w.cfg.ProbeFor}
	w.start(now, w.probe)
}

func (w *Watch) start(now time.Duration, q *question) {
	w.serial++
	q.Serial = w.serial
	w.shared.list[q.Agent].asked = now
	w.agents[q.Agent].free = false
	ask := q.Ask
	w.out = append(w.out, Action{Start: &ask})
}

func (w *Watch) abort(q *question) { w.aborts = append(w.aborts, q.Serial) }

// fail notes that an agent did not answer well, and goes over to the next.
func (w *Watch) fail(now time.Duration, n int, f Fault) {
	a, s := &w.agents[n], &w.shared.list[n]
	// The bound is a second and does not grow: what changed meanwhile has to hold a second after the outage, and one
	// small question a second is no rush.
	if now-s.asked >= Spacing { // a blocking query that was out for long
		s.asked = now
	}
	a.failed, a.free, a.jitter = max(now, 1), false, time.Duration(w.rng.Int64N(int64(Jitter)))
	if f == Hung {
		s.proved = false
	}
	a.probe = f == Hung || f == Refused && !s.proved
	if q := w.list; q != nil && q.Agent == n {
		w.abort(q)
		w.list = nil
		w.confirm = w.confirm || q.confirm
	}
	if n == 0 {
		w.home = now + w.cfg.Home
	}
	w.earlier, w.anew = 0, true
	for i := range w.agents {
		if w.agents[i].failed == 0 {
			return
		}
	}
	w.down = true
}

// well notes that an agent has answered.
func (w *Watch) well(now time.Duration, n int) {
	w.shared.list[n].alive, w.agents[n].probe = now, false
}

// Probed says that a probe was answered.
func (w *Watch) Probed(now time.Duration, serial uint64) {
	if q := w.probe; q != nil && q.Serial == serial {
		w.probe = nil
		w.well(now, q.Agent)
		a := &w.agents[q.Agent]
		a.free = a.failed > 0
		w.shared.list[q.Agent].proved = a.failed > 0
		if w.homeward() && q.Agent == 0 {
			a.failed = 0
			w.abort(w.list)
			w.list, w.current, w.anew, w.earlier = nil, 0, true, 0
		}
	}
}

// Headed says that the answer to a question for the list has begun: the rest must come within Limit.
func (w *Watch) Headed(now time.Duration, serial uint64) {
	if q := w.list; q != nil && q.Serial == serial {
		q.until = now + w.cfg.Limit
	}
}

// Failed says that a question failed. What follows from it the next Step gives.
func (w *Watch) Failed(now time.Duration, serial uint64, f Fault) {
	switch {
	case w.probe != nil && w.probe.Serial == serial:
		q := w.probe
		w.probe = nil
		w.shared.list[q.Agent].dead = now
		w.fail(now, q.Agent, f)
	case w.list != nil && w.list.Serial == serial:
		q := w.list
		w.list = nil
		w.confirm = w.confirm || q.confirm
		w.fail(now, q.Agent, f)
	}
}

// Answered says that the list came whole, and gives how to use it. ok is false for a question that was called off.
func (w *Watch) Answered(now time.Duration, serial uint64, m Meta) (v Verdict, ok bool) {
	q := w.list
	if q == nil || q.Serial != serial {
		return v, false
	}
	w.list = nil
	w.well(now, q.Agent)
	w.agents[q.Agent].failed = 0
	w.shared.list[q.Agent].well, w.shared.list[q.Agent].proved = now, false
	w.down = false
	w.earlier = now + w.cfg.Gap
	sound := m.KnownLeader && !m.Filtered && m.Index > 0
	v.Confirms = q.confirm && sound
	w.fresh = false
	switch {
	case q.Mode == Stale && m.LastContact > w.cfg.StaleMost:
		w.fresh = true // asked of the leader next
		return Verdict{Belief: Ignore, Why: TooOld}, true
	case m.Index < w.index && q.Mode != Consistent:
		// Another agent that lags, or a cluster that began anew: a consistent answer tells which.
		w.reset = true
		return Verdict{Belief: Ignore, Why: WentBack}, true
	case m.Index == 0:
		v.Belief, v.Why = Omits, ZeroIndex
		w.earlier = now + Spacing // it can't be waited on
	case !m.KnownLeader:
		v.Belief, v.Why = Omits, NoLeader
	case m.Filtered:
		v.Belief, v.Why = Omits, Filtered
	case m.Index == w.index && q.Index > 0 && !w.omits:
		v.Belief = Same // the wait was over
	}
	w.omits = v.Belief == Omits
	if q.Mode == Consistent {
		w.reset = false
	}
	w.index = m.Index
	return v, true
}

// String names a mode as the API does.
func (m Mode) String() string { return [...]string{"default", "stale", "consistent"}[m] }

// Modes gives the mode of a name.
func Modes(name string) (Mode, bool) {
	for m := Default; m <= Consistent; m++ {
		if m.String() == name {
			return m, true
		}
	}
	return Default, false
}

// WithDefaults fills in what is 0.
func (c Config) WithDefaults() Config {
	c.Agents = max(1, c.Agents)
	c.Wait = cmp.Or(c.Wait, 30*time.Second)
	c.Limit = cmp.Or(c.Limit, 3*time.Second)
	c.Gap = cmp.Or(c.Gap, 200*time.Millisecond)
	c.ProbeFor = cmp.Or(c.ProbeFor, 700*time.Millisecond)
	c.Home = cmp.Or(c.Home, 15*time.Second)
	c.StaleMost = cmp.Or(c.StaleMost, 5*time.Second)
	return c
}

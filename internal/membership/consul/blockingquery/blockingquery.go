// Package blockingquery decides how one blocking query of Consul's HTTP API is kept going over several agents: which
// agent to query, when and in which mode, when an agent counts as unresponsive, and how far an answer is to be
// trusted. It does no I/O and reads no clock: its user steps it, carries out the Actions, and reports what came of
// them.
//
// The rules for the index are those of Consul's page on blocking queries: it has to be above 0, one that went back
// means to start again at 0, and an answer with the same index brings nothing new. Several watches of the same agents
// share what they know of them (SharedAgents); they must be stepped in turn, by one goroutine.
//
// Invariants: each watch has at most one list query and one liveness probe in flight. The index it has taken over
// falls only by an answer in the consistent mode.
//
// Bounds: an agent that fails is queried at most once in RetryInterval by all watches together, except that a list
// query may follow a probe that succeeded at once. It is queried again no later than RetryInterval and MaxRetryJitter
// after that, and as soon as one watch has its list the others follow at once. So an agent that is back is found
// within a second and not rushed.
package blockingquery

import (
	"math/rand/v2"
	"time"
)

// randomStream is the second word of the random generator's seed. It is fixed, so that a seed gives one course of
// events.
const randomStream = 0x7761746368

// Watch is the state of one blocking query. It is not safe for concurrent use.
type Watch struct {
	config       Config
	random       *rand.Rand
	agents       []agentState
	shared       *SharedAgents
	currentAgent int
	index        uint64
	serial       uint64
	listQuery    *pendingQuery // nil: none is in flight
	probeQuery   *pendingQuery // nil: none is in flight

	nextListAt       time.Duration // the earliest time of the next list query
	preferredRetryAt time.Duration // the earliest time to probe the preferred agent while another one is in use
	skipWait         bool          // query without blocking: something may have changed while nothing was in flight
	confirmRequested bool          // see Confirm
	indexRegressed   bool          // verify by one query in the consistent mode
	askLeader        bool          // the last answer was too stale: query once in the default mode
	lastPartial      bool          // rights or a leader may come back without a change of the index
	unavailable      bool          // no agent answers

	canceled []uint64 // serials of queries to cancel by the next Step
	actions  []Action // what Step returns; reused
}

// New makes a watch that shares its agents with others.
func New(config Config, shared *SharedAgents) *Watch {
	return &Watch{
		config:   config,
		shared:   shared,
		random:   rand.New(rand.NewPCG(config.Seed, randomStream)),
		agents:   make([]agentState, config.AgentCount),
		skipWait: true,
	}
}

// Unavailable says that no agent answers: the source is silent.
func (w *Watch) Unavailable() bool { return w.unavailable }

// CurrentAgent is the agent in use.
func (w *Watch) CurrentAgent() int { return w.currentAgent }

// Index is the newest index that was taken over.
func (w *Watch) Index() uint64 { return w.index }

// Confirm has the list fetched at once in the consistent mode, and from another agent where there is one.
func (w *Watch) Confirm() { w.confirmRequested = true }

// Step returns what is to be done by now. The result is valid until the next call.
func (w *Watch) Step(now time.Duration) []Action {
	w.actions = w.actions[:0]
	w.expire(now)
	if query := w.listQuery; query != nil && w.confirmRequested && !query.confirms {
		w.cancel(query) // it may block for long
		w.listQuery = nil
	}
	if w.listQuery == nil {
		w.startList(now)
	}
	if w.listQuery != nil && w.probeQuery == nil {
		switch {
		case w.awayFromPreferred() && now >= w.preferredRetryAt:
			w.startProbe(now, preferredAgent)
		case w.mayBlock() && now >= w.probeAt():
			w.startProbe(now, w.listQuery.Agent)
		}
	}
	for _, serial := range w.canceled {
		w.actions = append(w.actions, Action{Cancel: serial})
	}
	w.canceled = w.canceled[:0]
	return w.actions
}

// expire fails the agents of queries that are past their deadline, and of a list query whose agent another watch has
// found dead since.
func (w *Watch) expire(now time.Duration) {
	if probe := w.probeQuery; probe != nil && now >= probe.deadline {
		w.cancel(probe)
		w.probeQuery = nil
		w.shared.states[probe.Agent].probeFailedAt = now
		w.failAgent(now, probe.Agent, TimedOut)
	}
	if query := w.listQuery; query != nil && (now >= query.deadline || w.foundDead(query)) {
		w.failAgent(now, query.Agent, TimedOut) // which cancels the query
	}
}

// foundDead says that a probe of the query's agent, by this watch or another, has failed since the query began.
func (w *Watch) foundDead(query *pendingQuery) bool {
	return w.shared.states[query.Agent].probeFailedAt > query.startedAt
}

// awayFromPreferred says that the list query in flight is with another agent than the preferred one.
func (w *Watch) awayFromPreferred() bool {
	return w.listQuery != nil && w.listQuery.Agent != preferredAgent && !w.listQuery.confirms
}

// mayBlock says that the list query in flight may block for long, and that its agent is to be probed meanwhile.
func (w *Watch) mayBlock() bool { return w.config.ProbeAfter > 0 && w.listQuery.Index > 0 }

// probeAt is when the agent of the list query in flight is to be probed.
func (w *Watch) probeAt() time.Duration {
	state := &w.shared.states[w.listQuery.Agent]
	return max(w.listQuery.startedAt, state.respondedAt, state.queriedAt) + w.config.ProbeAfter
}

// Next is when Step is due at the latest; 0: only once something has come of a query.
func (w *Watch) Next() time.Duration {
	// 0 stands for no time, so a step that is due at once is due at 1.
	const atOnce = 1
	var next time.Duration
	sooner := func(at time.Duration) {
		if next == 0 || at < next {
			next = at
		}
	}
	if w.probeQuery != nil {
		sooner(w.probeQuery.deadline)
	}
	if w.listQuery == nil {
		if w.probeQuery == nil {
			sooner(max(w.nextListDue(), atOnce))
		}
		return next
	}
	sooner(w.listQuery.deadline)
	if w.foundDead(w.listQuery) {
		sooner(atOnce)
	}
	if w.probeQuery == nil && w.mayBlock() {
		sooner(w.probeAt())
	}
	if w.probeQuery == nil && w.awayFromPreferred() {
		sooner(max(w.preferredRetryAt, atOnce))
	}
	return next
}

// nextListDue is when the next list query may start, or the probe that has to come before it.
func (w *Watch) nextListDue() time.Duration {
	_, at := w.chooseAgent()
	if w.confirmRequested || w.indexRegressed {
		return at
	}
	return max(at, w.nextListAt)
}

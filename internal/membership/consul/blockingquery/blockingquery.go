// Package blockingquery decides how to keep one blocking query of Consul's HTTP API running across several agents:
// which agent to query, when and in which consistency mode, when to treat an agent as unresponsive, and how far to
// trust a response. It does no I/O and reads no clock: its caller calls Step, carries out the returned Actions, and
// reports their results.
//
// The index follows the rules in Consul's documentation of blocking queries: it must be above 0, a query restarts
// from 0 after the index has decreased, and a response with the same index contains no change. Several watches of the
// same agents share what they know about them (SharedAgents); one goroutine must step all these watches in turn.
//
// Invariants: each watch has at most one list query and one liveness probe in flight. Only a response in consistent
// mode can decrease the accepted index.
//
// Bounds: all watches together query a failing agent at most once per RetryInterval, except that a list query may
// immediately follow a successful probe. They query it again at most RetryInterval plus MaxRetryJitter later, and once
// one watch has received its list, the others may query it immediately. So they find a recovered agent within a second
// without flooding it with queries.
package blockingquery

import (
	"math/rand/v2"
	"time"
)

// randomStream is the second word of the random generator's seed. It is constant, so that Config.Seed alone determines
// the random numbers.
const randomStream = 0x7761746368

// Watch holds the state of one blocking query. It is not safe for concurrent use.
type Watch struct {
	config       Config
	random       *rand.Rand
	agents       []agentState
	shared       *SharedAgents
	currentAgent int
	index        uint64        // of the last accepted response
	serial       uint64        // of the last query started
	listQuery    *pendingQuery // nil: none is in flight
	probeQuery   *pendingQuery // nil: none is in flight

	nextListAt       time.Duration // the earliest time of the next list query
	preferredRetryAt time.Duration // the earliest time to probe the preferred agent while another one is in use
	skipWait         bool          // do not block: the list may have changed while no list query was in flight
	confirmRequested bool          // see Confirm
	indexRegressed   bool          // a response had a lower index: verify it by a query in consistent mode
	askLeader        bool          // the last response was too stale: query once in default mode
	lastPartial      bool          // block only briefly: permissions or a leader may return without an index change
	unavailable      bool          // see Unavailable

	canceled []uint64 // serials of queries to cancel by the next Step
	actions  []Action // the result of Step; reused
}

// New returns a watch that shares what it knows about its agents with other watches.
func New(config Config, shared *SharedAgents) *Watch {
	return &Watch{
		config:   config,
		shared:   shared,
		random:   rand.New(rand.NewPCG(config.Seed, randomStream)),
		agents:   make([]agentState, config.AgentCount),
		skipWait: true,
	}
}

// Unavailable reports whether all agents have failed and none has returned a list since.
func (w *Watch) Unavailable() bool { return w.unavailable }

// CurrentAgent returns the index of the agent in use.
func (w *Watch) CurrentAgent() int { return w.currentAgent }

// Index returns the index of the last accepted response.
func (w *Watch) Index() uint64 { return w.index }

// Confirm requests an immediate list query in consistent mode, to another agent if one is available.
func (w *Watch) Confirm() { w.confirmRequested = true }

// Step returns the actions that are due at now. The result is valid until the next call.
func (w *Watch) Step(now time.Duration) []Action {
	w.actions = w.actions[:0]
	w.expireQueries(now)
	if query := w.listQuery; query != nil && w.confirmRequested && !query.confirms {
		w.cancel(query) // it may block for a long time
		w.listQuery = nil
	}
	if w.listQuery == nil {
		w.startList(now)
	}
	if w.listQuery != nil && w.probeQuery == nil {
		switch {
		case w.usesFallbackAgent() && now >= w.preferredRetryAt:
			w.startProbe(now, preferredAgent)
		case w.probesWhileBlocking() && now >= w.probeDueAt():
			w.startProbe(now, w.listQuery.Agent)
		}
	}
	for _, serial := range w.canceled {
		w.actions = append(w.actions, Action{Cancel: serial})
	}
	w.canceled = w.canceled[:0]
	return w.actions
}

// expireQueries marks the agents of queries past their deadline as failed, and the agent of the list query also if a
// probe of it has failed since the query started.
func (w *Watch) expireQueries(now time.Duration) {
	if probe := w.probeQuery; probe != nil && now >= probe.deadline {
		w.cancel(probe)
		w.probeQuery = nil
		w.shared.states[probe.Agent].probeFailedAt = now
		w.markAgentFailed(now, probe.Agent, TimedOut)
	}
	if query := w.listQuery; query != nil && (now >= query.deadline || w.probeFailedSince(query)) {
		w.markAgentFailed(now, query.Agent, TimedOut) // also cancels the query
	}
}

// probeFailedSince reports whether a probe of the query's agent, by this or another watch, has failed since the query
// started.
func (w *Watch) probeFailedSince(query *pendingQuery) bool {
	return w.shared.states[query.Agent].probeFailedAt > query.startedAt
}

// usesFallbackAgent reports whether the list query in flight was sent to an agent other than the preferred one, and not
// merely to confirm a list.
func (w *Watch) usesFallbackAgent() bool {
	return w.listQuery != nil && w.listQuery.Agent != preferredAgent && !w.listQuery.confirms
}

// probesWhileBlocking reports whether the list query in flight may block for a long time and its agent is to be probed
// meanwhile.
func (w *Watch) probesWhileBlocking() bool { return w.config.ProbeAfter > 0 && w.listQuery.Index > 0 }

// probeDueAt returns when the agent of the list query in flight is to be probed.
func (w *Watch) probeDueAt() time.Duration {
	state := &w.shared.states[w.listQuery.Agent]
	return max(w.listQuery.startedAt, state.respondedAt, state.queriedAt) + w.config.ProbeAfter
}

// Next returns the latest time for the next Step, or 0 if it is not due before the result of a query is reported.
func (w *Watch) Next() time.Duration {
	// 0 means no time, so a step that is due immediately is due at 1 ns.
	const immediately = 1
	var next time.Duration
	consider := func(at time.Duration) {
		if next == 0 || at < next {
			next = at
		}
	}
	if w.probeQuery != nil {
		consider(w.probeQuery.deadline)
	}
	if w.listQuery == nil {
		if w.probeQuery == nil {
			consider(max(w.nextListDueAt(), immediately))
		}
		return next
	}
	consider(w.listQuery.deadline)
	if w.probeFailedSince(w.listQuery) {
		consider(immediately)
	}
	if w.probeQuery == nil && w.probesWhileBlocking() {
		consider(w.probeDueAt())
	}
	if w.probeQuery == nil && w.usesFallbackAgent() {
		consider(max(w.preferredRetryAt, immediately))
	}
	return next
}

// nextListDueAt returns the earliest time of the next list query, or of the probe that must precede it.
func (w *Watch) nextListDueAt() time.Duration {
	_, at := w.chooseAgent()
	if w.confirmRequested || w.indexRegressed {
		return at
	}
	return max(at, w.nextListAt)
}

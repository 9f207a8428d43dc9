package blockingquery

import "time"

// Kind is what a query is for.
type Kind uint8

// The kinds of queries.
const (
	ListQuery     Kind = iota // the list, blocking where Index is not 0
	LivenessProbe             // whether the agent answers: any cheap call
)

// Query is a query to send to an agent. Exactly one of ListReceived, ProbeSucceeded or QueryFailed is owed for it,
// unless it is canceled.
type Query struct {
	Serial uint64
	Kind   Kind
	Agent  int
	Index  uint64
	Wait   time.Duration
	Mode   Mode
}

// Action is what is to be done: a query to start, or the serial of one to cancel, for which nothing is owed after
// that.
type Action struct {
	Start  *Query
	Cancel uint64
}

// pendingQuery is a query in flight.
type pendingQuery struct {
	Query
	startedAt time.Duration
	deadline  time.Duration // it has failed then
	confirms  bool          // it was started by a Confirm
}

// blockingSlack is the part of Wait that an agent may add to it, so that its clients do not all return together.
const blockingSlack = 16

// startList starts the list query, or first the probe of an agent that has failed.
func (w *Watch) startList(now time.Duration) {
	if w.probeQuery != nil {
		return // its result decides about the agent
	}
	agent, at := w.chooseAgent()
	if now < at || now < w.nextListAt && !w.confirmRequested && !w.indexRegressed {
		return
	}
	w.skipWait = w.skipWait || agent != w.currentAgent
	w.currentAgent = agent
	if w.agents[agent].needsProbe {
		w.startProbe(now, agent)
		return
	}
	query := w.newListQuery(now, agent)
	w.skipWait = w.skipWait && query.Agent != agent
	w.listQuery = query
	w.start(now, query)
}

// newListQuery makes the list query that is due, to an agent or, to confirm, to another one.
func (w *Watch) newListQuery(now time.Duration, agent int) *pendingQuery {
	query := &pendingQuery{Query: Query{Kind: ListQuery, Agent: agent, Mode: w.config.Mode}, startedAt: now}
	switch {
	case w.confirmRequested:
		query.Agent = w.confirmingAgent(agent)
		query.Mode = Consistent
		query.confirms = true
		w.confirmRequested = false
	case w.indexRegressed:
		query.Mode = Consistent
	case w.askLeader:
		query.Mode = Default
	case w.skipWait:
	default:
		query.Index = w.index
		query.Wait = w.config.Wait
		if w.lastPartial {
			query.Wait = min(query.Wait, RetryInterval)
		}
	}
	query.deadline = now + w.config.ResponseTimeout
	if query.Index > 0 {
		query.deadline += query.Wait + query.Wait/blockingSlack
	}
	return query
}

// confirmingAgent is the next agent that has not failed: another agent's answer weighs more than the same one's
// again.
func (w *Watch) confirmingAgent(agent int) int {
	for i := 1; i < len(w.agents); i++ {
		if other := (agent + i) % len(w.agents); w.agents[other].failedAt == 0 {
			return other
		}
	}
	return agent
}

func (w *Watch) startProbe(now time.Duration, agent int) {
	w.probeQuery = &pendingQuery{
		Query:     Query{Kind: LivenessProbe, Agent: agent},
		startedAt: now,
		deadline:  now + w.config.ProbeTimeout,
	}
	w.start(now, w.probeQuery)
}

func (w *Watch) start(now time.Duration, query *pendingQuery) {
	w.serial++
	query.Serial = w.serial
	w.shared.states[query.Agent].queriedAt = now
	w.agents[query.Agent].listAllowed = false
	started := query.Query
	w.actions = append(w.actions, Action{Start: &started})
}

func (w *Watch) cancel(query *pendingQuery) { w.canceled = append(w.canceled, query.Serial) }

// ProbeSucceeded says that a probe was answered.
func (w *Watch) ProbeSucceeded(now time.Duration, serial uint64) {
	probe := w.probeQuery
	if probe == nil || probe.Serial != serial {
		return
	}
	w.probeQuery = nil
	w.agentResponded(now, probe.Agent)
	agent := &w.agents[probe.Agent]
	agent.listAllowed = agent.failedAt > 0
	w.shared.states[probe.Agent].aliveSinceFailure = agent.failedAt > 0
	if w.awayFromPreferred() && probe.Agent == preferredAgent {
		agent.failedAt = 0
		w.cancel(w.listQuery)
		w.listQuery = nil
		w.currentAgent = preferredAgent
		w.skipWait = true
		w.nextListAt = 0
	}
}

// ResponseStarted says that the answer to a list query has begun: the rest must come within ResponseTimeout.
func (w *Watch) ResponseStarted(now time.Duration, serial uint64) {
	if query := w.listQuery; query != nil && query.Serial == serial {
		query.deadline = now + w.config.ResponseTimeout
	}
}

// QueryFailed says that a query failed. The next Step returns what follows from it.
func (w *Watch) QueryFailed(now time.Duration, serial uint64, fault Fault) {
	switch probe, query := w.probeQuery, w.listQuery; {
	case probe != nil && probe.Serial == serial:
		w.probeQuery = nil
		w.shared.states[probe.Agent].probeFailedAt = now
		w.failAgent(now, probe.Agent, fault)
	case query != nil && query.Serial == serial:
		w.listQuery = nil
		w.confirmRequested = w.confirmRequested || query.confirms
		w.failAgent(now, query.Agent, fault)
	}
}

// ListReceived says that a list came in full, and returns how to use it. ok is false for a query that was canceled.
func (w *Watch) ListReceived(now time.Duration, serial uint64, meta ResponseMeta) (verdict Verdict, ok bool) {
	query := w.listQuery
	if query == nil || query.Serial != serial {
		return Verdict{}, false
	}
	w.listQuery = nil
	w.agentResponded(now, query.Agent)
	w.agents[query.Agent].failedAt = 0
	shared := &w.shared.states[query.Agent]
	shared.listedAt = now
	shared.aliveSinceFailure = false
	w.unavailable = false
	w.nextListAt = now + w.config.MinInterval
	w.askLeader = false
	switch {
	case query.Mode == Stale && meta.LastContact > w.config.MaxStaleness:
		w.askLeader = true
		return Verdict{Disposition: Discard, Reason: TooStale}, true
	case meta.Index < w.index && query.Mode != Consistent:
		// Another agent that lags, or a cluster that was rebuilt: a consistent answer shows which.
		w.indexRegressed = true
		return Verdict{Disposition: Discard, Reason: IndexRegressed}, true
	}
	verdict = w.judge(query, meta)
	if verdict.Reason == IndexZero {
		w.nextListAt = now + RetryInterval // a query without an index does not block
	}
	w.lastPartial = verdict.Disposition == Partial
	if query.Mode == Consistent {
		w.indexRegressed = false
	}
	w.index = meta.Index
	return verdict, true
}

// judge says how to use an answer that is new enough.
func (w *Watch) judge(query *pendingQuery, meta ResponseMeta) Verdict {
	verdict := Verdict{Confirms: query.confirms && meta.complete()}
	switch {
	case meta.Index == 0:
		verdict.Disposition, verdict.Reason = Partial, IndexZero
	case !meta.KnownLeader:
		verdict.Disposition, verdict.Reason = Partial, NoLeader
	case meta.Filtered:
		verdict.Disposition, verdict.Reason = Partial, Filtered
	case meta.Index == w.index && query.Index > 0 && !w.lastPartial:
		verdict.Disposition = Unchanged // the query has blocked for its full time
	}
	return verdict
}

package blockingquery

import "time"

// Kind is the purpose of a query.
type Kind uint8

// The kinds of queries.
const (
	ListQuery     Kind = iota // fetches the list; blocks if Index is not 0
	LivenessProbe             // checks whether the agent responds, by any cheap call
)

// Query is a query to send to an agent. Unless it is canceled, the caller must report its result by exactly one call
// of ListReceived, ProbeSucceeded or QueryFailed.
type Query struct {
	Serial uint64
	Kind   Kind
	Agent  int
	Index  uint64
	Wait   time.Duration
	Mode   Mode
}

// Action is a query to start or, if Start is nil, the serial of a query to cancel. The result of a canceled query need
// not be reported.
type Action struct {
	Start  *Query
	Cancel uint64
}

// pendingQuery is a query in flight.
type pendingQuery struct {
	Query
	startedAt time.Duration
	deadline  time.Duration // the query counts as failed from then on
	confirms  bool          // it was requested by Confirm
}

// waitJitterDivisor bounds the jitter by which an agent extends Wait: it is at most Wait/waitJitterDivisor. Agents add
// it to keep the queries of all clients from ending at the same time.
const waitJitterDivisor = 16

// startList starts the list query if it is due, or first a probe if the agent needs one.
func (w *Watch) startList(now time.Duration) {
	if w.probeQuery != nil {
		return // its result decides which agent to use
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

// newListQuery returns the list query that is due. It goes to agent, or to another one if it is to confirm a list.
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
		query.deadline += query.Wait + query.Wait/waitJitterDivisor
	}
	return query
}

// confirmingAgent returns the next agent that has not failed, since a response from another agent is better evidence
// than a second one from the same agent. If there is none, it returns agent itself.
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

// ProbeSucceeded records that an agent responded to a probe.
func (w *Watch) ProbeSucceeded(now time.Duration, serial uint64) {
	probe := w.probeQuery
	if probe == nil || probe.Serial != serial {
		return
	}
	w.probeQuery = nil
	w.markAgentResponded(now, probe.Agent)
	agent := &w.agents[probe.Agent]
	agent.listAllowed = agent.failedAt > 0
	w.shared.states[probe.Agent].aliveSinceFailure = agent.failedAt > 0
	if w.usesFallbackAgent() && probe.Agent == preferredAgent {
		agent.failedAt = 0
		w.cancel(w.listQuery)
		w.listQuery = nil
		w.currentAgent = preferredAgent
		w.skipWait = true
		w.nextListAt = 0
	}
}

// ResponseStarted records that the response to a list query has begun. The rest must arrive within ResponseTimeout.
func (w *Watch) ResponseStarted(now time.Duration, serial uint64) {
	if query := w.listQuery; query != nil && query.Serial == serial {
		query.deadline = now + w.config.ResponseTimeout
	}
}

// QueryFailed records that a query failed. The next Step returns the resulting actions.
func (w *Watch) QueryFailed(now time.Duration, serial uint64, fault Fault) {
	switch probe, query := w.probeQuery, w.listQuery; {
	case probe != nil && probe.Serial == serial:
		w.probeQuery = nil
		w.shared.states[probe.Agent].probeFailedAt = now
		w.markAgentFailed(now, probe.Agent, fault)
	case query != nil && query.Serial == serial:
		w.listQuery = nil
		w.confirmRequested = w.confirmRequested || query.confirms
		w.markAgentFailed(now, query.Agent, fault)
	}
}

// ListReceived records that a list was received in full and returns how to use it. ok is false if the query was
// canceled.
func (w *Watch) ListReceived(now time.Duration, serial uint64, meta ResponseMeta) (verdict Verdict, ok bool) {
	query := w.listQuery
	if query == nil || query.Serial != serial {
		return Verdict{}, false
	}
	w.listQuery = nil
	w.markAgentResponded(now, query.Agent)
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
		// Either this agent lags behind another one or the cluster was rebuilt; a consistent response shows which.
		w.indexRegressed = true
		return Verdict{Disposition: Discard, Reason: IndexRegressed}, true
	}
	verdict = w.newVerdict(query, meta)
	if verdict.Reason == IndexZero {
		w.nextListAt = now + RetryInterval // a query without an index does not block, so space the queries
	}
	w.lastPartial = verdict.Disposition == Partial
	if query.Mode == Consistent {
		w.indexRegressed = false
	}
	w.index = meta.Index
	return verdict, true
}

// newVerdict returns how to use a response that is recent enough.
func (w *Watch) newVerdict(query *pendingQuery, meta ResponseMeta) Verdict {
	verdict := Verdict{Confirms: query.confirms && meta.complete()}
	switch {
	case meta.Index == 0:
		verdict.Disposition, verdict.Reason = Partial, IndexZero
	case !meta.KnownLeader:
		verdict.Disposition, verdict.Reason = Partial, NoLeader
	case meta.Filtered:
		verdict.Disposition, verdict.Reason = Partial, Filtered
	case meta.Index == w.index && query.Index > 0 && !w.lastPartial:
		verdict.Disposition = Unchanged // the query blocked for its full time without a change
	}
	return verdict
}

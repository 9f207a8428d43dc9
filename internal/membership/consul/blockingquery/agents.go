package blockingquery

import "time"

// preferredAgent is the index of the first agent in the settings. Watches return to it once it responds to a probe.
const preferredAgent = 0

// SharedAgents holds what several watches of the same agents know about them.
type SharedAgents struct{ states []sharedState }

// sharedState holds what all watches know about one agent.
type sharedState struct {
	queriedAt         time.Duration // the last query, or a failure at least RetryInterval after it
	respondedAt       time.Duration
	listedAt          time.Duration // when it last returned a list
	probeFailedAt     time.Duration
	aliveSinceFailure bool // a probe has succeeded since the failure, so only list queries fail
}

// NewSharedAgents returns the state that watches of count agents share.
func NewSharedAgents(count int) *SharedAgents {
	return &SharedAgents{states: make([]sharedState, count)}
}

// agentState holds what one watch knows about an agent.
type agentState struct {
	failedAt    time.Duration // 0: not failed since it returned a list or was preferred again
	retryJitter time.Duration // added to RetryInterval
	listAllowed bool          // a probe has succeeded, so the list may be queried at once
	needsProbe  bool          // it must be probed before the next list query
}

// chooseAgent returns the agent to query and the earliest time to query it: the agent in use or, if that has failed,
// the one that may be queried soonest.
func (w *Watch) chooseAgent() (agent int, at time.Duration) {
	best := w.currentAgent
	if w.agents[best].failedAt > 0 {
		for i := range w.agents {
			candidate := (w.currentAgent + i) % len(w.agents)
			if w.retryAt(candidate) < w.retryAt(best) {
				best = candidate
			}
		}
	}
	return best, w.retryAt(best)
}

// retryAt returns the earliest time to query or probe an agent; 0 means at once.
func (w *Watch) retryAt(agent int) time.Duration {
	state, shared := &w.agents[agent], &w.shared.states[agent]
	if state.failedAt == 0 || state.listAllowed || shared.listedAt > state.failedAt {
		return 0
	}
	return shared.queriedAt + RetryInterval + state.retryJitter
}

// markAgentFailed records that an agent gave no usable response and cancels its list query. The next Step chooses an
// agent again.
func (w *Watch) markAgentFailed(now time.Duration, agent int, fault Fault) {
	state, shared := &w.agents[agent], &w.shared.states[agent]
	// The retry interval of about a second does not grow, because a change made during an outage must take effect
	// within a second of its end, and one small query per second is a negligible load.
	if now-shared.queriedAt >= RetryInterval { // a blocking query had been in flight for a while
		shared.queriedAt = now
	}
	state.failedAt = max(now, 1)
	state.listAllowed = false
	state.retryJitter = time.Duration(w.random.Int64N(int64(MaxRetryJitter)))
	if fault == TimedOut {
		shared.aliveSinceFailure = false
	}
	state.needsProbe = fault == TimedOut || fault == ConnectionFailed && !shared.aliveSinceFailure
	if query := w.listQuery; query != nil && query.Agent == agent {
		w.cancel(query)
		w.listQuery = nil
		w.confirmRequested = w.confirmRequested || query.confirms
	}
	if agent == preferredAgent {
		w.preferredRetryAt = now + w.config.PreferredRetryAfter
	}
	w.nextListAt = 0
	w.skipWait = true
	w.unavailable = w.unavailable || w.allFailed()
}

func (w *Watch) allFailed() bool {
	for i := range w.agents {
		if w.agents[i].failedAt == 0 {
			return false
		}
	}
	return true
}

// markAgentResponded records that an agent has responded.
func (w *Watch) markAgentResponded(now time.Duration, agent int) {
	w.shared.states[agent].respondedAt = now
	w.agents[agent].needsProbe = false
}

package blockingquery

import "time"

// preferredAgent is the agent that a watch goes back to, the first of the settings.
const preferredAgent = 0

// SharedAgents is what several watches of the same agents know of them together.
type SharedAgents struct{ states []sharedState }

// sharedState is what all watches know of one agent.
type sharedState struct {
	queriedAt         time.Duration // when it was last queried, or a query that was in flight for long failed
	respondedAt       time.Duration
	listedAt          time.Duration // when it last returned a list
	probeFailedAt     time.Duration
	aliveSinceFailure bool // a probe has succeeded since it failed: it is the list queries that fail
}

// NewSharedAgents makes what watches of so many agents share.
func NewSharedAgents(count int) *SharedAgents {
	return &SharedAgents{states: make([]sharedState, count)}
}

// agentState is what one watch knows of an agent.
type agentState struct {
	failedAt    time.Duration // 0: it has not failed since it last returned a list
	retryJitter time.Duration
	listAllowed bool // a probe succeeded: the list may be queried at once
	needsProbe  bool // it is to be probed before the next list query
}

// chooseAgent returns the agent to query and when that may be: the one in use, or where that one has failed the one
// that may be queried soonest.
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

// retryAt is when an agent may be queried or probed.
func (w *Watch) retryAt(agent int) time.Duration {
	state, shared := &w.agents[agent], &w.shared.states[agent]
	if state.failedAt == 0 || state.listAllowed || shared.listedAt > state.failedAt {
		return 0
	}
	return shared.queriedAt + RetryInterval + state.retryJitter
}

// failAgent notes that an agent gave no usable answer, cancels its list query, and has the next Step choose an agent.
func (w *Watch) failAgent(now time.Duration, agent int, fault Fault) {
	state, shared := &w.agents[agent], &w.shared.states[agent]
	// The pause is a second and does not grow: what changed meanwhile has to be in force a second after the outage,
	// and one small query a second is no load.
	if now-shared.queriedAt >= RetryInterval { // a blocking query was in flight for long
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

// agentResponded notes that an agent has answered.
func (w *Watch) agentResponded(now time.Duration, agent int) {
	w.shared.states[agent].respondedAt = now
	w.agents[agent].needsProbe = false
}

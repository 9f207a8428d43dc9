package bootstrap

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// pollReason is the reason for which this proxy should poll the list service.
type pollReason uint8

const (
	pollNotNeeded    pollReason = iota
	pollElected                 // it is among the pollers of its zone
	pollConfirmation            // a list lacks a quorum, and the service must confirm it
	pollIsolated                // no quorum of pollers is in view
)

// stepPolling starts or stops polling, and reports for a proxy that does not poll whether the service is silent.
func (m *Machine) stepPolling() {
	reason := m.pollReason()
	if reason != pollNotNeeded {
		m.pollNeededAt = m.now
	}
	switch {
	case !m.polling && reason != pollNotNeeded:
		m.startPolling(reason)
	case m.polling && m.now-m.pollNeededAt >= PollGracePeriod:
		m.polling = false
		m.addEffect(SetPolling{On: false})
		m.log(PollingStopped, noList, "")
	}
	if !m.polling {
		m.stepSourceStatus()
	}
}

func (m *Machine) startPolling(reason pollReason) {
	m.polling = true
	m.addEffect(SetPolling{On: true})
	if reason == pollIsolated && m.config.PeersEnabled {
		m.log(IsolatedPollingStarted, noList, "")
		return
	}
	m.log(PollingStarted, noList, "")
}

// pollReason returns whether and why this proxy should poll now. When no quorum of pollers is in view any more, it
// draws the time of the isolated poll.
func (m *Machine) pollReason() pollReason {
	if !m.config.PeersEnabled || len(m.members) == 0 {
		if m.now >= m.isolatedPollAt {
			return pollIsolated
		}
		return pollNotNeeded
	}
	m.startConfirmation()
	limit, pollersInView := m.pollerLimit()
	if m.isSettled() && m.rank() < limit {
		return pollElected
	}
	switch {
	case pollersInView:
		m.isolatedPollAt = 0
	case m.isolatedPollAt == 0:
		m.isolatedPollAt = m.now + m.jitter() // random, because the whole zone loses its pollers at the same time
	case m.now >= m.isolatedPollAt:
		return pollIsolated
	}
	if m.isConfirming() {
		return pollConfirmation
	}
	return pollNotNeeded
}

// isSettled reports whether rank is reliable: while less than half of the fleet is in view, too many proxies would rank
// themselves among the pollers. After the poll window of the fleet it reports true in any case.
func (m *Machine) isSettled() bool {
	if m.now < m.startedAt+SettleTime {
		return false
	}
	halfInView := 2*(len(m.members)+1) >= m.config.FleetSize
	return halfInView || m.now >= m.startedAt+m.fleetWindow()+MinPollWindow
}

// rank returns this proxy's place, from 0, in the rendezvous hash ranking of its zone.
func (m *Machine) rank() int {
	own := m.score(m.config.Name)
	rank := 0
	for _, peer := range m.zonePeers {
		if m.score(peer.Name) > own {
			rank++
		}
	}
	return rank
}

func (m *Machine) score(name string) uint64 { return xxhash.Sum64String(m.config.Zone + " " + name) }

// pollerLimit returns how many proxies of the zone should poll, and whether enough pollers of each list are in view.
// While the service is silent for the pollers, more proxies poll, since only the pollers' own connections to it may
// have failed.
func (m *Machine) pollerLimit() (limit int, pollersInView bool) {
	limit = m.config.Pollers
	pollersInView = len(m.lists) > 0
	for i := range m.lists {
		view := m.viewService(&m.lists[i])
		pollersInView = pollersInView && view.pollers >= m.neededPollers()
		if view.pollers == 0 {
			continue
		}
		silence := m.now - max(view.lastSeen, m.startedAt)
		limit = max(limit, m.config.Pollers*min(MaxPollerMultiplier, 1+int(silence/PollerIncreaseInterval)))
	}
	return limit, pollersInView
}

// neededPollers returns how many pollers must be in view, so that this proxy need not poll itself. A change that fewer
// than a quorum advertise is not in force here until the service has confirmed it, and confirmations are rare. Pollers
// that do not have this proxy in their views send it no heartbeats.
func (m *Machine) neededPollers() int {
	return max(1, min(Quorum, m.config.Pollers, len(m.zonePeers)))
}

// startConfirmation makes this proxy poll for ConfirmTimeout when a fetched list has lacked a quorum for too long.
func (m *Machine) startConfirmation() {
	for i := range m.lists {
		if !m.lists[i].hasUnconfirmed(m.now) || m.now-m.confirmStartedAt < MinConfirmInterval {
			continue
		}
		m.confirmStartedAt = m.now
		m.confirmUntil = m.now + ConfirmTimeout
	}
}

// hasUnconfirmed reports whether a candidate has lacked a quorum for longer than ConfirmDelay.
func (l *listState) hasUnconfirmed(now time.Duration) bool {
	return slices.ContainsFunc(l.candidates, func(c candidate) bool { return now-c.fetchedAt > ConfirmDelay })
}

// isConfirming reports whether this proxy is polling to confirm a list.
func (m *Machine) isConfirming() bool { return m.now < m.confirmUntil }

// stepSourceStatus reports for each list whether the service, as seen through the pollers, has become silent or answers
// again.
func (m *Machine) stepSourceStatus() {
	maxSilence := MaxMissedHeartbeats * m.heartbeatInterval()
	for i := range m.lists {
		l := &m.lists[i]
		if l.current == nil {
			continue
		}
		silent := m.now-m.viewService(l).lastSeen > maxSilence
		if silent != l.reportedSilent {
			l.reportedSilent = silent
			m.addEffect(SourceStatus{List: i, Silent: silent})
		}
	}
}

// fleetWindow returns the time over which the fleet spreads its isolated polls.
func (m *Machine) fleetWindow() time.Duration {
	return time.Duration(m.config.FleetSize) * PollWindowPerProxy
}

// jitter returns a random delay from the window of the fleet, or 0 if the fleet has only this proxy.
func (m *Machine) jitter() time.Duration {
	if m.config.FleetSize == 1 {
		return 0
	}
	return time.Duration(m.random.Int64N(int64(max(MinPollWindow, m.fleetWindow()))))
}

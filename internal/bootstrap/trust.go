package bootstrap

import (
	"slices"
	"time"

	"sloequay/internal/membership"
)

// candidate is a completely fetched list that no quorum of peers advertises yet.
type candidate struct {
	*endpointList
	fetchedAt time.Duration
	hintedAt  time.Duration // when it was put to use as a hint; 0: it was not
}

// stepCandidate drops a candidate that is no longer newer than the current list, accepts one that a quorum advertises,
// and uses one as a hint if no other list is known.
func (m *Machine) stepCandidate(list int, l *listState) {
	c := l.candidate
	switch {
	case c == nil:
	case !l.isNewer(c.ListVersion):
		l.candidate = nil
	case l.countAdvertisers(c.ListVersion) >= Quorum:
		m.accept(list, l)
	case l.current == nil && c.hintedAt == 0:
		m.useHint(list, c)
	}
}

// accept puts the candidate in force.
func (m *Machine) accept(list int, l *listState) {
	accepted := l.candidate.endpointList
	m.install(l, accepted)
	l.candidate = nil
	l.reportedSilent = false
	m.addEffect(Adopt{List: list, Version: accepted.Version, Endpoints: accepted.endpoints})
	m.log(ListAccepted, list, "")
}

// useHint publishes the endpoints of a candidate that are up as a hint. A candidate without any would serve no request
// and is not used.
func (m *Machine) useHint(list int, c *candidate) {
	var up []membership.Endpoint
	for _, endpoint := range c.endpoints {
		if endpoint.State == membership.Up {
			up = append(up, endpoint)
		}
	}
	if len(up) == 0 {
		return
	}
	c.hintedAt = m.now
	m.addEffect(Adopt{List: list, Version: c.Version, Endpoints: up, Hint: true})
	m.log(HintUsed, list, "")
}

// install makes a list the current one, and keeps the previous one in the history for deltas.
func (m *Machine) install(l *listState, installed *endpointList) {
	if l.current != nil && l.current.Sum != installed.Sum {
		l.history = append(l.history, l.current)
		if len(l.history) > m.config.MaxHistory {
			l.history = slices.Clone(l.history[1:])
		}
	}
	l.current = installed
	if l.fetch != nil && !l.isNewer(l.fetch.ListVersion) {
		l.fetch = nil
	}
	clear(m.servedPeers)
}

// isNewer reports whether a list may replace the current one. It is not compared with the candidate, so that a
// candidate does not block others, whatever version it claims.
func (l *listState) isNewer(version ListVersion) bool {
	return l.current == nil || version.Version > l.current.Version
}

// hasContent reports whether the current list or the candidate has this checksum.
func (l *listState) hasContent(sum uint64) bool {
	return l.current != nil && sum == l.current.Sum || l.candidate != nil && sum == l.candidate.Sum
}

// countAdvertisers returns the number of peers that advertise this version.
func (l *listState) countAdvertisers(version ListVersion) int {
	count := 0
	for i := range l.advertisements {
		if l.advertisements[i].ListVersion == version {
			count++
		}
	}
	return count
}

// refuteAdvertisements distrusts the peers whose advertisements the service's list contradicts, and drops a candidate
// that this list confirms or refutes.
func (m *Machine) refuteAdvertisements(list int, l *listState) {
	if l.candidate != nil && l.candidate.Sum == l.current.Sum {
		l.candidate = nil
	}
	// distrust shortens l.advertisements in place.
	for _, advertisement := range slices.Clone(l.advertisements) {
		if m.isRefuted(advertisement.ListVersion, l.current.ListVersion) {
			m.distrust(list, advertisement.peer, PeerRefuted)
		}
	}
	if m.isConfirming() && l.candidate != nil && l.candidate.Version > l.current.Version {
		l.candidate = nil
	}
}

// isRefuted reports whether the service's list contradicts an advertised one: because the same version has other
// content, or because the service has not reached the advertised version while this proxy polls to confirm it. At other
// times a later version may be genuine, since the list may have changed after the service sent it.
func (m *Machine) isRefuted(advertised, current ListVersion) bool {
	if advertised.Version == current.Version {
		return advertised.Sum != current.Sum
	}
	return advertised.Version > current.Version && m.isConfirming()
}

// distrust discards what a peer has sent, and makes this proxy ignore its messages for DistrustPeriod.
func (m *Machine) distrust(list int, peer string, reason Event) {
	m.distrustedUntil[peer] = m.now + DistrustPeriod
	m.log(reason, list, peer)
	for i := range m.lists {
		l := &m.lists[i]
		l.forget(peer)
		if l.fetch != nil && l.fetch.peer == peer {
			l.fetch = nil
		}
	}
}

// isDistrusted reports whether the messages of a peer are ignored at present.
func (m *Machine) isDistrusted(peer string) bool { return m.distrustedUntil[peer] > m.now }

// stepDistrust removes the entries of peers whose DistrustPeriod is over.
func (m *Machine) stepDistrust() {
	for peer, until := range m.distrustedUntil {
		if until <= m.now {
			delete(m.distrustedUntil, peer)
		}
	}
}

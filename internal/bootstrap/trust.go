package bootstrap

import (
	"slices"
)

// stepTrust accepts a candidate that a quorum of peers advertises and drops those that are no longer newer than the
// current list. While there is no current list, it uses the endpoints that hint allows.
func (m *Machine) stepTrust(list int, l *listState) {
	if len(l.candidates) == 0 {
		return
	}
	l.dropOldCandidates()
	if accepted := l.latestWithQuorum(); accepted != nil {
		m.accept(list, l, accepted)
	}
	if l.current == nil {
		m.stepHint(list, l)
	}
}

// latestWithQuorum returns the latest candidate that a quorum of peers advertises, or nil.
func (l *listState) latestWithQuorum() *endpointList {
	var latest *endpointList
	for i := range l.candidates {
		candidate := &l.candidates[i]
		// Peers of an earlier version advertise the same content without its hash. The two are not counted together: a
		// quorum with only one hash would bind the content by the word of one peer.
		withoutHash := candidate.ListVersion
		withoutHash.Hash = ""
		if max(l.countAdvertisers(candidate.ListVersion), l.countAdvertisers(withoutHash)) < Quorum {
			continue
		}
		if latest == nil || candidate.Version > latest.Version {
			latest = candidate.endpointList
		}
	}
	return latest
}

// accept puts a candidate in force.
func (m *Machine) accept(list int, l *listState, accepted *endpointList) {
	m.install(l, accepted)
	l.dropOldCandidates()
	l.reportedSilent = false
	m.addEffect(Adopt{List: list, Version: accepted.Version, Endpoints: accepted.endpoints})
	m.log(ListAccepted, list, "")
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
	l.hint = hint{}
	if l.fetch != nil && !l.isNewer(l.fetch.ListVersion) {
		l.fetch = nil
	}
	clear(m.servedPeers)
}

// isNewer reports whether a list may replace the current one. It is not compared with the candidates, so that a
// candidate does not block others, whatever version it claims.
func (l *listState) isNewer(version ListVersion) bool {
	return l.current == nil || version.Version > l.current.Version
}

// hasContent reports whether the current list or a candidate has the content of this version.
func (l *listState) hasContent(version ListVersion) bool {
	if l.current != nil && l.current.matches(version) {
		return true
	}
	return slices.ContainsFunc(l.candidates, func(c candidate) bool { return c.matches(version) })
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

// refuteAdvertisements distrusts the peers whose advertisements the service's list contradicts, and drops the
// candidates that this list confirms or refutes.
func (m *Machine) refuteAdvertisements(list int, l *listState) {
	l.candidates = slices.DeleteFunc(l.candidates, func(c candidate) bool { return c.Sum == l.current.Sum })
	// distrust shortens l.advertisements in place.
	for _, advertisement := range slices.Clone(l.advertisements) {
		if m.isRefuted(advertisement.ListVersion, l.current.ListVersion) {
			m.distrust(list, advertisement.peer, PeerRefuted)
		}
	}
	if m.isConfirming() {
		l.candidates = nil
	}
}

// isRefuted reports whether the service's list contradicts an advertised one: because the same version has other
// content, or because the service has not reached the advertised version while this proxy polls to confirm it. At other
// times a later version may be genuine, since the list may have changed after the service sent it.
func (m *Machine) isRefuted(advertised, current ListVersion) bool {
	if advertised.Version == current.Version {
		isOtherHash := advertised.Hash != "" && advertised.Hash != current.Hash
		return advertised.Sum != current.Sum || isOtherHash
	}
	return advertised.Version > current.Version && m.isConfirming()
}

// distrust discards what a peer has sent, and makes this proxy ignore its messages for DistrustPeriod.
func (m *Machine) distrust(list int, peer string, reason Event) {
	m.distrustedUntil[peer] = m.now + DistrustPeriod
	m.log(reason, list, peer)
	for i := range m.lists {
		l := &m.lists[i]
		l.forgetAdvertisement(peer)
		l.dropCandidate(peer)
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

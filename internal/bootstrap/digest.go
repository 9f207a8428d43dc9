package bootstrap

import (
	"slices"
	"time"
)

// peerAdvertisement is the latest advertisement of a peer for a list.
type peerAdvertisement struct {
	Advertisement
	peer        string
	receivedAt  time.Duration
	requestedAt time.Duration // when the peer was last sent a request for this list; 0: never
}

// serviceView is what this proxy and the pollers know about the list service, for one list.
type serviceView struct {
	lastSeen time.Duration // when this proxy or a quorum of pollers last saw the service; 0: never
	pollers  int           // number of peers whose last heartbeat is recent
}

// viewService combines this proxy's own contact to the service with what the pollers advertise.
func (m *Machine) viewService(list *listState) serviceView {
	view := serviceView{lastSeen: max(list.quorumSeenAt, list.serviceSeenAt)}
	for i := range list.advertisements {
		if m.isRecentHeartbeat(&list.advertisements[i]) {
			view.pollers++
		}
	}
	return view
}

// isRecentHeartbeat reports whether an advertisement comes from a poller and is at most MaxMissedHeartbeats intervals
// old.
func (m *Machine) isRecentHeartbeat(advertisement *peerAdvertisement) bool {
	maxAge := MaxMissedHeartbeats * m.heartbeatInterval()
	return advertisement.isFromPoller() && m.now-advertisement.receivedAt <= maxAge
}

// updateQuorumSeenAt records when a quorum of pollers with the current list last saw the service. The time must be
// kept, since the pollers stop advertising the current version as soon as they have a later one, which this proxy has
// yet to fetch.
func (m *Machine) updateQuorumSeenAt(list *listState) {
	var newest [Quorum]time.Duration // in descending order
	for i := range list.advertisements {
		advertisement := &list.advertisements[i]
		if !m.isRecentHeartbeat(advertisement) || list.current == nil || advertisement.Sum != list.current.Sum {
			continue
		}
		seenAt := advertisement.receivedAt - advertisement.LastSeen
		for rank := range newest {
			if seenAt > newest[rank] {
				newest[rank], seenAt = seenAt, newest[rank]
			}
		}
	}
	list.quorumSeenAt = max(list.quorumSeenAt, newest[Quorum-1])
}

// heartbeatInterval returns the time between two heartbeats of a poller.
func (m *Machine) heartbeatInterval() time.Duration {
	return max(HeartbeatInterval, time.Duration(len(m.zonePeers))*time.Second/MaxHeartbeatsPerSecond)
}

// stepHeartbeat sends a heartbeat when it is due.
func (m *Machine) stepHeartbeat() {
	if !m.polling || !m.config.PeersEnabled || m.now < m.nextHeartbeat {
		return
	}
	m.nextHeartbeat = m.now + m.heartbeatInterval()
	m.sendHeartbeats()
}

// sendHeartbeats sends the digest to all peers in the zone.
func (m *Machine) sendHeartbeats() {
	digest := m.Digest()
	for _, peer := range m.zonePeers {
		m.send(peer.Name, Message{Digest: digest})
	}
}

// stepInquiry sends the digest to a few members of any zone while a list is missing, so that they answer with theirs:
// the service may be unreachable, and the whole zone may have just started and have no list either.
func (m *Machine) stepInquiry() {
	if !m.config.PeersEnabled || len(m.memberNames) == 0 || m.now < m.nextInquiry || !m.lacksList() {
		return
	}
	m.nextInquiry = m.now + HeartbeatInterval/2
	digest := m.Digest()
	for _, i := range m.random.Perm(len(m.memberNames))[:min(InquiryFanout, len(m.memberNames))] {
		m.send(m.memberNames[i], Message{Digest: digest})
	}
}

func (m *Machine) lacksList() bool {
	return slices.ContainsFunc(m.lists, func(l listState) bool { return l.current == nil })
}

// receiveDigest handles a peer's advertisements, and sends this proxy's digest if the peer lacks a list that this proxy
// has.
func (m *Machine) receiveDigest(peer string, digest []Advertisement) {
	peerLacksList := false
	for _, advertisement := range digest {
		l := m.list(advertisement.List)
		if l == nil {
			continue
		}
		m.receiveAdvertisement(l, peer, advertisement)
		if advertisement.Sum == 0 && l.current != nil {
			peerLacksList = true
		}
	}
	if peerLacksList && m.replyLimiter.allow(m.now, MaxRepliesPerWindow) {
		m.send(peer, Message{Digest: m.Digest()})
	}
}

// receiveAdvertisement records which version a peer has, and starts a fetch if one is due.
func (m *Machine) receiveAdvertisement(l *listState, peer string, advertisement Advertisement) {
	received := peerAdvertisement{Advertisement: advertisement, peer: peer, receivedAt: m.now}
	if previous := l.advertisementOf(peer); previous != nil {
		received.requestedAt = previous.requestedAt
	}
	l.forgetAdvertisement(peer)
	l.advertisements = append(l.advertisements, received)
	if len(l.advertisements) > m.config.MaxAdvertisements {
		l.advertisements = slices.Clone(l.advertisements[1:])
	}
	if l.isMissing(advertisement.ListVersion) {
		m.fetchMissing(l)
	}
}

// advertisementOf returns the advertisement of a peer, or nil.
func (l *listState) advertisementOf(peer string) *peerAdvertisement {
	for i := range l.advertisements {
		if l.advertisements[i].peer == peer {
			return &l.advertisements[i]
		}
	}
	return nil
}

// isMissing reports whether a version may replace the current list and this proxy does not have its content.
func (l *listState) isMissing(version ListVersion) bool {
	return version.Sum != 0 && !l.hasContent(version) && l.isNewer(version)
}

// forgetAdvertisement drops the advertisement of a peer.
func (l *listState) forgetAdvertisement(peer string) {
	l.advertisements = slices.DeleteFunc(l.advertisements, func(advertisement peerAdvertisement) bool {
		return advertisement.peer == peer
	})
}

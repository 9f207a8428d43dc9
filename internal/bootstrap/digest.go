package bootstrap

import (
	"slices"
	"time"
)

// peerAdvertisement is the last advertisement of a peer for a list.
type peerAdvertisement struct {
	Advertisement
	peer       string
	receivedAt time.Duration
}

// serviceView is what is known of the list service for one list.
type serviceView struct {
	lastSeen time.Duration // by this proxy, or by a quorum of its pollers; 0: never
	pollers  int           // peers whose heartbeats come in time
}

// viewService combines this proxy's own contact with what the pollers advertise.
func (m *Machine) viewService(list *listState) serviceView {
	view := serviceView{lastSeen: max(list.quorumSeenAt, list.serviceSeenAt)}
	for i := range list.advertisements {
		if m.isHeartbeat(&list.advertisements[i]) {
			view.pollers++
		}
	}
	return view
}

// isHeartbeat reports whether an advertisement is from a poller and in time.
func (m *Machine) isHeartbeat(advertisement *peerAdvertisement) bool {
	maxAge := MaxMissedHeartbeats * m.heartbeatInterval()
	return advertisement.isFromPoller() && m.now-advertisement.receivedAt <= maxAge
}

// stepServiceSeen remembers when a quorum of pollers saw the service with the list that is in force here. It has to be
// remembered: once they have a later version, nobody advertises this one until its content is here.
func (m *Machine) stepServiceSeen(list *listState) {
	var newest [Quorum]time.Duration // descending
	for i := range list.advertisements {
		advertisement := &list.advertisements[i]
		if !m.isHeartbeat(advertisement) || list.current == nil || advertisement.Sum != list.current.Sum {
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

// heartbeatInterval is the time between two heartbeats of a poller.
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

// sendHeartbeats sends the digest to all peers of the zone.
func (m *Machine) sendHeartbeats() {
	digest := m.Digest()
	for _, peer := range m.zonePeers {
		m.send(peer.Name, Message{Digest: digest})
	}
}

// stepInquiry sends the digest to a few members of any zone while a list is missing, so that they answer with
// theirs: the service may be unreachable, and all of the zone may have started together.
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

// receiveDigest takes a peer's advertisements, and answers a peer that lacks a list of this proxy's.
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
	if peerLacksList && m.replies.allow(m.now, MaxRepliesPerWindow) {
		m.send(peer, Message{Digest: m.Digest()})
	}
}

// receiveAdvertisement remembers which version a peer has, and fetches one that may replace the current one.
func (m *Machine) receiveAdvertisement(l *listState, peer string, advertisement Advertisement) {
	l.forget(peer)
	l.advertisements = append(l.advertisements, peerAdvertisement{advertisement, peer, m.now})
	if len(l.advertisements) > m.config.MaxAdvertisements {
		l.advertisements = slices.Clone(l.advertisements[1:])
	}
	if advertisement.Sum == 0 || l.hasContent(advertisement.Sum) || !l.isNewer(advertisement.ListVersion) {
		return
	}
	if l.fetch == nil || l.fetch.deadline <= m.now {
		m.startFetch(l, advertisement.ListVersion, peer)
	}
}

// forget drops the advertisement of a peer.
func (l *listState) forget(peer string) {
	l.advertisements = slices.DeleteFunc(l.advertisements, func(advertisement peerAdvertisement) bool {
		return advertisement.peer == peer
	})
}

package bootstrap

import (
	"slices"
)

// serveFetch answers a fetch with a delta if the peer's list is in the history, else with the complete list in parts.
// It answers with Busy if the requested version is not the current one, or if too many complete lists were served.
func (m *Machine) serveFetch(peer string, request *Fetch) {
	l := m.list(request.List)
	if l == nil || l.current == nil || l.current.Sum != request.Sum {
		m.send(peer, Message{Busy: &Busy{ListVersion: request.ListVersion}})
		return
	}
	if base := l.base(request.HaveSum); base != nil {
		m.send(peer, Message{Delta: newDelta(base, l.current)})
		return
	}
	if !m.serveLimiter.allow(m.now, MaxServedPerWindow) {
		next := m.alternativePeer(request.Sum, peer)
		m.send(peer, Message{Busy: &Busy{ListVersion: request.ListVersion, Peer: next}})
		return
	}
	m.rememberServed(request.Sum, peer)
	m.sendParts(peer, l.current)
}

// base returns the earlier version with this checksum, from which a delta can start, or nil.
func (l *listState) base(sum uint64) *endpointList {
	if sum == 0 {
		return nil
	}
	for _, earlier := range l.history {
		if earlier.Sum == sum {
			return earlier
		}
	}
	return nil
}

// alternativePeer returns a random peer of those that were served the list, so that the content spreads as a tree. It
// returns "" if there is none, or if the requester was drawn.
func (m *Machine) alternativePeer(sum uint64, requester string) string {
	served := m.servedPeers[sum]
	if len(served) == 0 {
		return ""
	}
	next := served[m.random.IntN(len(served))]
	if next == requester {
		return ""
	}
	return next
}

func (m *Machine) rememberServed(sum uint64, peer string) {
	served := m.servedPeers[sum]
	if len(served) < m.config.MaxAdvertisements && !slices.Contains(served, peer) {
		m.servedPeers[sum] = append(served, peer)
	}
}

// sendParts sends a complete list in parts. An empty list has one part.
func (m *Machine) sendParts(peer string, sent *endpointList) {
	total := max(1, (len(sent.endpoints)+EndpointsPerPart-1)/EndpointsPerPart)
	for number := range total {
		first := min(len(sent.endpoints), number*EndpointsPerPart)
		end := min(len(sent.endpoints), first+EndpointsPerPart)
		m.send(peer, Message{Part: &Part{
			ListVersion: sent.ListVersion,
			Number:      number,
			Total:       total,
			Endpoints:   sent.endpoints[first:end],
		}})
	}
}

// newDelta returns the changes from base to target, whose endpoints are in the same order.
func newDelta(base, target *endpointList) *Delta {
	delta := &Delta{ListVersion: target.ListVersion, BaseSum: base.Sum}
	rest := base.endpoints
	for _, endpoint := range target.endpoints {
		for len(rest) > 0 && rest[0].ID < endpoint.ID {
			delta.Removed = append(delta.Removed, rest[0].ID)
			rest = rest[1:]
		}
		unchanged := false
		if len(rest) > 0 && rest[0].ID == endpoint.ID {
			unchanged = rest[0] == endpoint
			rest = rest[1:]
		}
		if !unchanged {
			delta.Endpoints = append(delta.Endpoints, endpoint)
		}
	}
	for _, removed := range rest {
		delta.Removed = append(delta.Removed, removed.ID)
	}
	return delta
}

package bootstrap

import (
	"slices"
	"time"

	"sloequay/internal/membership"
)

// fetchState is the state of a fetch of one list.
type fetchState struct {
	ListVersion
	peer           string // that the last request went to
	parts          [][]membership.Endpoint
	receivedParts  int           // number of parts received
	deadline       time.Duration // of the last request
	endsAt         time.Duration // when the fetch ends, whatever arrives
	attempts       int
	requestedPeers map[string]bool // names of peers that were sent a request
}

// fetchMissing starts to fetch a missing list that a peer advertises. A list that a quorum advertises ends a fetch of
// one that no quorum advertises.
func (m *Machine) fetchMissing(list *listState) {
	next, hasQuorum := list.nextMissing()
	if next == nil {
		return
	}
	isIdle := list.fetch == nil || list.fetch.deadline <= m.now
	mayReplace := hasQuorum && !isIdle && list.countAdvertisers(list.fetch.ListVersion) < Quorum
	if isIdle || mayReplace {
		m.startFetch(list, next.ListVersion, next.peer)
	}
}

// nextMissing returns the advertisement of the missing list to fetch next, or nil, and whether a quorum advertises it.
// Lists with a quorum come first. Otherwise the peers take turns, so that one that advertises often, or never completes
// what it sends, does not hold back the lists of the others.
func (l *listState) nextMissing() (next *peerAdvertisement, nextHasQuorum bool) {
	for i := range l.advertisements {
		advertisement := &l.advertisements[i]
		if !l.isMissing(advertisement.ListVersion) {
			continue
		}
		hasQuorum := l.countAdvertisers(advertisement.ListVersion) >= Quorum
		isPreferred := hasQuorum && !nextHasQuorum
		isInTurn := hasQuorum == nextHasQuorum && (next == nil || advertisement.requestedAt < next.requestedAt)
		if isPreferred || isInTurn {
			next = advertisement
			nextHasQuorum = hasQuorum
		}
	}
	return next, nextHasQuorum
}

// startFetch requests a list from a peer, as the first attempt of a fetch or as a further one.
func (m *Machine) startFetch(l *listState, version ListVersion, peer string) {
	if l.fetch == nil || l.fetch.ListVersion != version {
		l.fetch = &fetchState{
			ListVersion:    version,
			requestedPeers: map[string]bool{},
			endsAt:         m.now + MaxFetchDuration,
		}
	}
	f := l.fetch
	if advertisement := l.advertisementOf(peer); advertisement != nil {
		advertisement.requestedAt = max(1, m.now)
	}
	f.peer = peer
	f.deadline = m.now + FetchTimeout
	f.parts = nil
	f.receivedParts = 0
	f.attempts++
	f.requestedPeers[peer] = true
	request := &Fetch{ListVersion: version}
	if l.current != nil {
		request.HaveSum = l.current.Sum
	}
	m.send(peer, Message{Fetch: request})
}

// stepFetch retries a fetch whose deadline has passed, if possible with another peer. After a fetch has failed, the
// next digest that advertises the list starts a new one.
func (m *Machine) stepFetch(l *listState) {
	f := l.fetch
	if f == nil || m.now < f.deadline {
		return
	}
	next := l.nextPeer(f)
	if next == "" || f.attempts >= MaxFetchAttempts || m.now >= f.endsAt {
		l.fetch = nil
		return
	}
	m.startFetch(l, f.ListVersion, next)
}

// nextPeer returns a peer that advertises the list being fetched, if possible one that was sent no request yet. It
// returns "" if there is none.
func (l *listState) nextPeer(f *fetchState) string {
	next := ""
	for i := range l.advertisements {
		advertisement := &l.advertisements[i]
		if advertisement.ListVersion != f.ListVersion {
			continue
		}
		if next == "" || f.requestedPeers[next] && !f.requestedPeers[advertisement.peer] {
			next = advertisement.peer
		}
	}
	return next
}

// awaits reports whether this version of the list is being fetched from a peer.
func (l *listState) awaits(version ListVersion, peer string) bool {
	return l != nil && l.fetch != nil && l.fetch.ListVersion == version && l.fetch.peer == peer
}

// receivePart handles a part of the list that is being fetched.
func (m *Machine) receivePart(peer string, part *Part) {
	list := m.list(part.List)
	if !list.awaits(part.ListVersion, peer) {
		return
	}
	f := list.fetch
	if !f.fits(part, m.config.MaxEndpoints) {
		m.distrust(part.List, peer, ChecksumMismatch)
		return
	}
	if f.parts == nil {
		f.parts = make([][]membership.Endpoint, part.Total)
	}
	if f.parts[part.Number] == nil {
		f.parts[part.Number] = append([]membership.Endpoint{}, part.Endpoints...)
		f.receivedParts++
		f.deadline = min(m.now+FetchTimeout, f.endsAt)
	}
	if f.receivedParts == part.Total {
		m.completeFetch(list, peer, slices.Concat(f.parts...))
	}
}

// fits reports whether a part is within the bounds and consistent with the parts received before.
func (f *fetchState) fits(part *Part, maxEndpoints int) bool {
	if part.Total < 1 || part.Total > maxEndpoints/EndpointsPerPart+1 {
		return false
	}
	if part.Number < 0 || part.Number >= part.Total || len(part.Endpoints) > EndpointsPerPart {
		return false
	}
	return f.parts == nil || len(f.parts) == part.Total
}

// receiveDelta applies a delta to the current list. A delta with another base or with too many endpoints is ignored.
func (m *Machine) receiveDelta(peer string, delta *Delta) {
	list := m.list(delta.List)
	if !list.awaits(delta.ListVersion, peer) || list.current == nil || list.current.Sum != delta.BaseSum {
		return
	}
	if len(delta.Endpoints) > m.config.MaxEndpoints {
		return
	}
	replaced := make(map[string]bool, len(delta.Removed)+len(delta.Endpoints))
	for _, id := range delta.Removed {
		replaced[id] = true
	}
	for _, endpoint := range delta.Endpoints {
		replaced[endpoint.ID] = true
	}
	endpoints := slices.Clone(delta.Endpoints)
	for _, endpoint := range list.current.endpoints {
		if !replaced[endpoint.ID] {
			endpoints = append(endpoints, endpoint)
		}
	}
	m.completeFetch(list, peer, endpoints)
}

// completeFetch ends a fetch. It makes the content a candidate, or distrusts the peer if its checksum or hash is wrong.
func (m *Machine) completeFetch(l *listState, peer string, endpoints []membership.Endpoint) {
	want := l.fetch.ListVersion
	l.fetch = nil
	fetched := newEndpointList(want.List, want.Version, endpoints)
	if !fetched.matches(want) {
		m.distrust(want.List, peer, ChecksumMismatch)
		return
	}
	l.addCandidate(candidate{endpointList: fetched, peer: peer, fetchedAt: m.now})
}

// receiveBusy redirects the fetch to the peer named in the message, or schedules a retry after a backoff with jitter.
func (m *Machine) receiveBusy(peer string, busy *Busy) {
	l := m.list(busy.List)
	if l == nil || l.fetch == nil || l.fetch.Sum != busy.Sum || l.fetch.peer != peer {
		return
	}
	if m.mayRedirect(l.fetch, busy.Peer) {
		m.startFetch(l, l.fetch.ListVersion, busy.Peer)
		return
	}
	l.fetch.deadline = m.now + time.Duration(m.random.Int64N(int64(FetchTimeout)))
}

// mayRedirect reports whether a fetch may be redirected to a peer that another peer named.
func (m *Machine) mayRedirect(f *fetchState, peer string) bool {
	if peer == "" || !m.members[peer] || m.isDistrusted(peer) {
		return false
	}
	return !f.requestedPeers[peer] && f.attempts < MaxFetchAttempts
}

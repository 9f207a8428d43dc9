// Package bootstrap decides how one proxy of a fleet gets its endpoint lists, so that only a few proxies poll the list
// service: which proxies poll and when, what they send to each other, and when a list from peers is trusted. It does
// no I/O and reads no clock; the caller reports events with their time and carries out the effects.
//
// Some proxies of each zone poll the service. Rendezvous hashing chooses Config.Pollers among those that are alive,
// and more while the service is silent. Pollers send heartbeats to their zone: digests that advertise the version and
// checksum of each list, and when the service was last seen. Other proxies fetch the lists that they lack from a peer
// that advertises them, as a delta or in parts. A proxy that sees no poller, or has no peers, polls by itself after a
// random delay from a window that grows with the fleet (full jitter, as in Brooker's "Exponential Backoff And
// Jitter"), so that a fleet that starts all at once calls the service at a rate that does not depend on its size.
//
// A list is trusted if it comes from the service, or if a quorum of peers advertises its version and checksum and
// its content, once fetched, has that checksum. Until then a list is a candidate. While no list is trusted, the
// candidates give hints, by the rules in hint.go: one peer's endpoints are used on its word alone only if no other peer
// had sent a different list when the first of them was used, and no peer's word removes an endpoint. A peer whose
// advertisement the service contradicts is distrusted for DistrustPeriod.
//
// The states of a list and the events that change them:
//
//	state       event                                      next state
//	unknown     advertisement of any version               fetching
//	fetching    part, delta                                fetching; complete: candidate
//	fetching    checksum mismatch, attempts used up        the state before the fetch
//	fetching    timeout, busy                              fetching, if possible from another peer
//	candidate   quorum of advertisements                   current
//	candidate   ConfirmDelay without a quorum              candidate; this proxy polls for ConfirmTimeout
//	candidate   HintDelay, no current list, one peer       hint; the proxy is ready
//	candidate   HintDelay, no current list, several peers  hint of the endpoints on which a quorum agrees
//	hint        list of another peer                       hint, to which only a quorum adds endpoints
//	any         list from the service                      current
//	current     advertisement of a later version           fetching, beside the current list
//
// Invariants:
//   - the version of the current list decreases only when the service itself sends an earlier one;
//   - a hint removes no endpoint, and adds only endpoints that are up;
//   - without a quorum, the endpoints of at most one peer are used as hints for a list, however many peers lie;
//   - messages from proxies that are not members, or that are distrusted, change nothing.
//
// Bounds:
//   - Config.MaxAdvertisements limits the advertisements kept for a list, MaxCandidates the candidates,
//     Config.MaxEndpoints the parts and the delta of a fetch and the endpoints of hints, Config.MaxHistory the earlier
//     versions kept for deltas, and MaxServedPerWindow the complete lists served in each ServeWindow;
//   - at most Config.Pollers*MaxPollerMultiplier proxies of a zone poll, not counting those that are isolated or that
//     confirm a list;
//   - a request of a fetch times out after FetchTimeout without a new part, and a fetch ends after MaxFetchAttempts
//     requests or MaxFetchDuration.
package bootstrap

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"sloequay/internal/membership"
)

// Peer identifies a proxy that is alive.
type Peer struct{ Name, Zone string }

// Machine holds the state of one proxy. Its methods take the present time; a time before that of an earlier call is
// replaced by the time of that call.
type Machine struct {
	config    Config
	now       time.Duration
	startedAt time.Duration
	random    *rand.Rand
	effects   []Effect

	zonePeers   []Peer          // of this proxy's zone, sorted by name
	members     map[string]bool // names of the peers of all zones
	memberNames []string        // the same names, sorted
	peersSeen   bool            // PeersChanged has reported at least one proxy

	lists []listState

	polling          bool
	pollNeededAt     time.Duration // when this proxy last had a reason to poll
	isolatedPollAt   time.Duration // when to poll for lack of a poller; 0: a poller is in view
	confirmUntil     time.Duration
	confirmStartedAt time.Duration
	nextHeartbeat    time.Duration
	nextInquiry      time.Duration

	distrustedUntil map[string]time.Duration // by name of the peer
	servedPeers     map[uint64][]string      // names of peers that were served the current list, by its checksum
	serveLimiter    rateLimiter              // limits the complete lists that are served
	replyLimiter    rateLimiter              // limits the digests that answer proxies without a list
}

// listState holds what this proxy knows about one list.
type listState struct {
	current        *endpointList       // the list in force; nil: none yet
	history        []*endpointList     // earlier versions, newest last
	advertisements []peerAdvertisement // newest last, one for each peer
	candidates     []candidate         // latest last, one for each peer
	hint           hint
	fetch          *fetchState   // nil: no fetch is in progress
	reportedSilent bool          // the service was last reported as silent
	serviceSeenAt  time.Duration // when this proxy last saw the service
	quorumSeenAt   time.Duration // when a quorum of pollers with the current list last saw it
}

// New returns the machine of a proxy that starts now.
func New(now time.Duration, config Config) *Machine {
	config = config.WithDefaults()
	m := &Machine{
		config:           config,
		now:              now,
		startedAt:        now,
		random:           rand.New(rand.NewPCG(config.Seed, config.Incarnation)),
		members:          map[string]bool{},
		lists:            make([]listState, config.ListCount),
		confirmStartedAt: now - MinConfirmInterval,
		nextInquiry:      now + SettleTime,
		distrustedUntil:  map[string]time.Duration{},
		servedPeers:      map[uint64][]string{},
	}
	m.isolatedPollAt = now + m.jitter()
	m.nextHeartbeat = now + time.Duration(m.random.Int64N(int64(HeartbeatInterval)))
	return m
}

// PeersChanged handles a change of the proxies that are alive. They come in any order and may include this proxy.
func (m *Machine) PeersChanged(now time.Duration, peers []Peer) []Effect {
	m.advance(now)
	if !m.peersSeen && len(peers) > 0 && m.config.PeersEnabled {
		m.peersSeen = true
		// The peers may only just be starting to poll, so wait before the lack of a poller counts as isolation.
		m.isolatedPollAt = max(m.isolatedPollAt, m.now+SettleTime+MinPollWindow+m.jitter())
	}
	m.setMembers(peers)
	return m.step()
}

// ListFromService handles a complete list that this proxy received from the service.
func (m *Machine) ListFromService(
	now time.Duration, list int, version uint64, endpoints []membership.Endpoint,
) []Effect {
	m.advance(now)
	l := &m.lists[list]
	received := newEndpointList(list, version, endpoints)
	changed := l.current == nil || l.current.ListVersion != received.ListVersion
	m.install(l, received)
	l.serviceSeenAt = m.now
	l.reportedSilent = false
	m.refuteAdvertisements(list, l)
	if changed && m.polling {
		m.sendHeartbeats()
	}
	return m.step()
}

// ServiceSeen handles an answer of the service to this proxy that has no new list.
func (m *Machine) ServiceSeen(now time.Duration, list int) []Effect {
	m.advance(now)
	m.lists[list].serviceSeenAt = m.now
	return m.step()
}

// MessageReceived handles a message from a peer.
func (m *Machine) MessageReceived(now time.Duration, message Message) []Effect {
	m.advance(now)
	if !m.members[message.From] || m.isDistrusted(message.From) {
		return nil
	}
	switch {
	case message.Digest != nil:
		m.receiveDigest(message.From, message.Digest)
	case message.Fetch != nil:
		m.serveFetch(message.From, message.Fetch)
	case message.Part != nil:
		m.receivePart(message.From, message.Part)
	case message.Delta != nil:
		m.receiveDelta(message.From, message.Delta)
	case message.Busy != nil:
		m.receiveBusy(message.From, message.Busy)
	}
	return m.step()
}

// Step performs the work that is due by now.
func (m *Machine) Step(now time.Duration) []Effect {
	m.advance(now)
	return m.step()
}

// NextStep returns the time by which Step must be called again.
func (m *Machine) NextStep() time.Duration {
	for i := range m.lists {
		if l := &m.lists[i]; l.fetch != nil || len(l.candidates) > 0 || l.current == nil {
			return m.now + busyTick
		}
	}
	return m.now + idleTick
}

// Ready reports whether each list is in force or has a hint that suffices.
func (m *Machine) Ready() bool {
	for i := range m.lists {
		if l := &m.lists[i]; l.current == nil && !l.hint.isReady {
			return false
		}
	}
	return true
}

// Version returns the version of the current list, and whether there is one.
func (m *Machine) Version(list int) (ListVersion, bool) {
	current := m.lists[list].current
	if current == nil {
		return ListVersion{List: list}, false
	}
	return current.ListVersion, true
}

// IsPolling reports whether this proxy polls the service.
func (m *Machine) IsPolling() bool { return m.polling }

// Digest returns this proxy's advertisements, one for each list.
func (m *Machine) Digest() []Advertisement {
	var digest []Advertisement
	for i := range m.lists {
		l := &m.lists[i]
		advertisement := Advertisement{ListVersion: ListVersion{List: i}, LastSeen: notPolling}
		if l.current != nil {
			advertisement.ListVersion = l.current.ListVersion
		}
		switch {
		case !m.polling:
		case l.current != nil:
			advertisement.LastSeen = m.now - m.viewService(l).lastSeen
		default:
			advertisement.LastSeen = m.now - m.startedAt // shows the peers that this proxy polls
		}
		digest = append(digest, advertisement)
	}
	return digest
}

func (m *Machine) advance(now time.Duration) { m.now = max(m.now, now) }

// step performs the work that is due, and returns all effects since the last call.
func (m *Machine) step() []Effect {
	for i := range m.lists {
		m.updateQuorumSeenAt(&m.lists[i])
		m.stepFetch(&m.lists[i])
		m.stepTrust(i, &m.lists[i])
	}
	m.stepPolling()
	m.stepInquiry()
	m.stepHeartbeat()
	m.stepDistrust()
	return m.takeEffects()
}

// setMembers replaces the set of live peers, and drops the advertisements of all other proxies.
func (m *Machine) setMembers(peers []Peer) {
	m.zonePeers = m.zonePeers[:0]
	m.memberNames = m.memberNames[:0]
	m.members = make(map[string]bool, len(peers))
	for _, peer := range peers {
		if peer.Name == m.config.Name {
			continue
		}
		m.members[peer.Name] = true
		m.memberNames = append(m.memberNames, peer.Name)
		if peer.Zone == m.config.Zone {
			m.zonePeers = append(m.zonePeers, peer)
		}
	}
	slices.Sort(m.memberNames)
	slices.SortFunc(m.zonePeers, func(a, b Peer) int { return cmp.Compare(a.Name, b.Name) })
	for i := range m.lists {
		l := &m.lists[i]
		l.advertisements = slices.DeleteFunc(l.advertisements, func(advertisement peerAdvertisement) bool {
			return !m.members[advertisement.peer]
		})
	}
}

// list returns the state of a list, or nil if the index, which comes from a peer, is out of range.
func (m *Machine) list(index int) *listState {
	if index < 0 || index >= len(m.lists) {
		return nil
	}
	return &m.lists[index]
}

// Package bootstrap decides how one proxy of a fleet gets its endpoint lists without all of them polling the list
// service: who polls and when, what is passed on from proxy to proxy, and when a peer's list is trusted. It does no
// I/O and reads no clock; the caller reports events with their time and carries out the effects.
//
// Some proxies of each zone poll the service. Rendezvous hashing chooses Config.Pollers among those that are alive,
// and while the service is silent it chooses more. Pollers send heartbeats to their zone: digests that advertise
// the version and checksum of each list, and when the service was last seen. Other proxies fetch the lists that
// they lack from a peer that advertises them, as a delta or in parts. A proxy that sees no poller, or has no peers,
// polls by itself, at a time drawn from a window that grows with the fleet (full jitter, as in Brooker's
// "Exponential Backoff And Jitter"), so that a fleet that starts together calls the service at a rate that does not
// depend on its size.
//
// A list is trusted if it comes from the service, or if a quorum of peers advertises its version and checksum and
// its content, once fetched, has that checksum. A list that one peer alone advertises is a hint: it is used only
// where nothing else is known, and only its endpoints that are up, so that one peer never removes an endpoint. A
// peer that the service refutes is distrusted for DistrustPeriod.
//
// The state of a list, and what changes it:
//
//	state       event                                      next state
//	unknown     advertisement of any version               fetching
//	fetching    part, delta                                fetching; complete: candidate
//	fetching    checksum mismatch, attempts used up        as before the fetch
//	fetching    timeout, busy                              fetching, from another peer
//	candidate   quorum of advertisements                   current
//	candidate   step, no current list, an endpoint is up   hint
//	candidate   ConfirmDelay without a quorum              candidate; this proxy polls for ConfirmTimeout
//	hint        HintDelay                                  hint; the proxy is ready
//	any         list from the service                      current
//	current     advertisement of a later version           fetching, beside the current list
//
// Invariants:
//   - the version of the current list decreases only when the service itself says so;
//   - a hint removes no endpoint, and adds only endpoints that are up;
//   - messages of proxies that are not members, or distrusted, change nothing.
//
// Bounds:
//   - advertisements of a list by Config.MaxAdvertisements, what is fetched by Config.MaxEndpoints, earlier lists for
//     deltas by Config.MaxHistory, complete lists that are served by MaxServedPerWindow in ServeWindow;
//   - at most Config.Pollers*MaxPollerMultiplier proxies of a zone poll, apart from isolated ones and confirmations;
//   - a fetch goes to another peer after FetchTimeout, and ends after MaxFetchAttempts.
package bootstrap

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"sloequay/internal/membership"
)

// Peer is another proxy that is alive.
type Peer struct{ Name, Zone string }

// Machine is the state of one proxy. Its methods take the present time; a time before an earlier one counts as that
// one.
type Machine struct {
	config    Config
	now       time.Duration
	startedAt time.Duration
	random    *rand.Rand
	effects   []Effect

	zonePeers   []Peer // of the own zone, by name
	members     map[string]bool
	memberNames []string // of all zones, in order
	peersSeen   bool     // a peer was in view at some time

	lists []listState

	polling          bool
	pollNeededAt     time.Duration // when there was last a reason to poll
	isolatedPollAt   time.Duration // when to poll if no poller is in view; 0: one is
	confirmUntil     time.Duration
	confirmStartedAt time.Duration
	nextHeartbeat    time.Duration
	nextInquiry      time.Duration

	distrustedUntil map[string]time.Duration // by peer
	servedPeers     map[uint64][]string      // peers that were served the current list, by checksum
	serves          rateLimiter              // complete lists
	replies         rateLimiter              // digests to proxies without a list
}

// listState is what is known of one list.
type listState struct {
	current        *endpointList // in force; nil: none yet
	history        []*endpointList
	advertisements []peerAdvertisement // newest last, one a peer
	candidate      *candidate          // nil: none
	fetch          *fetchState         // nil: nothing is fetched
	silent         bool                // the service, as last reported
	serviceSeenAt  time.Duration       // by this proxy
	quorumSeenAt   time.Duration       // by a quorum of pollers, with the list in force
}

// New returns a machine that starts now.
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

// PeersChanged takes the proxies that are alive, in any order; this one may be among them.
func (m *Machine) PeersChanged(now time.Duration, peers []Peer) []Effect {
	m.advance(now)
	if !m.peersSeen && len(peers) > 0 && m.config.PeersEnabled {
		m.peersSeen = true
		// Pollers start only now: time has to pass before their absence means isolation.
		m.isolatedPollAt = max(m.isolatedPollAt, m.now+SettleTime+MinPollWindow+m.jitter())
	}
	m.setMembers(peers)
	return m.step()
}

// ListFromService takes a complete list that this proxy received from the service.
func (m *Machine) ListFromService(
	now time.Duration, list int, version uint64, endpoints []membership.Endpoint,
) []Effect {
	m.advance(now)
	l := &m.lists[list]
	received := newEndpointList(list, version, endpoints)
	changed := l.current == nil || l.current.ListVersion != received.ListVersion
	m.install(l, received)
	l.serviceSeenAt = m.now
	l.silent = false
	m.refuteAdvertisements(list, l)
	if changed && m.polling {
		m.sendHeartbeats()
	}
	return m.step()
}

// ServiceSeen takes an answer of the service to this proxy without a new list.
func (m *Machine) ServiceSeen(now time.Duration, list int) []Effect {
	m.advance(now)
	m.lists[list].serviceSeenAt = m.now
	return m.step()
}

// MessageReceived takes a message of a peer.
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

// Step does what is due by now.
func (m *Machine) Step(now time.Duration) []Effect {
	m.advance(now)
	return m.step()
}

// NextStep returns when Step is due at the latest.
func (m *Machine) NextStep() time.Duration {
	for i := range m.lists {
		if l := &m.lists[i]; l.fetch != nil || l.candidate != nil || l.current == nil {
			return m.now + busyTick
		}
	}
	return m.now + idleTick
}

// Ready reports whether each list is in force, or used as a hint for HintDelay.
func (m *Machine) Ready() bool {
	for i := range m.lists {
		l := &m.lists[i]
		if l.current != nil {
			continue
		}
		if l.candidate == nil || l.candidate.hintedAt == 0 || m.now-l.candidate.hintedAt < HintDelay {
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

// Digest returns what this proxy advertises of its lists.
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
			advertisement.LastSeen = m.now - m.startedAt // so that peers know that it is polled for
		}
		digest = append(digest, advertisement)
	}
	return digest
}

func (m *Machine) advance(now time.Duration) { m.now = max(m.now, now) }

// step does what is due, and returns all effects since the last call.
func (m *Machine) step() []Effect {
	for i := range m.lists {
		m.stepServiceSeen(&m.lists[i])
		m.stepFetch(&m.lists[i])
		m.stepCandidate(i, &m.lists[i])
	}
	m.stepPolling()
	m.stepInquiry()
	m.stepHeartbeat()
	m.stepDistrust()
	return m.takeEffects()
}

// setMembers takes the other proxies that are alive, and drops the advertisements of all others.
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

// list returns the state of a list, or nil for an index that a peer made up.
func (m *Machine) list(index int) *listState {
	if index < 0 || index >= len(m.lists) {
		return nil
	}
	return &m.lists[index]
}

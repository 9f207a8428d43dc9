// Package bootstrap decides how one of many doormans comes to its lists of boxes without all of them asking the list service: who
// asks, when, what is passed on from doorman to doorman, and when a word of a peer is believed. It does no I/O, asks no clock
// and starts nothing: it is told what happens and says what is to be done.
//
// A few doormans of each zone ask the service, chosen by rendezvous among those that live (Askers). They tell the others of
// their zone in short digests which list they have, and how long ago the service was heard; the others fetch what they lack
// from whoever has it, as a delta or in parts. Where no peer is heard, or none is set, a doorman asks by itself, at a time
// drawn from a window that grows with the fleet (full jitter, as in Brooker's "Exponential Backoff And Jitter"), so that the
// calls of a fleet that starts together are spread at a rate that does not depend on its size.
//
// What is believed: a list that the service told this doorman itself; and one whose version and checksum two peers have told
// (Quorum), once its content was fetched and has that checksum. A list that one peer alone tells is used only where nothing
// at all is known, and then only what it has up: one peer's word never takes a box away. A peer whose word the service itself
// refutes is not heard for a while.
//
// Invariants:
//   - the version of the list in use never falls, but by the service's own word;
//   - state is bounded: claims by Config.Claims a list, what is being fetched by one list of Config.Boxes, older lists kept
//     for deltas by Config.History;
//   - at most Askers*Widest doormans of a zone ask, but for those that hear no peer;
//   - no message is waited for without an end: a fetch is tried elsewhere after FetchFor, and given up after FetchTries.
package bootstrap

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"sloequay/internal/membership"
)

// Config is the settings of a Machine.
type Config struct {
	Name              string
	Incarnation       uint64 // of this process: another one with each start
	Zone              string
	Peers             bool // whether doormans know of each other here
	Lists             int  // lists that the service has
	Fleet             int  // doormans that there are, as told
	Pollers           int  // of a zone
	MaxEndpoints      int  // of a list; more are not taken
	MaxAdvertisements int  // remembered of each list
	History           int  // older lists kept, for deltas
	Seed              uint64
}

// WithDefaults fills in what is 0.
func (c Config) WithDefaults() Config {
	c.Fleet, c.Pollers, c.MaxEndpoints = max(1, c.Fleet), cmp.Or(c.Pollers, 3), cmp.Or(c.MaxEndpoints, membership.DefaultMaxEndpoints)
	c.MaxAdvertisements, c.History = cmp.Or(c.MaxAdvertisements, 16), cmp.Or(c.History, 4)
	return c
}

// The times and numbers of the rules.
const (
	Quorum      = 2 // peers that must tell the same of a list
	MaxWidening = 4 // times Askers, that ask while the service is not heard

	// WindowPerProxy is what each doorman of a fleet adds to the window in which they ask: some 65 calls a second for each list,
	// whatever the fleet's size.
	WindowPerProxy         = 15 * time.Millisecond
	MinWindow              = 250 * time.Millisecond
	SettleTime             = 200 * time.Millisecond // after the start, in which peers are met before the first one asks
	HeartbeatInterval      = time.Second            // between two digests of an asker, at least
	MaxHeartbeatsPerSecond = 64                     // digests a second that an asker sends: in a larger zone they come less often
	MaxMissedHeartbeats    = 3                      // beats, after which the service counts as not heard
	FetchTimeout           = 300 * time.Millisecond
	MaxFetchAttempts       = 5
	HintDelay              = 500 * time.Millisecond // that a list one peer alone tells has to wait before it counts as known
	ConfirmDelay           = 500 * time.Millisecond // after which a list that one peer alone tells is looked at by ourselves
	MinConfirmInterval     = 10 * time.Second       // between two such looks
	ConfirmTimeout         = 2 * time.Second        // that a look by ourselves may take
	PollGracePeriod        = 2 * time.Second        // that one who asks goes on when others should
	DistrustPeriod         = time.Minute
	WidenInterval          = 5 * time.Second // of the service's silence, for Askers more
	ServeWindow            = 100 * time.Millisecond
	MaxServedPerWindow     = 8   // whole lists that are served in that time
	EndpointsPerPart       = 100 // of a part
	InquiryFanout          = 3   // doormans that are asked at once what they hold, by one that knows nothing
	MaxRepliesPerWindow    = 32  // answers to that in ServeEvery
)

// Peer is another doorman that lives.
type Peer struct{ Name, Zone string }

// ListVersion names a list.
type ListVersion struct {
	List    int    `codec:"List"`
	Version uint64 `codec:"Version"`
	Sum     uint64 `codec:"Sum"`
}

// Advertisement is what a digest says of a list: which one a doorman has, and how long ago the service was heard.
type Advertisement struct {
	ListVersion
	LastSeen time.Duration `codec:"Heard"` // ago; negative: the sender does not ask
}

// Message is one word from doorman to doorman. Exactly one of the fields below Epoch is set.
type Message struct {
	From        string          `codec:"From"`
	Incarnation uint64          `codec:"Epoch"`
	Digest      []Advertisement `codec:"Digest"` // of all lists that the sender has
	Fetch       *Fetch          `codec:"Want"`
	Part        *Part           `codec:"Part"`
	Delta       *Delta          `codec:"Delta"`
	Busy        *Busy           `codec:"Busy"`
}

// Fetch asks for the content of a list. Have is the sum of the one that the sender has; 0: none.
type Fetch struct {
	ListVersion
	HaveSum uint64 `codec:"Have"`
}

// Part is one of Of parts of a list's content.
type Part struct {
	ListVersion
	Number    int                   `codec:"N"`
	Total     int                   `codec:"Of"`
	Endpoints []membership.Endpoint `codec:"Boxes"`
}

// Delta leads from the list with the sum Was to another one.
type Delta struct {
	ListVersion
	BaseSum   uint64                `codec:"Was"`
	Endpoints []membership.Endpoint `codec:"Boxes"`
	Removed   []string              `codec:"Gone"`
}

// Busy answers a Want that is not served: Peer has the list too; empty: ask again later.
type Busy struct {
	ListVersion
	Peer string `codec:"Peer"`
}

// Effect is something that is to be done.
type Effect interface{ isEffect() }

// Send sends a message to a peer. It may be lost.
type Send struct {
	To      string
	Message Message
}

// Poll begins to ask the list service, or ends that.
type Poll struct{ On bool }

// Adopt puts a list in force that peers told. Hint: only what it names counts.
type Adopt struct {
	List      int
	Version   uint64
	Endpoints []membership.Endpoint
	Hint      bool
}

// SourceStatus says that the service is heard through peers, or is not any more.
type SourceStatus struct {
	List   int
	Silent bool
}

// LogEntry is something for the log.
type LogEntry struct {
	Event Event
	Peer  string
	List  int
}

// Event is what a Note tells.
type Event uint8

// The words.
const (
	Polling          Event = iota // this doorman asks the service now
	Following                     // it does not any more
	Isolated                      // no peer is heard: it asks by itself
	ListAccepted                  // a list of peers is in force
	HintUsed                      // a list that one peer alone tells is used, as nothing else is known
	PeerRefuted                   // the service says otherwise than a peer, who is not heard for a while
	ChecksumMismatch              // what a peer sent has not the checksum that it told
	eventCount                    // of words
)

// String gives the word of the log.
func (w Event) String() string {
	return [eventCount]string{"asks", "listens", "alone", "believed", "hinted", "refuted", "spoilt"}[w]
}

func (Send) isEffect()         {}
func (Poll) isEffect()         {}
func (Adopt) isEffect()        {}
func (SourceStatus) isEffect() {}
func (LogEntry) isEffect()     {}

// endpointList is a list with its boxes by id.
type endpointList struct {
	ListVersion
	endpoints []membership.Endpoint
}

// peerAdvertisement is what a peer has told last of a list.
type peerAdvertisement struct {
	Advertisement
	peer       string
	receivedAt time.Duration
}

// fetchState is a list that is being fetched.
type fetchState struct {
	ListVersion
	peer      string
	parts     [][]membership.Endpoint
	received  int
	deadline  time.Duration
	attempts  int
	requested map[string]bool
}

// listState is what is known of one list.
type listState struct {
	current        *endpointList // in force
	fromService    bool          // by the service's own word
	history        []*endpointList
	advertisements []peerAdvertisement // newest last
	candidate      *endpointList       // fetched, and not believed yet
	candidateSince time.Duration
	hintedAt       time.Duration // when waiting was used as a hint; 0: it was not
	fetch          *fetchState
	silent         bool
	serviceSeenAt  time.Duration // when the service was last heard by ourselves
}

// Machine is the state of one doorman.
type Machine struct {
	config           Config
	now              time.Duration
	startedAt        time.Duration
	isolatedPollAt   time.Duration // when it asks by itself if no peer is heard
	random           *rand.Rand
	zonePeers        []Peer // of the own zone, by name, without this one
	members          map[string]bool
	memberNames      []string // the same by name, of all zones
	peersSeen        bool     // some peer was ever in view
	lists            []listState
	polling          bool
	since            time.Duration // when that last changed
	pollNeededAt     time.Duration // when it was last right to follow
	confirmUntil     time.Duration // until when a look by ourselves goes on
	confirmStartedAt time.Duration // when the last one began
	nextHeartbeat    time.Duration // when the next digest is due
	distrustedUntil  map[string]time.Duration
	servedPeers      map[uint64][]string // who was served a whole list of late, by sum
	nextInquiry      time.Duration       // when others are next asked what they hold
	replies          int
	repliesAt        time.Duration
	serves           int
	servesAt         time.Duration
	effects          []Effect
}

// New makes a machine at a time.
func New(now time.Duration, cfg Config) *Machine {
	cfg = cfg.WithDefaults()
	m := &Machine{config: cfg, now: now, startedAt: now, random: rand.New(rand.NewPCG(cfg.Seed, cfg.Incarnation)), members: map[string]bool{},
		lists: make([]listState, cfg.Lists), distrustedUntil: map[string]time.Duration{}, servedPeers: map[uint64][]string{}}
	m.isolatedPollAt, m.confirmStartedAt = now+m.jitter(), now-MinConfirmInterval
	m.nextHeartbeat = now + time.Duration(m.random.Int64N(int64(HeartbeatInterval)))
	m.nextInquiry = now + SettleTime
	return m
}

// jitter draws from the window of the whole fleet.
func (m *Machine) jitter() time.Duration {
	window := time.Duration(m.config.Fleet) * WindowPerProxy
	if m.config.Fleet == 1 {
		return 0
	}
	return time.Duration(m.random.Int64N(int64(max(MinWindow, window))))
}

func (m *Machine) addEffect(e Effect) { m.effects = append(m.effects, e) }

func (m *Machine) takeEffects() []Effect {
	out := m.effects
	m.effects = nil
	return out
}

// PeersChanged tells which other doormans live, in any order.
func (m *Machine) PeersChanged(now time.Duration, peers []Peer) []Effect {
	m.now = max(m.now, now)
	if !m.peersSeen && len(peers) > 0 && m.config.Peers {
		// Those that are to ask have just begun to; the rest is not to take them for silent at once.
		m.peersSeen, m.isolatedPollAt = true, max(m.isolatedPollAt, m.now+SettleTime+MinWindow+m.jitter())
	}
	m.zonePeers, m.memberNames, m.members = m.zonePeers[:0], m.memberNames[:0], map[string]bool{}
	for _, p := range peers {
		if p.Name == m.config.Name {
			continue
		}
		m.members[p.Name] = true
		m.memberNames = append(m.memberNames, p.Name)
		if p.Zone == m.config.Zone {
			m.zonePeers = append(m.zonePeers, p)
		}
	}
	slices.Sort(m.memberNames)
	slices.SortFunc(m.zonePeers, func(a, b Peer) int { return cmp.Compare(a.Name, b.Name) })
	for i := range m.lists {
		l := &m.lists[i]
		l.advertisements = slices.DeleteFunc(l.advertisements, func(c peerAdvertisement) bool { return !m.members[c.peer] })
	}
	m.step()
	return m.takeEffects()
}

// ListFromService takes a whole list that the service told this doorman.
func (m *Machine) ListFromService(now time.Duration, n int, version uint64, boxes []membership.Endpoint) []Effect {
	m.now = max(m.now, now)
	l := &m.lists[n]
	c := newEndpointList(n, version, boxes)
	changed := l.current == nil || l.current.Sum != c.Sum || l.current.Version != c.Version
	m.install(l, c)
	l.fromService, l.serviceSeenAt, l.silent = true, m.now, false
	m.refuteAdvertisements(n, l)
	if changed && m.polling {
		m.sendHeartbeats()
	}
	m.step()
	return m.takeEffects()
}

// ServiceSeen says that the service was heard by this doorman, with nothing new.
func (m *Machine) ServiceSeen(now time.Duration, n int) []Effect {
	m.now = max(m.now, now)
	m.lists[n].serviceSeenAt = m.now
	m.step()
	return m.takeEffects()
}

// refuteAdvertisements takes back the trust in peers that tell another list than the service under the same or a later version.
func (m *Machine) refuteAdvertisements(n int, l *listState) {
	if l.candidate != nil && l.candidate.Sum == l.current.Sum {
		l.candidate = nil
	}
	for _, c := range l.advertisements {
		// A later version may be true, since the service may have changed between. The same one can't, and neither can one that
		// the service has not reached when we looked because of it.
		if c.Version == l.current.Version && c.Sum != l.current.Sum || c.Version > l.current.Version && m.confirmUntil > m.now {
			m.distrust(n, c.peer, PeerRefuted)
		}
	}
	if m.confirmUntil > m.now && l.candidate != nil && l.candidate.Version > l.current.Version {
		l.candidate = nil
	}
}

func (m *Machine) distrust(n int, peer string, why Event) {
	m.distrustedUntil[peer] = m.now + DistrustPeriod
	m.addEffect(LogEntry{why, peer, n})
	for i := range m.lists {
		l := &m.lists[i]
		l.advertisements = slices.DeleteFunc(l.advertisements, func(c peerAdvertisement) bool { return c.peer == peer })
		if l.fetch != nil && l.fetch.peer == peer {
			l.fetch = nil
		}
	}
}

// install puts a list in force, and keeps the one before for deltas.
func (m *Machine) install(l *listState, c *endpointList) {
	if l.current != nil && l.current.Sum != c.Sum {
		l.history = append(l.history, l.current)
		if len(l.history) > m.config.History {
			l.history = slices.Clone(l.history[1:])
		}
	}
	l.current = c
	if l.fetch != nil && !m.newer(l, l.fetch.ListVersion) {
		l.fetch = nil
	}
	clear(m.servedPeers)
}

// MessageReceived takes a message of a peer.
func (m *Machine) MessageReceived(now time.Duration, msg Message) []Effect {
	m.now = max(m.now, now)
	if !m.members[msg.From] || m.distrustedUntil[msg.From] > m.now {
		return nil // not one of the fleet, or one that has lied
	}
	switch {
	case msg.Digest != nil:
		wants := false
		for _, c := range msg.Digest {
			m.receiveAdvertisement(msg.From, c)
			if l := m.list(c.List); l != nil && c.Sum == 0 && l.current != nil {
				wants = true
			}
		}
		if wants && m.mayReply() {
			m.send(msg.From, Message{Digest: m.digest()})
		}
	case msg.Fetch != nil:
		m.serveFetch(msg.From, msg.Fetch)
	case msg.Part != nil:
		m.receivePart(msg.From, msg.Part)
	case msg.Delta != nil:
		m.receiveDelta(msg.From, msg.Delta)
	case msg.Busy != nil:
		m.receiveBusy(msg.From, msg.Busy)
	}
	m.step()
	return m.takeEffects()
}

func (m *Machine) list(n int) *listState {
	if n < 0 || n >= len(m.lists) {
		return nil
	}
	return &m.lists[n]
}

// receiveAdvertisement takes what a peer says that it has.
func (m *Machine) receiveAdvertisement(peer string, c Advertisement) {
	l := m.list(c.List)
	if l == nil {
		return
	}
	l.advertisements = slices.DeleteFunc(l.advertisements, func(o peerAdvertisement) bool { return o.peer == peer })
	l.advertisements = append(l.advertisements, peerAdvertisement{c, peer, m.now})
	if len(l.advertisements) > m.config.MaxAdvertisements {
		l.advertisements = slices.Clone(l.advertisements[1:])
	}
	if c.Sum == 0 || l.current != nil && c.Sum == l.current.Sum || l.candidate != nil && c.Sum == l.candidate.Sum {
		return
	}
	if m.newer(l, c.ListVersion) && (l.fetch == nil || l.fetch.deadline <= m.now) {
		m.startFetch(l, c.ListVersion, peer)
	}
}

// newer says whether a list may take the place of the one in force. What is fetched and not believed does not stand in the
// way of another one, whatever version it claims.
func (m *Machine) newer(l *listState, k ListVersion) bool {
	return l.current == nil || k.Version > l.current.Version
}

func (m *Machine) startFetch(l *listState, k ListVersion, peer string) {
	if l.fetch == nil || l.fetch.Sum != k.Sum {
		l.fetch = &fetchState{ListVersion: k, requested: map[string]bool{}}
	}
	f := l.fetch
	f.peer, f.deadline, f.parts, f.received = peer, m.now+FetchTimeout, nil, 0
	f.attempts++
	f.requested[peer] = true
	have := uint64(0)
	if l.current != nil {
		have = l.current.Sum
	}
	m.send(peer, Message{Fetch: &Fetch{k, have}})
}

func (m *Machine) send(to string, msg Message) {
	msg.From, msg.Incarnation = m.config.Name, m.config.Incarnation
	m.addEffect(Send{to, msg})
}

// mayReply says whether one more digest may be sent to who knows nothing yet.
func (m *Machine) mayReply() bool {
	if m.now-m.repliesAt >= ServeWindow {
		m.replies, m.repliesAt = 0, m.now
	}
	m.replies++
	return m.replies <= MaxRepliesPerWindow
}

// inquire asks a few others, of any zone, what they hold, while this doorman knows nothing of some list: the service may be dead,
// and all of the zone may have started with it.
func (m *Machine) inquire() {
	if !m.config.Peers || len(m.memberNames) == 0 || m.now < m.nextInquiry || !slices.ContainsFunc(m.lists, func(l listState) bool { return l.current == nil }) {
		return
	}
	m.nextInquiry = m.now + HeartbeatInterval/2
	for _, i := range m.random.Perm(len(m.memberNames))[:min(InquiryFanout, len(m.memberNames))] {
		m.send(m.memberNames[i], Message{Digest: m.digest()})
	}
}

// serveFetch serves the content of a list, as a delta where the one that the peer has is known here.
func (m *Machine) serveFetch(peer string, w *Fetch) {
	l := m.list(w.List)
	if l == nil || l.current == nil || l.current.Sum != w.Sum {
		m.send(peer, Message{Busy: &Busy{ListVersion: w.ListVersion}})
		return
	}
	for _, o := range l.history {
		if w.HaveSum != 0 && o.Sum == w.HaveSum {
			m.send(peer, Message{Delta: newDelta(o, l.current)})
			return
		}
	}
	if m.now-m.servesAt >= ServeWindow {
		m.serves, m.servesAt = 0, m.now
	}
	if m.serves >= MaxServedPerWindow {
		// One of those that were served may serve it too, so that the content spreads as a tree.
		next := ""
		if have := m.servedPeers[w.Sum]; len(have) > 0 {
			next = have[m.random.IntN(len(have))]
		}
		if next == peer {
			next = ""
		}
		m.send(peer, Message{Busy: &Busy{w.ListVersion, next}})
		return
	}
	m.serves++
	if have := m.servedPeers[w.Sum]; len(have) < m.config.MaxAdvertisements && !slices.Contains(have, peer) {
		m.servedPeers[w.Sum] = append(have, peer)
	}
	of := max(1, (len(l.current.endpoints)+EndpointsPerPart-1)/EndpointsPerPart)
	for n := range of {
		boxes := l.current.endpoints[min(len(l.current.endpoints), n*EndpointsPerPart):min(len(l.current.endpoints), (n+1)*EndpointsPerPart)]
		m.send(peer, Message{Part: &Part{l.current.ListVersion, n, of, boxes}})
	}
}

// receivePart takes a part of what is being fetched.
func (m *Machine) receivePart(peer string, p *Part) {
	l := m.list(p.List)
	if l == nil || l.fetch == nil || l.fetch.ListVersion != p.ListVersion || l.fetch.peer != peer {
		return
	}
	f := l.fetch
	if p.Total < 1 || p.Total > m.config.MaxEndpoints/EndpointsPerPart+1 || p.Number < 0 || p.Number >= p.Total || len(p.Endpoints) > EndpointsPerPart || f.parts != nil && len(f.parts) != p.Total {
		m.distrust(p.List, peer, ChecksumMismatch)
		return
	}
	if f.parts == nil {
		f.parts = make([][]membership.Endpoint, p.Total)
	}
	if f.parts[p.Number] == nil {
		f.parts[p.Number] = append([]membership.Endpoint{}, p.Endpoints...)
		f.received++
	}
	f.deadline = m.now + FetchTimeout
	if f.received == p.Total {
		m.completeFetch(l, peer, slices.Concat(f.parts...))
	}
}

// receiveDelta takes what leads from the list in force to the one that is being fetched.
func (m *Machine) receiveDelta(peer string, d *Delta) {
	l := m.list(d.List)
	if l == nil || l.fetch == nil || l.fetch.ListVersion != d.ListVersion || l.fetch.peer != peer || l.current == nil || l.current.Sum != d.BaseSum ||
		len(d.Endpoints) > m.config.MaxEndpoints {
		return
	}
	gone := map[string]bool{}
	for _, id := range d.Removed {
		gone[id] = true
	}
	for _, b := range d.Endpoints {
		gone[b.ID] = true
	}
	boxes := slices.Clone(d.Endpoints)
	for _, b := range l.current.endpoints {
		if !gone[b.ID] {
			boxes = append(boxes, b)
		}
	}
	m.completeFetch(l, peer, boxes)
}

// completeFetch judges content that is there whole.
func (m *Machine) completeFetch(l *listState, peer string, boxes []membership.Endpoint) {
	k := l.fetch.ListVersion
	l.fetch = nil
	c := newEndpointList(k.List, k.Version, boxes)
	if c.Sum != k.Sum {
		m.distrust(k.List, peer, ChecksumMismatch)
		return
	}
	l.candidate, l.candidateSince, l.hintedAt = c, m.now, 0
}

// advertisers counts the peers that tell a list.
func (l *listState) advertisers(k ListVersion) (n int) {
	for _, c := range l.advertisements {
		if c.ListVersion == k {
			n++
		}
	}
	return n
}

// receiveBusy tries another one.
func (m *Machine) receiveBusy(peer string, b *Busy) {
	l := m.list(b.List)
	if l == nil || l.fetch == nil || l.fetch.Sum != b.Sum || l.fetch.peer != peer {
		return
	}
	if b.Peer != "" && m.members[b.Peer] && !l.fetch.requested[b.Peer] && m.distrustedUntil[b.Peer] <= m.now && l.fetch.attempts < MaxFetchAttempts {
		m.startFetch(l, l.fetch.ListVersion, b.Peer)
		return
	}
	l.fetch.deadline = m.now + time.Duration(m.random.Int64N(int64(FetchTimeout))) // the step tries again
}

// rank is this doorman's place among those of its zone that might ask.
func (m *Machine) rank() int {
	score := func(name string) uint64 { return xxhash.Sum64String(m.config.Zone + " " + name) }
	own, rank := score(m.config.Name), 0
	for _, p := range m.zonePeers {
		if score(p.Name) > own {
			rank++
		}
	}
	return rank
}

// heartbeatInterval is the time between two digests of an asker.
func (m *Machine) heartbeatInterval() time.Duration {
	return max(HeartbeatInterval, time.Duration(len(m.zonePeers))*time.Second/MaxHeartbeatsPerSecond)
}

// serviceSeen is when the service was last heard, by ourselves or through a quorum of peers, and whether any asker is heard at all.
func (m *Machine) serviceSeen(l *listState) (at time.Duration, askers int) {
	var told []time.Duration
	for _, c := range l.advertisements {
		if c.LastSeen >= 0 && m.now-c.receivedAt <= MaxMissedHeartbeats*m.heartbeatInterval() {
			askers++
			if l.current != nil && c.Sum == l.current.Sum {
				told = append(told, c.receivedAt-c.LastSeen)
			}
		}
	}
	slices.SortFunc(told, func(a, b time.Duration) int { return cmp.Compare(b, a) })
	if len(told) >= Quorum {
		at = told[Quorum-1]
	}
	return max(at, l.serviceSeenAt), askers
}

// Step does what has fallen due by now.
func (m *Machine) Step(now time.Duration) []Effect {
	m.now = max(m.now, now)
	m.step()
	return m.takeEffects()
}

func (m *Machine) step() {
	for i := range m.lists {
		m.stepList(i, &m.lists[i])
	}
	m.stepPolling()
	m.inquire()
	if m.polling && m.config.Peers && m.now >= m.nextHeartbeat {
		m.nextHeartbeat = m.now + m.heartbeatInterval()
		m.sendHeartbeats()
	}
	for peer, until := range m.distrustedUntil {
		if until <= m.now {
			delete(m.distrustedUntil, peer)
		}
	}
}

// sendHeartbeats sends the digest to all of the zone.
func (m *Machine) sendHeartbeats() {
	digest := m.digest()
	for _, p := range m.zonePeers {
		m.send(p.Name, Message{Digest: digest})
	}
}

// Digest is what this doorman tells of its lists.
func (m *Machine) Digest() []Advertisement { return m.digest() }

func (m *Machine) digest() []Advertisement {
	var out []Advertisement
	for i := range m.lists {
		l := &m.lists[i]
		switch at, _ := m.serviceSeen(l); {
		case !m.polling && l.current != nil:
			out = append(out, Advertisement{l.current.ListVersion, -1})
		case l.current != nil:
			out = append(out, Advertisement{l.current.ListVersion, m.now - at})
		case m.polling:
			out = append(out, Advertisement{ListVersion{List: i}, m.now - m.startedAt}) // so that the others know that it is asked for
		default:
			out = append(out, Advertisement{ListVersion{List: i}, -1})
		}
	}
	return out
}

// stepList looks after what is fetched and what waits to be believed.
func (m *Machine) stepList(n int, l *listState) {
	if f := l.fetch; f != nil && m.now >= f.deadline {
		next := ""
		for _, c := range l.advertisements {
			if c.Sum == f.Sum && (next == "" || f.requested[next] && !f.requested[c.peer]) {
				next = c.peer
			}
		}
		if next == "" || f.attempts >= MaxFetchAttempts {
			l.fetch = nil // the next digest will have it fetched
		} else {
			m.startFetch(l, f.ListVersion, next)
		}
	}
	w := l.candidate
	if w == nil {
		return
	}
	switch {
	case !m.newer(l, w.ListVersion):
		l.candidate = nil
	case l.advertisers(w.ListVersion) >= Quorum:
		m.install(l, w)
		l.candidate, l.fromService, l.silent = nil, false, false
		m.addEffect(Adopt{n, w.Version, w.endpoints, false})
		m.addEffect(LogEntry{ListAccepted, "", n})
	case l.current == nil && l.hintedAt == 0:
		var up []membership.Endpoint
		for _, b := range w.endpoints {
			if b.State == membership.Up {
				up = append(up, b)
			}
		}
		if len(up) == 0 {
			return // by such a list nobody could be served
		}
		l.hintedAt = m.now
		m.addEffect(Adopt{n, w.Version, up, true})
		m.addEffect(LogEntry{HintUsed, "", n})
	}
}

// stepPolling decides whether this doorman asks the service.
func (m *Machine) stepPolling() {
	want, alone := false, false
	// While less than half of the fleet is in view, many would hold themselves for the chosen ones.
	half := 2*(len(m.members)+1) >= m.config.Fleet
	window := time.Duration(m.config.Fleet)*WindowPerProxy + MinWindow
	switch settled := m.now >= m.startedAt+SettleTime && (half || m.now >= m.startedAt+window); {
	case !m.config.Peers || len(m.members) == 0:
		alone = m.now >= m.isolatedPollAt
		want = alone
	default:
		limit, hear := m.config.Pollers, len(m.lists) > 0
		for i := range m.lists {
			l := &m.lists[i]
			at, askers := m.serviceSeen(l)
			hear = hear && askers > 0
			// While the service is silent for those that ask, a few more try, since it may be their way to it that is cut.
			if at = max(at, m.startedAt); askers > 0 {
				limit = max(limit, m.config.Pollers*min(MaxWidening, 1+int((m.now-at)/WidenInterval)))
			}
			if l.candidate != nil && m.now-l.candidateSince > ConfirmDelay && m.now-m.confirmStartedAt >= MinConfirmInterval {
				m.confirmStartedAt, m.confirmUntil = m.now, m.now+ConfirmTimeout // one peer alone tells it: the service itself is to say
			}
		}
		switch {
		case settled && m.rank() < limit:
			want = true
		case hear:
			m.isolatedPollAt = 0
		case m.isolatedPollAt == 0:
			m.isolatedPollAt = m.now + m.jitter() // nobody is heard any more, by all of us at once
		case m.now >= m.isolatedPollAt:
			want, alone = true, true
		}
		want = want || m.confirmUntil > m.now
	}
	if want {
		m.pollNeededAt = m.now
	}
	switch {
	case want && !m.polling:
		m.polling, m.since = true, m.now
		m.addEffect(Poll{true})
		if alone && m.config.Peers {
			m.addEffect(LogEntry{Isolated, "", -1})
		} else {
			m.addEffect(LogEntry{Polling, "", -1})
		}
	case !want && m.polling && m.now-m.pollNeededAt >= PollGracePeriod:
		m.polling, m.since = false, m.now
		m.addEffect(Poll{false})
		m.addEffect(LogEntry{Following, "", -1})
	}
	for i := range m.lists {
		l := &m.lists[i]
		if l.current == nil || m.polling {
			continue
		}
		at, _ := m.serviceSeen(l)
		if silent := m.now-at > MaxMissedHeartbeats*m.heartbeatInterval(); silent != l.silent {
			l.silent = silent
			m.addEffect(SourceStatus{i, silent})
		}
	}
}

// Next is when Step is due at the latest: what waits for a time of its own is looked at in ticks.
func (m *Machine) Next() time.Duration {
	for i := range m.lists {
		if l := &m.lists[i]; l.fetch != nil || l.candidate != nil || l.current == nil {
			return m.now + tick
		}
	}
	return m.now + 4*tick
}

const tick = 50 * time.Millisecond

// Ready says whether each list is known well enough to serve by: told by the service, believed, or for HintAfter used as a hint.
func (m *Machine) Ready() bool {
	for i := range m.lists {
		if l := &m.lists[i]; l.current == nil && (l.hintedAt == 0 || m.now-l.hintedAt < HintDelay) {
			return false
		}
	}
	return true
}

// Version names the list in force.
func (m *Machine) Version(n int) (ListVersion, bool) {
	if m.lists[n].current == nil {
		return ListVersion{List: n}, false
	}
	return m.lists[n].current.ListVersion, true
}

// Polls says whether this doorman asks the service.
func (m *Machine) Polls() bool { return m.polling }

// newEndpointList orders boxes by id and computes their sum.
func newEndpointList(n int, version uint64, boxes []membership.Endpoint) *endpointList {
	boxes = slices.Clone(boxes)
	slices.SortStableFunc(boxes, func(a, b membership.Endpoint) int { return cmp.Compare(a.ID, b.ID) })
	boxes = slices.CompactFunc(boxes, func(a, b membership.Endpoint) bool { return a.ID == b.ID })
	return &endpointList{ListVersion{n, version, checksum(version, boxes)}, boxes}
}

// SortEndpoints gives boxes in the order that their sum is of, each id once.
func SortEndpoints(boxes []membership.Endpoint) []membership.Endpoint {
	return newEndpointList(0, 0, boxes).endpoints
}

// VersionOf names a list that has these boxes.
func VersionOf(n int, version uint64, boxes []membership.Endpoint) ListVersion {
	return newEndpointList(n, version, boxes).ListVersion
}

// newDelta is the delta between two lists, which are in order.
func newDelta(was, is *endpointList) *Delta {
	d := &Delta{ListVersion: is.ListVersion, BaseSum: was.Sum}
	i := 0
	for _, b := range is.endpoints {
		for ; i < len(was.endpoints) && was.endpoints[i].ID < b.ID; i++ {
			d.Removed = append(d.Removed, was.endpoints[i].ID)
		}
		if i < len(was.endpoints) && was.endpoints[i].ID == b.ID {
			if was.endpoints[i] != b {
				d.Endpoints = append(d.Endpoints, b)
			}
			i++
			continue
		}
		d.Endpoints = append(d.Endpoints, b)
	}
	for ; i < len(was.endpoints); i++ {
		d.Removed = append(d.Removed, was.endpoints[i].ID)
	}
	return d
}

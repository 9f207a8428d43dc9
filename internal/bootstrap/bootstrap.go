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

// content is a list with its boxes by id.
type content struct {
	ListVersion
	boxes []membership.Endpoint
}

// claim is what a peer has told last of a list.
type claim struct {
	Advertisement
	peer string
	at   time.Duration
}

// fetch is a list that is being fetched.
type fetch struct {
	ListVersion
	from  string
	parts [][]membership.Endpoint
	got   int
	until time.Duration
	tries int
	asked map[string]bool
}

// list is what is known of one list.
type list struct {
	held    *content // in force
	own     bool     // by the service's own word
	older   []*content
	claims  []claim  // newest last
	waiting *content // fetched, and not believed yet
	since   time.Duration
	hinted  time.Duration // when waiting was used as a hint; 0: it was not
	fetch   *fetch
	silent  bool
	told    time.Duration // when the service was last heard by ourselves
}

// Machine is the state of one doorman.
type Machine struct {
	cfg       Config
	now       time.Duration
	began     time.Duration
	alone     time.Duration // when it asks by itself if no peer is heard
	rng       *rand.Rand
	peers     []Peer // of the own zone, by name, without this one
	others    map[string]bool
	all       []string // the same by name, of all zones
	met       bool     // some peer was ever in view
	lists     []list
	follows   bool
	since     time.Duration // when that last changed
	should    time.Duration // when it was last right to follow
	look      time.Duration // until when a look by ourselves goes on
	looked    time.Duration // when the last one began
	beat      time.Duration // when the next digest is due
	distrust  map[string]time.Duration
	served    map[uint64][]string // who was served a whole list of late, by sum
	inquiry   time.Duration       // when others are next asked what they hold
	replies   int
	repliesAt time.Duration
	serves    int
	servesAt  time.Duration
	out       []Effect
}

// New makes a machine at a time.
func New(now time.Duration, cfg Config) *Machine {
	cfg = cfg.WithDefaults()
	m := &Machine{cfg: cfg, now: now, began: now, rng: rand.New(rand.NewPCG(cfg.Seed, cfg.Incarnation)), others: map[string]bool{},
		lists: make([]list, cfg.Lists), distrust: map[string]time.Duration{}, served: map[uint64][]string{}}
	m.alone, m.looked = now+m.jitter(), now-MinConfirmInterval
	m.beat = now + time.Duration(m.rng.Int64N(int64(HeartbeatInterval)))
	m.inquiry = now + SettleTime
	return m
}

// jitter draws from the window of the whole fleet.
func (m *Machine) jitter() time.Duration {
	window := time.Duration(m.cfg.Fleet) * WindowPerProxy
	if m.cfg.Fleet == 1 {
		return 0
	}
	return time.Duration(m.rng.Int64N(int64(max(MinWindow, window))))
}

func (m *Machine) do(e Effect) { m.out = append(m.out, e) }

func (m *Machine) take() []Effect {
	out := m.out
	m.out = nil
	return out
}

// PeersChanged tells which other doormans live, in any order.
func (m *Machine) PeersChanged(now time.Duration, peers []Peer) []Effect {
	m.now = max(m.now, now)
	if !m.met && len(peers) > 0 && m.cfg.Peers {
		// Those that are to ask have just begun to; the rest is not to take them for silent at once.
		m.met, m.alone = true, max(m.alone, m.now+SettleTime+MinWindow+m.jitter())
	}
	m.peers, m.all, m.others = m.peers[:0], m.all[:0], map[string]bool{}
	for _, p := range peers {
		if p.Name == m.cfg.Name {
			continue
		}
		m.others[p.Name] = true
		m.all = append(m.all, p.Name)
		if p.Zone == m.cfg.Zone {
			m.peers = append(m.peers, p)
		}
	}
	slices.Sort(m.all)
	slices.SortFunc(m.peers, func(a, b Peer) int { return cmp.Compare(a.Name, b.Name) })
	for i := range m.lists {
		l := &m.lists[i]
		l.claims = slices.DeleteFunc(l.claims, func(c claim) bool { return !m.others[c.peer] })
	}
	m.step()
	return m.take()
}

// ListFromService takes a whole list that the service told this doorman.
func (m *Machine) ListFromService(now time.Duration, n int, version uint64, boxes []membership.Endpoint) []Effect {
	m.now = max(m.now, now)
	l := &m.lists[n]
	c := newContent(n, version, boxes)
	changed := l.held == nil || l.held.Sum != c.Sum || l.held.Version != c.Version
	m.hold(l, c)
	l.own, l.told, l.silent = true, m.now, false
	m.refute(n, l)
	if changed && m.follows {
		m.tell()
	}
	m.step()
	return m.take()
}

// ServiceSeen says that the service was heard by this doorman, with nothing new.
func (m *Machine) ServiceSeen(now time.Duration, n int) []Effect {
	m.now = max(m.now, now)
	m.lists[n].told = m.now
	m.step()
	return m.take()
}

// refute takes back the trust in peers that tell another list than the service under the same or a later version.
func (m *Machine) refute(n int, l *list) {
	if l.waiting != nil && l.waiting.Sum == l.held.Sum {
		l.waiting = nil
	}
	for _, c := range l.claims {
		// A later version may be true, since the service may have changed between. The same one can't, and neither can one that
		// the service has not reached when we looked because of it.
		if c.Version == l.held.Version && c.Sum != l.held.Sum || c.Version > l.held.Version && m.look > m.now {
			m.blame(n, c.peer, PeerRefuted)
		}
	}
	if m.look > m.now && l.waiting != nil && l.waiting.Version > l.held.Version {
		l.waiting = nil
	}
}

func (m *Machine) blame(n int, peer string, why Event) {
	m.distrust[peer] = m.now + DistrustPeriod
	m.do(LogEntry{why, peer, n})
	for i := range m.lists {
		l := &m.lists[i]
		l.claims = slices.DeleteFunc(l.claims, func(c claim) bool { return c.peer == peer })
		if l.fetch != nil && l.fetch.from == peer {
			l.fetch = nil
		}
	}
}

// hold puts a list in force, and keeps the one before for deltas.
func (m *Machine) hold(l *list, c *content) {
	if l.held != nil && l.held.Sum != c.Sum {
		l.older = append(l.older, l.held)
		if len(l.older) > m.cfg.History {
			l.older = slices.Clone(l.older[1:])
		}
	}
	l.held = c
	if l.fetch != nil && !m.newer(l, l.fetch.ListVersion) {
		l.fetch = nil
	}
	clear(m.served)
}

// MessageReceived takes a message of a peer.
func (m *Machine) MessageReceived(now time.Duration, msg Message) []Effect {
	m.now = max(m.now, now)
	if !m.others[msg.From] || m.distrust[msg.From] > m.now {
		return nil // not one of the fleet, or one that has lied
	}
	switch {
	case msg.Digest != nil:
		wants := false
		for _, c := range msg.Digest {
			m.claimed(msg.From, c)
			if l := m.list(c.List); l != nil && c.Sum == 0 && l.held != nil {
				wants = true
			}
		}
		if wants && m.reply() {
			m.send(msg.From, Message{Digest: m.digest()})
		}
	case msg.Fetch != nil:
		m.wanted(msg.From, msg.Fetch)
	case msg.Part != nil:
		m.part(msg.From, msg.Part)
	case msg.Delta != nil:
		m.delta(msg.From, msg.Delta)
	case msg.Busy != nil:
		m.busy(msg.From, msg.Busy)
	}
	m.step()
	return m.take()
}

func (m *Machine) list(n int) *list {
	if n < 0 || n >= len(m.lists) {
		return nil
	}
	return &m.lists[n]
}

// claimed takes what a peer says that it has.
func (m *Machine) claimed(peer string, c Advertisement) {
	l := m.list(c.List)
	if l == nil {
		return
	}
	l.claims = slices.DeleteFunc(l.claims, func(o claim) bool { return o.peer == peer })
	l.claims = append(l.claims, claim{c, peer, m.now})
	if len(l.claims) > m.cfg.MaxAdvertisements {
		l.claims = slices.Clone(l.claims[1:])
	}
	if c.Sum == 0 || l.held != nil && c.Sum == l.held.Sum || l.waiting != nil && c.Sum == l.waiting.Sum {
		return
	}
	if m.newer(l, c.ListVersion) && (l.fetch == nil || l.fetch.until <= m.now) {
		m.fetchFrom(l, c.ListVersion, peer)
	}
}

// newer says whether a list may take the place of the one in force. What is fetched and not believed does not stand in the
// way of another one, whatever version it claims.
func (m *Machine) newer(l *list, k ListVersion) bool {
	return l.held == nil || k.Version > l.held.Version
}

func (m *Machine) fetchFrom(l *list, k ListVersion, peer string) {
	if l.fetch == nil || l.fetch.Sum != k.Sum {
		l.fetch = &fetch{ListVersion: k, asked: map[string]bool{}}
	}
	f := l.fetch
	f.from, f.until, f.parts, f.got = peer, m.now+FetchTimeout, nil, 0
	f.tries++
	f.asked[peer] = true
	have := uint64(0)
	if l.held != nil {
		have = l.held.Sum
	}
	m.send(peer, Message{Fetch: &Fetch{k, have}})
}

func (m *Machine) send(to string, msg Message) {
	msg.From, msg.Incarnation = m.cfg.Name, m.cfg.Incarnation
	m.do(Send{to, msg})
}

// reply says whether one more digest may be sent to who knows nothing yet.
func (m *Machine) reply() bool {
	if m.now-m.repliesAt >= ServeWindow {
		m.replies, m.repliesAt = 0, m.now
	}
	m.replies++
	return m.replies <= MaxRepliesPerWindow
}

// inquire asks a few others, of any zone, what they hold, while this doorman knows nothing of some list: the service may be dead,
// and all of the zone may have started with it.
func (m *Machine) inquire() {
	if !m.cfg.Peers || len(m.all) == 0 || m.now < m.inquiry || !slices.ContainsFunc(m.lists, func(l list) bool { return l.held == nil }) {
		return
	}
	m.inquiry = m.now + HeartbeatInterval/2
	for _, i := range m.rng.Perm(len(m.all))[:min(InquiryFanout, len(m.all))] {
		m.send(m.all[i], Message{Digest: m.digest()})
	}
}

// wanted serves the content of a list, as a delta where the one that the peer has is known here.
func (m *Machine) wanted(peer string, w *Fetch) {
	l := m.list(w.List)
	if l == nil || l.held == nil || l.held.Sum != w.Sum {
		m.send(peer, Message{Busy: &Busy{ListVersion: w.ListVersion}})
		return
	}
	for _, o := range l.older {
		if w.HaveSum != 0 && o.Sum == w.HaveSum {
			m.send(peer, Message{Delta: difference(o, l.held)})
			return
		}
	}
	if m.now-m.servesAt >= ServeWindow {
		m.serves, m.servesAt = 0, m.now
	}
	if m.serves >= MaxServedPerWindow {
		// One of those that were served may serve it too, so that the content spreads as a tree.
		next := ""
		if have := m.served[w.Sum]; len(have) > 0 {
			next = have[m.rng.IntN(len(have))]
		}
		if next == peer {
			next = ""
		}
		m.send(peer, Message{Busy: &Busy{w.ListVersion, next}})
		return
	}
	m.serves++
	if have := m.served[w.Sum]; len(have) < m.cfg.MaxAdvertisements && !slices.Contains(have, peer) {
		m.served[w.Sum] = append(have, peer)
	}
	of := max(1, (len(l.held.boxes)+EndpointsPerPart-1)/EndpointsPerPart)
	for n := range of {
		boxes := l.held.boxes[min(len(l.held.boxes), n*EndpointsPerPart):min(len(l.held.boxes), (n+1)*EndpointsPerPart)]
		m.send(peer, Message{Part: &Part{l.held.ListVersion, n, of, boxes}})
	}
}

// part takes a part of what is being fetched.
func (m *Machine) part(peer string, p *Part) {
	l := m.list(p.List)
	if l == nil || l.fetch == nil || l.fetch.ListVersion != p.ListVersion || l.fetch.from != peer {
		return
	}
	f := l.fetch
	if p.Total < 1 || p.Total > m.cfg.MaxEndpoints/EndpointsPerPart+1 || p.Number < 0 || p.Number >= p.Total || len(p.Endpoints) > EndpointsPerPart || f.parts != nil && len(f.parts) != p.Total {
		m.blame(p.List, peer, ChecksumMismatch)
		return
	}
	if f.parts == nil {
		f.parts = make([][]membership.Endpoint, p.Total)
	}
	if f.parts[p.Number] == nil {
		f.parts[p.Number] = append([]membership.Endpoint{}, p.Endpoints...)
		f.got++
	}
	f.until = m.now + FetchTimeout
	if f.got == p.Total {
		m.fetched(l, peer, slices.Concat(f.parts...))
	}
}

// delta takes what leads from the list in force to the one that is being fetched.
func (m *Machine) delta(peer string, d *Delta) {
	l := m.list(d.List)
	if l == nil || l.fetch == nil || l.fetch.ListVersion != d.ListVersion || l.fetch.from != peer || l.held == nil || l.held.Sum != d.BaseSum ||
		len(d.Endpoints) > m.cfg.MaxEndpoints {
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
	for _, b := range l.held.boxes {
		if !gone[b.ID] {
			boxes = append(boxes, b)
		}
	}
	m.fetched(l, peer, boxes)
}

// fetched judges content that is there whole.
func (m *Machine) fetched(l *list, peer string, boxes []membership.Endpoint) {
	k := l.fetch.ListVersion
	l.fetch = nil
	c := newContent(k.List, k.Version, boxes)
	if c.Sum != k.Sum {
		m.blame(k.List, peer, ChecksumMismatch)
		return
	}
	l.waiting, l.since, l.hinted = c, m.now, 0
}

// vouchers counts the peers that tell a list.
func (l *list) vouchers(k ListVersion) (n int) {
	for _, c := range l.claims {
		if c.ListVersion == k {
			n++
		}
	}
	return n
}

// busy tries another one.
func (m *Machine) busy(peer string, b *Busy) {
	l := m.list(b.List)
	if l == nil || l.fetch == nil || l.fetch.Sum != b.Sum || l.fetch.from != peer {
		return
	}
	if b.Peer != "" && m.others[b.Peer] && !l.fetch.asked[b.Peer] && m.distrust[b.Peer] <= m.now && l.fetch.tries < MaxFetchAttempts {
		m.fetchFrom(l, l.fetch.ListVersion, b.Peer)
		return
	}
	l.fetch.until = m.now + time.Duration(m.rng.Int64N(int64(FetchTimeout))) // the step tries again
}

// rank is this doorman's place among those of its zone that might ask.
func (m *Machine) rank() int {
	score := func(name string) uint64 { return xxhash.Sum64String(m.cfg.Zone + " " + name) }
	own, rank := score(m.cfg.Name), 0
	for _, p := range m.peers {
		if score(p.Name) > own {
			rank++
		}
	}
	return rank
}

// beatEvery is the time between two digests of an asker.
func (m *Machine) beatEvery() time.Duration {
	return max(HeartbeatInterval, time.Duration(len(m.peers))*time.Second/MaxHeartbeatsPerSecond)
}

// heard is when the service was last heard, by ourselves or through a quorum of peers, and whether any asker is heard at all.
func (m *Machine) heard(l *list) (at time.Duration, askers int) {
	var told []time.Duration
	for _, c := range l.claims {
		if c.LastSeen >= 0 && m.now-c.at <= MaxMissedHeartbeats*m.beatEvery() {
			askers++
			if l.held != nil && c.Sum == l.held.Sum {
				told = append(told, c.at-c.LastSeen)
			}
		}
	}
	slices.SortFunc(told, func(a, b time.Duration) int { return cmp.Compare(b, a) })
	if len(told) >= Quorum {
		at = told[Quorum-1]
	}
	return max(at, l.told), askers
}

// Step does what has fallen due by now.
func (m *Machine) Step(now time.Duration) []Effect {
	m.now = max(m.now, now)
	m.step()
	return m.take()
}

func (m *Machine) step() {
	for i := range m.lists {
		m.stepList(i, &m.lists[i])
	}
	m.stepRole()
	m.inquire()
	if m.follows && m.cfg.Peers && m.now >= m.beat {
		m.beat = m.now + m.beatEvery()
		m.tell()
	}
	for peer, until := range m.distrust {
		if until <= m.now {
			delete(m.distrust, peer)
		}
	}
}

// tell sends the digest to all of the zone.
func (m *Machine) tell() {
	digest := m.digest()
	for _, p := range m.peers {
		m.send(p.Name, Message{Digest: digest})
	}
}

// Digest is what this doorman tells of its lists.
func (m *Machine) Digest() []Advertisement { return m.digest() }

func (m *Machine) digest() []Advertisement {
	var out []Advertisement
	for i := range m.lists {
		l := &m.lists[i]
		switch at, _ := m.heard(l); {
		case !m.follows && l.held != nil:
			out = append(out, Advertisement{l.held.ListVersion, -1})
		case l.held != nil:
			out = append(out, Advertisement{l.held.ListVersion, m.now - at})
		case m.follows:
			out = append(out, Advertisement{ListVersion{List: i}, m.now - m.began}) // so that the others know that it is asked for
		default:
			out = append(out, Advertisement{ListVersion{List: i}, -1})
		}
	}
	return out
}

// stepList looks after what is fetched and what waits to be believed.
func (m *Machine) stepList(n int, l *list) {
	if f := l.fetch; f != nil && m.now >= f.until {
		next := ""
		for _, c := range l.claims {
			if c.Sum == f.Sum && (next == "" || f.asked[next] && !f.asked[c.peer]) {
				next = c.peer
			}
		}
		if next == "" || f.tries >= MaxFetchAttempts {
			l.fetch = nil // the next digest will have it fetched
		} else {
			m.fetchFrom(l, f.ListVersion, next)
		}
	}
	w := l.waiting
	if w == nil {
		return
	}
	switch {
	case !m.newer(l, w.ListVersion):
		l.waiting = nil
	case l.vouchers(w.ListVersion) >= Quorum:
		m.hold(l, w)
		l.waiting, l.own, l.silent = nil, false, false
		m.do(Adopt{n, w.Version, w.boxes, false})
		m.do(LogEntry{ListAccepted, "", n})
	case l.held == nil && l.hinted == 0:
		var up []membership.Endpoint
		for _, b := range w.boxes {
			if b.State == membership.Up {
				up = append(up, b)
			}
		}
		if len(up) == 0 {
			return // by such a list nobody could be served
		}
		l.hinted = m.now
		m.do(Adopt{n, w.Version, up, true})
		m.do(LogEntry{HintUsed, "", n})
	}
}

// stepRole decides whether this doorman asks the service.
func (m *Machine) stepRole() {
	want, alone := false, false
	// While less than half of the fleet is in view, many would hold themselves for the chosen ones.
	half := 2*(len(m.others)+1) >= m.cfg.Fleet
	window := time.Duration(m.cfg.Fleet)*WindowPerProxy + MinWindow
	switch settled := m.now >= m.began+SettleTime && (half || m.now >= m.began+window); {
	case !m.cfg.Peers || len(m.others) == 0:
		alone = m.now >= m.alone
		want = alone
	default:
		limit, hear := m.cfg.Pollers, len(m.lists) > 0
		for i := range m.lists {
			l := &m.lists[i]
			at, askers := m.heard(l)
			hear = hear && askers > 0
			// While the service is silent for those that ask, a few more try, since it may be their way to it that is cut.
			if at = max(at, m.began); askers > 0 {
				limit = max(limit, m.cfg.Pollers*min(MaxWidening, 1+int((m.now-at)/WidenInterval)))
			}
			if l.waiting != nil && m.now-l.since > ConfirmDelay && m.now-m.looked >= MinConfirmInterval {
				m.looked, m.look = m.now, m.now+ConfirmTimeout // one peer alone tells it: the service itself is to say
			}
		}
		switch {
		case settled && m.rank() < limit:
			want = true
		case hear:
			m.alone = 0
		case m.alone == 0:
			m.alone = m.now + m.jitter() // nobody is heard any more, by all of us at once
		case m.now >= m.alone:
			want, alone = true, true
		}
		want = want || m.look > m.now
	}
	if want {
		m.should = m.now
	}
	switch {
	case want && !m.follows:
		m.follows, m.since = true, m.now
		m.do(Poll{true})
		if alone && m.cfg.Peers {
			m.do(LogEntry{Isolated, "", -1})
		} else {
			m.do(LogEntry{Polling, "", -1})
		}
	case !want && m.follows && m.now-m.should >= PollGracePeriod:
		m.follows, m.since = false, m.now
		m.do(Poll{false})
		m.do(LogEntry{Following, "", -1})
	}
	for i := range m.lists {
		l := &m.lists[i]
		if l.held == nil || m.follows {
			continue
		}
		at, _ := m.heard(l)
		if silent := m.now-at > MaxMissedHeartbeats*m.beatEvery(); silent != l.silent {
			l.silent = silent
			m.do(SourceStatus{i, silent})
		}
	}
}

// Next is when Step is due at the latest: what waits for a time of its own is looked at in ticks.
func (m *Machine) Next() time.Duration {
	for i := range m.lists {
		if l := &m.lists[i]; l.fetch != nil || l.waiting != nil || l.held == nil {
			return m.now + tick
		}
	}
	return m.now + 4*tick
}

const tick = 50 * time.Millisecond

// Ready says whether each list is known well enough to serve by: told by the service, believed, or for HintAfter used as a hint.
func (m *Machine) Ready() bool {
	for i := range m.lists {
		if l := &m.lists[i]; l.held == nil && (l.hinted == 0 || m.now-l.hinted < HintDelay) {
			return false
		}
	}
	return true
}

// Version names the list in force.
func (m *Machine) Version(n int) (ListVersion, bool) {
	if m.lists[n].held == nil {
		return ListVersion{List: n}, false
	}
	return m.lists[n].held.ListVersion, true
}

// Polls says whether this doorman asks the service.
func (m *Machine) Polls() bool { return m.follows }

// newContent orders boxes by id and computes their sum.
func newContent(n int, version uint64, boxes []membership.Endpoint) *content {
	boxes = slices.Clone(boxes)
	slices.SortStableFunc(boxes, func(a, b membership.Endpoint) int { return cmp.Compare(a.ID, b.ID) })
	boxes = slices.CompactFunc(boxes, func(a, b membership.Endpoint) bool { return a.ID == b.ID })
	return &content{ListVersion{n, version, sum(version, boxes)}, boxes}
}

// SortEndpoints gives boxes in the order that their sum is of, each id once.
func SortEndpoints(boxes []membership.Endpoint) []membership.Endpoint {
	return newContent(0, 0, boxes).boxes
}

// VersionOf names a list that has these boxes.
func VersionOf(n int, version uint64, boxes []membership.Endpoint) ListVersion {
	return newContent(n, version, boxes).ListVersion
}

// difference is the delta between two lists, which are in order.
func difference(was, is *content) *Delta {
	d := &Delta{ListVersion: is.ListVersion, BaseSum: was.Sum}
	i := 0
	for _, b := range is.boxes {
		for ; i < len(was.boxes) && was.boxes[i].ID < b.ID; i++ {
			d.Removed = append(d.Removed, was.boxes[i].ID)
		}
		if i < len(was.boxes) && was.boxes[i].ID == b.ID {
			if was.boxes[i] != b {
				d.Endpoints = append(d.Endpoints, b)
			}
			i++
			continue
		}
		d.Endpoints = append(d.Endpoints, b)
	}
	for ; i < len(was.boxes); i++ {
		d.Removed = append(d.Removed, was.boxes[i].ID)
	}
	return d
}

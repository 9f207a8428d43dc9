package bootstrap

import (
	"crypto/sha256"
	"encoding/hex"
	"flag"
	"fmt"
	"hash"
	"math/rand/v2"
	"os"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"sloequay/internal/membership"
)

var updateDecisions = flag.Bool("update", false, "write testdata/decisions.txt anew instead of comparing with it")

const (
	decisionsFile = "testdata/decisions.txt"
	decisionSeeds = 24
	decisionTick  = 20 * time.Millisecond
	decisionTicks = 900
)

// transcript digests all that the machines give back, one output a line, and counts the outputs by kind. Its text is
// made from plain words and numbers alone, so that it does not change with the names of types, fields and constants.
type transcript struct {
	digest hash.Hash
	lines  int
	counts map[string]int
}

func (x *transcript) write(kind string, words ...string) {
	x.lines++
	x.counts[kind]++
	fmt.Fprintf(x.digest, "%s %s\n", kind, strings.Join(words, " "))
}

func number(n int) string                 { return strconv.Itoa(n) }
func unsigned(n uint64) string            { return strconv.FormatUint(n, 10) }
func microseconds(d time.Duration) string { return strconv.FormatInt(d.Microseconds(), 10) }

func yes(b bool) string {
	if b {
		return "yes"
	}
	return "no"
}

func stateText(s membership.State) string {
	switch s {
	case membership.Gone:
		return "s0"
	case membership.Draining:
		return "s1"
	case membership.Up:
		return "s2"
	}
	return "s?"
}

func noteText(w Event) string {
	switch w {
	case Polling:
		return "note-asks"
	case Following:
		return "note-listens"
	case Isolated:
		return "note-alone"
	case ListAccepted:
		return "note-believed"
	case HintUsed:
		return "note-hinted"
	case PeerRefuted:
		return "note-refuted"
	case ChecksumMismatch:
		return "note-spoilt"
	}
	return "note-?"
}

func markText(k ListVersion) string {
	return number(k.List) + ":" + unsigned(k.Version) + ":" + unsigned(k.Sum)
}

func endpointsText(all []membership.Endpoint) string {
	var out strings.Builder
	for _, b := range all {
		out.WriteString(strings.Join([]string{b.ID, b.Address, number(b.Zone), number(b.Kind), number(b.Cell),
			strconv.FormatFloat(b.Weight, 'g', -1, 64), microseconds(b.StartedAt), unsigned(b.Incarnation),
			stateText(b.State)}, ","))
		out.WriteByte(';')
	}
	return out.String()
}

// message records a message by its kind and content.
func (x *transcript) message(from, to string, m Message) {
	head := []string{from, to, m.From, unsigned(m.Incarnation)}
	switch {
	case m.Digest != nil:
		for _, c := range m.Digest {
			head = append(head, markText(c.ListVersion), microseconds(c.LastSeen))
		}
		x.write("send-digest", head...)
	case m.Fetch != nil:
		x.write("send-want", append(head, markText(m.Fetch.ListVersion), unsigned(m.Fetch.HaveSum))...)
	case m.Part != nil:
		x.write("send-part", append(head, markText(m.Part.ListVersion), number(m.Part.Number), number(m.Part.Total),
			endpointsText(m.Part.Endpoints))...)
	case m.Delta != nil:
		x.write("send-delta", append(head, markText(m.Delta.ListVersion), unsigned(m.Delta.BaseSum),
			endpointsText(m.Delta.Endpoints), strings.Join(m.Delta.Removed, ","))...)
	case m.Busy != nil && m.Busy.Peer != "":
		x.write("send-busy-elsewhere", append(head, markText(m.Busy.ListVersion), m.Busy.Peer)...)
	case m.Busy != nil:
		x.write("send-busy", append(head, markText(m.Busy.ListVersion))...)
	default:
		x.write("send-?", head...)
	}
}

// effect records what a machine wants done.
func (x *transcript) effect(of string, e Effect) {
	switch e := e.(type) {
	case Send:
		x.message(of, e.To, e.Message)
	case Poll:
		x.write("follow-"+yes(e.On), of)
	case Adopt:
		x.write("use-hint-"+yes(e.Hint), of, number(e.List), unsigned(e.Version), endpointsText(e.Endpoints))
	case SourceStatus:
		x.write("speaks-silent-"+yes(e.Silent), of, number(e.List))
	case LogEntry:
		x.write(noteText(e.Event), of, e.Peer, number(e.List))
	default:
		x.write("effect-?", of)
	}
}

// lie is how a proxy errs towards its peers.
type lie int

// The lies.
const (
	honest     lie = iota
	ahead          // tells a later list of its own, and serves it
	other          // tells another list under the same version
	torn           // serves endpoints that do not have the checksum
	misshapen      // serves parts that can't be
	unwilling      // serves nothing
	greedy         // asks for the whole list over and over
	colluding      // tells a later list that others of its kind tell too
	liesNumber     // the number of them
)

// proxy is one machine with what surrounds it.
type proxy struct {
	*Machine
	name, zone string
	lives      bool
	epoch      uint64
	follows    bool
	polled     time.Duration // when it asked the list service last
	known      []uint64      // the version of each list that the service told it last
	cut        bool          // from the service
	late       time.Duration // by which all its messages are late
	lie        lie
}

// parcel is something that is on its way to a proxy.
type parcel struct {
	at    time.Duration
	to    *proxy
	epoch uint64
	open  func(to *proxy) []Effect
}

// service is the list service.
type service struct {
	lists    [][]membership.Endpoint
	versions []uint64
	answers  bool
}

// fleet is some proxies, the service and the network, in ticks of a simulated clock.
type fleet struct {
	random  *rand.Rand
	now     time.Duration
	proxies []*proxy
	service service
	parcels []parcel
	parted  bool // the zones don't hear each other
	size    int  // as it is told to the machines
	peers   bool
	made    int
	record  *transcript
}

func newFleet(seed uint64, record *transcript) *fleet {
	f := &fleet{random: rand.New(rand.NewPCG(seed, 72)), now: 7_000 * time.Second, record: record}
	count, lengths := 8, []int{9, 130}
	f.peers, f.size = seed%12 != 11, count
	if seed%4 == 1 {
		count, lengths = 16, []int{6, 6}
		f.size = 40 // less than half of the fleet is in view
	}
	f.service.answers = seed%3 != 2
	for _, length := range lengths {
		var all []membership.Endpoint
		for range length {
			all = append(all, f.endpoint())
		}
		f.service.lists = append(f.service.lists, all)
		f.service.versions = append(f.service.versions, 1)
	}
	for i := range count {
		p := &proxy{name: fmt.Sprintf("p%02d", i), zone: "zone" + number(i%(1+int(seed%2)))}
		f.proxies = append(f.proxies, p)
		f.restart(p)
	}
	return f
}

func (f *fleet) endpoint() membership.Endpoint {
	f.made++
	id, address := fmt.Sprintf("e%04d", f.made), fmt.Sprintf("10.0.%d.%d:80", f.made/250, f.made%250)
	return membership.Endpoint{ID: id, Address: address, Zone: f.made % 3, Kind: f.made % 2,
		Weight: 1 + float64(f.made%4)/2, Incarnation: uint64(f.made), State: membership.Up}
}

// restart begins a proxy anew.
func (f *fleet) restart(p *proxy) {
	p.lives, p.follows, p.lie, p.late, p.cut = true, false, honest, 0, false
	p.epoch++
	p.known = make([]uint64, len(f.service.lists))
	p.Machine = New(f.now, Config{Name: p.name, Incarnation: p.epoch, Zone: p.zone, Peers: f.peers, Lists: len(f.service.lists),
		Fleet: f.size, Pollers: 2, MaxAdvertisements: 8, History: 3, Seed: f.random.Uint64()})
	f.meet()
}

// meet has all learn a little later who lives.
func (f *fleet) meet() {
	for _, p := range f.proxies {
		f.post(p, f.span(300*time.Millisecond), func(to *proxy) []Effect { return to.PeersChanged(f.now, f.live(to)) })
	}
}

func (f *fleet) live(of *proxy) (out []Peer) {
	for _, p := range f.proxies {
		if p.lives && !(f.parted && p.zone != of.zone) {
			out = append(out, Peer{Name: p.name, Zone: p.zone})
		}
	}
	return out
}

func (f *fleet) span(most time.Duration) time.Duration {
	return time.Duration(f.random.Int64N(int64(most)))
}

func (f *fleet) post(to *proxy, after time.Duration, open func(to *proxy) []Effect) {
	f.parcels = append(f.parcels, parcel{f.now + after, to, to.epoch, open})
}

// carry records what a machine wants done, and does it.
func (f *fleet) carry(p *proxy, effects []Effect) {
	for _, e := range effects {
		f.record.effect(p.name, e)
		switch e := e.(type) {
		case Send:
			f.send(p, e)
		case Poll:
			p.follows, p.polled = e.On, 0
		}
	}
}

// send puts a message on its way, changed by who lies, and loses some.
func (f *fleet) send(from *proxy, e Send) {
	m, told := f.bend(from, e.Message)
	at := slices.IndexFunc(f.proxies, func(p *proxy) bool { return p.name == e.To })
	if !told || at < 0 || !f.proxies[at].lives || f.parted && f.proxies[at].zone != from.zone || f.random.IntN(50) == 0 {
		return
	}
	after := from.late + time.Millisecond + f.span(30*time.Millisecond)
	for range 1 + f.random.IntN(20)/19 { // some come twice
		f.post(f.proxies[at], after, func(to *proxy) []Effect { return to.MessageReceived(f.now, m) })
	}
}

// forged is the list that a liar tells instead of the service's.
func (f *fleet) forged(p *proxy, list int) (uint64, []membership.Endpoint) {
	all := slices.Clone(f.service.lists[list])
	all = all[:1+len(all)/2]
	version := f.service.versions[list]
	switch p.lie {
	case ahead:
		version += 1000 + p.epoch
		all[0].Address = p.name + ":80"
	case other:
		all[0].Address = p.name + ":80"
	case colluding:
		version += 500
		all[0].State = membership.Draining
	}
	return version, all
}

// bend gives the message that a proxy sends in place of an honest one; false: it sends none.
func (f *fleet) bend(p *proxy, m Message) (Message, bool) {
	switch p.lie {
	case ahead, other, colluding:
		return f.forge(p, m), true
	case torn:
		if m.Part != nil && len(m.Part.Endpoints) > 0 {
			part := *m.Part
			part.Endpoints = part.Endpoints[1:]
			m.Part = &part
		}
		if m.Delta != nil {
			delta := *m.Delta
			delta.Endpoints, delta.Removed = nil, append(slices.Clone(delta.Removed), "e0001", "e0002")
			m.Delta = &delta
		}
	case misshapen:
		if m.Part != nil {
			part := *m.Part
			part.Number, part.Total = part.Total, part.Number
			m.Part = &part
		}
	case unwilling:
		return m, m.Part == nil && m.Delta == nil
	}
	return m, true
}

// forge puts the forged lists in the place of the true ones.
func (f *fleet) forge(p *proxy, m Message) Message {
	switch {
	case m.Digest != nil:
		var claims []Advertisement
		for list := range f.service.lists {
			version, all := f.forged(p, list)
			claims = append(claims, Advertisement{ListVersion: VersionOf(list, version, all), LastSeen: 10 * time.Millisecond})
		}
		m.Digest = claims
	case m.Busy != nil: // it does not hold what it has told of, and serves that all the same
		list := m.Busy.List
		version, all := f.forged(p, list)
		if mark := VersionOf(list, version, all); mark == m.Busy.ListVersion {
			all = SortEndpoints(all)
			m.Part, m.Busy = &Part{ListVersion: mark, Total: 1, Endpoints: all[:min(len(all), EndpointsPerPart)]}, nil
		}
	}
	return m
}

// poll has the list service answer those that ask: the whole list where it is new, and a sign of life each second.
func (f *fleet) poll(p *proxy) {
	if !f.service.answers || p.cut || !p.follows || p.polled > 0 && f.now-p.polled < time.Second && !f.news(p) {
		return
	}
	p.polled = f.now
	for list, version := range f.service.versions {
		if p.known[list] == version {
			f.post(p, f.span(60*time.Millisecond), func(to *proxy) []Effect { return to.ServiceSeen(f.now, list) })
			continue
		}
		p.known[list] = version
		all := slices.Clone(f.service.lists[list])
		f.post(p, f.span(200*time.Millisecond), func(to *proxy) []Effect { return to.ListFromService(f.now, list, version, all) })
	}
}

func (f *fleet) news(p *proxy) bool { return !slices.Equal(p.known, f.service.versions) }

// turnOver changes a list of the service.
func (f *fleet) turnOver(*proxy) {
	list := f.random.IntN(len(f.service.lists))
	all := slices.Clone(f.service.lists[list])
	at := f.random.IntN(len(all))
	switch f.random.IntN(4) {
	case 0:
		all = append(all, f.endpoint())
	case 1:
		if len(all) > 4 {
			all = slices.Delete(all, at, at+1)
		}
	case 2:
		all[at].State = membership.Draining
	case 3:
		all[at].State = membership.Up
		all[at].Incarnation++
	}
	f.service.lists[list] = all
	f.service.versions[list]++
}

func (f *fleet) vanish(p *proxy) {
	if p.lives {
		p.lives = false
		f.meet()
	}
}

func (f *fleet) comeBack(*proxy) {
	for _, p := range f.proxies {
		if !p.lives {
			f.restart(p)
			return
		}
	}
}

func (f *fleet) restartAll(*proxy) {
	if f.random.IntN(4) == 0 {
		for _, p := range f.proxies {
			f.restart(p)
		}
	}
}

func (f *fleet) toggleService(*proxy) { f.service.answers = !f.service.answers }
func (f *fleet) serviceComes(*proxy)  { f.service.answers = true }
func (f *fleet) cutOff(p *proxy)      { p.cut = !p.cut }
func (f *fleet) turnLiar(p *proxy)    { p.lie = lie(1 + f.random.IntN(int(liesNumber)-1)) }

func (f *fleet) turnHonest(*proxy) {
	for _, p := range f.proxies {
		p.lie = honest
	}
}

func (f *fleet) collude(p *proxy) {
	p.lie = colluding
	f.proxies[f.random.IntN(len(f.proxies))].lie = colluding
}

func (f *fleet) comeLate(p *proxy) {
	if p.late = 0; f.random.IntN(2) == 0 {
		p.late = 100*time.Millisecond + f.span(time.Second)
	}
}

func (f *fleet) part(*proxy) {
	f.parted = !f.parted
	f.meet()
}

// beg has a greedy proxy ask a peer for whole lists many times at once.
func (f *fleet) beg(p *proxy) {
	to := f.proxies[f.random.IntN(len(f.proxies))]
	mark, known := to.Version(0)
	if p.lie != greedy || !known || !p.lives {
		return
	}
	for range 10 {
		m := Message{From: p.name, Incarnation: p.epoch, Fetch: &Fetch{ListVersion: mark}}
		f.post(to, f.span(20*time.Millisecond), func(to *proxy) []Effect { return to.MessageReceived(f.now, m) })
	}
}

// disturb plays one event, drawn from a list in which the common ones stand more than once.
func (f *fleet) disturb() {
	events := []func(*fleet, *proxy){(*fleet).turnOver, (*fleet).turnOver, (*fleet).turnOver, (*fleet).turnOver,
		(*fleet).vanish, (*fleet).comeBack, (*fleet).comeBack, (*fleet).restartAll, (*fleet).toggleService,
		(*fleet).serviceComes, (*fleet).cutOff, (*fleet).turnLiar, (*fleet).turnLiar, (*fleet).turnHonest,
		(*fleet).collude, (*fleet).comeLate, (*fleet).part}
	events[f.random.IntN(len(events))](f, f.proxies[f.random.IntN(len(f.proxies))])
}

// deliver opens what has arrived, in the order of its sending.
func (f *fleet) deliver() {
	waiting := f.parcels
	f.parcels = nil
	for _, p := range waiting {
		switch {
		case p.at > f.now:
			f.parcels = append(f.parcels, p)
		case p.to.lives && p.to.epoch == p.epoch:
			f.carry(p.to, p.open(p.to))
		}
	}
}

// tick plays the span of a tick.
func (f *fleet) tick(n int) {
	f.now += decisionTick
	if f.random.IntN(12) == 0 {
		f.disturb()
	}
	f.deliver()
	for _, p := range f.proxies {
		if !p.lives {
			continue
		}
		f.carry(p, p.Step(f.now))
		f.poll(p)
		if n%5 == 0 {
			f.beg(p)
		}
		if n%10 == 9 {
			f.look(p)
		}
	}
}

// look records what a machine says of itself.
func (f *fleet) look(p *proxy) {
	words := []string{p.name, yes(p.Polls()), yes(p.Ready()), microseconds(p.Next())}
	for list := range f.service.lists {
		mark, held := p.Version(list)
		words = append(words, yes(held), markText(mark))
	}
	for _, c := range p.Digest() {
		words = append(words, markText(c.ListVersion), microseconds(c.LastSeen))
	}
	f.record.counts["asks-"+yes(p.Polls())]++
	f.record.counts["known-"+yes(p.Ready())]++
	f.record.write("proxy", words...)
}

// decisionLine plays one seed and gives its line of the file.
func decisionLine(seed uint64, counts map[string]int) string {
	record := &transcript{digest: sha256.New(), counts: counts}
	f := newFleet(seed, record)
	for n := range decisionTicks {
		f.tick(n)
	}
	return fmt.Sprintf("%d %d %s", seed, record.lines, hex.EncodeToString(record.digest.Sum(nil)[:16]))
}

// TestDecisionsStayAsTheyWere plays seeded fleets and compares a digest of all that their machines give back with
// the one that is kept for each seed. A change of names must leave every line as it is.
func TestDecisionsStayAsTheyWere(t *testing.T) {
	counts := map[string]int{}
	var lines []string
	for seed := range uint64(decisionSeeds) {
		lines = append(lines, decisionLine(seed, counts))
	}
	checkCounts(t, counts, map[string]int{
		"asks-no": 4000, "asks-yes": 6000, "known-no": 900, "known-yes": 9000, "follow-no": 100, "follow-yes": 250,
		"note-alone": 60, "note-asks": 200, "note-believed": 1000, "note-hinted": 200, "note-listens": 100,
		"note-refuted": 190, "note-spoilt": 12, "send-busy": 1400, "send-busy-elsewhere": 90, "send-delta": 900,
		"send-digest": 14000, "send-part": 2300, "send-want": 3000, "speaks-silent-no": 60, "speaks-silent-yes": 400,
		"use-hint-no": 1000, "use-hint-yes": 200, "proxy": 10000,
	})
	compareDecisions(t, lines)
}

// checkCounts checks that the sequences have variety: at least so many outputs of each kind.
func checkCounts(t *testing.T, counts, least map[string]int) {
	t.Helper()
	for kind, n := range least {
		if counts[kind] < n {
			t.Errorf("%d outputs of kind %s, want at least %d: the sequences have too little variety", counts[kind], kind, n)
		}
	}
	for kind := range counts {
		if strings.HasSuffix(kind, "?") {
			t.Errorf("%d outputs have a value that this test does not know: %s", counts[kind], kind)
		}
	}
}

// compareDecisions compares the lines with the file, or writes it with -update.
func compareDecisions(t *testing.T, lines []string) {
	t.Helper()
	if *updateDecisions {
		if err := os.WriteFile(decisionsFile, []byte(strings.Join(lines, "\n")+"\n"), 0o644); err != nil {
			t.Fatal(err)
		}
		return
	}
	const remedy = "where the change of behaviour is meant: go test ./start -run TestDecisionsStayAsTheyWere -update"
	text, err := os.ReadFile(decisionsFile)
	if err != nil {
		t.Fatalf("%v; %s", err, remedy)
	}
	kept := strings.Split(strings.TrimSuffix(string(text), "\n"), "\n")
	if len(kept) != len(lines) {
		t.Fatalf("%s has %d lines, want %d; %s", decisionsFile, len(kept), len(lines), remedy)
	}
	differ := 0
	for i := range lines {
		if lines[i] != kept[i] {
			differ++
			t.Errorf("seed, outputs and digest are %q, and %q is kept", lines[i], kept[i])
		}
	}
	if differ > 0 {
		t.Errorf("%d of %d seeds differ; %s", differ, len(lines), remedy)
	}
}

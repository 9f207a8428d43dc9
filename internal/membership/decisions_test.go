package membership

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
)

var updateDecisions = flag.Bool("update", false, "write testdata/decisions.txt anew instead of comparing with it")

const (
	decisionsFile   = "testdata/decisions.txt"
	decisionSeeds   = 24
	decisionSteps   = 500
	decisionNames   = 24 // endpoint ids that the sources draw from
	decisionAdvance = 400 * time.Millisecond
)

// transcript digests all that a table gives back, one output a line, and counts the outputs by kind. Its text is made
// from plain words and numbers alone, so that it does not change with the names of types, fields and constants.
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

func stateText(s State) string {
	switch s {
	case Gone:
		return "s0"
	case Draining:
		return "s1"
	case Up:
		return "s2"
	}
	return "s?"
}

func reasonText(w Reason) string {
	switch w {
	case Reported:
		return "reason-word"
	case Unlisted:
		return "reason-unnamed"
	case Suppressed:
		return "reason-held"
	case Replaced:
		return "reason-replaced"
	}
	return "reason-?"
}

func changeText(k Kind) string {
	switch k {
	case Removed:
		return "change-left"
	case Added:
		return "change-added"
	case StartedDraining:
		return "change-drains"
	case Moved:
		return "change-moved"
	case Restarted:
		return "change-restarted"
	case Recovered:
		return "change-back"
	case Modified:
		return "change-altered"
	}
	return "change-?"
}

func noteText(k NoteKind) string {
	switch k {
	case LossSuspected:
		return "note-loss-doubted"
	case LossConfirmed:
		return "note-loss-confirmed"
	case LossRefuted:
		return "note-loss-refuted"
	case Renamed:
		return "note-renamed"
	case DuplicateID:
		return "note-named-twice"
	case ListFull:
		return "note-list-full"
	case EndpointSuppressed:
		return "note-held"
	case EndpointReleased:
		return "note-released"
	}
	return "note-?"
}

func endpointText(b Endpoint) string {
	return strings.Join([]string{b.ID, b.Address, number(b.Zone), number(b.Kind), number(b.Cell),
		strconv.FormatFloat(b.Weight, 'g', -1, 64), microseconds(b.StartedAt), unsigned(b.Incarnation), stateText(b.State)}, ",")
}

func yes(b bool) string {
	if b {
		return "yes"
	}
	return "no"
}

// playedSource is a source as the player plays it: what it would list now, and the short list that it gave last.
type playedSource struct {
	endpoints []Endpoint
	short     []Endpoint
	version   uint64
}

// player plays one seeded sequence of events to a table.
type player struct {
	table   *Table
	config  Config
	random  *rand.Rand
	now     time.Duration
	offset  time.Duration
	sources []playedSource
	asked   []int // sources that the table wants to be asked again
	record  *transcript
}

func newPlayer(seed uint64, record *transcript) *player {
	p := &player{random: rand.New(rand.NewPCG(seed, 71)), record: record}
	p.now, p.offset = 5_000*time.Second, 900*time.Second
	p.config = Config{MaxLossShare: 0.3, MinLoss: 2, MaxSilence: 10 * time.Second, Forget: 6 * time.Second}
	p.config.Sources = []Source{
		{Name: "catalogue", ConfirmLosses: true, FirstSeenIsStart: true,
			Damping: Damping{SuppressAbove: 3, ReuseBelow: 1, HalfLife: 5 * time.Second, MaxSuppress: 20 * time.Second}},
		{Name: "bulletin", ConfirmLosses: seed%2 == 0},
		{Name: "file", Damping: Damping{SuppressAbove: 1.5, ReuseBelow: 0.7, HalfLife: 2 * time.Second, MaxSuppress: 4 * time.Second}},
	}
	switch seed % 4 {
	case 1:
		p.config.MaxEndpoints = decisionNames - 6
	case 2:
		p.config.MaxSilence = 0
	case 3:
		p.config.ConfirmInterval = 700 * time.Millisecond
	}
	p.table = New(p.config)
	p.table.SetOffset(p.offset)
	p.sources = make([]playedSource, len(p.config.Sources))
	for i := range p.sources {
		for n := range decisionNames {
			if p.random.IntN(3) > 0 {
				p.sources[i].endpoints = append(p.sources[i].endpoints, p.endpoint(i, n))
			}
		}
	}
	return p
}

// endpoint is what a source says of an id that it has not named before.
func (p *player) endpoint(source, n int) Endpoint {
	b := Endpoint{ID: fmt.Sprintf("e%02d", n), Address: fmt.Sprintf("10.0.0.%d:80", n), Zone: n % 3, Kind: n % 2, Cell: n % 5,
		Weight: 1 + float64(n%4)/2, Incarnation: uint64(source), State: Up}
	if p.random.IntN(10) == 0 {
		b.Address = fmt.Sprintf("10.0.0.%d:80", p.random.IntN(decisionNames))
	}
	return b
}

// edit changes one thing of an endpoint.
func (p *player) edit(b *Endpoint) {
	switch p.random.IntN(8) {
	case 0, 1:
		b.State = Draining
	case 2, 3:
		b.State = Up
	case 4:
		b.State = Gone
	case 5:
		b.Incarnation++
	case 6:
		b.StartedAt = p.now + p.offset
	case 7:
		if p.random.IntN(2) == 0 {
			b.Weight++
		} else {
			b.Address = fmt.Sprintf("10.0.0.%d:80", p.random.IntN(decisionNames))
		}
	}
}

// turnOver edits some endpoints of a source, has one leave and another come.
func (p *player) turnOver(source int) {
	s := &p.sources[source]
	for range p.random.IntN(3) {
		if len(s.endpoints) > 0 {
			p.edit(&s.endpoints[p.random.IntN(len(s.endpoints))])
		}
	}
	if len(s.endpoints) > 6 && p.random.IntN(2) == 0 {
		at := p.random.IntN(len(s.endpoints))
		s.endpoints = slices.Delete(s.endpoints, at, at+1)
	}
	b := p.endpoint(source, p.random.IntN(decisionNames))
	if !slices.ContainsFunc(s.endpoints, func(o Endpoint) bool { return o.ID == b.ID }) {
		s.endpoints = append(s.endpoints, b)
	}
	s.version++
}

func (p *player) list(source int, l List) {
	l.Version = p.sources[source].version
	l.Endpoints = slices.Clone(l.Endpoints)
	p.table.ReplaceList(p.now, source, l)
}

func (p *player) wholeList(source int) {
	p.turnOver(source)
	p.list(source, List{Endpoints: p.sources[source].endpoints})
}

func (p *player) shortList(source int) {
	s := &p.sources[source]
	s.short = nil
	for _, b := range s.endpoints {
		if p.random.IntN(2) == 0 {
			s.short = append(s.short, b)
		}
	}
	p.list(source, List{Endpoints: s.short})
}

func (p *player) emptyList(source int) { p.list(source, List{}) }

// partialList gives a list from which nothing is lost.
func (p *player) partialList(source int) {
	some := p.sources[source].endpoints
	some = some[:p.random.IntN(len(some)+1)]
	p.list(source, List{Endpoints: some, Incomplete: p.random.IntN(2) == 0, Part: true})
}

func (p *player) repeatedList(source int) {
	all := p.sources[source].endpoints
	p.list(source, List{Endpoints: append(slices.Clone(all), all[:min(2, len(all))]...)})
}

// renamedList has an endpoint under another id at its old address.
func (p *player) renamedList(source int) {
	s := &p.sources[source]
	if len(s.endpoints) == 0 {
		return
	}
	b := &s.endpoints[p.random.IntN(len(s.endpoints))]
	b.ID = fmt.Sprintf("%s.%d", b.ID[:3], p.random.IntN(100))
	p.list(source, List{Endpoints: s.endpoints})
}

// answer answers the question for a doubted list, with what the source has or with the short list once more.
func (p *player) answer(int) {
	if len(p.asked) == 0 {
		return
	}
	source := p.asked[0]
	p.asked = p.asked[1:]
	s := &p.sources[source]
	if p.random.IntN(2) == 0 && len(s.short) > 0 {
		s.endpoints = slices.Clone(s.short)
	}
	p.list(source, List{Endpoints: s.endpoints, Confirms: true})
}

func (p *player) change(source int) {
	s := &p.sources[source]
	var changes []Endpoint
	for range 1 + p.random.IntN(3) {
		if len(s.endpoints) == 0 {
			break
		}
		b := &s.endpoints[p.random.IntN(len(s.endpoints))]
		p.edit(b)
		changes = append(changes, *b)
	}
	if p.random.IntN(3) == 0 {
		changes = append(changes, Endpoint{ID: fmt.Sprintf("e%02d", p.random.IntN(decisionNames)), State: Gone})
	}
	s.version++
	p.table.ApplyDelta(p.now, source, s.version, changes)
}

// flap has one endpoint go down and up several times.
func (p *player) flap(source int) {
	s := &p.sources[source]
	if len(s.endpoints) == 0 {
		return
	}
	b := &s.endpoints[p.random.IntN(len(s.endpoints))]
	for range 2 + p.random.IntN(4) {
		for _, state := range []State{Draining, Up} {
			b.State = state
			s.version++
			p.table.ApplyDelta(p.now, source, s.version, []Endpoint{*b})
			p.advance(50 * time.Millisecond)
			p.give()
		}
	}
}

func (p *player) fallSilent(source int) { p.table.SourceSilent(p.now, source) }
func (p *player) speak(source int)      { p.table.SourceSeen(p.now, source) }

// restart exports the table and restores another one from it.
func (p *player) restart(int) {
	if p.random.IntN(4) > 0 {
		return
	}
	words := p.table.Export()
	p.exported(words)
	p.advance(3 * time.Second)
	p.table = New(p.config)
	p.table.SetOffset(p.offset)
	p.record.write("restored", number(p.table.Restore(p.now, words)))
}

func (p *player) wait(int) { p.advance(time.Duration(1+p.random.IntN(9)) * time.Second) }

// play plays one event, drawn from a list in which the common ones stand more than once.
func (p *player) play() {
	events := []func(*player, int){(*player).wholeList, (*player).wholeList, (*player).wholeList, (*player).shortList,
		(*player).emptyList, (*player).partialList, (*player).repeatedList, (*player).renamedList, (*player).answer,
		(*player).answer, (*player).answer, (*player).change, (*player).change, (*player).change, (*player).flap,
		(*player).fallSilent, (*player).fallSilent, (*player).speak, (*player).restart, (*player).wait}
	events[p.random.IntN(len(events))](p, p.random.IntN(len(p.sources)))
	p.give()
	p.advance(decisionAdvance)
}

// advance moves the clock, with a step at each time that the table asks for or, now and then, a late one alone.
func (p *player) advance(most time.Duration) {
	until := p.now + time.Duration(p.random.Int64N(int64(most)))
	for range 50 {
		next := p.table.Next()
		if next == 0 || next > until || p.random.IntN(8) == 0 {
			break
		}
		p.now = max(p.now, next)
		p.table.Step(p.now)
		p.give()
	}
	p.now = until
	p.table.Step(p.now)
	p.give()
}

// give records what the table has to give after an event.
func (p *player) give() {
	most := 1000
	if p.random.IntN(10) == 0 {
		most = 2
	}
	for _, c := range p.table.TakeChanges(p.now, most) {
		p.record.counts[reasonText(c.Reason)]++
		p.record.write(changeText(c.Kind), endpointText(c.Endpoint), endpointText(c.Previous), number(c.DecidedBy), reasonText(c.Reason))
	}
	if p.table.HasChanges() {
		p.record.write("pending")
	}
	notes, dropped := p.table.Notes()
	for _, n := range notes {
		p.record.write(noteText(n.Kind), number(n.Source), n.Endpoint, n.Other, number(n.Count), number(n.Of),
			microseconds(n.For))
	}
	if dropped > 0 {
		p.record.write("notes-dropped", number(dropped))
	}
	for _, source := range p.table.SourcesToRefetch() {
		p.asked = append(p.asked, source)
		p.record.write("ask", number(source))
	}
	p.record.write("next", microseconds(p.table.Next()), number(p.table.Len()), unsigned(p.table.Revision()))
}

// look records all that operators can see, and what a snapshot would keep.
func (p *player) look() {
	for _, s := range p.table.Sources() {
		p.record.write("source", s.Name, unsigned(s.Version), yes(s.HasReported), yes(s.Silent), microseconds(s.LastSeen),
			number(s.Endpoints), number(s.Suspected))
		if s.Suspected > 0 {
			p.record.counts["source-doubted"]++
		}
	}
	for _, v := range p.table.All(p.now) {
		words := strings.Join(v.Reports, "|")
		p.record.write("endpoint", endpointText(v.Endpoint), number(v.DecidedBy), reasonText(v.Reason), microseconds(v.Since), words)
		if strings.Contains(words, "(") {
			p.record.counts["endpoint-overruled"]++
		}
		p.record.counts["endpoint-"+stateText(v.Endpoint.State)]++
	}
	p.exported(p.table.Export())
}

func (p *player) exported(all []SourceReport) {
	for _, w := range all {
		p.record.write("export", w.Source, unsigned(w.Version), microseconds(w.LastSeen), number(len(w.Endpoints)))
		for _, b := range w.Endpoints {
			p.record.write("export-endpoint", endpointText(b))
		}
	}
}

// decisionLine plays one seed and gives its line of the file.
func decisionLine(seed uint64, counts map[string]int) string {
	record := &transcript{digest: sha256.New(), counts: counts}
	p := newPlayer(seed, record)
	for i := range decisionSteps {
		p.play()
		if i%20 == 19 {
			p.look()
		}
	}
	return fmt.Sprintf("%d %d %s", seed, record.lines, hex.EncodeToString(record.digest.Sum(nil)[:16]))
}

// TestDecisionsStayAsTheyWere plays seeded sequences of events and compares a digest of all that the table gives back
// with the one that is kept for each seed. A change of names must leave every line as it is.
func TestDecisionsStayAsTheyWere(t *testing.T) {
	counts := map[string]int{}
	var lines []string
	for seed := range uint64(decisionSeeds) {
		lines = append(lines, decisionLine(seed, counts))
	}
	checkCounts(t, counts, map[string]int{
		"change-left": 2000, "change-added": 4000, "change-drains": 1500, "change-moved": 500, "change-restarted": 900,
		"change-back": 1000, "change-altered": 140, "reason-word": 8000, "reason-unnamed": 1500, "reason-held": 40,
		"reason-replaced": 1000, "note-loss-doubted": 300, "note-loss-confirmed": 90, "note-loss-refuted": 150,
		"note-renamed": 250, "note-named-twice": 600, "note-list-full": 500, "note-held": 150, "note-released": 100,
		"ask": 800, "pending": 130, "restored": 70, "source": 1800, "source-doubted": 70, "endpoint": 6000,
		"endpoint-overruled": 170, "endpoint-s0": 1300, "endpoint-s1": 2300, "endpoint-s2": 3000, "export-endpoint": 9000,
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
	const remedy = "where the change of behaviour is meant: go test ./membership -run TestDecisionsStayAsTheyWere -update"
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

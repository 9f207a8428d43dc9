package membership

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"sloequay/internal/digesttest"
)

// playedSource is a source as the player plays it: what it would list now, and the short list that it gave last.
type playedSource struct {
	endpoints []Endpoint
	short     []Endpoint
	version   uint64
}

// player plays one seeded sequence of events to a table.
type player struct {
	table     *Table
	config    Config
	random    *rand.Rand
	now       time.Duration
	offset    time.Duration
	sources   []playedSource
	refetches []int // sources that the table wants fetched again
	record    *digesttest.Transcript
}

func newPlayer(seed uint64, record *digesttest.Transcript) *player {
	p := &player{random: rand.New(rand.NewPCG(seed, 71)), record: record}
	p.now, p.offset = 5_000*time.Second, 900*time.Second
	p.config = Config{MaxLossShare: 0.3, MinLoss: 2, MaxSilence: 10 * time.Second, TombstoneRetention: 6 * time.Second}
	slow := Damping{SuppressAbove: 3, ReuseBelow: 1, HalfLife: 5 * time.Second, MaxSuppress: 20 * time.Second}
	fast := Damping{SuppressAbove: 1.5, ReuseBelow: 0.7, HalfLife: 2 * time.Second, MaxSuppress: 4 * time.Second}
	p.config.Sources = []Source{
		{Name: "catalogue", ConfirmLosses: true, FirstSeenIsStart: true, Damping: slow},
		{Name: "bulletin", ConfirmLosses: seed%2 == 0},
		{Name: "file", Damping: fast},
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
	b := Endpoint{
		ID:          fmt.Sprintf("e%02d", n),
		Address:     fmt.Sprintf("10.0.0.%d:80", n),
		Zone:        n % 3,
		Kind:        n % 2,
		Cell:        n % 5,
		Weight:      1 + float64(n%4)/2,
		Incarnation: uint64(source),
		State:       Up,
	}
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

// turnOver edits some endpoints of a source, removes one and adds another.
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

func (p *player) completeList(source int) {
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

// answer answers the fetch of a suspected list, with what the source has or with the short list once more.
func (p *player) answer(int) {
	if len(p.refetches) == 0 {
		return
	}
	source := p.refetches[0]
	p.refetches = p.refetches[1:]
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

func (p *player) answerAgain(source int) { p.table.SourceSeen(p.now, source) }

// restart exports the table and restores another one from it.
func (p *player) restart(int) {
	if p.random.IntN(4) > 0 {
		return
	}
	reports := p.table.Export()
	p.exported(reports)
	p.advance(3 * time.Second)
	p.table = New(p.config)
	p.table.SetOffset(p.offset)
	p.record.Write("restored", digesttest.Number(p.table.Restore(p.now, reports)))
}

func (p *player) wait(int) { p.advance(time.Duration(1+p.random.IntN(9)) * time.Second) }

// play plays one event, drawn from a list in which the common ones stand more than once.
func (p *player) play() {
	events := []func(*player, int){
		(*player).completeList, (*player).completeList, (*player).completeList, (*player).shortList,
		(*player).emptyList, (*player).partialList, (*player).repeatedList, (*player).renamedList,
		(*player).answer, (*player).answer, (*player).answer,
		(*player).change, (*player).change, (*player).change, (*player).flap,
		(*player).fallSilent, (*player).fallSilent, (*player).answerAgain, (*player).restart, (*player).wait,
	}
	events[p.random.IntN(len(events))](p, p.random.IntN(len(p.sources)))
	p.give()
	p.advance(decisionAdvance)
}

// advance moves the clock, with a step at each time that the table asks for or, now and then, a late one alone.
func (p *player) advance(limit time.Duration) {
	until := p.now + time.Duration(p.random.Int64N(int64(limit)))
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
	limit := 1000
	if p.random.IntN(10) == 0 {
		limit = 2
	}
	for _, c := range p.table.TakeChanges(p.now, limit) {
		p.record.Count(reasonText(c.Reason))
		p.record.Write(changeText(c.Kind), endpointText(c.Endpoint), endpointText(c.Previous),
			digesttest.Number(c.DecidedBy), reasonText(c.Reason))
	}
	if p.table.HasChanges() {
		p.record.Write("pending")
	}
	notes, dropped := p.table.TakeNotes()
	for _, n := range notes {
		p.record.Write(noteText(n.Kind), digesttest.Number(n.Source), n.Endpoint, n.RenamedTo,
			digesttest.Number(n.Count), digesttest.Number(n.Total), digesttest.Microseconds(n.Duration))
	}
	if dropped > 0 {
		p.record.Write("notes-dropped", digesttest.Number(dropped))
	}
	for _, source := range p.table.SourcesToRefetch() {
		p.refetches = append(p.refetches, source)
		p.record.Write("ask", digesttest.Number(source))
	}
	p.record.Write("next", digesttest.Microseconds(p.table.Next()), digesttest.Number(p.table.Len()),
		digesttest.Unsigned(p.table.Revision()))
}

// look records all that operators can see, and what a snapshot would keep.
func (p *player) look() {
	for _, s := range p.table.Sources() {
		p.record.Write("source", s.Name, digesttest.Unsigned(s.Version), digesttest.YesNo(s.HasReported),
			digesttest.YesNo(s.Silent), digesttest.Microseconds(s.LastSeen), digesttest.Number(s.Endpoints),
			digesttest.Number(s.Suspected))
		if s.Suspected > 0 {
			p.record.Count("source-doubted")
		}
	}
	for _, v := range p.table.All(p.now) {
		reports := strings.Join(v.Reports, "|")
		p.record.Write("endpoint", endpointText(v.Endpoint), digesttest.Number(v.DecidedBy), reasonText(v.Reason),
			digesttest.Microseconds(v.Since), reports)
		if strings.Contains(reports, "(") {
			p.record.Count("endpoint-overruled")
		}
		p.record.Count("endpoint-" + stateText(v.Endpoint.State))
	}
	p.exported(p.table.Export())
}

func (p *player) exported(reports []SourceReport) {
	for _, report := range reports {
		p.record.Write("export", report.Source, digesttest.Unsigned(report.Version),
			digesttest.Microseconds(report.LastSeen), digesttest.Number(len(report.Endpoints)))
		for _, endpoint := range report.Endpoints {
			p.record.Write("export-endpoint", endpointText(endpoint))
		}
	}
}

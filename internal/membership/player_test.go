package membership

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"sloequay/internal/digesttest"
)

// simulatedSource is a source that the eventProducer simulates.
type simulatedSource struct {
	endpoints []Endpoint // what a complete list would contain now
	short     []Endpoint // the last short list
	version   uint64
}

// eventProducer applies one seeded random sequence of events to a table, and records what the table returns.
type eventProducer struct {
	table      *Table
	config     Config
	random     *rand.Rand
	now        time.Duration
	offset     time.Duration
	sources    []simulatedSource
	refetches  []int // sources whose lists the table has requested again
	transcript *digesttest.Transcript
}

func newEventProducer(seed uint64, transcript *digesttest.Transcript) *eventProducer {
	p := &eventProducer{random: rand.New(rand.NewPCG(seed, 71)), transcript: transcript}
	p.now, p.offset = 5_000*time.Second, 900*time.Second
	p.config = Config{MaxLossShare: 0.3, MinLoss: 2, MaxSilence: 10 * time.Second, TombstoneTTL: 6 * time.Second}
	slowDamping := Damping{SuppressAbove: 3, ReuseBelow: 1, HalfLife: 5 * time.Second, MaxSuppress: 20 * time.Second}
	fastDamping := Damping{SuppressAbove: 1.5, ReuseBelow: 0.7, HalfLife: 2 * time.Second, MaxSuppress: 4 * time.Second}
	p.config.Sources = []Source{
		{Name: "catalogue", ConfirmLosses: true, FirstSeenIsStart: true, Damping: slowDamping},
		{Name: "bulletin", ConfirmLosses: seed%2 == 0},
		{Name: "file", Damping: fastDamping},
	}
	switch seed % 4 {
	case 1:
		p.config.MaxEndpoints = decisionIDs - 6
	case 2:
		p.config.MaxSilence = 0
	case 3:
		p.config.ConfirmInterval = 700 * time.Millisecond
	}
	p.table = New(p.config)
	p.table.SetOffset(p.offset)
	p.sources = make([]simulatedSource, len(p.config.Sources))
	for i := range p.sources {
		for n := range decisionIDs {
			if p.random.IntN(3) > 0 {
				p.sources[i].endpoints = append(p.sources[i].endpoints, p.newEndpoint(i, n))
			}
		}
	}
	return p
}

// newEndpoint returns a source's first report on the n-th ID.
func (p *eventProducer) newEndpoint(source, n int) Endpoint {
	endpoint := Endpoint{
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
		endpoint.Address = fmt.Sprintf("10.0.0.%d:80", p.random.IntN(decisionIDs))
	}
	return endpoint
}

// mutateEndpoint changes one random property of an endpoint.
func (p *eventProducer) mutateEndpoint(endpoint *Endpoint) {
	switch p.random.IntN(8) {
	case 0, 1:
		endpoint.State = Draining
	case 2, 3:
		endpoint.State = Up
	case 4:
		endpoint.State = Gone
	case 5:
		endpoint.Incarnation++
	case 6:
		endpoint.StartedAt = p.now + p.offset
	case 7:
		if p.random.IntN(2) == 0 {
			endpoint.Weight++
		} else {
			endpoint.Address = fmt.Sprintf("10.0.0.%d:80", p.random.IntN(decisionIDs))
		}
	}
}

// churn mutates some endpoints of a source, may remove one, and adds one unless it is there already.
func (p *eventProducer) churn(source int) {
	s := &p.sources[source]
	for range p.random.IntN(3) {
		if len(s.endpoints) > 0 {
			p.mutateEndpoint(&s.endpoints[p.random.IntN(len(s.endpoints))])
		}
	}
	if len(s.endpoints) > 6 && p.random.IntN(2) == 0 {
		at := p.random.IntN(len(s.endpoints))
		s.endpoints = slices.Delete(s.endpoints, at, at+1)
	}
	endpoint := p.newEndpoint(source, p.random.IntN(decisionIDs))
	if !slices.ContainsFunc(s.endpoints, func(other Endpoint) bool { return other.ID == endpoint.ID }) {
		s.endpoints = append(s.endpoints, endpoint)
	}
	s.version++
}

func (p *eventProducer) replaceList(source int, list List) {
	list.Version = p.sources[source].version
	list.Endpoints = slices.Clone(list.Endpoints)
	p.table.ReplaceList(p.now, source, list)
}

func (p *eventProducer) completeList(source int) {
	p.churn(source)
	p.replaceList(source, List{Endpoints: p.sources[source].endpoints})
}

func (p *eventProducer) shortList(source int) {
	s := &p.sources[source]
	s.short = nil
	for _, endpoint := range s.endpoints {
		if p.random.IntN(2) == 0 {
			s.short = append(s.short, endpoint)
		}
	}
	p.replaceList(source, List{Endpoints: s.short})
}

func (p *eventProducer) emptyList(source int) { p.replaceList(source, List{}) }

// partialList applies a list of some endpoints that must not cause any loss.
func (p *eventProducer) partialList(source int) {
	some := p.sources[source].endpoints
	some = some[:p.random.IntN(len(some)+1)]
	p.replaceList(source, List{Endpoints: some, Incomplete: p.random.IntN(2) == 0, Part: true})
}

func (p *eventProducer) duplicateIDList(source int) {
	all := p.sources[source].endpoints
	p.replaceList(source, List{Endpoints: append(slices.Clone(all), all[:min(2, len(all))]...)})
}

// renamedList applies a list in which one endpoint has another ID and its old address.
func (p *eventProducer) renamedList(source int) {
	s := &p.sources[source]
	if len(s.endpoints) == 0 {
		return
	}
	endpoint := &s.endpoints[p.random.IntN(len(s.endpoints))]
	endpoint.ID = fmt.Sprintf("%s.%d", endpoint.ID[:3], p.random.IntN(100))
	p.replaceList(source, List{Endpoints: s.endpoints})
}

// answerRefetch answers a requested fetch of a suspected list, with the current endpoints or with the last short list.
func (p *eventProducer) answerRefetch(int) {
	if len(p.refetches) == 0 {
		return
	}
	source := p.refetches[0]
	p.refetches = p.refetches[1:]
	s := &p.sources[source]
	if p.random.IntN(2) == 0 && len(s.short) > 0 {
		s.endpoints = slices.Clone(s.short)
	}
	p.replaceList(source, List{Endpoints: s.endpoints, Confirms: true})
}

func (p *eventProducer) applyDelta(source int) {
	s := &p.sources[source]
	var changes []Endpoint
	for range 1 + p.random.IntN(3) {
		if len(s.endpoints) == 0 {
			break
		}
		endpoint := &s.endpoints[p.random.IntN(len(s.endpoints))]
		p.mutateEndpoint(endpoint)
		changes = append(changes, *endpoint)
	}
	if p.random.IntN(3) == 0 {
		changes = append(changes, Endpoint{ID: fmt.Sprintf("e%02d", p.random.IntN(decisionIDs)), State: Gone})
	}
	s.version++
	p.table.ApplyDelta(p.now, source, s.version, changes)
}

// flap makes one endpoint drain and come up several times.
func (p *eventProducer) flap(source int) {
	s := &p.sources[source]
	if len(s.endpoints) == 0 {
		return
	}
	endpoint := &s.endpoints[p.random.IntN(len(s.endpoints))]
	for range 2 + p.random.IntN(4) {
		for _, state := range []State{Draining, Up} {
			endpoint.State = state
			s.version++
			p.table.ApplyDelta(p.now, source, s.version, []Endpoint{*endpoint})
			p.advance(50 * time.Millisecond)
			p.recordOutput()
		}
	}
}

func (p *eventProducer) fallSilent(source int) { p.table.SourceSilent(p.now, source) }

func (p *eventProducer) answerAgain(source int) { p.table.SourceSeen(p.now, source) }

// restartTable sometimes exports the table, and restores a new one from the export.
func (p *eventProducer) restartTable(int) {
	if p.random.IntN(4) > 0 {
		return
	}
	reports := p.table.Export()
	p.recordExport(reports)
	p.advance(3 * time.Second)
	p.table = New(p.config)
	p.table.SetOffset(p.offset)
	p.transcript.Write("restored", digesttest.Number(p.table.Restore(p.now, reports)))
}

func (p *eventProducer) wait(int) { p.advance(time.Duration(1+p.random.IntN(9)) * time.Second) }

// playEvent applies one random event. Common events are in the list more than once.
func (p *eventProducer) playEvent() {
	events := []func(*eventProducer, int){
		(*eventProducer).completeList, (*eventProducer).completeList, (*eventProducer).completeList,
		(*eventProducer).shortList, (*eventProducer).emptyList, (*eventProducer).partialList,
		(*eventProducer).duplicateIDList, (*eventProducer).renamedList,
		(*eventProducer).answerRefetch, (*eventProducer).answerRefetch, (*eventProducer).answerRefetch,
		(*eventProducer).applyDelta, (*eventProducer).applyDelta, (*eventProducer).applyDelta, (*eventProducer).flap,
		(*eventProducer).fallSilent, (*eventProducer).fallSilent, (*eventProducer).answerAgain,
		(*eventProducer).restartTable, (*eventProducer).wait,
	}
	events[p.random.IntN(len(events))](p, p.random.IntN(len(p.sources)))
	p.recordOutput()
	p.advance(decisionMaxAdvance)
}

// advance moves the clock by a random time up to limit. It steps the table at each time that Next returns or, now and
// then, only once at the end.
func (p *eventProducer) advance(limit time.Duration) {
	until := p.now + time.Duration(p.random.Int64N(int64(limit)))
	for range 50 {
		next := p.table.Next()
		if next == 0 || next > until || p.random.IntN(8) == 0 {
			break
		}
		p.now = max(p.now, next)
		p.table.Step(p.now)
		p.recordOutput()
	}
	p.now = until
	p.table.Step(p.now)
	p.recordOutput()
}

// recordOutput takes and records what the table returns after an event.
func (p *eventProducer) recordOutput() {
	limit := 1000
	if p.random.IntN(10) == 0 {
		limit = 2
	}
	for _, c := range p.table.TakeChanges(p.now, limit) {
		p.transcript.Count(reasonText(c.Reason))
		p.transcript.Write(changeText(c.Kind), endpointText(c.Endpoint), endpointText(c.Previous),
			digesttest.Number(c.DecidedBy), reasonText(c.Reason))
	}
	if p.table.HasChanges() {
		p.transcript.Write("pending")
	}
	notes, dropped := p.table.TakeNotes()
	for _, n := range notes {
		p.transcript.Write(noteText(n.Kind), digesttest.Number(n.Source), n.Endpoint, n.RenamedTo,
			digesttest.Number(n.Count), digesttest.Number(n.Total), digesttest.Microseconds(n.Duration))
	}
	if dropped > 0 {
		p.transcript.Write("notes-dropped", digesttest.Number(dropped))
	}
	for _, source := range p.table.SourcesToRefetch() {
		p.refetches = append(p.refetches, source)
		p.transcript.Write("ask", digesttest.Number(source))
	}
	p.transcript.Write("next", digesttest.Microseconds(p.table.Next()), digesttest.Number(p.table.Len()),
		digesttest.Unsigned(p.table.Revision()))
}

// recordViews records the views shown to operators, and what a snapshot would contain.
func (p *eventProducer) recordViews() {
	for _, s := range p.table.Sources() {
		p.transcript.Write("source", s.Name, digesttest.Unsigned(s.Version), digesttest.YesNo(s.HasReported),
			digesttest.YesNo(s.Silent), digesttest.Microseconds(s.LastSeen), digesttest.Number(s.Endpoints),
			digesttest.Number(s.Suspected))
		if s.Suspected > 0 {
			p.transcript.Count("source-doubted")
		}
	}
	for _, v := range p.table.All(p.now) {
		reports := strings.Join(v.Reports, "|")
		p.transcript.Write("endpoint", endpointText(v.Endpoint), digesttest.Number(v.DecidedBy), reasonText(v.Reason),
			digesttest.Microseconds(v.Since), reports)
		if strings.Contains(reports, "(") {
			p.transcript.Count("endpoint-overruled")
		}
		p.transcript.Count("endpoint-" + stateText(v.Endpoint.State))
	}
	p.recordExport(p.table.Export())
}

func (p *eventProducer) recordExport(reports []SourceReport) {
	for _, report := range reports {
		p.transcript.Write("export", report.Source, digesttest.Unsigned(report.Version),
			digesttest.Microseconds(report.LastSeen), digesttest.Number(len(report.Endpoints)))
		for _, endpoint := range report.Endpoints {
			p.transcript.Write("export-endpoint", endpointText(endpoint))
		}
	}
}

package membership

import "time"

// record is all that is known of an endpoint.
type record struct {
	id        string
	reports   []report // by source
	published Endpoint // as TakeChanges gave it last; Gone: not published, or published as gone
	queued    bool     // in Table.pending
	address   string   // under which it is in Table.addresses
	arrival   uint64   // its order of coming to that address
}

// reportedByOther says whether a source other than the given one has a report.
func (r *record) reportedByOther(source int) bool {
	for i := range r.reports {
		if i != source && r.reports[i].present {
			return true
		}
	}
	return false
}

// report is what one source reports of an endpoint.
type report struct {
	present    bool
	endpoint   Endpoint      // as received
	startedAt  time.Duration // as received, or found by Source.FirstSeenIsStart
	changedAt  time.Duration
	generation uint64 // of the list that named it last
	position   int    // in sourceState.order
	tombstone  bool   // "gone" by a delta: a list that lacks the endpoint withdraws it only after Config.Forget
	penalty    penalty
	// While suppressedUntil is set, the report counts as no higher than ceiling.
	ceiling         State
	suppressedUntil time.Duration
}

// state is the state as it counts now.
func (r *report) state() State {
	if r.suppressedUntil > 0 {
		return min(r.endpoint.State, r.ceiling)
	}
	return r.endpoint.State
}

// update is one call in which a source gives reports.
type update struct {
	now     time.Duration
	source  int
	initial bool // the source had given no report before
}

// add makes a record; nil: the table is full.
func (t *Table) add(id string) *record {
	if len(t.records) >= t.cfg.MaxEndpoints {
		t.leftOut++
		return nil
	}
	r := &record{id: id, reports: make([]report, len(t.sources))}
	t.records[id] = r
	return r
}

// apply takes a source's report on an endpoint.
func (t *Table) apply(u update, r *record, received *Endpoint) {
	s := &t.sources[u.source]
	current := &r.reports[u.source]
	if current.present && current.endpoint == *received {
		return
	}
	previous := *current
	if !previous.present {
		s.endpoints++
	}
	current.present = true
	current.endpoint = *received
	current.changedAt = u.now
	current.startedAt = t.startOf(u, &previous, received)
	t.damp(u, r, &previous)
	reregistered := previous.present && previous.endpoint.Incarnation != received.Incarnation
	if reregistered && previous.endpoint.Address == received.Address {
		t.arrive(r)
	}
	t.reconsider(u.now, r)
}

// startOf says when an endpoint started that a source has reported.
func (t *Table) startOf(u update, previous *report, received *Endpoint) time.Duration {
	if received.StartedAt != 0 || !t.sources[u.source].FirstSeenIsStart {
		return received.StartedAt
	}
	// The source reports registrations and no starts, so that a new one counts as a start: the endpoint may be cold.
	// What the first list names may be of any age.
	if !previous.present && u.initial {
		return 0
	}
	sameProcess := previous.present && previous.endpoint.Incarnation == received.Incarnation &&
		previous.endpoint.Address == received.Address
	if sameProcess {
		return previous.startedAt
	}
	return u.now + t.offset
}

// applyChange takes one change of a delta.
func (t *Table) applyChange(u update, change *Endpoint) {
	r := t.records[change.ID]
	if r == nil && change.State == Gone {
		return // it was not known
	}
	if r == nil {
		r = t.add(change.ID)
	}
	if r == nil {
		return // the table is full
	}
	s := &t.sources[u.source]
	current := &r.reports[u.source]
	if change.State == Gone && current.present {
		gone := current.endpoint
		gone.State = Gone
		change = &gone
	}
	if !current.present {
		current.position = len(s.order)
		s.order = append(s.order, r)
	}
	current.generation = s.generation
	t.apply(u, r, change)
	current.tombstone = change.State == Gone
	if current.tombstone {
		t.due.add(dueTime{at: u.now + t.cfg.Forget, record: r, source: u.source})
	}
}

// withdraw takes a source's report on an endpoint back.
func (t *Table) withdraw(now time.Duration, source int, r *record) {
	current := &r.reports[source]
	if !current.present {
		return
	}
	s := &t.sources[source]
	s.endpoints--
	// The penalty stays with the record: an endpoint that is deregistered and registered again flaps as well.
	*current = report{
		penalty:    current.penalty,
		generation: current.generation,
		position:   current.position,
	}
	if s.Damping.enabled() {
		current.penalty.add(now, s.Damping.HalfLife)
		t.due.add(dueTime{at: now + t.cfg.Forget, record: r, source: source}) // to forget the record
	}
	t.reconsider(now, r)
}

// stepReport ends a suppression that is over, and withdraws a tombstone that is old enough.
func (t *Table) stepReport(now time.Duration, r *record, source int) {
	current := &r.reports[source]
	if current.suppressedUntil > 0 {
		if now < current.suppressedUntil {
			return // it was prolonged, with a due time of its own
		}
		current.suppressedUntil = 0
		t.notes.add(Note{Kind: EndpointReleased, Source: source, Endpoint: r.id})
		t.reconsider(now, r)
		return
	}
	if current.tombstone && now-current.changedAt >= t.cfg.Forget {
		if r.reportedByOther(source) {
			// It must go on winning against those.
			t.due.add(dueTime{at: now + t.cfg.Forget, record: r, source: source})
			return
		}
		t.withdraw(now, source, r)
		t.sources[source].removeFromOrder(r, source)
	}
	t.reconsider(now, r)
}

// forget drops a record on which no source has a report and whose penalties are spent.
func (t *Table) forget(now time.Duration, r *record) {
	for i := range r.reports {
		current := &r.reports[i]
		if current.present {
			return
		}
		damping := &t.sources[i].Damping
		current.penalty.decay(now, damping.HalfLife)
		if damping.enabled() && current.penalty.score >= damping.ReuseBelow {
			t.due.add(dueTime{at: now + t.cfg.Forget, record: r, source: i})
			return
		}
	}
	t.vacate(r)
	delete(t.records, r.id)
}

// reconsider has an endpoint decided anew by the next TakeChanges.
func (t *Table) reconsider(now time.Duration, r *record) {
	t.revision++
	d := t.mergeReports(now, r)
	if d.endpoint.Address != r.address && d.endpoint.State != Gone {
		t.moveTo(r, d.endpoint.Address)
	}
	if d.endpoint.State < r.published.State {
		t.pending.pushRestricting(r)
	} else {
		t.pending.push(r)
	}
}

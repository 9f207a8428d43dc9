package membership

import "time"

// update is one call in which a source gives reports.
type update struct {
	now     time.Duration
	source  int
	initial bool // the source had given no report before
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
	reregistered := previous.present && previous.endpoint.Incarnation != received.Incarnation &&
		previous.endpoint.Address == received.Address
	hasAddress := r.address != "" // one that is gone has none, and must not be filed under it
	if reregistered && hasAddress {
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

// damp counts a way down, or suppresses a way up, when a source's report on an endpoint has changed.
func (t *Table) damp(u update, r *record, previous *report) {
	damping := &t.sources[u.source].Damping
	if !damping.enabled() {
		return
	}
	current := &r.reports[u.source]
	current.penalty.decay(u.now, damping.HalfLife)
	if current.endpoint.State < previous.endpoint.State {
		current.penalty.score++
		return
	}
	rises := current.endpoint.State > previous.endpoint.State || !previous.present
	if rises && current.penalty.score >= damping.SuppressAbove {
		t.suppress(u, r, previous.endpoint.State)
	}
}

// suppress has a source's report count as no higher than the ceiling for a time that its penalty gives.
func (t *Table) suppress(u update, r *record, ceiling State) {
	current := &r.reports[u.source]
	wait := t.sources[u.source].Damping.suppression(current.penalty.score)
	if current.suppressedUntil == 0 {
		current.ceiling = ceiling
		t.notes.add(Note{Kind: EndpointSuppressed, Source: u.source, Endpoint: r.id, For: wait})
	}
	current.ceiling = min(current.ceiling, ceiling)
	current.suppressedUntil = u.now + wait
	t.due.add(dueTime{at: current.suppressedUntil, record: r, source: u.source})
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

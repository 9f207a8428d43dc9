package membership

import "time"

// sourceUpdate is one call in which a source gives reports.
type sourceUpdate struct {
	now     time.Duration
	source  int
	initial bool // the source had given no report before
}

// apply takes a source's report on an endpoint.
func (t *Table) apply(update sourceUpdate, record *endpointRecord, received *Endpoint) {
	state := &t.sources[update.source]
	current := &record.reports[update.source]
	if current.present && current.endpoint == *received {
		return
	}
	previous := *current
	if !previous.present {
		state.endpoints++
	}
	current.present = true
	current.endpoint = *received
	current.changedAt = update.now
	current.startedAt = t.startOf(update, &previous, received)
	t.damp(update, record, &previous)
	reregistered := previous.present && previous.endpoint.Incarnation != received.Incarnation &&
		previous.endpoint.Address == received.Address
	hasAddress := record.address != "" // one that is gone has none, and must not be filed under it
	if reregistered && hasAddress {
		t.arrive(record)
	}
	t.reconsider(update.now, record)
}

// startOf says when an endpoint started that a source has reported.
func (t *Table) startOf(update sourceUpdate, previous *report, received *Endpoint) time.Duration {
	if received.StartedAt != 0 || !t.sources[update.source].FirstSeenIsStart {
		return received.StartedAt
	}
	// The source reports registrations and no starts, so that a new one counts as a start: the endpoint may be cold.
	// What the first list names may be of any age.
	if !previous.present && update.initial {
		return 0
	}
	sameProcess := previous.present && previous.endpoint.Incarnation == received.Incarnation &&
		previous.endpoint.Address == received.Address
	if sameProcess {
		return previous.startedAt
	}
	return update.now + t.offset
}

// applyChange takes one change of a delta.
func (t *Table) applyChange(update sourceUpdate, change *Endpoint) {
	record := t.records[change.ID]
	if record == nil && change.State == Gone {
		return // it was not known
	}
	if record == nil {
		record = t.add(change.ID)
	}
	if record == nil {
		return // the table is full
	}
	state := &t.sources[update.source]
	current := &record.reports[update.source]
	if change.State == Gone && current.present {
		gone := current.endpoint
		gone.State = Gone
		change = &gone
	}
	if !current.present {
		current.position = len(state.order)
		state.order = append(state.order, record)
	}
	current.generation = state.generation
	t.apply(update, record, change)
	current.tombstone = change.State == Gone
	if current.tombstone {
		t.due.add(dueTime{at: update.now + t.cfg.TombstoneRetention, record: record, source: update.source})
	}
}

// damp counts a way down, or suppresses a way up, when a source's report on an endpoint has changed.
func (t *Table) damp(update sourceUpdate, record *endpointRecord, previous *report) {
	damping := &t.sources[update.source].Damping
	if !damping.enabled() {
		return
	}
	current := &record.reports[update.source]
	current.penalty.decay(update.now, damping.HalfLife)
	if current.endpoint.State < previous.endpoint.State {
		current.penalty.score++
		return
	}
	rises := current.endpoint.State > previous.endpoint.State || !previous.present
	if rises && current.penalty.score >= damping.SuppressAbove {
		t.suppress(update, record, previous.endpoint.State)
	}
}

// suppress has a source's report count as no higher than the ceiling for a time that its penalty gives.
func (t *Table) suppress(update sourceUpdate, record *endpointRecord, ceiling State) {
	current := &record.reports[update.source]
	wait := t.sources[update.source].Damping.suppression(current.penalty.score)
	if current.suppressedUntil == 0 {
		current.ceiling = ceiling
		t.notes.add(Note{Kind: EndpointSuppressed, Source: update.source, Endpoint: record.id, Duration: wait})
	}
	current.ceiling = min(current.ceiling, ceiling)
	current.suppressedUntil = update.now + wait
	t.due.add(dueTime{at: current.suppressedUntil, record: record, source: update.source})
}

// withdraw takes a source's report on an endpoint back.
func (t *Table) withdraw(now time.Duration, source int, record *endpointRecord) {
	current := &record.reports[source]
	if !current.present {
		return
	}
	state := &t.sources[source]
	state.endpoints--
	// The penalty stays with the record: an endpoint that is deregistered and registered again flaps as well.
	*current = report{
		penalty:    current.penalty,
		generation: current.generation,
		position:   current.position,
	}
	if state.Damping.enabled() {
		current.penalty.add(now, state.Damping.HalfLife)
		t.due.add(dueTime{at: now + t.cfg.TombstoneRetention, record: record, source: source}) // to forget the record
	}
	t.reconsider(now, record)
}

// stepReport ends a suppression that is over, and withdraws a tombstone that is old enough.
func (t *Table) stepReport(now time.Duration, record *endpointRecord, source int) {
	current := &record.reports[source]
	if current.suppressedUntil > 0 {
		if now < current.suppressedUntil {
			return // it was prolonged, with a due time of its own
		}
		current.suppressedUntil = 0
		t.notes.add(Note{Kind: EndpointReleased, Source: source, Endpoint: record.id})
		t.reconsider(now, record)
		return
	}
	if current.tombstone && now-current.changedAt >= t.cfg.TombstoneRetention {
		if record.reportedByOther(source) {
			// It must go on winning against those.
			t.due.add(dueTime{at: now + t.cfg.TombstoneRetention, record: record, source: source})
			return
		}
		t.withdraw(now, source, record)
		t.sources[source].removeFromOrder(record, source)
	}
	t.reconsider(now, record)
}

package membership

import "time"

// sourceUpdate identifies one call that passes in reports of a source.
type sourceUpdate struct {
	now     time.Duration
	source  int
	initial bool // whether the source had no reports before, apart from unconfirmed ones
	// unconfirmed is set if the reports are, see point 6 of the rule.
	unconfirmed bool
}

// applyReport applies a source's report on an endpoint.
func (t *Table) applyReport(update sourceUpdate, record *endpointRecord, received *Endpoint) {
	state := &t.sources[update.source]
	current := &record.reports[update.source]
	if current.present && !current.unconfirmed && update.unconfirmed {
		return // the first part of the source's own list came before
	}
	if current.present && current.unconfirmed == update.unconfirmed && current.endpoint == *received {
		return
	}
	previous := *current
	before := previous.unconfirmedCount()
	if !previous.present {
		state.endpoints++
	}
	if previous.unconfirmed {
		previous = report{penalty: previous.penalty}
	}
	current.present = true
	current.unconfirmed = update.unconfirmed
	t.addUnconfirmed(update.source, current.unconfirmedCount()-before)
	current.endpoint = *received
	current.changedAt = update.now
	current.startedAt = t.startTime(update, &previous, received)
	t.applyDamping(update, record, &previous)
	reregistered := previous.present && previous.endpoint.Incarnation != received.Incarnation &&
		previous.endpoint.Address == received.Address
	hasAddress := record.address != "" // a gone endpoint has no address, and must not be indexed under ""
	if reregistered && hasAddress {
		t.claimAddress(record)
	}
	t.adjustClaim(record)
	t.reconsider(update.now, record)
}

// startTime returns when an endpoint started according to a source's report, in Unix time; 0: long ago.
func (t *Table) startTime(update sourceUpdate, previous *report, received *Endpoint) time.Duration {
	if received.StartedAt != 0 || !t.sources[update.source].FirstSeenIsStart {
		return received.StartedAt
	}
	// The source reports registrations but no starts, so a new registration counts as a start: the endpoint may still
	// be cold. The endpoints of the first list may have started at any time.
	if !previous.present && update.initial {
		return 0
	}
	sameProcess := previous.present && previous.endpoint.Incarnation == received.Incarnation &&
		previous.endpoint.Address == received.Address
	if sameProcess {
		return previous.startedAt
	}
	return update.now + t.clockOffset
}

// applyChange applies one change of a delta.
func (t *Table) applyChange(update sourceUpdate, change *Endpoint) {
	record := t.records[change.ID]
	if record == nil && change.State == Gone {
		return // the endpoint is unknown, so there is nothing to remove
	}
	if record == nil {
		record = t.add(update, change.ID)
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
	t.applyReport(update, record, change)
	current.tombstone = change.State == Gone
	if current.tombstone {
		t.due.add(dueTime{at: update.now + t.cfg.TombstoneTTL, record: record, source: update.source})
	}
}

// applyDamping counts a downward transition or, if the penalty is high enough, suppresses an upward one, when a
// source's report on an endpoint has changed.
func (t *Table) applyDamping(update sourceUpdate, record *endpointRecord, previous *report) {
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

// suppress limits the effective state of a source's report to the ceiling for a time that depends on its penalty.
func (t *Table) suppress(update sourceUpdate, record *endpointRecord, ceiling State) {
	current := &record.reports[update.source]
	wait := t.sources[update.source].Damping.suppressionTime(current.penalty.score)
	if current.suppressedUntil == 0 {
		current.ceiling = ceiling
		t.notes.add(Note{Kind: EndpointSuppressed, Source: update.source, Endpoint: record.id, Duration: wait})
	}
	current.ceiling = min(current.ceiling, ceiling)
	current.suppressedUntil = update.now + wait
	t.due.add(dueTime{at: current.suppressedUntil, record: record, source: update.source})
}

// withdraw removes a source's report on an endpoint.
func (t *Table) withdraw(now time.Duration, source int, record *endpointRecord) {
	current := &record.reports[source]
	if !current.present {
		return
	}
	state := &t.sources[source]
	state.endpoints--
	t.addUnconfirmed(source, -current.unconfirmedCount())
	// The penalty is kept: an endpoint that is repeatedly deregistered and registered is flapping, too.
	*current = report{
		penalty:    current.penalty,
		generation: current.generation,
		position:   current.position,
	}
	if state.Damping.enabled() {
		current.penalty.add(now, state.Damping.HalfLife)
		t.due.add(dueTime{at: now + t.cfg.TombstoneTTL, record: record, source: source}) // forget the record then
	}
	t.adjustClaim(record)
	t.reconsider(now, record)
}

// stepReport ends a suppression that is over, and withdraws an expired tombstone.
func (t *Table) stepReport(now time.Duration, record *endpointRecord, source int) {
	current := &record.reports[source]
	if current.suppressedUntil > 0 {
		if now < current.suppressedUntil {
			return // it was extended, which added another due time
		}
		current.suppressedUntil = 0
		t.notes.add(Note{Kind: EndpointReleased, Source: source, Endpoint: record.id})
		t.reconsider(now, record)
		return
	}
	if current.tombstone && now-current.changedAt >= t.cfg.TombstoneTTL {
		if record.reportedByOther(source) {
			// The tombstone must keep overriding the other sources' reports.
			t.due.add(dueTime{at: now + t.cfg.TombstoneTTL, record: record, source: source})
			return
		}
		t.withdraw(now, source, record)
		t.sources[source].removeFromOrder(record, source)
	}
	t.reconsider(now, record)
}

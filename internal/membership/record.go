package membership

import "time"

// endpointRecord holds the state of an endpoint.
type endpointRecord struct {
	id            string
	reports       []report // by source index
	published     Endpoint // as last returned by TakeChanges; Gone: not published, or published as gone
	queued        bool     // whether it is in Table.pending
	address       string   // its key in Table.addresses; empty: it is not in there
	claimSequence uint64   // orders the records at one address
}

// isReported reports whether any source has a report.
func (r *endpointRecord) isReported() bool {
	for i := range r.reports {
		if r.reports[i].present {
			return true
		}
	}
	return false
}

// reportedByOther reports whether a source other than the given one has a report.
func (r *endpointRecord) reportedByOther(source int) bool {
	for i := range r.reports {
		if i != source && r.reports[i].present {
			return true
		}
	}
	return false
}

// report is one source's report on an endpoint.
type report struct {
	present     bool
	unconfirmed bool          // it comes from an unconfirmed list
	endpoint    Endpoint      // as received
	startedAt   time.Duration // as received, or inferred because of Source.FirstSeenIsStart
	changedAt   time.Duration
	generation  uint64 // sourceState.generation when the source last named the endpoint
	position    int    // index in sourceState.order
	tombstone   bool   // "gone" from a delta; stepReport withdraws it after Config.TombstoneTTL
	penalty     penalty
	// While suppressedUntil is set, the effective state is at most ceiling.
	ceiling         State
	suppressedUntil time.Duration
}

// state returns the effective state of the report.
func (r *report) state() State {
	if r.suppressedUntil > 0 {
		return min(r.endpoint.State, r.ceiling)
	}
	return r.endpoint.State
}

// add creates a record for an update. It returns nil if the table is full. Unconfirmed reports take no room from
// confirmed ones.
func (t *Table) add(update sourceUpdate, id string) *endpointRecord {
	room := t.cfg.MaxEndpoints - len(t.records)
	if !update.unconfirmed {
		room += t.unconfirmed
	}
	if room <= 0 {
		t.overLimit++
		return nil
	}
	r := &endpointRecord{id: id, reports: make([]report, len(t.sources))}
	t.records[id] = r
	return r
}

// forget deletes a record, unless a source still has a report on it or the penalty of one has not yet fallen below
// Damping.ReuseBelow. In the second case the record is checked again after Config.TombstoneTTL.
func (t *Table) forget(now time.Duration, r *endpointRecord) {
	for i := range r.reports {
		current := &r.reports[i]
		if current.present {
			return
		}
		damping := &t.sources[i].Damping
		current.penalty.decay(now, damping.HalfLife)
		if damping.enabled() && current.penalty.score >= damping.ReuseBelow {
			t.due.add(dueTime{at: now + t.cfg.TombstoneTTL, record: r, source: i})
			return
		}
	}
	t.releaseAddress(r)
	delete(t.records, r.id)
}

// reconsider makes the next TakeChanges re-evaluate an endpoint.
func (t *Table) reconsider(now time.Duration, r *endpointRecord) {
	t.revision++
	d := t.mergeReports(now, r)
	if d.endpoint.Address != r.address && d.endpoint.State != Gone {
		t.moveToAddress(r, d.endpoint.Address)
	}
	if d.endpoint.State < r.published.State {
		t.pending.pushRestricting(r)
	} else {
		t.pending.push(r)
	}
}

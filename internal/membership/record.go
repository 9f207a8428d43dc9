package membership

import "time"

// endpointRecord is all that is known of an endpoint.
type endpointRecord struct {
	id        string
	reports   []report // by source
	published Endpoint // as TakeChanges gave it last; Gone: not published, or published as gone
	queued    bool     // in Table.pending
	address   string   // under which it is in Table.addresses
	arrival   uint64   // its order of coming to that address
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

// report is what one source reports of an endpoint.
type report struct {
	present    bool
	endpoint   Endpoint      // as received
	startedAt  time.Duration // as received, or found by Source.FirstSeenIsStart
	changedAt  time.Duration
	generation uint64 // of the list that named it last
	position   int    // in sourceState.order
	tombstone  bool   // "gone" by a delta: a list that lacks the endpoint withdraws it only after Config.TombstoneRetention
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

// add makes a record; nil: the table is full.
func (t *Table) add(id string) *endpointRecord {
	if len(t.records) >= t.cfg.MaxEndpoints {
		t.leftOut++
		return nil
	}
	r := &endpointRecord{id: id, reports: make([]report, len(t.sources))}
	t.records[id] = r
	return r
}

// forget drops a record on which no source has a report and whose penalties are spent.
func (t *Table) forget(now time.Duration, r *endpointRecord) {
	for i := range r.reports {
		current := &r.reports[i]
		if current.present {
			return
		}
		damping := &t.sources[i].Damping
		current.penalty.decay(now, damping.HalfLife)
		if damping.enabled() && current.penalty.score >= damping.ReuseBelow {
			t.due.add(dueTime{at: now + t.cfg.TombstoneRetention, record: r, source: i})
			return
		}
	}
	t.vacate(r)
	delete(t.records, r.id)
}

// reconsider has an endpoint decided anew by the next TakeChanges.
func (t *Table) reconsider(now time.Duration, r *endpointRecord) {
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

// Package membership merges the reports of several sources about the fleet's endpoints into one view, and returns the
// changes of that view. Sources may be late or silent, and may disagree. The package does no I/O and reads no clock:
// its caller passes reports in, calls Step when it is due, and takes the changes.
//
// The rule. A source reports an endpoint as up, draining or gone. It has no report on an endpoint that it does not
// name.
//
//  1. The most restrictive report wins: gone, then draining, then up.
//  2. An endpoint on which no source has a report is gone.
//  3. The last reports of a silent source are kept. One of them is overruled, and does not count, if a source that is
//     not silent has a report on the endpoint and either changed it after the silent source was last seen, or the
//     silent source has not been seen for Config.MaxSilence.
//  4. An endpoint's description (address, zone, kind, weight) comes from the first source, in the order of
//     Config.Sources, whose report counts and is not "gone". Its start is the latest that any counting report gives.
//  5. An endpoint that would be up is draining if another endpoint that is not gone has claimed its address since. An
//     endpoint claims an address when it appears there, moves there or is registered there again.
//  6. Reports of an unconfirmed list count only while no source has a confirmed report on the endpoint, and such an
//     endpoint claims no address from one with a confirmed report. The source's first complete list withdraws those
//     that it lacks, as if they had never been there: they are no loss, and no endpoint counts as new because of them.
//
// Protections against a faulty source delay only losses by omission and upward transitions: a complete list that lacks
// too many endpoints is suspected until a second answer confirms it, and an empty one never counts as a loss (both only
// with Source.ConfirmLosses); a flapping endpoint is suppressed for a bounded time (see Damping). A report of
// "draining" or "gone" is not delayed.
//
// Invariants, after each call: no endpoint is published as up if a counting report on it is not up; the same calls
// return the same changes in the same order.
//
// Bounds: a Table holds at most Config.MaxEndpoints endpoints, apart from those with unconfirmed reports, and 64 notes.
// Endpoints of unconfirmed lists are added only while the table holds fewer than Config.MaxEndpoints. A list costs one
// comparison per endpoint; only endpoints whose report differs are re-evaluated. When a source falls silent or returns,
// all its endpoints are re-evaluated, unless no other source has reports.
package membership

import (
	"cmp"
	"time"
)

// Table holds the reports of all sources and the view merged from them. It is not safe for concurrent use.
type Table struct {
	cfg         Config
	sources     []sourceState
	records     map[string]*endpointRecord
	addresses   addressIndex
	pending     changeQueue
	due         dueTimes
	refetch     []int // sources whose complete list must be fetched again
	notes       noteBuffer
	unconfirmed int // number of unconfirmed reports of all sources
	overLimit   int // endpoints that the current call dropped because the table was full
	revision    uint64
	clockOffset time.Duration // added to a time to get Unix time
}

// New returns an empty table.
func New(cfg Config) *Table {
	cfg.MaxEndpoints = cmp.Or(cfg.MaxEndpoints, DefaultMaxEndpoints)
	cfg.ConfirmInterval = cmp.Or(cfg.ConfirmInterval, DefaultConfirmInterval)
	cfg.TombstoneTTL = cmp.Or(cfg.TombstoneTTL, DefaultTombstoneTTL)
	t := &Table{
		cfg:       cfg,
		records:   map[string]*endpointRecord{},
		addresses: addressIndex{records: map[string][]*endpointRecord{}},
	}
	for _, source := range cfg.Sources {
		t.sources = append(t.sources, sourceState{Source: source})
	}
	return t
}

// SetOffset sets by how much Unix time is ahead of the times that are passed to the table. Starts of endpoints and
// exported times are in Unix time.
func (t *Table) SetOffset(offset time.Duration) { t.clockOffset = offset }

// ReplaceList applies a list of a source. A complete list withdraws the source's reports on endpoints that it lacks,
// unless the loss is suspected. If several entries have the same ID, only the first is used.
func (t *Table) ReplaceList(now time.Duration, source int, list List) {
	state := &t.sources[source]
	update := sourceUpdate{now: now, source: source, initial: !state.hasReported, unconfirmed: list.Unconfirmed}
	if list.Unconfirmed {
		if state.hasReported {
			return
		}
	} else {
		t.SourceSeen(now, source)
		// An empty first list may come from an agent that has only just started. The next list still counts as the
		// first one then, so that its endpoints do not count as just started.
		state.hasReported = state.hasReported || !list.Part && len(list.Endpoints) > 0
	}
	state.version = list.Version
	before := state.confirmed()
	pass := t.applyList(update, list.Endpoints)
	complete := !list.Incomplete && !list.Part
	if pass.known == before {
		t.refuteLoss(now, source)
	} else if complete {
		t.applyLosses(update, list, pass)
	}
	if complete && len(list.Endpoints) > 0 {
		t.withdrawUnconfirmed(now, source)
	}
	if !complete || state.suspicion != nil {
		pass.appendMissing(state, source)
	}
	state.spareOrder, state.order = state.order, pass.order
	t.noteOverLimit(source)
}

// ApplyDelta applies changes from a source. For an endpoint that is gone, only the ID is used.
func (t *Table) ApplyDelta(now time.Duration, source int, version uint64, endpoints []Endpoint) {
	state := &t.sources[source]
	t.SourceSeen(now, source)
	update := sourceUpdate{now: now, source: source, initial: !state.hasReported}
	state.hasReported = true
	state.version = version
	for i := range endpoints {
		t.applyChange(update, &endpoints[i])
	}
	t.noteOverLimit(source)
}

// SourceSeen records that a source answers, though it may have nothing new to report.
func (t *Table) SourceSeen(now time.Duration, source int) {
	state := &t.sources[source]
	state.lastSeen = max(state.lastSeen, now)
	if state.silent {
		state.silent = false
		t.reconsiderSource(now, source)
	}
}

// SourceSilent records that a source does not answer. Its reports are kept, subject to point 3 of the rule.
func (t *Table) SourceSilent(now time.Duration, source int) {
	state := &t.sources[source]
	if state.silent {
		return
	}
	state.silent = true
	t.reconsiderSource(now, source)
	if t.cfg.MaxSilence > 0 {
		t.due.add(dueTime{at: state.lastSeen + t.cfg.MaxSilence, source: source})
	}
}

// Step performs the work that is due by now.
func (t *Table) Step(now time.Duration) {
	for {
		due, ok := t.due.pop(now)
		if !ok {
			return
		}
		if due.record == nil {
			t.stepSource(now, due.source)
		} else if t.records[due.record.id] == due.record {
			t.stepReport(now, due.record, due.source)
		}
	}
}

// Next returns the time by which Step must be called, or 0 if no work is scheduled.
func (t *Table) Next() time.Duration { return t.due.next() }

// HasChanges reports whether TakeChanges may have changes to return.
func (t *Table) HasChanges() bool { return t.pending.len() > 0 }

// TakeChanges returns and removes at most limit changes, with those that make an endpoint more restricted first. An
// endpoint that has changed back since the last call is not among them.
func (t *Table) TakeChanges(now time.Duration, limit int) []Change {
	var changes []Change
	for len(changes) < limit && t.pending.len() > 0 {
		record := t.pending.pop()
		if !record.queued || t.records[record.id] != record {
			continue
		}
		record.queued = false
		d := t.decide(now, record)
		if kind, changed := compare(record.published, d.endpoint); changed {
			changes = append(changes, Change{
				Kind:      kind,
				Endpoint:  d.endpoint,
				Previous:  record.published,
				DecidedBy: d.decidedBy,
				Reason:    d.reason,
			})
		}
		record.published = d.endpoint
		if d.endpoint.State == Gone {
			t.releaseAddress(record)
			t.forget(now, record)
		}
	}
	t.pending.trim()
	return changes
}

// SourcesToRefetch returns the sources whose complete list must be fetched at once, in the most reliable way that the
// source has, and clears them. The caller passes the answer as a List with Confirms set.
func (t *Table) SourcesToRefetch() []int {
	sources := t.refetch
	t.refetch = nil
	return sources
}

// TakeNotes returns the notes since the last call, and the number of notes that did not fit.
func (t *Table) TakeNotes() (notes []Note, dropped int) { return t.notes.take() }

// Len returns the number of endpoints held, including those that are gone but not forgotten yet.
func (t *Table) Len() int { return len(t.records) }

// Revision returns a counter of changes to the sources' reports. While it stays the same, Export returns the same
// endpoints.
func (t *Table) Revision() uint64 { return t.revision }

// Package membership merges what several sources report about the fleet's endpoints into one view, and gives the
// changes of that view. Sources may be late, silent or disagree. The package does no I/O and reads no clock: its caller
// passes reports in, steps it, and takes the changes.
//
// The rule. A source reports an endpoint as up, draining or gone. On an endpoint that it does not name it has no
// report.
//
//  1. The most restrictive report wins: gone, then draining, then up.
//  2. An endpoint on which no source has a report is gone.
//  3. A source that is silent keeps its last reports. One of them is overruled, and does not count, where a source that
//     is not silent has changed its own report on the endpoint since the silent one was last seen, or where the silent
//     one has not been seen for Config.MaxSilence and a source that is not silent has a report on the endpoint.
//  4. What an endpoint is (address, zone, kind, weight) comes from the first source, in the order of Config.Sources,
//     whose report counts and is not "gone"; its start is the latest that any counting report gives.
//  5. Of endpoints that are up at one address, the one that came there last is up. The others are draining.
//
// Protections against a source that errs delay only a loss by omission and a way up: a complete list that lacks too
// many endpoints is suspected until a second answer confirms it (see List), an empty one is never believed, and an
// endpoint that flaps is suppressed for a bounded time (see Damping). A report of "draining" or "gone" is not delayed.
//
// Invariants, after each call: no endpoint is published as up on which a counting report is not up; the same calls give
// the same changes in the same order.
//
// Bounds: at most Config.MaxEndpoints endpoints and 64 notes are held. A list costs one comparison an endpoint; only
// endpoints whose report differs are decided anew. When a source falls silent or returns, all its endpoints are decided
// anew, where other sources have reports too.
package membership

import (
	"cmp"
	"time"
)

// Table is the merged view. It is not safe for concurrent use.
type Table struct {
	cfg       Config
	sources   []sourceState
	records   map[string]*endpointRecord
	addresses addressIndex
	pending   changeQueue
	due       dueTimes
	refetch   []int // sources whose complete list is to be fetched again
	notes     noteBuffer
	leftOut   int // endpoints for which the current call found no room
	revision  uint64
	offset    time.Duration // of the Unix clock
}

// New makes an empty table.
func New(cfg Config) *Table {
	cfg.MaxEndpoints = cmp.Or(cfg.MaxEndpoints, DefaultMaxEndpoints)
	cfg.ConfirmInterval = cmp.Or(cfg.ConfirmInterval, DefaultConfirmInterval)
	cfg.TombstoneRetention = cmp.Or(cfg.TombstoneRetention, DefaultTombstoneRetention)
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

// SetOffset tells by how much the Unix clock is ahead of the times that the table is given. Starts of endpoints and
// exported times are on the Unix clock.
func (t *Table) SetOffset(offset time.Duration) { t.offset = offset }

// ReplaceList takes a list of a source. What a complete list does not name the source has no report on any more, unless
// the loss is suspected. An endpoint that is named twice counts once.
func (t *Table) ReplaceList(now time.Duration, source int, list List) {
	state := &t.sources[source]
	t.SourceSeen(now, source)
	state.version = list.Version
	update := sourceUpdate{now: now, source: source, initial: !state.hasReported}
	before := state.endpoints
	// An empty first answer may be that of an agent that has only just started: what comes next is not new for that.
	state.hasReported = state.hasReported || !list.Part && len(list.Endpoints) > 0
	pass := t.applyList(update, list.Endpoints)
	complete := !list.Incomplete && !list.Part
	if pass.known == before {
		t.refuteLoss(now, source)
	} else if complete {
		t.applyLosses(update, list, pass)
	}
	if !complete || state.suspicion != nil {
		pass.keepUnnamed(state, source)
	}
	state.spare, state.order = state.order, pass.order
	t.noteLeftOut(source)
}

// ApplyDelta takes changes of a source. Of an endpoint that is gone only the ID is read.
func (t *Table) ApplyDelta(now time.Duration, source int, version uint64, endpoints []Endpoint) {
	state := &t.sources[source]
	t.SourceSeen(now, source)
	update := sourceUpdate{now: now, source: source, initial: !state.hasReported}
	state.hasReported = true
	state.version = version
	for i := range endpoints {
		t.applyChange(update, &endpoints[i])
	}
	t.noteLeftOut(source)
}

// SourceSeen says that a source answers, though it may have nothing new to report.
func (t *Table) SourceSeen(now time.Duration, source int) {
	state := &t.sources[source]
	state.lastSeen = max(state.lastSeen, now)
	if state.silent {
		state.silent = false
		t.reconsiderSource(now, source)
	}
}

// SourceSilent says that a source does not answer. Its reports stay, subject to point 3 of the rule.
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

// Step does what has fallen due by now.
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

// Next is when Step is due at the latest; 0: nothing is.
func (t *Table) Next() time.Duration { return t.due.next() }

// HasChanges reports whether TakeChanges may have something to give.
func (t *Table) HasChanges() bool { return t.pending.len() > 0 }

// TakeChanges gives at most so many changes, those first that make an endpoint more restricted. What has changed back
// since the last call is no change.
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
				DecidedBy: d.by,
				Reason:    d.reason,
			})
		}
		record.published = d.endpoint
		if d.endpoint.State == Gone {
			t.vacate(record)
			t.forget(now, record)
		}
	}
	t.pending.trim()
	return changes
}

// SourcesToRefetch gives the sources whose complete list is to be fetched at once, in the most reliable way that the
// source has. The answer comes as a List that Confirms.
func (t *Table) SourcesToRefetch() []int {
	sources := t.refetch
	t.refetch = nil
	return sources
}

// TakeNotes gives the notes since the last call, and the number of those for which there was no room.
func (t *Table) TakeNotes() (notes []Note, dropped int) { return t.notes.take() }

// Len is the number of endpoints held, those that are gone and remembered among them.
func (t *Table) Len() int { return len(t.records) }

// Revision counts changes in the sources' reports: as long as it is the same, Export gives the same endpoints.
func (t *Table) Revision() uint64 { return t.revision }

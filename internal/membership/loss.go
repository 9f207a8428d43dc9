package membership

import (
	"slices"
	"time"
)

// loss classifies the absence of endpoints from a complete list.
type loss uint8

const (
	lossNone     loss = iota // the list lacks none
	lossAccepted             // few, or confirmed, or of a source whose losses need no confirmation
	lossOfMany               // suspected until a list with Confirms set arrives
	lossOfAll                // suspected until a list arrives that is not empty
)

// suspicion is a loss that has not been accepted yet.
type suspicion struct {
	loss        loss // lossOfMany or lossOfAll
	since       time.Duration
	nextRefetch time.Duration
	lost        []*endpointRecord
}

// applyLosses handles the endpoints that a source has reported before and that its new complete list lacks.
func (t *Table) applyLosses(update sourceUpdate, list List, pass listPass) {
	state := &t.sources[update.source]
	lost := t.unexplainedLosses(update, pass.added)
	total := len(lost) + len(pass.order) // endpoints that a list without losses would contain
	switch kind := t.classifyLoss(state, list, len(lost), total); kind {
	case lossNone:
		t.refuteLoss(update.now, update.source)
	case lossOfMany, lossOfAll:
		t.suspectLoss(update, kind, lost, total)
	case lossAccepted:
		t.acceptLoss(update, lost, total)
	}
}

// unexplainedLosses withdraws the reports on missing endpoints that were renamed or already reported as gone, and
// returns the other missing endpoints.
func (t *Table) unexplainedLosses(update sourceUpdate, added []*endpointRecord) (lost []*endpointRecord) {
	state := &t.sources[update.source]
	addedAt := map[string]*endpointRecord{} // endpoints new in this list, by address
	for _, record := range added {
		addedAt[record.reports[update.source].endpoint.Address] = record
	}
	for _, record := range state.order {
		current := &record.reports[update.source]
		if !current.present || current.unconfirmed || current.generation == state.generation {
			continue
		}
		if successor := addedAt[current.endpoint.Address]; successor != nil {
			// The same process under another ID, or another process that has replaced it.
			t.notes.add(Note{Kind: Renamed, Source: update.source, Endpoint: record.id, RenamedTo: successor.id})
			t.withdraw(update.now, update.source, record)
			continue
		}
		if current.endpoint.State == Gone {
			t.withdraw(update.now, update.source, record)
			continue
		}
		lost = append(lost, record)
	}
	return lost
}

// classifyLoss classifies the loss of a number of endpoints out of a total.
func (t *Table) classifyLoss(state *sourceState, list List, lost, total int) loss {
	if lost == 0 {
		return lossNone
	}
	if !state.ConfirmLosses {
		return lossAccepted
	}
	if lost == total {
		return lossOfAll
	}
	confirmed := state.suspicion != nil && list.Confirms
	large := t.cfg.MaxLossShare > 0 && lost >= t.cfg.MinLoss && float64(lost) > t.cfg.MaxLossShare*float64(total)
	if large && !confirmed {
		return lossOfMany
	}
	return lossAccepted
}

// suspectLoss keeps the reports on the endpoints that a list lacks. A new suspicion requests another fetch.
func (t *Table) suspectLoss(update sourceUpdate, kind loss, lost []*endpointRecord, total int) {
	state := &t.sources[update.source]
	if state.suspicion == nil || state.suspicion.loss != kind {
		state.suspicion = &suspicion{loss: kind, since: update.now}
		t.notes.add(Note{Kind: LossSuspected, Source: update.source, Count: len(lost), Total: total})
		t.scheduleRefetch(update.now, update.source)
	}
	state.suspicion.lost = lost
}

// acceptLoss withdraws the reports on the endpoints that a list lacks, and ends a suspicion.
func (t *Table) acceptLoss(update sourceUpdate, lost []*endpointRecord, total int) {
	state := &t.sources[update.source]
	if state.suspicion != nil {
		t.notes.add(Note{
			Kind:     LossConfirmed,
			Source:   update.source,
			Count:    len(lost),
			Total:    total,
			Duration: update.now - state.suspicion.since,
		})
		state.suspicion = nil
	}
	for _, record := range lost {
		t.withdraw(update.now, update.source, record)
	}
}

// refuteLoss ends a suspicion because no endpoint is missing any more.
func (t *Table) refuteLoss(now time.Duration, source int) {
	state := &t.sources[source]
	if state.suspicion == nil {
		return
	}
	t.notes.add(Note{
		Kind:     LossRefuted,
		Source:   source,
		Count:    len(state.suspicion.lost),
		Duration: now - state.suspicion.since,
	})
	state.suspicion = nil
}

// stepSuspicion requests another fetch of a suspected source when it is due. An empty list is never accepted as a
// loss, so one fetch is enough for it.
func (t *Table) stepSuspicion(now time.Duration, source int) {
	suspicion := t.sources[source].suspicion
	if suspicion == nil || suspicion.loss == lossOfAll || now < suspicion.nextRefetch {
		return
	}
	t.scheduleRefetch(now, source)
}

// scheduleRefetch requests a fetch of a suspected source now, and schedules the next after Config.ConfirmInterval.
func (t *Table) scheduleRefetch(now time.Duration, source int) {
	next := now + t.cfg.ConfirmInterval
	t.sources[source].suspicion.nextRefetch = next
	t.requestRefetch(source)
	t.due.add(dueTime{at: next, source: source})
}

func (t *Table) requestRefetch(source int) {
	if !slices.Contains(t.refetch, source) {
		t.refetch = append(t.refetch, source)
	}
}

package membership

import (
	"slices"
	"time"
)

// loss says how the endpoints are taken that a complete list lacks.
type loss uint8

const (
	lossNone     loss = iota // the list lacks none
	lossBelieved             // few, or confirmed, or of a source whose losses need no confirmation
	lossOfMany               // suspected until a list that Confirms comes
	lossOfAll                // suspected until a list comes that is not empty
)

// suspicion is a loss that is not believed yet.
type suspicion struct {
	loss        loss // lossOfMany or lossOfAll
	since       time.Duration
	nextRefetch time.Duration
	lost        []*record
}

// applyLosses deals with the endpoints that a complete list lacks though its source had reported them.
func (t *Table) applyLosses(u update, list List, pass listPass) {
	s := &t.sources[u.source]
	lost := t.unexplainedLosses(u, pass.added)
	total := len(lost) + len(pass.order) // endpoints that the list might have named
	switch kind := t.judgeLoss(s, list, len(lost), total); kind {
	case lossNone:
		t.refuteLoss(u.now, u.source)
	case lossOfMany, lossOfAll:
		t.suspect(u, kind, lost, total)
	case lossBelieved:
		t.believeLoss(u, lost, total)
	}
}

// unexplainedLosses withdraws the reports on endpoints that were renamed or reported as gone before, and gives the
// other endpoints that the list lacks.
func (t *Table) unexplainedLosses(u update, added []*record) (lost []*record) {
	s := &t.sources[u.source]
	addedAt := map[string]*record{} // by address
	for _, r := range added {
		addedAt[r.reports[u.source].endpoint.Address] = r
	}
	for _, r := range s.order {
		current := &r.reports[u.source]
		if !current.present || current.generation == s.generation {
			continue
		}
		if successor := addedAt[current.endpoint.Address]; successor != nil {
			// The same process under another ID, or another process in its place.
			t.notes.add(Note{Kind: Renamed, Source: u.source, Endpoint: r.id, Other: successor.id})
			t.withdraw(u.now, u.source, r)
			continue
		}
		if current.endpoint.State == Gone {
			t.withdraw(u.now, u.source, r)
			continue
		}
		lost = append(lost, r)
	}
	return lost
}

// judgeLoss says how the loss of so many endpoints of a total is taken.
func (t *Table) judgeLoss(s *sourceState, list List, lost, total int) loss {
	if lost == 0 {
		return lossNone
	}
	if !s.ConfirmLosses {
		return lossBelieved
	}
	if lost == total {
		return lossOfAll
	}
	confirmed := s.suspicion != nil && list.Confirms
	large := t.cfg.MaxLossShare > 0 && lost >= t.cfg.MinLoss && float64(lost) > t.cfg.MaxLossShare*float64(total)
	if large && !confirmed {
		return lossOfMany
	}
	return lossBelieved
}

// suspect keeps the reports on the endpoints that a list lacks, and has the source fetched again.
func (t *Table) suspect(u update, kind loss, lost []*record, total int) {
	s := &t.sources[u.source]
	if s.suspicion == nil || s.suspicion.loss != kind {
		s.suspicion = &suspicion{loss: kind, since: u.now}
		t.notes.add(Note{Kind: LossSuspected, Source: u.source, Count: len(lost), Of: total})
		t.scheduleRefetch(u.now, u.source)
	}
	s.suspicion.lost = lost
}

// believeLoss withdraws the reports on the endpoints that a list lacks.
func (t *Table) believeLoss(u update, lost []*record, total int) {
	s := &t.sources[u.source]
	if s.suspicion != nil {
		t.notes.add(Note{
			Kind:   LossConfirmed,
			Source: u.source,
			Count:  len(lost),
			Of:     total,
			For:    u.now - s.suspicion.since,
		})
		s.suspicion = nil
	}
	for _, r := range lost {
		t.withdraw(u.now, u.source, r)
	}
}

// refuteLoss ends a suspicion, as nothing is missing any more.
func (t *Table) refuteLoss(now time.Duration, source int) {
	s := &t.sources[source]
	if s.suspicion == nil {
		return
	}
	t.notes.add(Note{
		Kind:   LossRefuted,
		Source: source,
		Count:  len(s.suspicion.lost),
		For:    now - s.suspicion.since,
	})
	s.suspicion = nil
}

// stepSuspicion has a suspected source fetched again. An empty list is never believed, so that one fetch is enough.
func (t *Table) stepSuspicion(now time.Duration, source int) {
	suspicion := t.sources[source].suspicion
	if suspicion == nil || suspicion.loss == lossOfAll || now < suspicion.nextRefetch {
		return
	}
	t.scheduleRefetch(now, source)
}

// scheduleRefetch has a suspected source fetched now, and again after Config.ConfirmInterval.
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

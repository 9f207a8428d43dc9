package membership

import "time"

// sourceState is a source's settings and what is known of it.
type sourceState struct {
	Source
	version     uint64
	hasReported bool // a report was received or restored
	silent      bool
	lastSeen    time.Duration
	order       []*endpointRecord // as the last list named them
	spare       []*endpointRecord // the memory of the order before, for the next one
	generation  uint64            // of the last list
	endpoints   int               // records with a report of this source
	suspicion   *suspicion
}

// stepSource does what is due for a source: reports that its silence overrules, and the fetching of a suspected list.
func (t *Table) stepSource(now time.Duration, source int) {
	s := &t.sources[source]
	if t.cfg.MaxSilence > 0 && s.silent && now >= s.lastSeen+t.cfg.MaxSilence {
		t.reconsiderSource(now, source)
	}
	t.stepSuspicion(now, source)
}

// reconsiderSource has all endpoints of a source decided anew where other sources have reports too: with one source
// alone nothing depends on whether it is silent. It runs once for each time a source falls silent or returns.
func (t *Table) reconsiderSource(now time.Duration, source int) {
	others := 0
	for i := range t.sources {
		if i != source {
			others += t.sources[i].endpoints
		}
	}
	if others == 0 {
		return
	}
	for _, r := range t.sources[source].order {
		if r.reports[source].present {
			t.reconsider(now, r)
		}
	}
}

// removeFromOrder takes an endpoint out of the order of a source's endpoints, between lists.
func (s *sourceState) removeFromOrder(r *endpointRecord, source int) {
	position := r.reports[source].position
	last := len(s.order) - 1
	if position > last || s.order[position] != r {
		return
	}
	s.order[position] = s.order[last]
	s.order[position].reports[source].position = position
	s.order = s.order[:last]
}

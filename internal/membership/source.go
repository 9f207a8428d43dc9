package membership

import "time"

// sourceState holds the settings and the state of a source.
type sourceState struct {
	Source
	version     uint64
	hasReported bool // a report was received or restored
	silent      bool
	lastSeen    time.Duration
	order       []*endpointRecord // the source's endpoints, in the order of the last list
	spareOrder  []*endpointRecord // the previous order, whose memory the next list reuses
	generation  uint64            // number of the last list
	endpoints   int               // number of records with a report of this source
	unconfirmed int               // how many of these reports are unconfirmed
	suspicion   *suspicion        // nil: no loss is suspected
}

// confirmed returns the number of records with a confirmed report of this source.
func (s *sourceState) confirmed() int { return s.endpoints - s.unconfirmed }

// stepSource performs the work that is due for a source: it overrules the reports of one that has been silent for too
// long, and requests another fetch of a suspected list.
func (t *Table) stepSource(now time.Duration, source int) {
	s := &t.sources[source]
	if t.cfg.MaxSilence > 0 && s.silent && now >= s.lastSeen+t.cfg.MaxSilence {
		t.reconsiderSource(now, source)
	}
	t.stepSuspicion(now, source)
}

// reconsiderSource re-evaluates all endpoints of a source. Without reports from other sources nothing depends on
// whether a source is silent, so it does nothing. It is called when a source falls silent or returns, and when a
// silence exceeds Config.MaxSilence.
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

// removeFromOrder removes an endpoint from the order of a source's endpoints, between lists. The last endpoint takes
// its position.
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

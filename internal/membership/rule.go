package membership

import "time"

// The functions of this file implement the rule in the package comment, point by point.

// decision is the result of the rule for an endpoint.
type decision struct {
	endpoint  Endpoint
	decidedBy int // the source whose report decided the state, or NoSource
	reason    Reason
}

// stateDecision is the result of points 1 and 2 for an endpoint.
type stateDecision struct {
	state     State
	decidedBy int // the source whose report decided, or NoSource
	reason    Reason
}

// decide applies the complete rule.
func (t *Table) decide(now time.Duration, r *endpointRecord) decision {
	d := t.mergeReports(now, r)
	if d.endpoint.State == Up && t.isReplaced(now, r) {
		d.endpoint.State = Draining
		d.reason = Replaced
	}
	return d
}

// mergeReports applies points 1 to 4.
func (t *Table) mergeReports(now time.Duration, r *endpointRecord) decision {
	var space [typicalMaxSources]int
	counting := t.countingSources(space[:0], now, r)
	decided := mostRestrictiveState(r, counting)
	d := decision{decidedBy: decided.decidedBy, reason: decided.reason}
	description := describingReport(r, counting)
	if description == nil {
		d.endpoint.ID = r.id
		return d
	}
	d.endpoint = description.endpoint
	d.endpoint.State = decided.state
	d.endpoint.StartedAt = latestStart(r, counting)
	return d
}

// mostRestrictiveState applies points 1 and 2.
func mostRestrictiveState(r *endpointRecord, counting []int) stateDecision {
	result := stateDecision{decidedBy: NoSource, reason: Unlisted}
	for _, source := range counting {
		current := &r.reports[source]
		state := current.state()
		if result.decidedBy != NoSource && state >= result.state {
			continue
		}
		result = stateDecision{state: state, decidedBy: source, reason: Reported}
		if state < current.endpoint.State {
			result.reason = Suppressed
		}
	}
	return result
}

// reportStatus says whether a source's report on an endpoint counts under points 3 and 6.
type reportStatus uint8

const (
	noReport reportStatus = iota
	overruled
	counts
)

// statusOf applies points 3 and 6 to a source's report on an endpoint.
func (t *Table) statusOf(now time.Duration, r *endpointRecord, source int) reportStatus {
	if !r.reports[source].present {
		return noReport
	}
	if r.reports[source].unconfirmed && r.isConfirmed() {
		return overruled
	}
	s := &t.sources[source]
	if !s.silent {
		return counts
	}
	expired := t.cfg.MaxSilence > 0 && now-s.lastSeen >= t.cfg.MaxSilence
	for other := range t.sources {
		report := &r.reports[other]
		if !report.present || report.unconfirmed || t.sources[other].silent {
			continue
		}
		if expired || report.changedAt > s.lastSeen {
			return overruled
		}
	}
	return counts
}

// typicalMaxSources is the number of sources up to which a decision does not allocate. Few installations have more.
const typicalMaxSources = 8

// countingSources appends the sources whose report on an endpoint counts, in order of precedence.
func (t *Table) countingSources(counting []int, now time.Duration, r *endpointRecord) []int {
	for source := range t.sources {
		if t.statusOf(now, r, source) == counts {
			counting = append(counting, source)
		}
	}
	return counting
}

// describingReport applies point 4, except for the start: it returns the report that describes the endpoint. If all
// counting reports with an address say "gone", it returns the first of them; if none has an address, nil.
func describingReport(r *endpointRecord, counting []int) *report {
	var description *report
	for _, source := range counting {
		current := &r.reports[source]
		if current.endpoint.Address == "" {
			continue
		}
		if current.endpoint.State != Gone {
			return current
		}
		if description == nil {
			description = current
		}
	}
	return description
}

// latestStart applies point 4 to the start: it returns the latest start in the counting reports.
func latestStart(r *endpointRecord, counting []int) time.Duration {
	var latest time.Duration
	for _, source := range counting {
		latest = max(latest, r.reports[source].startedAt)
	}
	return latest
}

// isReplaced applies point 5, and point 6 by the order of the index: it reports whether an endpoint that is not gone
// has claimed the same address since.
func (t *Table) isReplaced(now time.Duration, r *endpointRecord) bool {
	atAddress := t.addresses.at(r.address)
	for i := len(atAddress) - 1; i >= 0 && atAddress[i] != r; i-- {
		if t.mergeReports(now, atAddress[i]).endpoint.State != Gone {
			return true
		}
	}
	return false
}

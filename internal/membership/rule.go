package membership

import "time"

// The functions of this file apply the rule of the package comment, point by point.

// decision is what the rule says of an endpoint.
type decision struct {
	endpoint Endpoint
	by       int // the source whose report decided the state, or NoSource
	reason   Reason
}

// verdict is what points 1 and 2 say.
type verdict struct {
	state  State
	by     int // the source whose report decided, or NoSource
	reason Reason
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
	var space [commonSources]int
	counting := t.countingSources(space[:0], now, r)
	verdict := judge(r, counting)
	d := decision{by: verdict.by, reason: verdict.reason}
	description := describe(r, counting)
	if description == nil {
		d.endpoint.ID = r.id
		return d
	}
	d.endpoint = description.endpoint
	d.endpoint.State = verdict.state
	d.endpoint.StartedAt = latestStart(r, counting)
	return d
}

// judge is points 1 and 2.
func judge(r *endpointRecord, counting []int) verdict {
	v := verdict{by: NoSource, reason: Unlisted}
	for _, source := range counting {
		current := &r.reports[source]
		state := current.state()
		if v.by != NoSource && state >= v.state {
			continue
		}
		v = verdict{state: state, by: source, reason: Reported}
		if state < current.endpoint.State {
			v.reason = Suppressed
		}
	}
	return v
}

// standing says how a source's report on an endpoint stands under point 3.
type standing uint8

const (
	noReport standing = iota
	overruled
	counts
)

// standing is point 3.
func (t *Table) standing(now time.Duration, r *endpointRecord, source int) standing {
	if !r.reports[source].present {
		return noReport
	}
	s := &t.sources[source]
	if !s.silent {
		return counts
	}
	expired := t.cfg.MaxSilence > 0 && now-s.lastSeen >= t.cfg.MaxSilence
	for other := range t.sources {
		report := &r.reports[other]
		if !report.present || t.sources[other].silent {
			continue
		}
		if expired || report.changedAt > s.lastSeen {
			return overruled
		}
	}
	return counts
}

// commonSources is a number of sources that few installations have more of: up to it a decision allocates nothing.
const commonSources = 8

// countingSources appends the sources whose report on an endpoint counts, in their order.
func (t *Table) countingSources(counting []int, now time.Duration, r *endpointRecord) []int {
	for source := range t.sources {
		if t.standing(now, r, source) == counts {
			counting = append(counting, source)
		}
	}
	return counting
}

// describe is point 4 but for the start: the report that says what the endpoint is. Where all that have an address say
// "gone", it is the first of them; nil: none has an address.
func describe(r *endpointRecord, counting []int) *report {
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

// latestStart is point 4 for the start.
func latestStart(r *endpointRecord, counting []int) time.Duration {
	var latest time.Duration
	for _, source := range counting {
		latest = max(latest, r.reports[source].startedAt)
	}
	return latest
}

// isReplaced is point 5: whether an endpoint that is not gone came to the address later.
func (t *Table) isReplaced(now time.Duration, r *endpointRecord) bool {
	atAddress := t.addresses.at(r.address)
	for i := len(atAddress) - 1; i >= 0 && atAddress[i] != r; i-- {
		if t.mergeReports(now, atAddress[i]).endpoint.State != Gone {
			return true
		}
	}
	return false
}

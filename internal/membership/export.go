package membership

import (
	"slices"
	"time"
)

// SourceReport is all that one source reports, as a snapshot keeps it.
type SourceReport struct {
	Source    string
	Version   uint64
	LastSeen  time.Duration // on the Unix clock
	Endpoints []Endpoint    // that are not gone; StartedAt as received or found
}

// Export gives the last reports of all sources that have given any. Endpoints stand in the order of the last list.
func (t *Table) Export() []SourceReport {
	var reports []SourceReport
	for source := range t.sources {
		if t.sources[source].hasReported {
			reports = append(reports, t.exportSource(source))
		}
	}
	return reports
}

func (t *Table) exportSource(source int) SourceReport {
	s := &t.sources[source]
	exported := SourceReport{
		Source:   s.Name,
		Version:  s.version,
		LastSeen: s.lastSeen + t.offset,
	}
	for _, r := range s.order {
		current := &r.reports[source]
		if !current.present || current.endpoint.State == Gone {
			continue
		}
		endpoint := current.endpoint
		endpoint.StartedAt = current.startedAt
		exported.Endpoints = append(exported.Endpoints, endpoint)
	}
	return exported
}

// Restore takes reports of before a restart. Their sources count as silent until they are seen, so that the rule and
// the suspicion of losses hold for them as for any that fell silent. It passes over reports of sources that are not in
// the settings or have given reports already, and returns how many endpoints it took.
func (t *Table) Restore(now time.Duration, reports []SourceReport) int {
	taken := 0
	for i := range reports {
		source := t.sourceNamed(reports[i].Source)
		if source == NoSource || t.sources[source].hasReported {
			continue
		}
		t.restoreSource(now, source, &reports[i])
		taken += t.sources[source].endpoints
	}
	return taken
}

// sourceNamed gives the index of a source, or NoSource, which is what IndexFunc gives where there is none.
func (t *Table) sourceNamed(name string) int {
	return slices.IndexFunc(t.sources, func(s sourceState) bool { return s.Name == name })
}

func (t *Table) restoreSource(now time.Duration, source int, restored *SourceReport) {
	s := &t.sources[source]
	lastSeen := restored.LastSeen - t.offset
	t.ReplaceList(lastSeen, source, List{Version: restored.Version, Endpoints: restored.Endpoints})
	for _, r := range s.order {
		current := &r.reports[source]
		current.startedAt = current.endpoint.StartedAt
		if s.FirstSeenIsStart {
			// The source reports no starts: this one was found, and would differ from what the source reports next.
			current.endpoint.StartedAt = 0
		}
	}
	s.lastSeen = min(lastSeen, now)
	s.silent = false
	t.SourceSilent(now, source)
}

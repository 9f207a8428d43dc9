package membership

import (
	"slices"
	"time"
)

// SourceReport holds all reports of one source, as saved in a snapshot.
type SourceReport struct {
	Source    string
	Version   uint64
	LastSeen  time.Duration // Unix time
	Endpoints []Endpoint    // without those that are gone; StartedAt as received or inferred
}

// Export returns the latest reports of all sources that have reported, without unconfirmed ones: a restart must not
// make a hint look like the source's own word. Endpoints are in the order of the last list.
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
		LastSeen: s.lastSeen + t.clockOffset,
	}
	for _, r := range s.order {
		current := &r.reports[source]
		if !current.present || current.unconfirmed || current.endpoint.State == Gone {
			continue
		}
		endpoint := current.endpoint
		endpoint.StartedAt = current.startedAt
		exported.Endpoints = append(exported.Endpoints, endpoint)
	}
	return exported
}

// Restore applies reports that were exported before a restart. Their sources are silent until they are seen, so the
// rule and the suspicion of losses apply to them as to any other silent source. Restore skips sources that are not
// configured or have already reported, and returns the number of endpoints restored.
func (t *Table) Restore(now time.Duration, reports []SourceReport) int {
	restored := 0
	for i := range reports {
		source := t.sourceIndex(reports[i].Source)
		if source == NoSource || t.sources[source].hasReported {
			continue
		}
		t.restoreSource(now, source, &reports[i])
		restored += t.sources[source].endpoints
	}
	return restored
}

// sourceIndex returns the index of the named source, or NoSource, which equals IndexFunc's result for "not found".
func (t *Table) sourceIndex(name string) int {
	return slices.IndexFunc(t.sources, func(s sourceState) bool { return s.Name == name })
}

func (t *Table) restoreSource(now time.Duration, source int, restored *SourceReport) {
	s := &t.sources[source]
	lastSeen := restored.LastSeen - t.clockOffset
	t.ReplaceList(lastSeen, source, List{Version: restored.Version, Endpoints: restored.Endpoints})
	for _, r := range s.order {
		current := &r.reports[source]
		current.startedAt = current.endpoint.StartedAt
		if s.FirstSeenIsStart {
			// This start was inferred, since the source reports none. Clear it, so that it does not make the source's
			// next report look like a change.
			current.endpoint.StartedAt = 0
		}
	}
	s.lastSeen = min(lastSeen, now)
	s.silent = false
	t.SourceSilent(now, source)
}

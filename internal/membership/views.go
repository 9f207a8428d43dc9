package membership

import (
	"cmp"
	"slices"
	"time"
)

// SourceView is the state of a source as shown to operators.
type SourceView struct {
	Name        string
	Version     uint64
	HasReported bool // whether reports were received or restored
	Silent      bool
	LastSeen    time.Duration
	Endpoints   int // number of endpoints on which it has a report
	Suspected   int // number of endpoints of a suspected loss, whose reports are kept
}

// Sources returns all sources, in the order of Config.Sources.
func (t *Table) Sources() []SourceView {
	var views []SourceView
	for i := range t.sources {
		s := &t.sources[i]
		view := SourceView{
			Name:        s.Name,
			Version:     s.version,
			HasReported: s.hasReported,
			Silent:      s.silent,
			LastSeen:    s.lastSeen,
			Endpoints:   s.endpoints,
		}
		if s.suspicion != nil {
			view.Suspected = len(s.suspicion.lost)
		}
		views = append(views, view)
	}
	return views
}

// EndpointView is the state of an endpoint as shown to operators.
type EndpointView struct {
	Endpoint  Endpoint
	DecidedBy int // index of the source that decided the state, or NoSource
	Reason    Reason
	Since     time.Duration // when that source's report last changed
	Reports   []string      // the state that each source reports, in brackets if overruled; empty: no report
}

// All returns all endpoints held, sorted by ID.
func (t *Table) All(now time.Duration) []EndpointView {
	var views []EndpointView
	for _, r := range t.records {
		views = append(views, t.endpointView(now, r))
	}
	slices.SortFunc(views, func(a, b EndpointView) int { return cmp.Compare(a.Endpoint.ID, b.Endpoint.ID) })
	return views
}

func (t *Table) endpointView(now time.Duration, r *endpointRecord) EndpointView {
	d := t.decide(now, r)
	view := EndpointView{
		Endpoint:  d.endpoint,
		DecidedBy: d.decidedBy,
		Reason:    d.reason,
		Reports:   make([]string, len(t.sources)),
	}
	if d.decidedBy != NoSource {
		view.Since = r.reports[d.decidedBy].changedAt
	}
	for source := range r.reports {
		state := r.reports[source].endpoint.State.String()
		switch t.statusOf(now, r, source) {
		case counts:
			view.Reports[source] = state
		case overruled:
			view.Reports[source] = "(" + state + ")"
		case noReport:
		}
	}
	return view
}

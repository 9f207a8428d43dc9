package membership

import (
	"cmp"
	"slices"
	"time"
)

// SourceView is what operators see of a source.
type SourceView struct {
	Name        string
	Version     uint64
	HasReported bool // reports were received or restored
	Silent      bool
	LastSeen    time.Duration
	Endpoints   int // on which it has a report
	Suspected   int // whose reports stay though its last list lacked them
}

// Sources gives all sources in their order.
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

// EndpointView is what operators see of an endpoint.
type EndpointView struct {
	Endpoint  Endpoint
	DecidedBy int // the source that decided, or NoSource
	Reason    Reason
	Since     time.Duration // when that source's report changed last
	Reports   []string      // the state that each source reports, in brackets if it is overruled; empty: none
}

// All gives every endpoint that is held, sorted by ID.
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
		DecidedBy: d.by,
		Reason:    d.reason,
		Reports:   make([]string, len(t.sources)),
	}
	if d.by != NoSource {
		view.Since = r.reports[d.by].changedAt
	}
	for source := range r.reports {
		state := r.reports[source].endpoint.State.String()
		switch t.standing(now, r, source) {
		case counts:
			view.Reports[source] = state
		case overruled:
			view.Reports[source] = "(" + state + ")"
		case noReport:
		}
	}
	return view
}

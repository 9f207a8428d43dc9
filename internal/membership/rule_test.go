package membership

import (
	"maps"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// model is a naive implementation of the rule: it stores the reports of each source, and searches all of them for each
// query.
type model struct {
	sources    []modelSource
	maxSilence time.Duration
}

type modelSource struct {
	reports  map[string]modelReport
	silent   bool
	lastSeen time.Duration
}

type modelReport struct {
	state     State
	changedAt time.Duration
}

func newModel(sources int, maxSilence time.Duration) *model {
	m := &model{sources: make([]modelSource, sources), maxSilence: maxSilence}
	for i := range m.sources {
		m.sources[i].reports = map[string]modelReport{}
	}
	return m
}

// state returns an endpoint's state by points 1 to 3 of the rule.
func (m *model) state(now time.Duration, id string) State {
	state, listed := Up, false
	for i := range m.sources {
		report, reported := m.sources[i].reports[id]
		if reported && !m.overruled(now, i, id) {
			state = min(state, report.state)
			listed = true
		}
	}
	if !listed {
		return Gone
	}
	return state
}

func (m *model) overruled(now time.Duration, source int, id string) bool {
	s := m.sources[source]
	expired := now-s.lastSeen >= m.maxSilence
	for _, other := range m.sources {
		report, reported := other.reports[id]
		if s.silent && !other.silent && reported && (expired || report.changedAt > s.lastSeen) {
			return true
		}
	}
	return false
}

func (m *model) seen(now time.Duration, source int) {
	m.sources[source].silent = false
	m.sources[source].lastSeen = now
}

func (m *model) report(now time.Duration, source int, id string, state State) {
	reports := m.sources[source].reports
	if report, reported := reports[id]; !reported || report.state != state {
		reports[id] = modelReport{state: state, changedAt: now}
	}
}

// applyDelta applies a delta. It ignores a "gone" for an endpoint that no source has reported.
func (m *model) applyDelta(now time.Duration, source int, endpoints []Endpoint) {
	m.seen(now, source)
	for _, endpoint := range endpoints {
		known := slices.ContainsFunc(m.sources, func(s modelSource) bool {
			_, reported := s.reports[endpoint.ID]
			return reported
		})
		if known || endpoint.State != Gone {
			m.report(now, source, endpoint.ID, endpoint.State)
		}
	}
}

func (m *model) replaceList(now time.Duration, source int, endpoints []Endpoint) {
	m.seen(now, source)
	listed := map[string]bool{}
	for _, endpoint := range endpoints {
		listed[endpoint.ID] = true
		m.report(now, source, endpoint.ID, endpoint.State)
	}
	maps.DeleteFunc(m.sources[source].reports, func(id string, _ modelReport) bool { return !listed[id] })
}

// TestRule drives three random sources, one with deltas and two with lists, and compares every endpoint with the model
// after every step.
func TestRule(t *testing.T) {
	const (
		sources    = 3
		maxSilence = 20 * time.Second
	)
	ids := []string{"1", "2", "3", "4", "5"}
	states := rapid.SampledFrom([]State{Gone, Draining, Up, Up})
	rapid.Check(t, func(t *rapid.T) {
		f := newFollower(Config{Sources: make([]Source, sources), MaxSilence: maxSilence, TombstoneTTL: time.Hour})
		m := newModel(sources, maxSilence)
		now := start
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(1, 8000).Draw(t, "ms")) * ms
			source := rapid.IntRange(0, sources-1).Draw(t, "source")
			var endpoints []Endpoint
			for _, id := range ids {
				if rapid.Bool().Draw(t, "named") {
					endpoints = append(endpoints, testEndpoint(id, states.Draw(t, "state")))
				}
			}
			switch op := rapid.IntRange(0, 5).Draw(t, "op"); {
			case op == 0:
				f.SourceSilent(now, source)
				m.sources[source].silent = true
			case op == 1:
				f.SourceSeen(now, source)
				m.seen(now, source)
			case source == 0:
				f.ApplyDelta(now, source, 1, endpoints)
				m.applyDelta(now, source, endpoints)
			default:
				f.ReplaceList(now, source, List{Endpoints: endpoints})
				m.replaceList(now, source, endpoints)
			}
			f.advance(now)
			for _, id := range ids {
				if got, want := f.state(id), m.state(now, id); got != want {
					t.Fatalf("endpoint %s: got published state %v, want %v; sources %+v", id, got, want, m.sources)
				}
			}
		}
		if f.HasChanges() {
			t.Fatal("got HasChanges true after all changes were taken, want false")
		}
	})
}

// TestDescriptionFollowsPrecedence checks how an endpoint that two sources report at different addresses is described.
func TestDescriptionFollowsPrecedence(t *testing.T) {
	f := newFollower(Config{Sources: []Source{{Name: "first"}, {Name: "second"}}, MaxSilence: time.Minute})
	one, two := testEndpoint("a", Up), testEndpoint("a", Up)
	one.Address, two.Address = "10.0.0.1:1", "10.0.0.2:1"
	two.StartedAt = start
	f.ReplaceList(start, 1, List{Endpoints: []Endpoint{two}})
	f.advance(start)
	f.ReplaceList(start, 0, List{Endpoints: []Endpoint{one}})
	f.advance(start)
	if got := f.published["a"]; got.Address != one.Address || got.StartedAt != start {
		t.Errorf("got %+v, want the first source's address and the latest start", got)
	}
	f.SourceSilent(start+time.Second, 0)
	two.Address = "10.0.0.3:1"
	f.ReplaceList(start+2*time.Second, 1, List{Endpoints: []Endpoint{two}})
	f.advance(start + 2*time.Second)
	if got := f.published["a"]; got.Address != two.Address {
		t.Errorf("got %+v, want the address that the second source has reported since", got)
	}
}

// TestTombstoneOverridesOtherSources checks that a "gone" from a delta overrides other sources for as long as they list
// the endpoint, and is forgotten after that.
func TestTombstoneOverridesOtherSources(t *testing.T) {
	f := newFollower(Config{Sources: []Source{{Name: "bulletin"}, {Name: "consul"}}})
	f.ApplyDelta(start, 0, 1, upEndpoints("a"))
	f.ReplaceList(start, 1, List{Endpoints: upEndpoints("a", "b")})
	f.ApplyDelta(start, 0, 2, []Endpoint{{ID: "a", State: Gone}})
	for _, at := range []time.Duration{0, 2 * time.Minute, time.Hour} {
		if f.advance(start + at); f.state("a") != Gone {
			t.Errorf("after %v: got state %v of the removed endpoint, want gone", at, f.state("a"))
		}
	}
	f.ReplaceList(start+time.Hour, 1, List{Endpoints: upEndpoints("b")})
	f.advance(start + 2*time.Hour)
	if f.Len() != 1 {
		t.Errorf("got %d endpoints held, want only b", f.Len())
	}
}

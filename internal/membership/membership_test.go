package membership

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestTakeChangesInBatches checks that many changes can be taken in batches, and that those that make an endpoint more
// restricted come first.
func TestTakeChangesInBatches(t *testing.T) {
	f := newFollower(Config{Sources: []Source{{}}})
	f.ReplaceList(start, 0, List{Endpoints: upEndpoints(numberedIDs(100)...)})
	f.advance(start)
	grown := append(upEndpoints(numberedIDs(190)...), testEndpoint("195", Draining))
	f.ReplaceList(start, 0, List{Endpoints: grown})
	f.ApplyDelta(start, 0, 1, []Endpoint{{ID: "7", State: Gone}, testEndpoint("8", Draining)})
	first := f.TakeChanges(start, 2)
	if len(first) != 2 || first[0].Kind != Removed || first[1].Kind != StartedDraining {
		t.Errorf("got first batch %+v, want a removal and a start of draining", first)
	}
	remaining := 0
	for f.HasChanges() {
		remaining += len(f.TakeChanges(start, 10))
	}
	if remaining != 91 {
		t.Errorf("got %d remaining changes, want 91", remaining)
	}
}

// TestEndpointLimit checks that a full table keeps the known endpoints, and drops and counts new ones.
func TestEndpointLimit(t *testing.T) {
	f := newFollower(Config{Sources: []Source{{}}, MaxEndpoints: 10})
	f.ReplaceList(start, 0, List{Endpoints: upEndpoints(numberedIDs(10)...)})
	f.ReplaceList(start, 0, List{Endpoints: upEndpoints(append([]string{"x", "y"}, numberedIDs(10)...)...)})
	f.advance(start)
	if len(f.published) != 10 || f.state("x") != Gone {
		t.Errorf("got %d endpoints, x %v; want the 10 known ones, x gone", len(f.published), f.state("x"))
	}
	notes, _ := f.TakeNotes()
	if len(notes) != 1 || notes[0].Kind != TableFull || notes[0].Count != 2 {
		t.Errorf("got notes %+v, want one about 2 dropped endpoints", notes)
	}
}

// TestWithdrawnReportsLeaveNoState checks that a table holds no state of endpoints on which every source has withdrawn
// its report, whatever was reported before.
func TestWithdrawnReportsLeaveNoState(t *testing.T) {
	damping := Damping{SuppressAbove: 2, ReuseBelow: 0.5, HalfLife: time.Second, MaxSuppress: 5 * time.Second}
	states := rapid.SampledFrom([]State{Gone, Draining, Up})
	rapid.Check(t, func(t *rapid.T) {
		f := newFollower(Config{Sources: []Source{{Damping: damping}, {ConfirmLosses: true}}, MaxLossShare: 0.5})
		now := start
		for i := range rapid.IntRange(1, 60).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(1, 3000).Draw(t, "ms")) * ms
			source := rapid.IntRange(0, 1).Draw(t, "source")
			old := fmt.Sprint(rapid.IntRange(0, 5).Draw(t, "old"))
			endpoints := []Endpoint{testEndpoint(fmt.Sprint(i), Up), testEndpoint(old, states.Draw(t, "state"))}
			if source == 0 {
				f.ApplyDelta(now, source, 1, endpoints)
			} else {
				f.ReplaceList(now, source, List{Endpoints: endpoints, Confirms: rapid.Bool().Draw(t, "confirms")})
			}
			f.advance(now)
		}
		withdrawAll(f, now)
		for range 20 {
			now += time.Minute
			f.advance(now)
		}
		if f.Len() != 0 || len(f.addresses.records) != 0 || len(f.published) != 0 {
			t.Fatalf("got %d records, %d addresses, %d published endpoints left, want none",
				f.Len(), len(f.addresses.records), len(f.published))
		}
		if len(f.sources[0].order) != 0 || len(f.due.heap) > 100 {
			t.Fatalf("got %d endpoints left in the first source's order, %d due times; want 0 and at most 100",
				len(f.sources[0].order), len(f.due.heap))
		}
	})
}

// withdrawAll makes source 0, which sends deltas, report every endpoint as gone, and source 1, which sends lists,
// withdraw all its reports.
func withdrawAll(f *follower, now time.Duration) {
	var gone []Endpoint
	for _, view := range f.All(now) {
		gone = append(gone, Endpoint{ID: view.Endpoint.ID, State: Gone})
	}
	f.ApplyDelta(now, 0, 1, gone)
	// An empty list is accepted only if all endpoints that it lacks are reported as gone.
	last := List{Endpoints: []Endpoint{{ID: "last", State: Gone}}, Confirms: true}
	f.ReplaceList(now, 1, last)
	f.ReplaceList(now, 1, last)
	f.ReplaceList(now, 1, List{})
}

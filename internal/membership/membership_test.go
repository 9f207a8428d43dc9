package membership

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestTakeInParts: a large change is taken in parts, and what becomes more restricted comes first.
func TestTakeInParts(t *testing.T) {
	f := newFollower(Config{Sources: []Source{{}}})
	f.ReplaceList(start, 0, List{Endpoints: upEndpoints(numberedIDs(100)...)})
	f.advance(start)
	grown := append(upEndpoints(numberedIDs(190)...), testEndpoint("195", Draining))
	f.ReplaceList(start, 0, List{Endpoints: grown})
	f.ApplyDelta(start, 0, 1, []Endpoint{{ID: "7", State: Gone}, testEndpoint("8", Draining)})
	first := f.TakeChanges(start, 2)
	if len(first) != 2 || first[0].Kind != Removed || first[1].Kind != StartedDraining {
		t.Errorf("the first part is %+v", first)
	}
	further := 0
	for f.HasChanges() {
		further += len(f.TakeChanges(start, 10))
	}
	if further != 91 {
		t.Errorf("%d further changes, want 91", further)
	}
}

// TestFull: known endpoints stay, new ones are left out and counted.
func TestFull(t *testing.T) {
	f := newFollower(Config{Sources: []Source{{}}, MaxEndpoints: 10})
	f.ReplaceList(start, 0, List{Endpoints: upEndpoints(numberedIDs(10)...)})
	f.ReplaceList(start, 0, List{Endpoints: upEndpoints(append([]string{"x", "y"}, numberedIDs(10)...)...)})
	f.advance(start)
	if len(f.published) != 10 || f.state("x") != Gone {
		t.Errorf("%d endpoints, x %v, want the 10 that were known", len(f.published), f.state("x"))
	}
	notes, _ := f.TakeNotes()
	if len(notes) != 1 || notes[0].Kind != TableFull || notes[0].Count != 2 {
		t.Errorf("notes %+v, want one of 2 endpoints left out", notes)
	}
}

// TestNothingRemains: what every source has withdrawn leaves nothing behind, whatever came before.
func TestNothingRemains(t *testing.T) {
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
			t.Fatalf("left: %d records, %d addresses, %d published",
				f.Len(), len(f.addresses.records), len(f.published))
		}
		if len(f.sources[0].order) != 0 || len(f.due.heap) > 100 {
			t.Fatalf("left: %d in the first source's order, %d due", len(f.sources[0].order), len(f.due.heap))
		}
	})
}

// withdrawAll has a source with deltas report every endpoint as gone, and one with lists withdraw all its reports.
func withdrawAll(f *follower, now time.Duration) {
	var gone []Endpoint
	for _, view := range f.All(now) {
		gone = append(gone, Endpoint{ID: view.Endpoint.ID, State: Gone})
	}
	f.ApplyDelta(now, 0, 1, gone)
	// An empty list is not believed while an endpoint that it lacks is not reported as gone.
	last := List{Endpoints: []Endpoint{{ID: "last", State: Gone}}, Confirms: true}
	f.ReplaceList(now, 1, last)
	f.ReplaceList(now, 1, last)
	f.ReplaceList(now, 1, List{})
}

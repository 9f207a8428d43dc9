package endpointset

import (
	"math"
	"slices"
	"testing"
	"time"

	"sloequay/internal/policy/outlier"

	"pgregory.net/rapid"
)

// TestRankingsFollowTheList plays random lists and attempts, and compares the set after every step with the plainest
// model: a map of the last entries, in which all endpoints are looked through for each question.
func TestRankingsFollowTheList(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		cfg := Config{Zone: 1, Proxies: 6, ZoneProxies: []int{1, 3}, ParentKind: 1, OriginKind: 2, WeightsStable: true}
		set := New[int](cfg)
		model, inFlight := map[ID]Entry{}, map[ID]int{}
		now, links, attempt := 100*time.Second, 0.0, 0
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 40).Draw(t, "seconds")) * time.Second
			kinds := []ListKind{ListDelta, ListDelta, ListFull, ListCached, ListFailed}
			kind := rapid.SampledFrom(kinds).Draw(t, "kind")
			if kind == ListFull || kind == ListCached {
				for id, entry := range model {
					entry.State = Gone
					model[id] = entry
				}
			}
			var entries []Entry
			for range rapid.IntRange(0, 4).Draw(t, "entries") {
				id := ID(rapid.IntRange(1, 9).Draw(t, "id"))
				entry := Entry{
					ID:     id,
					Zone:   rapid.IntRange(0, 2).Draw(t, "zone"),
					Kind:   int(id) % 4 % 3,
					State:  State(rapid.IntRange(0, 2).Draw(t, "state")),
					Weight: float64(rapid.IntRange(0, 3).Draw(t, "weight")),
				}
				entries = append(entries, entry)
				model[id] = entry
			}
			set.Apply(now, kind, entries)
			links = max(links, modelLinks(model))
			compareRankings(t, set, model)
			if math.Abs(set.LinkCapacity()-links) > 1e-9 {
				t.Fatalf("links of %v, want %v", set.LinkCapacity(), links)
			}
			for _, endpoint := range set.All() {
				if rapid.Bool().Draw(t, "attempt starts") {
					attempt++
					endpoint.Start(now, attempt)
				} else if len(endpoint.InFlight()) > 0 {
					endpoint.End(now, endpoint.InFlight()[0])
				}
				inFlight[endpoint.ID] = len(endpoint.InFlight())
				if set.Get(endpoint.ID) != endpoint {
					t.Fatalf("endpoint %d is not found by its id", endpoint.ID)
				}
			}
			for id := range model {
				if (set.Get(id) == nil) && (model[id].State != Gone || inFlight[id] > 0) {
					t.Fatalf("endpoint %d is forgotten: %+v, %d attempts in flight", id, model[id], inFlight[id])
				}
			}
		}
	})
}

// modelLinks is the sum over the ready caches of zone 1, with 3 proxies.
func modelLinks(model map[ID]Entry) float64 {
	links := 0.0
	for _, entry := range model {
		if entry.State != Ready || entry.Kind != 0 || entry.Zone != 1 {
			continue
		}
		if entry.Weight == 0 {
			entry.Weight = defaultWeight
		}
		links += entry.Weight / 3
	}
	return links
}

func compareRankings(t *rapid.T, set *Set[int], model map[ID]Entry) {
	var caches, parents []ID
	hasOrigin := false
	for id, entry := range model {
		switch {
		case entry.State == Gone:
		case entry.Kind == 2:
			hasOrigin = true
		case entry.Kind == 1:
			parents = append(parents, id)
		case entry.Zone == 1:
			caches = append(caches, id)
		}
	}
	ids := func(endpoints []*Endpoint[int]) []ID {
		var ids []ID
		for _, endpoint := range endpoints {
			ids = append(ids, endpoint.ID)
		}
		slices.Sort(ids)
		return ids
	}
	slices.Sort(caches)
	slices.Sort(parents)
	if got := ids(set.Caches.Members()); !slices.Equal(got, caches) {
		t.Fatalf("caches %v, want %v", got, caches)
	}
	if got := ids(set.Parents.Members()); !slices.Equal(got, parents) {
		t.Fatalf("parents %v, want %v", got, parents)
	}
	if (set.Origin != nil) != hasOrigin {
		t.Fatalf("origin %v, want one: %v", set.Origin, hasOrigin)
	}
}

// TestGoneAreForgotten: an endpoint that is gone is dropped after a minute, unless attempts are in flight.
func TestGoneAreForgotten(t *testing.T) {
	set := New[int](Config{ParentKind: 1, OriginKind: 2})
	now := time.Hour
	set.Apply(now, ListFull, []Entry{{ID: 1, State: Ready}, {ID: 2, State: Ready}})
	set.Get(2).Start(now, 1)
	set.Apply(now, ListFull, nil)
	now += forgetAfter
	if set.Apply(now, ListDelta, nil); set.Get(1) == nil {
		t.Error("forgotten within a minute")
	}
	now++
	if set.Apply(now, ListDelta, nil); set.Get(1) != nil || set.Get(2) == nil || len(set.All()) != 1 {
		t.Errorf("after a minute: %v, %v, %d remembered", set.Get(1), set.Get(2), len(set.All()))
	}
	set.Get(2).End(now, 1)
	if set.Apply(now, ListDelta, nil); set.Get(2) != nil || len(set.All()) != 0 {
		t.Error("remembered without attempts in flight")
	}
}

// TestRestartVoidsWhatWasKnown: a new process is not ejected for what the old one did, and what is in flight stays.
func TestRestartVoidsWhatWasKnown(t *testing.T) {
	set := New[int](Config{ParentKind: 1, OriginKind: 2})
	set.Apply(time.Second, ListFull, []Entry{{ID: 1, State: Ready}})
	endpoint := set.Get(1)
	endpoint.Start(time.Second, 7)
	endpoint.RecordSlowness(9)
	set.Eject(time.Second, endpoint, 0)
	if !set.Skipped(endpoint, time.Second) || endpoint.Usable(time.Second) {
		t.Error("an ejected endpoint is usable or not skipped")
	}
	set.Apply(2*time.Second, ListDelta, []Entry{{ID: 1, State: Ready, StartedAt: 2 * time.Second}})
	if endpoint.Health.Ejected() || endpoint.Slowness() != 1 || !slices.Equal(endpoint.InFlight(), []int{7}) {
		t.Errorf("after a restart: ejected %v, slowness %v, in flight %v",
			endpoint.Health.Ejected(), endpoint.Slowness(), endpoint.InFlight())
	}
	if set.Skipped(endpoint, 2*time.Second) {
		t.Error("a new process is skipped")
	}
}

// TestLoadCountsOthersByTheAverage: other proxies count as this one does on average, which has a half-life of 2 s.
func TestLoadCountsOthersByTheAverage(t *testing.T) {
	set := New[int](Config{Proxies: 5, ParentKind: 1, OriginKind: 2})
	now := time.Hour
	set.Apply(now, ListFull, []Entry{{ID: 1, State: Ready}})
	endpoint := set.Get(1)
	endpoint.Start(now, 1)
	if got, want := set.Load(now, endpoint), 2/defaultWeight; math.Abs(got-want) > 1e-9 {
		t.Errorf("load %v at first, want %v", got, want)
	}
	now += averageHalfLife
	if got, want := set.Load(now, endpoint), (2+0.5*4)/defaultWeight; math.Abs(got-want) > 1e-9 {
		t.Errorf("load %v after a half-life, want %v", got, want)
	}
	endpoint.RecordSlowness(26)
	if got, want := set.Load(now, endpoint), 2*(2+0.5*4)/defaultWeight; math.Abs(got-want) > 1e-9 {
		t.Errorf("load %v of an endpoint that is twice as slow, want %v", got, want)
	}
}

// TestOutcomesAreWeighedByRole: what is usual among parents is not so among caches, and the other parents' slow fills
// excuse a parent's.
func TestOutcomesAreWeighedByRole(t *testing.T) {
	set := New[int](Config{ParentKind: 1, OriginKind: 2})
	now := time.Hour
	set.Apply(now, ListFull, []Entry{
		{ID: 1, State: Ready}, {ID: 2, State: Ready, Kind: 1}, {ID: 3, State: Ready, Kind: 1},
	})
	cache, parent, other := set.Get(1), set.Get(2), set.Get(3)
	for range 100 { // of a third parent, which is not in the list any more
		set.Observe(&Endpoint[int]{Role: Parent}, outlier.Failure)
	}
	for range 20 {
		if set.Observe(parent, outlier.Failure) == outlier.Faulty {
			t.Fatal("a parent is faulty by failures that all parents have")
		}
	}
	verdict := outlier.Unchanged
	for range 20 {
		verdict = max(verdict, set.Observe(cache, outlier.Failure))
	}
	if verdict != outlier.Faulty {
		t.Error("a cache is not faulty by 20 failures")
	}
	for range 5 {
		set.RecordParentFill(now, other, outlier.Slow)
	}
	if got := set.OthersSlowRate(now, parent); got != outlier.FaultyErrorRate {
		t.Errorf("the other parent's fills are slow: a rate of %v, want %v", got, outlier.FaultyErrorRate)
	}
	if got := set.OthersSlowRate(now, other); got != 0 {
		t.Errorf("the first parent's fills are not slow: a rate of %v", got)
	}
}

// TestEjectedAreSkippedUntilTheirTrial: the ranking skips an ejected endpoint until its trial is due or it is
// readmitted.
func TestEjectedAreSkippedUntilTheirTrial(t *testing.T) {
	set := New[int](Config{ParentKind: 1, OriginKind: 2})
	now := time.Hour
	set.Apply(now, ListFull, []Entry{{ID: 1, State: Ready}, {ID: 2, State: Ready, Kind: 2}})
	for id, isRanked := range map[ID]bool{1: true, 2: false} {
		endpoint := set.Get(id)
		set.Eject(now, endpoint, outlier.Failing)
		if set.Skipped(endpoint, now) != isRanked || set.Skipped(endpoint, endpoint.Health.NextTrialAt()) {
			t.Errorf("endpoint %d: skipped when ejected: %v, want %v; when its trial is due: %v", id,
				set.Skipped(endpoint, now), isRanked, set.Skipped(endpoint, endpoint.Health.NextTrialAt()))
		}
		if set.Readmit(endpoint); set.Skipped(endpoint, now) || !endpoint.Usable(now) {
			t.Errorf("endpoint %d: skipped or not usable when readmitted", id)
		}
	}
	if set.LocalCache(1) != set.Get(1) || set.LocalCache(2) != nil || set.LocalCache(3) != nil {
		t.Errorf("local caches: %v %v %v, want the first only", set.LocalCache(1), set.LocalCache(2), set.LocalCache(3))
	}
}

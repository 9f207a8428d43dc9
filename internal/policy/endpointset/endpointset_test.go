package endpointset

import (
	"math"
	"slices"
	"testing"
	"time"

	"sloequay/internal/policy/outlier"

	"pgregory.net/rapid"
)

// TestRankingsFollowTheList applies random lists and attempts, and compares the set after every step with a simple
// model: a map of the latest entries, which is searched whole for each comparison.
func TestRankingsFollowTheList(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		cfg := Config{Zone: 1, Proxies: 6, ZoneProxies: []int{1, 3}, ParentKind: 1, OriginKind: 2, WeightsStable: true}
		set := New[int](cfg)
		model, inFlight := map[ID]Entry{}, map[ID]int{}
		now, linkCapacity, attempt := 100*time.Second, 0.0, 0
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
			linkCapacity = max(linkCapacity, modelLinkCapacity(model))
			compareRankings(t, set, model)
			if math.Abs(set.LinkCapacity()-linkCapacity) > 1e-9 {
				t.Fatalf("got link capacity %v, want %v", set.LinkCapacity(), linkCapacity)
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
					t.Fatalf("Get(%d) does not return the endpoint that All lists", endpoint.ID)
				}
			}
			for id := range model {
				if (set.Get(id) == nil) && (model[id].State != Gone || inFlight[id] > 0) {
					t.Fatalf("endpoint %d was removed, though its entry is %+v and it has %d attempts in flight",
						id, model[id], inFlight[id])
				}
			}
		}
	})
}

// modelLinkCapacity returns the share that one of three proxies has in the links of the ready caches of zone 1.
func modelLinkCapacity(model map[ID]Entry) float64 {
	linkCapacity := 0.0
	for _, entry := range model {
		if entry.State != Ready || entry.Kind != 0 || entry.Zone != 1 {
			continue
		}
		if entry.Weight == 0 {
			entry.Weight = defaultWeight
		}
		linkCapacity += entry.Weight / 3
	}
	return linkCapacity
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
		t.Fatalf("got caches %v, want %v", got, caches)
	}
	if got := ids(set.Parents.Members()); !slices.Equal(got, parents) {
		t.Fatalf("got parents %v, want %v", got, parents)
	}
	if (set.Origin != nil) != hasOrigin {
		t.Fatalf("got origin %v, want one: %v", set.Origin, hasOrigin)
	}
}

// TestGoneEndpointsAreForgotten: an endpoint that is gone is removed after a minute, unless it has attempts in flight.
func TestGoneEndpointsAreForgotten(t *testing.T) {
	set := New[int](Config{ParentKind: 1, OriginKind: 2})
	now := time.Hour
	set.Apply(now, ListFull, []Entry{{ID: 1, State: Ready}, {ID: 2, State: Ready}})
	set.Get(2).Start(now, 1)
	set.Apply(now, ListFull, nil)
	now += forgetAfter
	if set.Apply(now, ListDelta, nil); set.Get(1) == nil {
		t.Error("endpoint 1 was removed within a minute")
	}
	now++
	if set.Apply(now, ListDelta, nil); set.Get(1) != nil || set.Get(2) == nil || len(set.All()) != 1 {
		t.Errorf("after a minute: got endpoint 1 %v, endpoint 2 %v, %d in all, want nil, an endpoint, 1 in all",
			set.Get(1), set.Get(2), len(set.All()))
	}
	set.Get(2).End(now, 1)
	if set.Apply(now, ListDelta, nil); set.Get(2) != nil || len(set.All()) != 0 {
		t.Error("endpoint 2 was not removed after its last attempt ended")
	}
}

// TestRestartResetsEndpoint: a restarted endpoint is no longer ejected, and its attempts in flight stay.
func TestRestartResetsEndpoint(t *testing.T) {
	set := New[int](Config{ParentKind: 1, OriginKind: 2})
	set.Apply(time.Second, ListFull, []Entry{{ID: 1, State: Ready}})
	endpoint := set.Get(1)
	endpoint.Start(time.Second, 7)
	endpoint.RecordSlowness(9)
	set.Eject(time.Second, endpoint, 0)
	if !set.Skipped(endpoint, time.Second) || endpoint.Usable(time.Second) {
		t.Error("ejected endpoint: got it usable or not skipped, want it unusable and skipped")
	}
	set.Apply(2*time.Second, ListDelta, []Entry{{ID: 1, State: Ready, StartedAt: 2 * time.Second}})
	if endpoint.Health.Ejected() || endpoint.Slowness() != 1 || !slices.Equal(endpoint.InFlight(), []int{7}) {
		t.Errorf("after a restart: got ejected %v, slowness %v, in flight %v, want false, 1, [7]",
			endpoint.Health.Ejected(), endpoint.Slowness(), endpoint.InFlight())
	}
	if set.Skipped(endpoint, 2*time.Second) {
		t.Error("an endpoint is skipped after its restart")
	}
}

// TestLoadEstimatesOtherProxiesByAverage: each other proxy counts with this proxy's average number of attempts in
// flight, which has a half-life of 2 s.
func TestLoadEstimatesOtherProxiesByAverage(t *testing.T) {
	set := New[int](Config{Proxies: 5, ParentKind: 1, OriginKind: 2})
	now := time.Hour
	set.Apply(now, ListFull, []Entry{{ID: 1, State: Ready}})
	endpoint := set.Get(1)
	endpoint.Start(now, 1)
	if got, want := set.Load(now, endpoint), 2/defaultWeight; math.Abs(got-want) > 1e-9 {
		t.Errorf("at first: got load %v, want %v", got, want)
	}
	now += averageHalfLife
	if got, want := set.Load(now, endpoint), (2+0.5*4)/defaultWeight; math.Abs(got-want) > 1e-9 {
		t.Errorf("after a half-life: got load %v, want %v", got, want)
	}
	endpoint.RecordSlowness(26)
	if got, want := set.Load(now, endpoint), 2*(2+0.5*4)/defaultWeight; math.Abs(got-want) > 1e-9 {
		t.Errorf("endpoint with a slowness of 2: got load %v, want %v", got, want)
	}
}

// TestOutcomesAreJudgedByRole: an error rate that is usual among parents still makes a cache faulty, and slow fills of
// the other parents raise the slow rate that a parent is judged by.
func TestOutcomesAreJudgedByRole(t *testing.T) {
	set := New[int](Config{ParentKind: 1, OriginKind: 2})
	now := time.Hour
	set.Apply(now, ListFull, []Entry{
		{ID: 1, State: Ready}, {ID: 2, State: Ready, Kind: 1}, {ID: 3, State: Ready, Kind: 1},
	})
	cache, parent, other := set.Get(1), set.Get(2), set.Get(3)
	for range 100 { // by a third parent, which is no longer in the list
		set.Observe(&Endpoint[int]{Role: Parent}, outlier.Failure)
	}
	for range 20 {
		if set.Observe(parent, outlier.Failure) == outlier.Faulty {
			t.Fatal("got verdict Faulty for a parent after failures that are usual among parents")
		}
	}
	verdict := outlier.Unchanged
	for range 20 {
		verdict = max(verdict, set.Observe(cache, outlier.Failure))
	}
	if verdict != outlier.Faulty {
		t.Error("got no verdict Faulty for a cache after 20 failures")
	}
	for range 5 {
		set.RecordParentFill(now, other, outlier.Slow)
	}
	if got := set.OthersSlowRate(now, parent); got != outlier.FaultyErrorRate {
		t.Errorf("others' slow rate, with the other parent slow: got %v, want %v", got, outlier.FaultyErrorRate)
	}
	if got := set.OthersSlowRate(now, other); got != 0 {
		t.Errorf("others' slow rate, with the other parent not slow: got %v, want 0", got)
	}
}

// TestEjectedEndpointsAreSkippedUntilTrial: the ranking skips an ejected endpoint until its trial is due or it is
// readmitted.
func TestEjectedEndpointsAreSkippedUntilTrial(t *testing.T) {
	set := New[int](Config{ParentKind: 1, OriginKind: 2})
	now := time.Hour
	set.Apply(now, ListFull, []Entry{{ID: 1, State: Ready}, {ID: 2, State: Ready, Kind: 2}})
	for id, isRanked := range map[ID]bool{1: true, 2: false} {
		endpoint := set.Get(id)
		set.Eject(now, endpoint, outlier.Failing)
		if set.Skipped(endpoint, now) != isRanked || set.Skipped(endpoint, endpoint.Health.NextTrialAt()) {
			t.Errorf("endpoint %d: skipped when ejected %v, want %v; skipped when its trial is due %v, want false", id,
				set.Skipped(endpoint, now), isRanked, set.Skipped(endpoint, endpoint.Health.NextTrialAt()))
		}
		if set.Readmit(endpoint); set.Skipped(endpoint, now) || !endpoint.Usable(now) {
			t.Errorf("endpoint %d: skipped or not usable after its readmission", id)
		}
	}
	if set.LocalCache(1) != set.Get(1) || set.LocalCache(2) != nil || set.LocalCache(3) != nil {
		t.Errorf("LocalCache of 1, 2 and 3: got %v %v %v, want the first only",
			set.LocalCache(1), set.LocalCache(2), set.LocalCache(3))
	}
}

package policy

import (
	"testing"
	"time"

	"sloequay/internal/policy/gaptable"
)

// TestSelectiveCaching: a part is cached at its second request, and at the top rank from its third on.
func TestSelectiveCaching(t *testing.T) {
	h := newHarness(t, testConfig())
	for i, want := range []int{0, 1, 3} {
		id := RequestID(i + 1)
		h.request(id, 0, 7)
		if got := h.passLookups(id).CacheRank; got != want {
			t.Errorf("request %d of an object: rank %d, want %d", i+1, got, want)
		}
		h.respond(id, StatusOK, NoteFilled)
		h.now += sec
	}
}

// TestCachedCopyAndReplica: a part goes where it is cached; under load, its replica at the next cache is filled from
// there.
func TestCachedCopyAndReplica(t *testing.T) {
	h := newHarness(t, testConfig())
	for id := RequestID(1); id <= 3; id++ {
		h.request(id, 0, 7)
		h.passLookups(id)
		h.respond(id, StatusOK, NoteFilled)
		h.now += sec
	}
	first := h.lastSent(3).Endpoint
	h.request(4, 0, 7)
	if h.lastSent(4).Endpoint != first {
		t.Fatalf("a cached object went to %d, want %d, which caches it", h.lastSent(4).Endpoint, first)
	}
	h.request(5, 0, 7) // the first cache has an attempt in flight: the replica's turn
	second := h.lastSent(5)
	if second.Endpoint == first || second.Source != first || !second.CachedOnly {
		t.Fatalf("replica: %+v, want another cache filled from %d by what that caches", second, first)
	}
	h.respond(5, StatusMiss, NoteSourceMiss)
	if sent := h.lastSent(5); sent.Source != 100 && sent.Source != 101 {
		t.Errorf("the first cache lacks it: %+v, want a fill from a parent", sent)
	}
}

// TestLookupBeforeFill: a part that no row places is looked for at the caches before it is filled.
func TestLookupBeforeFill(t *testing.T) {
	h := newHarness(t, testConfig())
	h.request(1, 0, 7)
	if sent := h.lastSent(1); sent.Source != sent.Endpoint {
		t.Fatalf("unknown part: %+v, want a lookup first", sent)
	}
	h.respond(1, StatusOK, NoteHit)
	found := h.lastSent(1).Endpoint
	h.now += sec
	h.request(2, 0, 7)
	if sent := h.lastSent(2); sent.Endpoint != found {
		t.Errorf("found by a lookup at %d, but sent to %d", found, sent.Endpoint)
	}
}

// TestLookupsWithoutCap guards against settings without a cap of attempts in which no sibling was asked and each part
// was filled from a parent; and against lookups at all siblings of a large zone.
func TestLookupsWithoutCap(t *testing.T) {
	for _, maxAttempts := range []int{0, 6, 100} {
		cfg := testConfig()
		cfg.MaxAttempts, cfg.Hedging = maxAttempts, false
		h := newHarness(t, cfg)
		h.request(1, 0, 7)
		lookups := 0
		for sent := h.lastSent(1); sent.Source == sent.Endpoint && h.ends[1] == nil; sent = h.lastSent(1) {
			lookups++
			h.respond(1, StatusMiss, NoteNone)
		}
		if lookups != 3 {
			t.Errorf("cap %d: %d lookups, want 3 of the 4 caches, and a fill then", maxAttempts, lookups)
		}
	}
}

// TestSameCacheAtAllProxies: a further cache takes its share of the parts, and no part moves between the others.
func TestSameCacheAtAllProxies(t *testing.T) {
	one, two := newHarness(t, testConfig()), newHarness(t, testConfig())
	two.handle(ListEvent{Kind: ListDelta, Endpoints: []Endpoint{{ID: 5, Zone: 2, State: Ready, Weight: 8}}})
	moved := 0
	for id := RequestID(1); id <= 300; id++ {
		part := gaptable.Part{Object: uint64(id) * 977}
		before := one.engine.endpoints.Caches.OrderFor(part.Hash(), nil, 0).At(0).ID
		after := two.engine.endpoints.Caches.OrderFor(part.Hash(), nil, 0).At(0).ID
		if before == after {
			continue
		}
		moved++
		if after != 5 {
			t.Fatalf("part %v moved from %d to %d, not to the new cache", part, before, after)
		}
	}
	if moved < 30 || moved > 90 {
		t.Errorf("a fifth cache took %d of 300 parts, want about 60", moved)
	}
}

// TestLostZoneGoesToParents: a zone whose caches are all dead kept rejecting; its parents could serve.
func TestLostZoneGoesToParents(t *testing.T) {
	h := newHarness(t, testConfig())
	served := 0
	for id := RequestID(1); id <= 200; id++ {
		h.request(id, 0, uint64(id))
		for h.ends[id] == nil {
			if sent := h.lastSent(id); sent.Endpoint >= 100 {
				if sent.Endpoint < 200 && sent.Source != 200 {
					t.Fatalf("%+v: a parent with itself as source fills nothing", sent)
				}
				h.respond(id, StatusOK, NoteFilled)
				served++
			} else {
				h.respond(id, StatusConnectFailed, NoteNone)
			}
		}
		h.tick(30 * ms)
	}
	if served < 150 {
		t.Errorf("%d of 200 requests served past the dead caches, want most", served)
	}
}

// TestFirstSizesReachWarmingEndpoints: until a size was seen a request was taken to need all of its latency
// objective, and that guess was left by a fiftieth a request: one proxy of a hundred, whose part of the budget of an
// endpoint that has just started is small, sent nothing for its first hundred requests, and a fleet that started
// together served three quarters of what it could.
func TestFirstSizesReachWarmingEndpoints(t *testing.T) {
	cfg := testConfig()
	cfg.Instances, cfg.ZoneInstances = 100, []int{0, 0, 50, 50}
	engine, err := New(cfg, 1)
	if err != nil {
		t.Fatal(err)
	}
	now := 100 * sec
	list := testEndpoints()
	for i := range list {
		list[i].StartedAt = now
	}
	engine.Handle(now, ListEvent{Kind: ListFull, Endpoints: list})
	viaCaches := 0
	for id := RequestID(1); id <= 10; id++ {
		now += 100 * ms
		request := RequestEvent{ID: id, Object: uint64(id), Remaining: 3 * sec, SizeKB: 5}
		for _, action := range engine.Handle(now, request) {
			if sent, ok := action.(SendAttempt); ok {
				if sent.Endpoint < 10 { // a cache, and not the origin past them all
					viaCaches++
				}
				engine.Handle(now, hit(sent, ms))
				break
			}
		}
	}
	if viaCaches < 9 {
		t.Errorf("%d of 10 requests were sent to caches that have budget for them", viaCaches)
	}
}

// TestSinglesAmongManyProxies: a part was filled once by each proxy of a zone before it was cached.
func TestSinglesAmongManyProxies(t *testing.T) {
	for _, c := range []struct{ proxies, min, max int }{{1, 0, 0}, {2, 60, 140}, {8, 150, 199}} {
		h := newHarness(t, manyProxiesConfig(c.proxies))
		cached := 0
		for object := uint64(1); object <= 200; object++ {
			if h.engine.cachedOnFirstRequest(gaptable.Part{Object: object}) {
				cached++
			}
		}
		if cached < c.min || cached > c.max {
			t.Errorf("%d proxies: %d of 200 singles cached, want %d to %d", c.proxies, cached, c.min, c.max)
		}
	}
}

// TestLargeFleetEvents: odd but legal events with hundreds of endpoints and the settings of many proxies.
func TestLargeFleetEvents(t *testing.T) {
	h := newHarness(t, manyProxiesConfig(9))
	list := testEndpoints()
	for i := 1000; i < 1300; i++ {
		list = append(list, Endpoint{ID: EndpointID(i), Zone: 2 + i%9, Kind: i % 3 % 2, State: State(i % 3),
			Weight: float64(i % 7), StartedAt: time.Duration(i%5) * 25 * sec})
	}
	h.handle(ListEvent{Kind: ListFull, Endpoints: list})
	for id := RequestID(1); id <= 400; id++ {
		h.request(id, int(id)%3, uint64(id%37))
		for h.ends[id] == nil && len(h.sent[id]) < 3 && id%5 != 0 {
			n := len(h.sent[id])
			h.respond(id, Status(int(id)%int(StatusMiss+1)), Note(int(id)%int(NoteOriginFailed+1)))
			if len(h.sent[id]) == n {
				break
			}
		}
		h.tick(20 * ms)
	}
}

// TestReplacedCachesDoNotWidenTheLink: each cache that was gone still counted in the zone's link, which seemed to
// grow without end where replacements have new ids, and none was ever forgotten.
func TestReplacedCachesDoNotWidenTheLink(t *testing.T) {
	h := newHarness(t, testConfig())
	before := h.engine.endpoints.Links()
	for id := EndpointID(1000); id < 1100; id++ {
		h.handle(ListEvent{Endpoints: []Endpoint{{ID: id, Zone: 2, State: Ready, Weight: 8, StartedAt: h.now}}})
		h.handle(ListEvent{Endpoints: []Endpoint{{ID: id, Zone: 2, State: Gone}}})
		h.now += 10 * sec
	}
	if h.engine.endpoints.Links() > 1.5*before {
		t.Errorf("the zone's link is %.1f, was %.1f", h.engine.endpoints.Links(), before)
	}
	byID := 0
	for id := range EndpointID(1100) {
		if h.endpoint(id) != nil {
			byID++
		}
	}
	if n := len(h.engine.endpoints.All()); n > 20 || byID != n {
		t.Errorf("%d endpoints are remembered, %d by id", n, byID)
	}
}

package policy

import (
	"testing"
	"time"

	"sloequay/internal/policy/gaptable"
)

// TestSelectiveCaching: a part is cached on its second request, and at the top rank from its third request on.
func TestSelectiveCaching(t *testing.T) {
	h := newHarness(t, testConfig())
	for i, want := range []int{0, 1, 3} {
		id := RequestID(i + 1)
		h.request(id, 0, 7)
		if got := h.missLookups(id).CacheRank; got != want {
			t.Errorf("request %d of an object: got cache rank %d, want %d", i+1, got, want)
		}
		h.respond(id, StatusOK, NoteFilled)
		h.now += sec
	}
}

// TestCachedCopyAndReplica: a request for a part goes to the cache that has it. Under load, a replica at the next cache
// is filled from that cache.
func TestCachedCopyAndReplica(t *testing.T) {
	h := newHarness(t, testConfig())
	for id := RequestID(1); id <= 3; id++ {
		h.request(id, 0, 7)
		h.missLookups(id)
		h.respond(id, StatusOK, NoteFilled)
		h.now += sec
	}
	first := h.lastSent(3).Endpoint
	h.request(4, 0, 7)
	if h.lastSent(4).Endpoint != first {
		t.Fatalf("request for a cached object: got cache %d, want %d, which has it", h.lastSent(4).Endpoint, first)
	}
	h.request(5, 0, 7) // goes to the replica, as the first cache has an attempt in flight
	second := h.lastSent(5)
	if second.Endpoint == first || second.Source != first || !second.CachedOnly {
		t.Fatalf("replica: got %+v, want another cache with a cached-only fill from %d", second, first)
	}
	h.respond(5, StatusMiss, NoteSourceMiss)
	if sent := h.lastSent(5); sent.Source != 100 && sent.Source != 101 {
		t.Errorf("after a miss at the first cache: got %+v, want a fill from a parent", sent)
	}
}

// TestLookupBeforeFill: a part whose row names no cache is looked up at the caches before it is filled.
func TestLookupBeforeFill(t *testing.T) {
	h := newHarness(t, testConfig())
	h.request(1, 0, 7)
	if sent := h.lastSent(1); sent.Source != sent.Endpoint {
		t.Fatalf("unknown part: got %+v, want a lookup first", sent)
	}
	h.respond(1, StatusOK, NoteHit)
	found := h.lastSent(1).Endpoint
	h.now += sec
	h.request(2, 0, 7)
	if sent := h.lastSent(2); sent.Endpoint != found {
		t.Errorf("lookup hit at cache %d, but the next request was sent to %d", found, sent.Endpoint)
	}
}

// TestLookupsWithoutAttemptLimit guards against two faults: without a limit on attempts no sibling was looked up, and
// each part was filled from a parent; and in a large zone all siblings were looked up.
func TestLookupsWithoutAttemptLimit(t *testing.T) {
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
			t.Errorf("attempt limit %d: got %d lookups, want 3 at the 4 caches and then a fill", maxAttempts, lookups)
		}
	}
}

// TestNewCacheMovesOnlyItsShare: a new cache gets its share of the parts, and no part moves between the other caches.
func TestNewCacheMovesOnlyItsShare(t *testing.T) {
	fourCaches, fiveCaches := newHarness(t, testConfig()), newHarness(t, testConfig())
	fiveCaches.handle(ListEvent{Kind: ListDelta, Endpoints: []Endpoint{{ID: 5, Zone: 2, State: Ready, Weight: 8}}})
	moved := 0
	for id := RequestID(1); id <= 300; id++ {
		part := gaptable.Part{Object: uint64(id) * 977}
		before := fourCaches.engine.endpoints.Caches.OrderFor(part.Hash(), nil, 0).At(0).ID
		after := fiveCaches.engine.endpoints.Caches.OrderFor(part.Hash(), nil, 0).At(0).ID
		if before == after {
			continue
		}
		moved++
		if after != 5 {
			t.Fatalf("part %v moved from cache %d to %d, want a move to the new cache only", part, before, after)
		}
	}
	if moved < 30 || moved > 90 {
		t.Errorf("got %d of 300 parts at the fifth cache, want about 60", moved)
	}
}

// TestLostZoneFallsBackToParents guards against rejecting the requests of a zone whose caches are all dead, while the
// parents can serve them.
func TestLostZoneFallsBackToParents(t *testing.T) {
	h := newHarness(t, testConfig())
	served := 0
	for id := RequestID(1); id <= 200; id++ {
		h.request(id, 0, uint64(id))
		for h.ends[id] == nil {
			if sent := h.lastSent(id); sent.Endpoint >= 100 {
				if sent.Endpoint < 200 && sent.Source != 200 {
					t.Fatalf("got %+v, want the origin as source, as a parent does not fill from itself", sent)
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
		t.Errorf("got %d of 200 requests served past the dead caches, want at least 150", served)
	}
}

// TestWarmingCachesGetFirstRequests guards against a cost estimate that starts at the latency objective and moves by
// only a fiftieth with each known size. One proxy of a hundred, whose share of the budget of an endpoint that has just
// started is small, then sent nothing for its first hundred requests, and a fleet that started together served three
// quarters of what it could.
func TestWarmingCachesGetFirstRequests(t *testing.T) {
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
				if sent.Endpoint < 10 { // a cache, not the origin
					viaCaches++
				}
				engine.Handle(now, hitResponse(sent, ms))
				break
			}
		}
	}
	if viaCaches < 9 {
		t.Errorf("got %d of 10 requests sent to caches, want at least 9, as the caches have budget for them", viaCaches)
	}
}

// TestCachingOnFirstRequestByProxies guards against a part that each proxy of a zone fills once before it is cached.
func TestCachingOnFirstRequestByProxies(t *testing.T) {
	for _, c := range []struct{ proxies, min, max int }{{1, 0, 0}, {2, 60, 140}, {8, 150, 199}} {
		h := newHarness(t, manyProxiesConfig(c.proxies))
		cached := 0
		for object := uint64(1); object <= 200; object++ {
			if h.engine.cachedOnFirstRequest(gaptable.Part{Object: object}) {
				cached++
			}
		}
		if cached < c.min || cached > c.max {
			t.Errorf("%d proxies: got %d of 200 parts cached on first request, want %d to %d",
				c.proxies, cached, c.min, c.max)
		}
	}
}

// TestLargeFleetEvents passes unusual but valid events with hundreds of endpoints and the settings of many proxies. The
// harness checks the actions.
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

// TestReplacedCachesDoNotAddLinks guards against two faults where replacements have new IDs: caches that are gone still
// counted in the zone's links, which grew without bound, and they were never forgotten.
func TestReplacedCachesDoNotAddLinks(t *testing.T) {
	h := newHarness(t, testConfig())
	before := h.engine.endpoints.LinkCapacity()
	for id := EndpointID(1000); id < 1100; id++ {
		h.handle(ListEvent{Endpoints: []Endpoint{{ID: id, Zone: 2, State: Ready, Weight: 8, StartedAt: h.now}}})
		h.handle(ListEvent{Endpoints: []Endpoint{{ID: id, Zone: 2, State: Gone}}})
		h.now += 10 * sec
	}
	if h.engine.endpoints.LinkCapacity() > 1.5*before {
		t.Errorf("links after 100 replaced caches: got %.1f, want at most 1.5 times %.1f",
			h.engine.endpoints.LinkCapacity(), before)
	}
	byID := 0
	for id := range EndpointID(1100) {
		if h.endpoint(id) != nil {
			byID++
		}
	}
	if n := len(h.engine.endpoints.All()); n > 20 || byID != n {
		t.Errorf("got %d endpoints in the set and %d by ID, want the same number and at most 20", n, byID)
	}
}

package policy

import (
	"testing"
	"time"

	"sloequay/internal/policy/aimd"
	"sloequay/internal/policy/classcost"
	"sloequay/internal/policy/gaptable"
)

// TestCachedOnlyWhileFillsAreLimited guards against a slow origin keeping clients from the parents' cached copies.
func TestCachedOnlyWhileFillsAreLimited(t *testing.T) {
	h := newHarness(t, testConfig())
	h.engine.fillLimiter.Limit = aimd.MinLimit
	for id := RequestID(1); id <= 40; id++ {
		h.request(id, 0, uint64(id))
		if h.ends[id] == nil {
			if sent := h.missLookups(id); sent.CachedOnly && (sent.Source == 100 || sent.Source == 101) {
				return
			}
		}
	}
	t.Error("no cached-only fill was sent to a parent")
}

// TestLoadAssumesSameAverageAtOtherProxies guards against one of eight proxies considering a cache full as soon as it
// has two attempts of its own in flight there.
func TestLoadAssumesSameAverageAtOtherProxies(t *testing.T) {
	h := newHarness(t, manyProxiesConfig(8))
	endpoint := h.endpoint(1)
	for n := range 2 {
		endpoint.Start(h.now, attemptRef{n: n})
	}
	if got := h.engine.endpoints.Load(h.engine.now, endpoint); got > 0.5 {
		t.Errorf("two attempts in flight after an idle time: got load %.2f on a link of 8, want at most 0.5", got)
	}
	h.engine.now += 20 * sec
	if got := h.engine.endpoints.Load(h.engine.now, endpoint); got < 2 {
		t.Errorf("two attempts in flight all the time from each of 8 proxies: got load %.2f, want at least 2", got)
	}
}

// TestExpectedHitIsCachedOnlyWhileFillsAreLimited guards against filling expected hits whose copies are gone: these
// fills brought a slow origin to a halt.
func TestExpectedHitIsCachedOnlyWhileFillsAreLimited(t *testing.T) {
	h := newHarness(t, testConfig())
	h.request(1, 0, 7)
	h.missLookups(1)
	h.respond(1, StatusOK, NoteFilled)
	h.request(2, 0, 7)
	h.missLookups(2)
	h.respond(2, StatusOK, NoteFilled)
	h.engine.fillLimiter.InFlight = 1000
	h.request(3, 0, 7)
	if sent := h.lastSent(3); !sent.CachedOnly {
		t.Fatalf("fill limiter full: got %+v, want a cached-only fill", sent)
	}
	row := h.engine.tables.Row(gaptable.Part{Object: 7})
	if h.respond(3, StatusMiss, NoteNone); row.CachedBy != 0 {
		t.Errorf("after a miss: got %d as the cache in the row, want none", row.CachedBy)
	}
}

// TestSlowResponsesRaiseSlowness: the load of a cache that becomes slower must rise before the cache fails.
func TestSlowResponsesRaiseSlowness(t *testing.T) {
	h := newHarness(t, testConfig())
	for id := RequestID(1); id <= 40; id++ {
		h.request(id, 0, 7)
		sent := h.lastSent(id)
		h.ends[id] = sent
		h.handle(hitResponse(sent, sec))
	}
	slowest := 0.0
	for id := EndpointID(1); id <= 4; id++ {
		slowest = max(slowest, h.endpoint(id).Slowness())
	}
	if slowest < 2 {
		t.Errorf("after 40 responses at a tenth of the rate: got slowness %.2f, want at least 2", slowest)
	}
}

// TestCostIncludesLoad guards against a cost without the effect of load: caches that had just started were sent twice
// what they can bear (i084bb9).
func TestCostIncludesLoad(t *testing.T) {
	cfg := testConfig()
	cfg.FlowKBps = 0 // sizes are unknown
	h := newHarness(t, cfg)
	class := &h.engine.classes[0]
	class.cost = classcost.New(1)
	for id := RequestID(1); id <= 200; id++ {
		h.request(id, 0, uint64(id))
		sent := h.lastSent(id)
		h.engine.requests[id].attempts[0].load = 4
		h.ends[id] = sent
		h.handle(hitResponse(sent, sec))
	}
	if mean, cost := class.cost.Mean(), class.cost.Cost(); mean > 0.3 || cost < 0.9 {
		t.Errorf("responses of 1 s at a load of 4: got mean %.2f, want about 0.25; got cost %.2f, want about 1",
			mean, cost)
	}
}

// TestWrongSizeDoesNotDistortClass guards against one impossible size making all requests of its class seem long.
func TestWrongSizeDoesNotDistortClass(t *testing.T) {
	h := newHarness(t, testConfig())
	for id := RequestID(1); id <= 50; id++ {
		h.request(id, 0, uint64(id))
	}
	before := h.engine.classes[0].cost.Mean()
	h.handle(RequestEvent{ID: 99, Object: 99, Remaining: 3 * sec, SizeKB: 1e7})
	if after := h.engine.classes[0].cost.Mean(); after > 1.5*before {
		t.Errorf("the mean transfer time rose from %.2f s to %.2f s, want at most 1.5 times as much", before, after)
	}
}

// TestRetryAfterIsWithinTheObjective guards against a Retry-After of the longest time that clients observe, 2 s at one
// deployment: clients then retried when the response was of no use any more.
func TestRetryAfterIsWithinTheObjective(t *testing.T) {
	for _, c := range []struct{ max, objective, want time.Duration }{
		{2 * sec, 400 * ms, 200 * ms}, {100 * ms, 400 * ms, 100 * ms}, {2 * sec, 0, 2 * sec}, {0, 400 * ms, 0},
	} {
		cfg := testConfig()
		cfg.MaxRetryAfter, cfg.Classes[0].LatencyObjective = c.max, c.objective
		h := newHarness(t, cfg)
		h.handle(ListEvent{Kind: ListFull})
		h.request(1, 0, 7)
		if h.ends[1] != (Reject{1, c.want}) {
			t.Errorf("max Retry-After %v, objective %v: got %+v, want rejection with %v",
				c.max, c.objective, h.ends[1], c.want)
		}
	}
}

// TestSlowWritesLimitFills: writes wait behind fills at the origin, which shows its load only by being slow. When
// writes were counted at their ends, the first one lowered the limit on fills only 3 s after it had begun.
func TestSlowWritesLimitFills(t *testing.T) {
	for _, c := range []struct {
		elapsed       time.Duration
		wantDecreased bool
	}{{100 * ms, false}, {300 * ms, true}} {
		h := newHarness(t, testConfig())
		h.request(1, 1, 7)
		h.tick(c.elapsed)
		if decreased := h.engine.fillLimiter.Limit < aimd.InitialLimit; decreased != c.wantDecreased {
			t.Errorf("write in flight for %v: got a limit on fills of %v, decreased %v, want decreased %v",
				c.elapsed, h.engine.fillLimiter.Limit, decreased, c.wantDecreased)
		}
	}
}

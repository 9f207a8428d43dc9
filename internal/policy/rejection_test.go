package policy

import (
	"testing"
	"time"

	"sloequay/internal/policy/aimd"
	"sloequay/internal/policy/classcost"
	"sloequay/internal/policy/gaptable"
)

// TestCachedOnlyWhileFillsAreLimited: a slow origin kept clients from what the parents cache.
func TestCachedOnlyWhileFillsAreLimited(t *testing.T) {
	h := newHarness(t, testConfig())
	h.engine.fillLimiter.Limit = aimd.MinLimit
	for id := RequestID(1); id <= 40; id++ {
		h.request(id, 0, uint64(id))
		if h.ends[id] == nil {
			if sent := h.passLookups(id); sent.CachedOnly && (sent.Source == 100 || sent.Source == 101) {
				return
			}
		}
	}
	t.Error("no parent was sent a fill from what it caches")
}

// TestLoadCountsOthersByOurAverage: one of eight proxies took a cache to be full at two attempts of its own.
func TestLoadCountsOthersByOurAverage(t *testing.T) {
	h := newHarness(t, manyProxiesConfig(8))
	endpoint := h.endpoint(1)
	for n := range 2 {
		endpoint.Start(h.now, attemptRef{n: n})
	}
	if got := h.engine.endpoints.Load(h.engine.now, endpoint); got > 0.5 {
		t.Errorf("two attempts in flight after a quiet time: load %.2f of a link of 8, want under 0.5", got)
	}
	h.engine.now += 20 * sec
	if got := h.engine.endpoints.Load(h.engine.now, endpoint); got < 2 {
		t.Errorf("two attempts in flight all the time at each of 8: load %.2f, want over 2", got)
	}
}

// TestBelievedHitKeepsOriginOut: believed hits whose copies were gone brought a slow origin to a halt.
func TestBelievedHitKeepsOriginOut(t *testing.T) {
	h := newHarness(t, testConfig())
	h.request(1, 0, 7)
	h.passLookups(1)
	h.respond(1, StatusOK, NoteFilled)
	h.request(2, 0, 7)
	h.passLookups(2)
	h.respond(2, StatusOK, NoteFilled)
	h.engine.fillLimiter.InFlight = 1000
	h.request(3, 0, 7)
	if sent := h.lastSent(3); !sent.CachedOnly {
		t.Fatalf("no more fills: %+v, want what the parent caches only", sent)
	}
	row := h.engine.tables.Row(gaptable.Part{Object: 7})
	if h.respond(3, StatusMiss, NoteNone); row.CachedBy != 0 {
		t.Errorf("the row still names %d, which lacked the part", row.CachedBy)
	}
}

// TestSlowAnswersAddLoad: a cache that grows slower must have more load before it fails.
func TestSlowAnswersAddLoad(t *testing.T) {
	h := newHarness(t, testConfig())
	for id := RequestID(1); id <= 40; id++ {
		h.request(id, 0, 7)
		sent := h.lastSent(id)
		h.ends[id] = sent
		h.handle(hit(sent, sec))
	}
	slowest := 0.0
	for id := EndpointID(1); id <= 4; id++ {
		slowest = max(slowest, h.endpoint(id).Slowness())
	}
	if slowest < 2 {
		t.Errorf("40 answers at a tenth of the pace: a slowness of %.2f, want over 2", slowest)
	}
}

// TestCostIsNotNetOfLoad: a cost net of load had caches that had just started sent twice what they bear (i084bb9).
func TestCostIsNotNetOfLoad(t *testing.T) {
	cfg := testConfig()
	cfg.FlowKBps = 0 // sizes are not known
	h := newHarness(t, cfg)
	class := &h.engine.classes[0]
	class.cost = classcost.New(1)
	for id := RequestID(1); id <= 200; id++ {
		h.request(id, 0, uint64(id))
		sent := h.lastSent(id)
		h.engine.requests[id].attempts[0].load = 4
		h.ends[id] = sent
		h.handle(hit(sent, sec))
	}
	if mean, cost := class.cost.Mean(), class.cost.Cost(); mean > 0.3 || cost < 0.9 {
		t.Errorf("answers of 1 s at a load of 4: mean %.2f, want about 0.25; cost %.2f, want about 1", mean, cost)
	}
}

// TestWrongSizesDoNotSpoilTheClass: one size that no object has made all of its class seem long.
func TestWrongSizesDoNotSpoilTheClass(t *testing.T) {
	h := newHarness(t, testConfig())
	for id := RequestID(1); id <= 50; id++ {
		h.request(id, 0, uint64(id))
	}
	before := h.engine.classes[0].cost.Mean()
	h.handle(RequestEvent{ID: 99, Object: 99, Remaining: 3 * sec, SizeKB: 1e7})
	if after := h.engine.classes[0].cost.Mean(); after > 1.5*before {
		t.Errorf("the mean sending time went from %.2f s to %.2f s", before, after)
	}
}

// TestRetryAfterIsWithinTheObjective: a client was asked to stay away for as long as clients keep to, 2 s at one
// deployment, and came back when nobody wanted the answer any more.
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
			t.Errorf("at most %v, objective %v: %+v, want a rejection with %v", c.max, c.objective, h.ends[1], c.want)
		}
	}
}

// TestSlowWritesLimitFills: writes wait behind fills at the origin, which shows its load only by being slow. Counted
// at their ends, the first one showed it 3 s after it had begun.
func TestSlowWritesLimitFills(t *testing.T) {
	for _, c := range []struct {
		took      time.Duration
		decreased bool
	}{{100 * ms, false}, {300 * ms, true}} {
		h := newHarness(t, testConfig())
		h.request(1, 1, 7)
		h.tick(c.took)
		if decreased := h.engine.fillLimiter.Limit < aimd.InitialLimit; decreased != c.decreased {
			t.Errorf("a write of %v: the limit on fills is %v, decreased %v, want %v",
				c.took, h.engine.fillLimiter.Limit, decreased, c.decreased)
		}
	}
}

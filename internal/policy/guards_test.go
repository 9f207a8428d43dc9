package policy

import (
	"reflect"
	"testing"
	"time"
)

// TestDrainingEndpointGetsNoAttempts covers rule 3 for endpoints and sources. The harness checks each attempt.
func TestDrainingEndpointGetsNoAttempts(t *testing.T) {
	h := newHarness(t, testConfig())
	for _, endpoint := range []Endpoint{{ID: 1, Zone: 2, State: Draining, Weight: 8}, {ID: 100, Kind: 1, State: Gone}} {
		h.handle(ListEvent{Kind: ListDelta, Endpoints: []Endpoint{endpoint}})
		h.notReady[endpoint.ID] = true
	}
	for id := RequestID(1); id <= 60; id++ {
		h.request(id, 0, uint64(id))
		h.missLookups(id)
		h.respond(id, StatusError, NoteNone)
		h.now += 100 * ms
	}
}

// TestPurgeLimitsMaxAge covers rule 5: no copy from before a purge is served, and no fill is joined that may have
// begun before it.
func TestPurgeLimitsMaxAge(t *testing.T) {
	h := newHarness(t, testConfig())
	h.handle(PurgeEvent{Object: 7, Age: 200 * ms})
	for _, step := range []struct {
		wait   time.Duration
		maxAge time.Duration // 0: any age
	}{{0, 200 * ms}, {300 * ms, 500 * ms}, {5 * sec, 5500 * ms}, {3 * sec, 0}} {
		h.now += step.wait
		id := RequestID(h.now / ms)
		h.request(id, 0, 7)
		for attempt := 0; attempt < 3; attempt++ {
			sent := h.lastSent(id)
			isTooOld := sent.MaxAge <= 0 || sent.MaxAge > step.maxAge
			hasWrongFlags := sent.JoinFill != (step.maxAge > joinFillsAfterPurge) || sent.Revalidate
			if step.maxAge > 0 && (isTooOld || hasWrongFlags) {
				t.Errorf("%v after the purge: got %+v, want a max age up to %v and no older fill",
					step.wait, sent, step.maxAge)
			}
			h.respond(id, StatusMiss, NoteNone)
		}
	}
	h.handle(PurgeEvent{Object: 8})
	h.request(1, 0, 8)
	if sent := h.lastSent(1); sent.MaxAge <= 0 || sent.MaxAge > ms {
		t.Errorf("right after a purge: got max age %v, want above 0 and at most 1 ms", sent.MaxAge)
	}
	h.handle(PurgeEvent{Group: 3, Age: ms})
	h.handle(RequestEvent{ID: 2, Object: 9, Group: 3, Remaining: sec})
	if sent := h.lastSent(2); sent.MaxAge <= 0 || sent.MaxAge > ms {
		t.Errorf("right after the purge of a group: got max age %v, want above 0 and at most 1 ms", sent.MaxAge)
	}
}

// TestWarmupBudget covers rule 4 for a cache and a parent that have just started.
func TestWarmupBudget(t *testing.T) {
	for _, started := range []Endpoint{
		{ID: 1, Zone: 2, State: Ready, Weight: 8}, {ID: 100, Kind: 1, State: Ready, Weight: 40},
	} {
		h := newHarness(t, testConfig())
		started.StartedAt = h.now
		h.handle(ListEvent{Kind: ListDelta, Endpoints: []Endpoint{started}})
		rate, share := 0.2*3.0, 1.0
		if started.Kind == 1 {
			rate, share = 0.1*2.0, 2
		}
		spent, id := 0.0, RequestID(0)
		for end := h.now + 2*sec; h.now < end; h.now += 5 * ms {
			id++
			h.request(id, 0, uint64(id))
			h.missLookups(id)
			for _, sent := range h.sent[id] {
				if sent.Endpoint == started.ID || sent.Source == started.ID && sent.Endpoint != started.ID {
					spent += h.engine.classes[0].cost.Cost()
				}
			}
			h.respond(id, StatusOK, NoteFilled)
		}
		// The share grows within the window: 2 s are a tenth of the warm-up time.
		budget := (rate + 0.1*3) * started.Weight * 2 / share
		if spent > budget || spent == 0 {
			t.Errorf("endpoint %d: got a transfer time of %.2f s in its first 2 s, want above 0 and at most %.2f s",
				started.ID, spent, budget)
		}
	}
}

// TestIdempotency covers rule 2 for retries and rejections.
func TestIdempotency(t *testing.T) {
	for _, c := range []struct {
		name      string
		class     int
		status    Status
		wait      time.Duration
		wantRetry bool
		wantEnd   Action
	}{
		{"keyed, within the window", 1, StatusError, 0, true, nil},
		{"keyed, after the window", 1, StatusError, 1900 * ms, false, Reject{ID: 1, RetryAfter: 200 * ms}},
		{"not idempotent, may have run", 2, StatusError, 0, false, Fail{ID: 1}},
		{"not idempotent, never ran", 2, StatusConnectFailed, 0, true, nil},
	} {
		h := newHarness(t, testConfig())
		h.request(1, c.class, 7)
		h.now += c.wait
		h.respond(1, c.status, NoteNone)
		if got := len(h.sent[1]) == 2; got != c.wantRetry {
			t.Errorf("%s: got retry %v, want %v", c.name, got, c.wantRetry)
		}
		if !reflect.DeepEqual(h.ends[1], c.wantEnd) {
			t.Errorf("%s: got end %v, want %v", c.name, h.ends[1], c.wantEnd)
		}
	}
}

// TestReadmittedParentWarmsUp: a parent that failed and responds again may have restarted before the list says so, and
// gets only the budget of one that has just started. The full rate of all proxies together overloaded it.
func TestReadmittedParentWarmsUp(t *testing.T) {
	h := newHarness(t, testConfig())
	isDead := true
	countFillsVia(h, 100, 30, func(sent SendAttempt) (Status, Note) {
		if isDead && sent.Source == 100 && sent.Endpoint != 100 {
			return StatusError, NoteSourceLost
		}
		return StatusOK, NoteFilled
	})
	if !h.isEjected(100) {
		t.Fatal("the failing parent was not ejected")
	}
	isDead = false
	for attempts := 0; h.isEjected(100); attempts++ {
		if attempts > 100 {
			t.Fatal("the parent was not readmitted within 100 requests")
		}
		h.tick(100 * ms)
		id := RequestID(100 + attempts)
		h.request(id, 0, uint64(7000+attempts))
		for h.ends[id] == nil {
			h.missLookups(id)
			if h.ends[id] == nil {
				h.respond(id, StatusOK, NoteFilled)
			}
		}
	}
	spent, id := 0.0, RequestID(5000)
	for end := h.now + 2*sec; h.now < end; h.now += 5 * ms {
		id++
		h.request(id, 0, uint64(id))
		sent := h.missLookups(id)
		if sent.Source == 100 && sent.Endpoint != 100 || sent.Endpoint == 100 {
			spent += h.engine.classes[0].cost.Mean()
		}
		h.respond(id, StatusOK, NoteFilled)
	}
	// As in TestWarmupBudget: a share of 0.1 rising over 20 s, an overload multiple of 2, weight 40, two proxies.
	if budget := (0.1*2.0 + 0.1*3) * 40 * 2 / 2; spent > budget {
		t.Errorf("got a transfer time of %.2f s in the first 2 s after readmission, want at most %.2f s", spent, budget)
	}
}

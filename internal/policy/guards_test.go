package policy

import (
	"reflect"
	"testing"
	"time"
)

// TestDrainingGetsNothing: rule 3, of endpoints and of sources; the harness checks each attempt.
func TestDrainingGetsNothing(t *testing.T) {
	h := newHarness(t, testConfig())
	for _, endpoint := range []Endpoint{{ID: 1, Zone: 2, State: Draining, Weight: 8}, {ID: 100, Kind: 1, State: Gone}} {
		h.handle(ListEvent{Kind: ListDelta, Endpoints: []Endpoint{endpoint}})
		h.notReady[endpoint.ID] = true
	}
	for id := RequestID(1); id <= 60; id++ {
		h.request(id, 0, uint64(id))
		h.passLookups(id)
		h.respond(id, StatusError, NoteNone)
		h.now += 100 * ms
	}
}

// TestPurgesBoundTheAge: rule 5. No copy from before a purge will do, and no fill that may have begun before it.
func TestPurgesBoundTheAge(t *testing.T) {
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
			isWrongFill := sent.JoinFill != (step.maxAge > joinFillsAfterPurge) || sent.Revalidate
			if step.maxAge > 0 && (isTooOld || isWrongFill) {
				t.Errorf("%v after the purge: %+v, want an age of at most %v", step.wait, sent, step.maxAge)
			}
			h.respond(id, StatusMiss, NoteNone)
		}
	}
	h.handle(PurgeEvent{Object: 8})
	h.request(1, 0, 8)
	if sent := h.lastSent(1); sent.MaxAge <= 0 || sent.MaxAge > ms {
		t.Errorf("a purge just now: age %v, want the smallest that is not 'any'", sent.MaxAge)
	}
	h.handle(PurgeEvent{Group: 3, Age: ms})
	h.handle(RequestEvent{ID: 2, Object: 9, Group: 3, Remaining: sec})
	if sent := h.lastSent(2); sent.MaxAge <= 0 || sent.MaxAge > ms {
		t.Errorf("a purged group: age %v", sent.MaxAge)
	}
}

// TestWarmupBudget: rule 4, of a cache and of a parent that have just started.
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
		spentHere, id := 0.0, RequestID(0)
		for end := h.now + 2*sec; h.now < end; h.now += 5 * ms {
			id++
			h.request(id, 0, uint64(id))
			h.passLookups(id)
			for _, sent := range h.sent[id] {
				if sent.Endpoint == started.ID || sent.Source == started.ID && sent.Endpoint != started.ID {
					spentHere += h.engine.classes[0].cost.Cost()
				}
			}
			h.respond(id, StatusOK, NoteFilled)
		}
		// The share may have grown to the end of the window: a tenth of the way to warm.
		budget := (rate + 0.1*3) * started.Weight * 2 / share
		if spentHere > budget || spentHere == 0 {
			t.Errorf("endpoint %d: %.2f s of sending in its first 2 s, want some and at most %.2f",
				started.ID, spentHere, budget)
		}
	}
}

// TestIdempotency: rule 2, of further attempts and of rejections.
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
		{"keyed, too late", 1, StatusError, 1900 * ms, false, Reject{ID: 1, RetryAfter: 200 * ms}},
		{"unsafe, may have run", 2, StatusError, 0, false, Fail{ID: 1}},
		{"unsafe, never ran", 2, StatusConnectFailed, 0, true, nil},
	} {
		h := newHarness(t, testConfig())
		h.request(1, c.class, 7)
		h.now += c.wait
		h.respond(1, c.status, NoteNone)
		if got := len(h.sent[1]) == 2; got != c.wantRetry {
			t.Errorf("%s: sent again %v, want %v", c.name, got, c.wantRetry)
		}
		if !reflect.DeepEqual(h.ends[1], c.wantEnd) {
			t.Errorf("%s: end %v, want %v", c.name, h.ends[1], c.wantEnd)
		}
	}
}

// TestReadmittedWarmsUp: a parent that failed and answers again may have started anew before the list says so; it
// gets no more than the budget of one that has just started. At full rate all proxies together had it fall over.
func TestReadmittedWarmsUp(t *testing.T) {
	h := newHarness(t, testConfig())
	dead := true
	countFillsVia(h, 100, 30, func(sent SendAttempt) (Status, Note) {
		if dead && sent.Source == 100 && sent.Endpoint != 100 {
			return StatusError, NoteSourceLost
		}
		return StatusOK, NoteFilled
	})
	if !h.isEjected(100) {
		t.Fatal("the failing parent was not ejected")
	}
	dead = false
	for attempts := 0; h.isEjected(100); attempts++ {
		if attempts > 100 {
			t.Fatal("the parent is never readmitted")
		}
		h.tick(100 * ms)
		id := RequestID(100 + attempts)
		h.request(id, 0, uint64(7000+attempts))
		for h.ends[id] == nil {
			h.passLookups(id)
			if h.ends[id] == nil {
				h.respond(id, StatusOK, NoteFilled)
			}
		}
	}
	spent, id := 0.0, RequestID(5000)
	for end := h.now + 2*sec; h.now < end; h.now += 5 * ms {
		id++
		h.request(id, 0, uint64(id))
		sent := h.passLookups(id)
		if sent.Source == 100 && sent.Endpoint != 100 || sent.Endpoint == 100 {
			spent += h.engine.classes[0].cost.Mean()
		}
		h.respond(id, StatusOK, NoteFilled)
	}
	// A share of 0.1 rising over 20 s, an overload multiple of 2, weight 40, two proxies: as TestWarmupBudget.
	if budget := (0.1*2.0 + 0.1*3) * 40 * 2 / 2; spent > budget {
		t.Errorf("%.2f s of sending in its first 2 s back, want at most %.2f", spent, budget)
	}
}

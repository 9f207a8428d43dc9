package policy

import (
	"testing"

	"sloequay/internal/policy/endpointset"
	"sloequay/internal/policy/outlier"
)

// TestLongAnswersAreNotSilence: three long answers in flight at once ejected live caches dozens of times a day.
func TestLongAnswersAreNotSilence(t *testing.T) {
	h := newHarness(t, testConfig())
	for id := RequestID(1); id <= 12; id++ {
		h.handle(RequestEvent{ID: id, Object: uint64(id), Remaining: 5 * sec, SizeKB: 900})
	}
	h.tick(800 * ms)
	for _, endpoint := range h.engine.endpoints.Caches.Members() {
		if endpoint.Health.Ejected() {
			t.Errorf("cache %d ejected after 0.8 s of sending 0.9 s answers", endpoint.ID)
		}
	}
}

// TestSilentCacheIsLeft: a hung cache must not keep its requests.
func TestSilentCacheIsLeft(t *testing.T) {
	h := newHarness(t, testConfig())
	for id := RequestID(1); id <= 6; id++ {
		h.handle(RequestEvent{ID: id, Object: 7, Part: int(id), Remaining: 3 * sec, SizeKB: 50})
	}
	h.tick(1500 * ms)
	for id := RequestID(1); id <= 6; id++ {
		if len(h.sent[id]) < 2 && h.ends[id] == nil {
			t.Errorf("request %d still waits for a cache that has been silent for 1.5 s", id)
		}
	}
}

// TestSlowRejectionIsTheSources: a dead parent shows as a cache at capacity after the dial time-out; caches
// were skipped for it.
func TestSlowRejectionIsTheSources(t *testing.T) {
	h := newHarness(t, testConfig())
	h.request(1, 0, 7)
	first := h.passLookups(1)
	h.handle(ResponseEvent{ID: 1, Attempt: len(h.sent[1]) - 1, Elapsed: 400 * ms,
		Status: StatusAtCapacity})
	if sent := h.lastSent(1); sent.Endpoint != first.Endpoint || sent.Source == first.Source {
		t.Errorf("after a slow rejection: %+v, want cache %d with another source than %d",
			sent, first.Endpoint, first.Source)
	}
}

// TestNewProcessStartsAnew: a restart of a cache voids what was known of it.
func TestNewProcessStartsAnew(t *testing.T) {
	h := newHarness(t, testConfig())
	h.engine.endpoints.Eject(h.now, h.endpoint(1), outlier.Failing)
	restarted := Endpoint{ID: 1, Zone: 2, State: Ready, Weight: 8, StartedAt: h.now}
	h.handle(ListEvent{Kind: ListDelta, Endpoints: []Endpoint{restarted}})
	if h.isEjected(1) {
		t.Error("a new process is still ejected for what the old one did")
	}
}

// countFillsVia sends requests one after another and ends each attempt by answer. It gives the number of fills that
// went by way of a parent.
func countFillsVia(h *harness, parent EndpointID, requests int, answer func(SendAttempt) (Status, Note)) int {
	via := 0
	for id := RequestID(1); id <= RequestID(requests); id++ {
		h.request(id, 0, uint64(1000+id))
		for h.ends[id] == nil {
			sent := h.passLookups(id)
			if h.ends[id] != nil {
				break
			}
			status, note := answer(sent)
			if sent.Source == parent && sent.Endpoint != parent {
				via++
			}
			h.respond(id, status, note)
		}
		h.tick(20 * ms)
	}
	return via
}

// TestUnreachableSourceIsSkippedSoon: a parent that the caches cannot reach is skipped after two fills, though the
// other parent fails at times too. A proxy of a fleet sees each parent seldom; weighed against what the other parents
// showed, a dead one kept its fills for seconds.
func TestUnreachableSourceIsSkippedSoon(t *testing.T) {
	h := newHarness(t, testConfig())
	// The other parent is busy and rejects fills at times, as on a day when a region is lost.
	fills := 0
	via := countFillsVia(h, 100, 40, func(sent SendAttempt) (Status, Note) {
		if sent.Source == 100 && sent.Endpoint != 100 {
			return StatusError, NoteSourceLost
		}
		if fills++; sent.Source == 101 && fills%2 == 0 {
			return StatusAtCapacity, NoteSourceRejected
		}
		return StatusOK, NoteFilled
	})
	if via > 2 {
		t.Errorf("%d fills by the unreachable parent in 40 requests, want 2 at most", via)
	}
}

// TestResetIsRetriedAtTheSameCache: caches whose answers were lost were ejected, though they had the copies.
func TestResetIsRetriedAtTheSameCache(t *testing.T) {
	h := newHarness(t, testConfig())
	for id := RequestID(1); id <= 12; id++ {
		h.request(id, 0, uint64(id))
		first := h.lastSent(id)
		h.respond(id, StatusReset, NoteNone)
		sent := h.lastSent(id)
		if sent.Endpoint != first.Endpoint && len(h.sent[id]) == 2 && sent.Source == sent.Endpoint {
			continue // a lookup that broke off goes on to the next cache
		}
		h.passLookups(id)
		h.respond(id, StatusOK, NoteFilled)
	}
	for id := EndpointID(1); id <= 4; id++ {
		if h.isEjected(id) {
			t.Errorf("cache %d is ejected for answers that were lost once each", id)
		}
	}
}

// fillUnlessSilent sends n fills, of which those by way of parents that are not silent are answered in time.
func fillUnlessSilent(h *harness, n int, silent map[EndpointID]bool) {
	for id := RequestID(1); id <= RequestID(n); id++ {
		h.request(id, 0, uint64(1000+id))
		for open := RequestID(1); open <= id; open++ {
			if h.ends[open] == nil && !silent[h.passLookups(open).Source] {
				h.respond(open, StatusOK, NoteFilled)
			}
		}
		h.tick(100 * ms)
	}
	h.tick(sec)
}

// TestUnansweredFillsEjectTheirParent: a hung parent stayed in use until its fills ended by their own time-out.
func TestUnansweredFillsEjectTheirParent(t *testing.T) {
	h := newHarness(t, testConfig())
	fillUnlessSilent(h, 20, map[EndpointID]bool{100: true})
	if !h.isEjected(100) || h.isEjected(101) {
		t.Errorf("ejected: hung parent %v, sound parent %v", h.isEjected(100), h.isEjected(101))
	}
}

// TestSharedFaultEjectsNobody: with a slow origin all parents' fills are slow; once that is usual none is a sign.
func TestSharedFaultEjectsNobody(t *testing.T) {
	h := newHarness(t, testConfig())
	for range 14 { // another parent's, so that half of all outcomes are failures
		h.engine.endpoints.Observe(&endpointState{Role: endpointset.Parent}, outlier.Failure)
	}
	fillUnlessSilent(h, 20, map[EndpointID]bool{100: true, 101: true})
	if h.isEjected(100) || h.isEjected(101) {
		t.Error("a parent is ejected for what all parents share")
	}
}

// TestResetConnectionIsOneFailure: all that was in flight on a connection ended with it, each end was counted against
// the cache, and one bad answer had it ejected for seconds.
func TestResetConnectionIsOneFailure(t *testing.T) {
	h := newSingleCacheHarness(t)
	for range 2 { // the second connection breaks too
		for id := RequestID(1); id <= 6; id++ {
			if len(h.sent[id]) == 0 {
				h.request(id, 0, uint64(id))
			}
			h.respond(id, StatusReset, NoteNone)
		}
		h.now += 40 * ms
	}
	if h.isEjected(1) {
		t.Error("the cache was ejected for two broken connections")
	}
}

// ejections is what came of some fills by way of each of two parents.
type ejections struct {
	times map[EndpointID]int  // how often each was ejected meanwhile
	atEnd map[EndpointID]bool // whether it is ejected at the end
}

// fillByParents has fills by way of each of two parents end, n by each, after their objective where their parent is
// slow.
func fillByParents(t *testing.T, h *harness, slow map[EndpointID]bool, n int) ejections {
	t.Helper()
	seen, from := map[EndpointID]int{}, len(h.actions)
	for ; seen[100] < n || seen[101] < n; h.lastID++ {
		if h.lastID > 2000 {
			t.Fatalf("the parents got %v fills, want %d each", seen, n)
		}
		id := h.lastID + 1
		if h.request(id, 0, uint64(id)+1); h.ends[id] != nil {
			h.tick(50 * ms)
			continue
		}
		sent := h.passLookups(id)
		h.tick(tickInterval)
		h.endpoint(sent.Source).LastFillAt = h.now // it answers others from what it caches
		if seen[sent.Source]++; slow[sent.Source] {
			h.tick(700 * ms) // the objective is 400 ms and twice 100 ms
		} else {
			h.tick(100 * ms)
		}
		if h.ends[id] == nil {
			h.respond(id, StatusOK, NoteFilledOrigin)
		}
	}
	result := ejections{map[EndpointID]int{}, map[EndpointID]bool{}}
	for _, parent := range []EndpointID{100, 101} {
		for _, action := range h.actions[from:] {
			if ejected, ok := action.(EndpointEjected); ok && ejected.Endpoint == parent {
				result.times[parent]++
			}
		}
		result.atEnd[parent] = h.isEjected(parent)
	}
	return result
}

// TestSlowOriginEjectsNoParent: with the origin slow all fills are slow. Both parents were ejected by turns, and what
// each cached was filled from the origin once more by the other. One whose fills alone are slow is at fault, as
// before, and soon so when the origin is sound again.
func TestSlowOriginEjectsNoParent(t *testing.T) {
	h := newParentsHarness(t)
	fillByParents(t, h, map[EndpointID]bool{100: true, 101: true}, 4)
	both := fillByParents(t, h, map[EndpointID]bool{100: true, 101: true}, 12)
	if len(both.times) > 0 || both.atEnd[100] || both.atEnd[101] {
		t.Errorf("all fills slow: ejected %v, at the end %v, want none", both.times, both.atEnd)
	}
	then := fillByParents(t, h, map[EndpointID]bool{100: true}, 6)
	if !then.atEnd[100] || then.atEnd[101] {
		t.Errorf("then one parent's slow: ejected %v, want that one", then.atEnd)
	}
	one := fillByParents(t, newParentsHarness(t), map[EndpointID]bool{100: true}, 4)
	if !one.atEnd[100] || one.atEnd[101] {
		t.Errorf("one parent's fills slow: ejected %v, want that one", one.atEnd)
	}
}

// TestSlowAndUnreachable: a parent that was ejected for slow fills alone is readmitted once the others turn out as
// slow; one that could not be reached meanwhile is not.
func TestSlowAndUnreachable(t *testing.T) {
	for _, isUnreachable := range []bool{false, true} {
		h := newParentsHarness(t)
		endpoint, other := h.endpoint(100), h.endpoint(101)
		for range 2 {
			h.engine.recordSlowFill(&attemptState{route: route{endpoint: h.endpoint(1), source: endpoint}})
		}
		if !endpoint.Health.Ejected() {
			t.Fatal("two slow fills do not eject their parent")
		}
		if isUnreachable {
			h.engine.observe(endpoint, outlier.HardFailure)
		}
		other.LastFillAt = h.now
		for range 3 {
			h.engine.recordSlowFill(&attemptState{route: route{endpoint: h.endpoint(1), source: other}})
		}
		if h.tick(tickInterval); endpoint.Health.Ejected() != isUnreachable {
			t.Errorf("unreachable %v: still ejected %v", isUnreachable, endpoint.Health.Ejected())
		}
	}
}

// TestSlowCachedOnlyFillsCount: what the parent caches does not wait for the origin, however slow all else is.
func TestSlowCachedOnlyFillsCount(t *testing.T) {
	h := newParentsHarness(t)
	endpoint, other := h.endpoint(100), h.endpoint(101)
	endpoint.LastFillAt, other.LastFillAt = h.now, h.now
	for range 5 {
		h.engine.endpoints.RecordParentFill(h.now, other, outlier.Slow)
	}
	for range 2 {
		cachedOnly := route{endpoint: h.endpoint(1), source: endpoint, cachedOnly: true}
		h.engine.recordSlowFill(&attemptState{route: cachedOnly})
	}
	if !endpoint.Health.Ejected() {
		t.Error("a parent that is slow with what it caches stays in use, since the others' fills are slow")
	}
}

// TestDeadParentsAreEjected: two parents of a lost zone answer nothing at all. Each one's slow fills were excused by
// the other's; and hits at a cache, for which a parent is named and gets nothing, are no answer of it.
func TestDeadParentsAreEjected(t *testing.T) {
	for _, hits := range []bool{false, true} {
		h := newParentsHarness(t)
		ejected, named := map[EndpointID]bool{}, map[EndpointID]bool{}
		for id := RequestID(9001); id <= 9016; id++ { // what is cached
			h.request(id, 0, uint64(id%8))
			h.passLookups(id)
			h.respond(id, StatusOK, NoteFilled)
		}
		h.tick(10 * sec)
		lastHit := RequestID(10000)
		for id := RequestID(1); id <= 12; id++ {
			h.request(id, 0, uint64(1000+id))
			if h.ends[id] == nil {
				h.passLookups(id)
			}
			for range 16 {
				h.tick(50 * ms)
				if hits {
					lastHit++
					h.request(lastHit, 0, uint64(lastHit%8))
					named[h.lastSent(lastHit).Source] = true
					h.respond(lastHit, StatusOK, NoteHit)
				}
				for _, parent := range []EndpointID{100, 101} {
					ejected[parent] = ejected[parent] || h.isEjected(parent)
				}
			}
		}
		if hits && (!named[100] || !named[101]) {
			t.Errorf("hits name the sources %v, not both parents: the test does not try it", named)
		}
		if !ejected[100] || !ejected[101] {
			t.Errorf("hits %v: parents that answer nothing were ejected: %v, want both", hits, ejected)
		}
	}
}

// TestFailedSourceOfDirectRoute guards against attempts that go to the same parent again though the origin behind it
// has failed them: without a cap of attempts, a write that a parent missed spun between the two.
func TestFailedSourceOfDirectRoute(t *testing.T) {
	for class, name := range []string{"read", "keyed write", "write once"} {
		cfg := testConfig()
		cfg.MaxAttempts, cfg.Hedging = 0, false
		h := newHarness(t, cfg)
		h.request(1, class, 7)
		seen := map[SendAttempt]bool{}
		for h.ends[1] == nil {
			sent := h.lastSent(1)
			route := SendAttempt{Endpoint: sent.Endpoint, Source: sent.Source, CachedOnly: sent.CachedOnly}
			if seen[route] {
				t.Errorf("%s: attempt %d goes the way of an earlier one again: %+v", name, len(h.sent[1]), route)
				break
			}
			seen[route] = true
			h.respond(1, StatusMiss, NoteNone)
		}
	}
}

package policy

import (
	"testing"

	"sloequay/internal/policy/endpointset"
	"sloequay/internal/policy/outlier"
)

// TestLongResponsesAreNotSilence guards against ejecting a live cache as silent because it is sending three long
// responses at once.
func TestLongResponsesAreNotSilence(t *testing.T) {
	h := newHarness(t, testConfig())
	for id := RequestID(1); id <= 12; id++ {
		h.handle(RequestEvent{ID: id, Object: uint64(id), Remaining: 5 * sec, SizeKB: 900})
	}
	h.tick(800 * ms)
	for _, endpoint := range h.engine.endpoints.Caches.Members() {
		if endpoint.Health.Ejected() {
			t.Errorf("cache %d was ejected 0.8 s after the start of responses that take 0.9 s", endpoint.ID)
		}
	}
}

// TestRequestsLeaveSilentCache: requests to a hung cache are retried elsewhere.
func TestRequestsLeaveSilentCache(t *testing.T) {
	h := newHarness(t, testConfig())
	for id := RequestID(1); id <= 6; id++ {
		h.handle(RequestEvent{ID: id, Object: 7, Part: int(id), Remaining: 3 * sec, SizeKB: 50})
	}
	h.tick(1500 * ms)
	for id := RequestID(1); id <= 6; id++ {
		if len(h.sent[id]) < 2 && h.ends[id] == nil {
			t.Errorf("request %d: got no retry or end, want one after 1.5 s of silence of its cache", id)
		}
	}
}

// TestSlowRejectionIsAttributedToSource: a cache reports a dead parent as being at capacity, after the dial timeout.
// The caches were skipped for it.
func TestSlowRejectionIsAttributedToSource(t *testing.T) {
	h := newHarness(t, testConfig())
	h.request(1, 0, 7)
	first := h.missLookups(1)
	h.handle(ResponseEvent{ID: 1, Attempt: len(h.sent[1]) - 1, Elapsed: 400 * ms,
		Status: StatusAtCapacity})
	if sent := h.lastSent(1); sent.Endpoint != first.Endpoint || sent.Source == first.Source {
		t.Errorf("after a slow rejection: got %+v, want cache %d with another source than %d",
			sent, first.Endpoint, first.Source)
	}
}

// TestRestartClearsEjection: the health of a cache is forgotten when it restarts.
func TestRestartClearsEjection(t *testing.T) {
	h := newHarness(t, testConfig())
	h.engine.endpoints.Eject(h.now, h.endpoint(1), outlier.Failing)
	restarted := Endpoint{ID: 1, Zone: 2, State: Ready, Weight: 8, StartedAt: h.now}
	h.handle(ListEvent{Kind: ListDelta, Endpoints: []Endpoint{restarted}})
	if h.isEjected(1) {
		t.Error("cache 1 is still ejected after its restart")
	}
}

// countFillsVia sends requests one after another and ends each attempt with the result of outcome. It returns the
// number of fills through a parent.
func countFillsVia(h *harness, parent EndpointID, requests int, outcome func(SendAttempt) (Status, Note)) int {
	via := 0
	for id := RequestID(1); id <= RequestID(requests); id++ {
		h.request(id, 0, uint64(1000+id))
		for h.ends[id] == nil {
			sent := h.missLookups(id)
			if h.ends[id] != nil {
				break
			}
			status, note := outcome(sent)
			if sent.Source == parent && sent.Endpoint != parent {
				via++
			}
			h.respond(id, status, note)
		}
		h.tick(20 * ms)
	}
	return via
}

// TestUnreachableSourceIsSkippedAfterTwoFills: a parent that the caches cannot reach is skipped after two fills, even
// if the other parent fails at times. One proxy of a fleet gets few outcomes of each parent: weighed against the
// failures of the other parents, a dead one still got fills for seconds.
func TestUnreachableSourceIsSkippedAfterTwoFills(t *testing.T) {
	h := newHarness(t, testConfig())
	// The other parent is busy and rejects some fills, as after the loss of a region.
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
		t.Errorf("got %d fills through the unreachable parent in 40 requests, want at most 2", via)
	}
}

// TestResetIsRetriedAtTheSameCache guards against ejecting caches whose responses were lost, though they have the
// copies.
func TestResetIsRetriedAtTheSameCache(t *testing.T) {
	h := newHarness(t, testConfig())
	for id := RequestID(1); id <= 12; id++ {
		h.request(id, 0, uint64(id))
		first := h.lastSent(id)
		h.respond(id, StatusReset, NoteNone)
		sent := h.lastSent(id)
		if sent.Endpoint != first.Endpoint && len(h.sent[id]) == 2 && sent.Source == sent.Endpoint {
			continue // after a reset, a lookup continues at the next cache
		}
		h.missLookups(id)
		h.respond(id, StatusOK, NoteFilled)
	}
	for id := EndpointID(1); id <= 4; id++ {
		if h.isEjected(id) {
			t.Errorf("cache %d was ejected for responses that were lost once each", id)
		}
	}
}

// fillUnlessSilent sends n fills and responds in time to those through parents that are not silent.
func fillUnlessSilent(h *harness, n int, silent map[EndpointID]bool) {
	for id := RequestID(1); id <= RequestID(n); id++ {
		h.request(id, 0, uint64(1000+id))
		for open := RequestID(1); open <= id; open++ {
			if h.ends[open] == nil && !silent[h.missLookups(open).Source] {
				h.respond(open, StatusOK, NoteFilled)
			}
		}
		h.tick(100 * ms)
	}
	h.tick(sec)
}

// TestUnansweredFillsEjectTheirParent guards against a hung parent that stays in use until its fills time out.
func TestUnansweredFillsEjectTheirParent(t *testing.T) {
	h := newHarness(t, testConfig())
	fillUnlessSilent(h, 20, map[EndpointID]bool{100: true})
	if !h.isEjected(100) || h.isEjected(101) {
		t.Errorf("got ejected: hung parent %v, healthy parent %v; want only the hung one",
			h.isEjected(100), h.isEjected(101))
	}
}

// TestSharedFaultEjectsNoParent: a slow origin makes the fills of all parents slow. Once that is the usual failure
// rate, a slow fill is no sign of a faulty parent.
func TestSharedFaultEjectsNoParent(t *testing.T) {
	h := newHarness(t, testConfig())
	for range 14 { // failures of another parent, so that half of all outcomes are failures
		h.engine.endpoints.Observe(&endpointState{Role: endpointset.Parent}, outlier.Failure)
	}
	fillUnlessSilent(h, 20, map[EndpointID]bool{100: true, 101: true})
	if h.isEjected(100) || h.isEjected(101) {
		t.Error("a parent was ejected for slowness that all parents share")
	}
}

// TestConnectionResetIsOneFailure guards against counting a reset once for each attempt in flight on the connection: a
// single bad response got the cache ejected for seconds.
func TestConnectionResetIsOneFailure(t *testing.T) {
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

// ejections reports which of two parents were ejected during some fills.
type ejections struct {
	counts map[EndpointID]int  // number of ejections of each
	atEnd  map[EndpointID]bool // whether each is ejected at the end
}

// fillByParents completes at least n fills through each of two parents, those through slow parents after their
// objective.
func fillByParents(t *testing.T, h *harness, slow map[EndpointID]bool, n int) ejections {
	t.Helper()
	fills, firstAction := map[EndpointID]int{}, len(h.actions)
	for ; fills[100] < n || fills[101] < n; h.lastID++ {
		if h.lastID > 2000 {
			t.Fatalf("got %v fills by parent in 2000 requests, want %d each", fills, n)
		}
		id := h.lastID + 1
		if h.request(id, 0, uint64(id)+1); h.ends[id] != nil {
			h.tick(50 * ms)
			continue
		}
		sent := h.missLookups(id)
		h.tick(tickInterval)
		h.endpoint(sent.Source).LastFillAt = h.now // it responds to other requests from its cache
		if fills[sent.Source]++; slow[sent.Source] {
			h.tick(700 * ms) // the objective is 400 ms plus twice 100 ms
		} else {
			h.tick(100 * ms)
		}
		if h.ends[id] == nil {
			h.respond(id, StatusOK, NoteFilledOrigin)
		}
	}
	result := ejections{map[EndpointID]int{}, map[EndpointID]bool{}}
	for _, parent := range []EndpointID{100, 101} {
		for _, action := range h.actions[firstAction:] {
			if ejected, ok := action.(EndpointEjected); ok && ejected.Endpoint == parent {
				result.counts[parent]++
			}
		}
		result.atEnd[parent] = h.isEjected(parent)
	}
	return result
}

// TestSlowOriginEjectsNoParent: a slow origin makes all fills slow. Both parents were ejected in turn, and each filled
// from the origin again what the other one had cached. A parent whose fills alone are slow is still ejected, also soon
// after the origin has recovered.
func TestSlowOriginEjectsNoParent(t *testing.T) {
	h := newParentsHarness(t)
	fillByParents(t, h, map[EndpointID]bool{100: true, 101: true}, 4)
	allSlow := fillByParents(t, h, map[EndpointID]bool{100: true, 101: true}, 12)
	if len(allSlow.counts) > 0 || allSlow.atEnd[100] || allSlow.atEnd[101] {
		t.Errorf("all fills slow: got ejections %v, at the end %v, want none", allSlow.counts, allSlow.atEnd)
	}
	oneSlowLater := fillByParents(t, h, map[EndpointID]bool{100: true}, 6)
	if !oneSlowLater.atEnd[100] || oneSlowLater.atEnd[101] {
		t.Errorf("then only the fills of parent 100 slow: got ejected %v, want only 100", oneSlowLater.atEnd)
	}
	oneSlow := fillByParents(t, newParentsHarness(t), map[EndpointID]bool{100: true}, 4)
	if !oneSlow.atEnd[100] || oneSlow.atEnd[101] {
		t.Errorf("only the fills of parent 100 slow: got ejected %v, want only 100", oneSlow.atEnd)
	}
}

// TestUnreachableParentIsNotReadmittedAsSlow: a parent that was ejected only for slow fills is readmitted once the
// others are slow too, unless it became unreachable meanwhile.
func TestUnreachableParentIsNotReadmittedAsSlow(t *testing.T) {
	for _, isUnreachable := range []bool{false, true} {
		h := newParentsHarness(t)
		endpoint, other := h.endpoint(100), h.endpoint(101)
		for range 2 {
			h.engine.recordSlowFill(&attemptState{route: route{endpoint: h.endpoint(1), source: endpoint}})
		}
		if !endpoint.Health.Ejected() {
			t.Fatal("the parent was not ejected after two slow fills")
		}
		if isUnreachable {
			h.engine.observe(endpoint, outlier.HardFailure)
		}
		other.LastFillAt = h.now
		for range 3 {
			h.engine.recordSlowFill(&attemptState{route: route{endpoint: h.endpoint(1), source: other}})
		}
		if h.tick(tickInterval); endpoint.Health.Ejected() != isUnreachable {
			t.Errorf("unreachable %v: got ejected %v, want the same", isUnreachable, endpoint.Health.Ejected())
		}
	}
}

// TestSlowCachedOnlyFillsCount: fills from a parent's cached copies do not wait for the origin, so slow ones count
// against the parent even if all other fills are slow.
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
		t.Error("a parent with slow cached-only fills was not ejected while the fills of the other one are slow")
	}
}

// TestDeadParentsAreEjected: two parents of a lost zone respond to nothing. The slow fills of each did not count
// because of those of the other. A hit at a cache names a parent that gets no request, and is no sign that the parent
// responds.
func TestDeadParentsAreEjected(t *testing.T) {
	for _, hits := range []bool{false, true} {
		h := newParentsHarness(t)
		ejected, sources := map[EndpointID]bool{}, map[EndpointID]bool{}
		for id := RequestID(9001); id <= 9016; id++ { // cached objects for the hits
			h.request(id, 0, uint64(id%8))
			h.missLookups(id)
			h.respond(id, StatusOK, NoteFilled)
		}
		h.tick(10 * sec)
		lastHit := RequestID(10000)
		for id := RequestID(1); id <= 12; id++ {
			h.request(id, 0, uint64(1000+id))
			if h.ends[id] == nil {
				h.missLookups(id)
			}
			for range 16 {
				h.tick(50 * ms)
				if hits {
					lastHit++
					h.request(lastHit, 0, uint64(lastHit%8))
					sources[h.lastSent(lastHit).Source] = true
					h.respond(lastHit, StatusOK, NoteHit)
				}
				for _, parent := range []EndpointID{100, 101} {
					ejected[parent] = ejected[parent] || h.isEjected(parent)
				}
			}
		}
		if hits && (!sources[100] || !sources[101]) {
			t.Errorf("got hits with the sources %v, want both parents for the test to cover them", sources)
		}
		if !ejected[100] || !ejected[101] {
			t.Errorf("hits %v: got ejected parents %v, want both unresponsive ones", hits, ejected)
		}
	}
}

// TestDirectRouteIsNotRepeatedAfterSourceFailure guards against retries at a parent after the origin behind it has
// failed the request: without a limit on attempts, a write that a parent missed was retried there without end.
func TestDirectRouteIsNotRepeatedAfterSourceFailure(t *testing.T) {
	for class, name := range []string{"read", "keyed write", "not idempotent write"} {
		cfg := testConfig()
		cfg.MaxAttempts, cfg.Hedging = 0, false
		h := newHarness(t, cfg)
		h.request(1, class, 7)
		seen := map[SendAttempt]bool{}
		for h.ends[1] == nil {
			sent := h.lastSent(1)
			route := SendAttempt{Endpoint: sent.Endpoint, Source: sent.Source, CachedOnly: sent.CachedOnly}
			if seen[route] {
				t.Errorf("%s: attempt %d repeats the route of an earlier one: %+v", name, len(h.sent[1]), route)
				break
			}
			seen[route] = true
			h.respond(1, StatusMiss, NoteNone)
		}
	}
}

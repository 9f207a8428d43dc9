package policy

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"sloequay/internal/policy/aimd"
	"sloequay/internal/policy/classcost"
	"sloequay/internal/policy/endpointset"
	"sloequay/internal/policy/gaptable"
	"sloequay/internal/policy/outlier"
)

// manyDirectors gives settings like site's with n directors in the zone of this one.
func manyDirectors(n int) Config {
	cfg := site()
	cfg.Instances, cfg.ZoneInstances = 20*n, []int{0, 0, n, n}
	return cfg
}

// TestSinglesAmongManyDirectors: a part was filled once by each director of a location before it was kept.
func TestSinglesAmongManyDirectors(t *testing.T) {
	for _, c := range []struct{ directors, least, most int }{{1, 0, 0}, {2, 60, 140}, {8, 150, 199}} {
		b := newBench(t, manyDirectors(c.directors))
		kept := 0
		for object := uint64(1); object <= 200; object++ {
			if b.d.cachedForOthers(gaptable.Part{Object: object}) {
				kept++
			}
		}
		if kept < c.least || kept > c.most {
			t.Errorf("%d directors: %d of 200 singles kept, want %d to %d", c.directors, kept, c.least, c.most)
		}
	}
}

// TestCrowdCountsTheOthersByOurAverage: one of eight directors held a cache for full at two attempts of its own.
func TestCrowdCountsTheOthersByOurAverage(t *testing.T) {
	b := newBench(t, manyDirectors(8))
	s := b.d.endpoints.Get(1)
	for n := range 2 {
		s.Start(b.now, attemptRef{n: n})
	}
	if got := b.d.endpoints.Load(b.d.now, s); got > 0.5 {
		t.Errorf("two attempts out after a quiet time: crowd %.2f of a link of 8, want under 0.5", got)
	}
	b.d.now += 20 * sec
	if got := b.d.endpoints.Load(b.d.now, s); got < 2 {
		t.Errorf("two attempts out all the time at each of 8: crowd %.2f, want over 2", got)
	}
}

// TestResetIsTriedAgainAtTheSameCache: caches whose answers were lost were ejected, though they held the copies.
func TestResetIsTriedAgainAtTheSameCache(t *testing.T) {
	b := newBench(t, site())
	for id := RequestID(1); id <= 12; id++ {
		b.call(id, 0, uint64(id))
		first := b.last(id)
		b.answer(id, StatusReset, NoteNone)
		if g := b.last(id); g.Endpoint != first.Endpoint && len(b.gets[id]) == 2 && g.Source == g.Endpoint {
			continue // a look that broke off goes on to the next cache
		}
		b.settle(id)
		b.answer(id, StatusOK, NoteFilled)
	}
	for id := EndpointID(1); id <= 4; id++ {
		if b.d.endpoints.Get(id).Health.Ejected() {
			t.Errorf("cache %d is ejected for answers that were lost once each", id)
		}
	}
}

// fillThrough sends n fills and answers in time what was asked of caches and of parents that are not silent.
func fillThrough(b *bench, n int, silent map[EndpointID]bool) {
	for id := RequestID(1); id <= RequestID(n); id++ {
		b.call(id, 0, uint64(1000+id))
		for r := RequestID(1); r <= id; r++ {
			if b.finals[r] == nil && !silent[b.settle(r).Source] {
				b.answer(r, StatusOK, NoteFilled)
			}
		}
		b.tick(100 * ms)
	}
	b.tick(sec)
}

// TestOverdueFillsEjectTheirParent: a hung parent stayed in use until its fills ended by their own time-out.
func TestOverdueFillsEjectTheirParent(t *testing.T) {
	b := newBench(t, site())
	fillThrough(b, 20, map[EndpointID]bool{100: true})
	if !b.d.endpoints.Get(100).Health.Ejected() || b.d.endpoints.Get(101).Health.Ejected() {
		t.Errorf("ejected: hung parent %v, sound parent %v", b.d.endpoints.Get(100).Health.Ejected(), b.d.endpoints.Get(101).Health.Ejected())
	}
}

// TestSharedTroubleEjectsNobody: with a slow origin all parents' fills are overdue; once that is usual none is.
func TestSharedTroubleEjectsNobody(t *testing.T) {
	b := newBench(t, site())
	for range 14 { // another parent's, so that half of all outcomes are failures
		b.d.endpoints.Observe(&endpointState{Role: endpointset.Parent}, outlier.Failure)
	}
	fillThrough(b, 20, map[EndpointID]bool{100: true, 101: true})
	if b.d.endpoints.Get(100).Health.Ejected() || b.d.endpoints.Get(101).Health.Ejected() {
		t.Error("a parent is ejected for what all parents share")
	}
}

// TestBelievedHitKeepsOriginOut: believed hits whose copies were gone pushed a slow origin to a halt.
func TestBelievedHitKeepsOriginOut(t *testing.T) {
	b := newBench(t, site())
	b.call(1, 0, 7)
	b.settle(1)
	b.answer(1, StatusOK, NoteFilled)
	b.call(2, 0, 7)
	b.settle(2)
	b.answer(2, StatusOK, NoteFilled)
	b.d.fillLimiter.InFlight = 1000
	b.call(3, 0, 7)
	if g := b.last(3); !g.CachedOnly {
		t.Fatalf("fills are narrow: %+v, want what the parent holds only", g)
	}
	row := b.d.tables.Row(gaptable.Part{Object: 7})
	if b.answer(3, StatusMiss, NoteNone); row.CachedAt != 0 {
		t.Errorf("the row still names %d, which lacked the part", row.CachedAt)
	}
}

// TestLostAnswerIsAskedForAgain: an answer that never came kept its request until the client gave up.
func TestLostAnswerIsAskedForAgain(t *testing.T) {
	b := newBench(t, site())
	b.call(1, 0, 7) // 100 ms of sending; the look is not answered
	b.tick(150 * ms)
	if n := len(b.gets[1]); n != 1 {
		t.Fatalf("%d attempts before twice the sending time has passed, want 1", n)
	}
	if b.tick(150 * ms); len(b.gets[1]) != 2 {
		t.Errorf("%d attempts after 300 ms, want 2", len(b.gets[1]))
	}
}

// TestSlowAnswersWeigh: a cache that grows slower must seem fuller before it fails.
func TestSlowAnswersWeigh(t *testing.T) {
	b := newBench(t, site())
	for id := RequestID(1); id <= 40; id++ {
		b.call(id, 0, 7)
		g := b.last(id)
		b.finals[id] = g
		b.do(ResponseEvent{ID: id, Endpoint: g.Endpoint, Attempt: 0, Elapsed: sec, Concluded: true, Note: NoteHit, Status: StatusOK})
	}
	slowest := 0.0
	for id := EndpointID(1); id <= 4; id++ {
		slowest = max(slowest, b.d.endpoints.Get(id).Slowness())
	}
	if slowest < 2 {
		t.Errorf("40 answers at a tenth of the pace: the cache weighs %.2f, want over 2", slowest)
	}
}

// TestLargeFleetEvents: odd but legal events with hundreds of servers and the settings of many directors.
func TestLargeFleetEvents(t *testing.T) {
	b := newBench(t, manyDirectors(9))
	list := nodes()
	for i := 1000; i < 1300; i++ {
		list = append(list, Endpoint{ID: EndpointID(i), Zone: 2 + i%9, Kind: i % 3 % 2, State: State(i % 3), Weight: float64(i % 7),
			StartedAt: time.Duration(i%5) * 25 * sec})
	}
	b.do(ListEvent{Kind: ListFull, Endpoints: list})
	for id := RequestID(1); id <= 400; id++ {
		b.call(id, int(id)%3, uint64(id%37))
		for b.finals[id] == nil && len(b.gets[id]) < 3 && id%5 != 0 {
			n := len(b.gets[id])
			b.answer(id, Status(int(id)%int(StatusMiss+1)), Note(int(id)%int(NoteOriginFailed+1)))
			if len(b.gets[id]) == n {
				break
			}
		}
		b.tick(20 * ms)
	}
}

// TestColdCostIsNotNetOfTheCrowd: a mean learnt net of a jam let cold caches be sent twice what they bear (i084bb9).
func TestColdCostIsNotNetOfTheCrowd(t *testing.T) {
	cfg := site()
	cfg.FlowKBps = 0 // sizes are not told
	b := newBench(t, cfg)
	c := &b.d.classes[0]
	c.cost = classcost.New(1)
	for id := RequestID(1); id <= 200; id++ {
		b.call(id, 0, uint64(id))
		g := b.last(id)
		b.d.requests[id].attempts[0].load = 4
		b.finals[id] = g
		b.do(ResponseEvent{ID: id, Endpoint: g.Endpoint, Attempt: 0, Elapsed: sec, Concluded: true, Note: NoteHit, Status: StatusOK})
	}
	if mean, cost := c.cost.Mean(), c.cost.Cost(); mean > 0.3 || cost < 0.9 {
		t.Errorf("answers of 1 s at a load of 4: mean %.2f, want about 0.25; cost %.2f, want about 1", mean, cost)
	}
}

// oneCache gives a director without second copies a single cache.
func oneCache(t *testing.T) *bench {
	cfg := site()
	cfg.Hedging = false
	b := newBench(t, cfg)
	b.do(ListEvent{Kind: ListFull, Endpoints: nodes()[:4]})
	return b
}

// TestPassedByAnswerIsCalledOff: an answer that never came kept its request until the client gave up, where two may
// not be out together. In a jam all are late alike, and nothing is called off.
func TestPassedByAnswerIsCalledOff(t *testing.T) {
	for _, passed := range []int{0, 2} {
		b := oneCache(t)
		b.call(1, 0, 7)
		b.now += ms
		for id := RequestID(2); id < RequestID(2+passed); id++ {
			b.do(RequestEvent{ID: id, Object: uint64(id), Remaining: 3 * sec, SizeKB: 200})
			b.answer(id, StatusOK, NoteHit)
		}
		b.tick(2500 * ms)
		if called := slices.Contains(b.log, Action(CancelAttempt{1, 0})); called != (passed > 0) {
			t.Errorf("passed by %d answers: called off %v", passed, called)
		}
		if len(b.gets[1]) != 1 {
			t.Errorf("passed by %d answers: %d attempts before the end of the first", passed, len(b.gets[1]))
		}
		if passed > 0 {
			if b.answer(1, StatusCanceled, NoteNone); len(b.gets[1]) != 2 {
				t.Error("nothing was sent after the first was called off")
			}
		}
	}
}

// TestBrokenConnectionIsOneSign: all that was out on a connection ended with it, each end was held against the cache,
// and one bad answer had it ejected for seconds.
func TestBrokenConnectionIsOneSign(t *testing.T) {
	b := oneCache(t)
	for range 2 { // the second connection breaks too
		for id := RequestID(1); id <= 6; id++ {
			if len(b.gets[id]) == 0 {
				b.call(id, 0, uint64(id))
			}
			b.answer(id, StatusReset, NoteNone)
		}
		b.now += 40 * ms
	}
	if b.d.endpoints.Get(1).Health.Ejected() {
		t.Error("the cache was ejected for two broken connections")
	}
}

// TestReplacedCachesDoNotWidenTheLink: each cache that was gone still counted in the zone's link, which seemed to grow
// without end where replacements have new ids, and none was ever forgotten.
func TestReplacedCachesDoNotWidenTheLink(t *testing.T) {
	b := newBench(t, site())
	before := b.d.endpoints.Links()
	for id := EndpointID(1000); id < 1100; id++ {
		b.do(ListEvent{Endpoints: []Endpoint{{ID: id, Zone: 2, State: Ready, Weight: 8, StartedAt: b.now}}})
		b.do(ListEvent{Endpoints: []Endpoint{{ID: id, Zone: 2, State: Gone}}})
		b.now += 10 * sec
	}
	if b.d.endpoints.Links() > 1.5*before {
		t.Errorf("the zone's link is %.1f, was %.1f", b.d.endpoints.Links(), before)
	}
	byID := 0
	for id := range EndpointID(1100) {
		if b.d.endpoints.Get(id) != nil {
			byID++
		}
	}
	if n := len(b.d.endpoints.All()); n > 20 || byID != n {
		t.Errorf("%d endpoints are remembered, %d by id", n, byID)
	}
}

// TestWrongSizesDoNotSpoilTheClass: one size that no object has made all of its class seem long.
func TestWrongSizesDoNotSpoilTheClass(t *testing.T) {
	b := newBench(t, site())
	for id := RequestID(1); id <= 50; id++ {
		b.call(id, 0, uint64(id))
	}
	before := b.d.classes[0].cost.Mean()
	b.do(RequestEvent{ID: 99, Object: 99, Remaining: 3 * sec, SizeKB: 1e7})
	if after := b.d.classes[0].cost.Mean(); after > 1.5*before {
		t.Errorf("the mean sending time went from %.2f s to %.2f s", before, after)
	}
}

// lateFills has fills by way of each of two parents end, n by each, late where their parent is in late. It gives how
// often each was ejected meanwhile, and whether it is at the end.
func lateFills(t *testing.T, b *bench, late map[EndpointID]bool, n int) (times map[EndpointID]int, out map[EndpointID]bool) {
	t.Helper()
	seen, from := map[EndpointID]int{}, len(b.log)
	for ; seen[100] < n || seen[101] < n; b.next++ {
		if b.next > 2000 {
			t.Fatalf("the parents got %v fills, want %d each", seen, n)
		}
		id := b.next + 1
		if b.call(id, 0, uint64(id)+1); b.finals[id] != nil {
			b.tick(50 * ms)
			continue
		}
		g := b.settle(id)
		b.tick(tickInterval)
		b.d.endpoints.Get(g.Source).LastFillAt = b.now // it answers others from what it holds
		if seen[g.Source]++; late[g.Source] {
			b.tick(700 * ms) // 400 ms and twice 100 ms are wanted
		} else {
			b.tick(100 * ms)
		}
		if b.finals[id] == nil {
			b.answer(id, StatusOK, NoteFilledOrigin)
		}
	}
	times, out = map[EndpointID]int{}, map[EndpointID]bool{}
	for _, a := range b.log[from:] {
		for _, p := range []EndpointID{100, 101} {
			if l, ok := a.(Log); ok && strings.HasPrefix(l.Text, fmt.Sprintf("ejected %x:", p)) {
				times[p]++
			}
			out[p] = b.d.endpoints.Get(p).Health.Ejected()
		}
	}
	return times, out
}

// parentsBench drives a director whose fills are asked once.
func parentsBench(t *testing.T) *bench {
	cfg := site()
	cfg.MaxAttempts, cfg.Hedging = 40, false
	return newBench(t, cfg)
}

// TestSlowOriginIsNotTheParents: with the origin slow all fills are late. Both parents were ejected by turns, and what
// each held was asked of the origin once more by the other. One whose fills alone are late is at fault, as before, and
// soon so when the origin is sound again.
func TestSlowOriginIsNotTheParents(t *testing.T) {
	b := parentsBench(t)
	lateFills(t, b, map[EndpointID]bool{100: true, 101: true}, 4)
	if times, out := lateFills(t, b, map[EndpointID]bool{100: true, 101: true}, 12); len(times) > 0 || out[100] || out[101] {
		t.Errorf("all fills late: ejected %v, out at the end %v, want none", times, out)
	}
	if _, out := lateFills(t, b, map[EndpointID]bool{100: true}, 6); !out[100] || out[101] {
		t.Errorf("then one parent's late: left out %v, want that one", out)
	}
	if _, out := lateFills(t, parentsBench(t), map[EndpointID]bool{100: true}, 4); !out[100] || out[101] {
		t.Errorf("one parent's fills late: left out %v, want that one", out)
	}
}

// TestLateAndDead: a parent that was left out for late fills alone is taken back once the others turn out as late; one
// that could not be reached meanwhile is not.
func TestLateAndDead(t *testing.T) {
	for _, hard := range []bool{false, true} {
		b := parentsBench(t)
		s, other := b.d.endpoints.Get(100), b.d.endpoints.Get(101)
		for range 2 {
			b.d.recordSlowFill(&attemptState{route: route{endpoint: b.d.endpoints.Get(1), source: s}})
		}
		if !s.Health.Ejected() {
			t.Fatal("two late fills do not leave their parent out")
		}
		if hard {
			b.d.count(s, outlier.HardFailure)
		}
		other.LastFillAt = b.now
		for range 3 {
			b.d.recordSlowFill(&attemptState{route: route{endpoint: b.d.endpoints.Get(1), source: other}})
		}
		if b.tick(tickInterval); s.Health.Ejected() != hard {
			t.Errorf("hard sign %v: still left out %v", hard, s.Health.Ejected())
		}
	}
}

// TestComeBackInTime: a client was told to stay away for as long as clients heed, 2 s at one deployment, and came back
// when nobody wanted the answer any more.
func TestComeBackInTime(t *testing.T) {
	for _, c := range []struct{ most, aim, want time.Duration }{{2 * sec, 400 * ms, 200 * ms}, {100 * ms, 400 * ms, 100 * ms}, {2 * sec, 0, 2 * sec}, {0, 400 * ms, 0}} {
		cfg := site()
		cfg.MaxRetryAfter, cfg.Classes[0].LatencyObjective = c.most, c.aim
		b := newBench(t, cfg)
		b.do(ListEvent{Kind: ListFull})
		b.call(1, 0, 7)
		if b.finals[1] != (Reject{1, c.want}) {
			t.Errorf("most %v, aim %v: %+v, want a refusal with %v", c.most, c.aim, b.finals[1], c.want)
		}
	}
}

// TestSlowWritesHoldFillsBack: writes wait behind fills at the origin, which says nothing but by being late. Counted
// at their ends, the first one told of a crowd 3 s after it had begun.
func TestSlowWritesHoldFillsBack(t *testing.T) {
	for _, c := range []struct {
		took time.Duration
		cut  bool
	}{{100 * ms, false}, {300 * ms, true}} {
		b := newBench(t, site())
		b.call(1, 1, 7)
		b.tick(c.took)
		if cut := b.d.fillLimiter.Max < aimd.InitialLimit; cut != c.cut {
			t.Errorf("a write of %v: the limit on fills is %v, cut %v, want %v", c.took, b.d.fillLimiter.Max, cut, c.cut)
		}
	}
}

// TestLateHeldFillsCount: what the parent holds does not wait for the origin, however late all else is.
func TestLateHeldFillsCount(t *testing.T) {
	b := parentsBench(t)
	s, other := b.d.endpoints.Get(100), b.d.endpoints.Get(101)
	s.LastFillAt, other.LastFillAt = b.now, b.now
	for range 5 {
		b.d.endpoints.RecordParentPace(b.now, other, outlier.Slow)
	}
	for range 2 {
		b.d.recordSlowFill(&attemptState{route: route{endpoint: b.d.endpoints.Get(1), source: s, cachedOnly: true}})
	}
	if !s.Health.Ejected() {
		t.Error("a parent that is late with what it holds stays in use, since the others' fills are late")
	}
}

// TestDeadParentsAreLeft: two parents of a lost zone answer nothing at all. Each one's late fills were excused by the
// other's, and hits at a cache, for which a parent is named and not asked, are no answer of it.
func TestDeadParentsAreLeft(t *testing.T) {
	for _, hits := range []bool{false, true} {
		b := parentsBench(t)
		left, asked := map[EndpointID]bool{}, map[EndpointID]bool{}
		for id := RequestID(9001); id <= 9016; id++ { // what the caches hold
			b.call(id, 0, uint64(id%8))
			b.settle(id)
			b.answer(id, StatusOK, NoteFilled)
		}
		b.tick(10 * sec)
		hit := RequestID(10000)
		for id := RequestID(1); id <= 12; id++ {
			b.call(id, 0, uint64(1000+id))
			if b.finals[id] == nil {
				b.settle(id)
			}
			for range 16 {
				b.tick(50 * ms)
				if hits {
					hit++
					b.call(hit, 0, uint64(hit%8))
					asked[b.last(hit).Source] = true
					b.answer(hit, StatusOK, NoteHit)
				}
				for _, p := range []EndpointID{100, 101} {
					left[p] = left[p] || b.d.endpoints.Get(p).Health.Ejected()
				}
			}
		}
		if hits && (!asked[100] || !asked[101]) {
			t.Errorf("hits name the sources %v, not both parents: the test does not try it", asked)
		}
		if !left[100] || !left[101] {
			t.Errorf("hits %v: parents that answer nothing were left out: %v, want both", hits, left)
		}
	}
}

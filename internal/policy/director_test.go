package policy

import (
	"fmt"
	"math/rand"
	"reflect"
	"slices"
	"testing"
	"time"

	"sloequay/internal/policy/aimd"
	"sloequay/internal/policy/gaptable"
	"sloequay/internal/policy/outlier"
)

const (
	ms  = time.Millisecond
	sec = time.Second
)

// site gives settings with a zone of its own (2), two parents and an origin, everything allowed.
func site() Config {
	return Config{
		Instances: 2, Zone: 2, ZoneInstances: []int{0, 0, 1, 1}, ParentKind: 1, OriginKind: 2,
		FlowKBps: 1000, WeightsReported: true, Siblings: ReachZone, Detail: DetailAll, DirectFetch: true, JoinFills: true,
		PurgeGrace: 500 * ms, PurgePropagation: 6 * sec, DrainGrace: sec, ColdStartShare: 0.2, WarmupTime: 20 * sec,
		OverloadMultiple: 3, OverloadWindow: 2 * sec, ParentStartShare: 0.1, ParentWarmupTime: 20 * sec, ParentOverloadMultiple: 2,
		MaxAttempts: 6, MayCancel: true, Hedging: true, MaxRetryAfter: sec,
		Classes: []Class{
			{LatencyObjective: 400 * ms, ObjectiveStretch: 2, Deadline: 4 * sec, PriorityWeight: 2},
			{LatencyObjective: 400 * ms, Deadline: 4 * sec, PriorityWeight: 3, Idempotency: IdempotentByKey, DedupWindow: 2 * sec, Write: true},
			{LatencyObjective: 400 * ms, Deadline: 4 * sec, PriorityWeight: 3, Idempotency: NotIdempotent, Write: true},
		},
	}
}

func nodes() []Endpoint {
	list := []Endpoint{{ID: 100, Zone: 0, Kind: 1, State: Ready, Weight: 40}, {ID: 101, Zone: 1, Kind: 1, State: Ready,
		Weight: 40}, {ID: 200, Kind: 2, State: Ready, Weight: 1}}
	for i := 1; i <= 4; i++ {
		list = append(list, Endpoint{ID: EndpointID(i), Zone: 2, State: Ready, Weight: 8})
	}
	return append(list, Endpoint{ID: 9, Zone: 3, State: Ready, Weight: 8})
}

// bench drives a Director by hand and watches the rules that hold for every action.
type bench struct {
	t      *testing.T
	d      *Engine
	now    time.Duration
	open   map[RequestID]int // attempts sent to requests without a final answer
	gets   map[RequestID][]SendAttempt
	finals map[RequestID]Action
	banned map[EndpointID]bool
	log    []Action
	next   RequestID // by lateFills
}

func newBench(t *testing.T, cfg Config) *bench {
	t.Helper()
	d, err := New(cfg, 1)
	if err != nil {
		t.Fatal(err)
	}
	b := &bench{t: t, d: d, now: 100 * sec, open: map[RequestID]int{}, gets: map[RequestID][]SendAttempt{},
		finals: map[RequestID]Action{}, banned: map[EndpointID]bool{}}
	b.do(ListEvent{Kind: ListCached, Endpoints: nodes()})
	return b
}

func (b *bench) do(e Event) []Action {
	b.t.Helper()
	out := slices.Clone(b.d.Handle(b.now, e))
	b.log = append(b.log, out...)
	for _, a := range out {
		switch a := a.(type) {
		case SendAttempt:
			if b.finals[a.ID] != nil {
				b.t.Fatalf("%v: sent after the final answer", a)
			}
			if b.banned[a.Endpoint] || b.banned[a.Source] {
				b.t.Fatalf("%+v: uses a server that drains or is gone", a)
			}
			b.gets[a.ID] = append(b.gets[a.ID], a)
			if n := len(b.gets[a.ID]); n > b.d.cfg.MaxAttempts {
				b.t.Fatalf("%d attempts, at most %d allowed", n, b.d.cfg.MaxAttempts)
			}
		case Reject:
			b.final(a.ID, a)
		case Fail:
			b.final(a.ID, a)
		}
	}
	return out
}

func (b *bench) final(id RequestID, a Action) {
	b.t.Helper()
	if b.finals[id] != nil {
		b.t.Fatalf("%d: second final answer %v after %v", id, a, b.finals[id])
	}
	b.finals[id] = a
}

func (b *bench) call(id RequestID, class int, object uint64) {
	b.t.Helper()
	b.do(RequestEvent{ID: id, Class: class, Object: object, Remaining: 3 * sec, SizeKB: 100})
}

func (b *bench) last(id RequestID) SendAttempt {
	b.t.Helper()
	if len(b.gets[id]) == 0 {
		b.t.Fatalf("%d: nothing was sent", id)
	}
	return b.gets[id][len(b.gets[id])-1]
}

// answer ends the latest attempt of a request.
func (b *bench) answer(id RequestID, s Status, note Note) {
	b.t.Helper()
	g := b.last(id)
	if s == StatusOK {
		b.finals[id] = g
	}
	b.do(ResponseEvent{ID: id, Endpoint: g.Endpoint, Attempt: len(b.gets[id]) - 1, Elapsed: 100 * ms, Concluded: s == StatusOK,
		Note: note, Status: s})
}

// settle answers looks with a miss until something else is sent.
func (b *bench) settle(id RequestID) SendAttempt {
	b.t.Helper()
	for b.last(id).Source == b.last(id).Endpoint && b.finals[id] == nil {
		b.answer(id, StatusMiss, NoteNone)
	}
	return b.last(id)
}

func (b *bench) tick(span time.Duration) {
	b.t.Helper()
	for end := b.now + span; b.now < end; {
		b.now += tickInterval
		b.do(TimerEvent{Token: tickToken})
	}
}

func TestSelectiveKeeping(t *testing.T) {
	b := newBench(t, site())
	for i, want := range []int{0, 1, 3} {
		id := RequestID(i + 1)
		b.call(id, 0, 7)
		if got := b.settle(id).CacheRank; got != want {
			t.Errorf("request %d of an object: keep %d, want %d", i+1, got, want)
		}
		b.answer(id, StatusOK, NoteFilled)
		b.now += sec
	}
}

func TestHolderAndSecondCopy(t *testing.T) {
	b := newBench(t, site())
	for id := RequestID(1); id <= 3; id++ {
		b.call(id, 0, 7)
		b.settle(id)
		b.answer(id, StatusOK, NoteFilled)
		b.now += sec
	}
	holder := b.last(3).Endpoint
	b.call(4, 0, 7)
	if b.last(4).Endpoint != holder {
		t.Fatalf("a known object went to %d, want its holder %d", b.last(4).Endpoint, holder)
	}
	b.call(5, 0, 7) // the holder has work out: the copy's turn
	second := b.last(5)
	if second.Endpoint == holder || second.Source != holder || !second.CachedOnly {
		t.Fatalf("second copy: %+v, want another cache filled from holder %d by what it holds", second, holder)
	}
	b.answer(5, StatusMiss, NoteSourceMiss)
	if g := b.last(5); g.Source != 100 && g.Source != 101 {
		t.Errorf("the holder lacks it: %+v, want a parent to fill", g)
	}
}

func TestLooksBeforeFill(t *testing.T) {
	b := newBench(t, site())
	b.call(1, 0, 7)
	if g := b.last(1); g.Source != g.Endpoint {
		t.Fatalf("unknown part: %+v, want a look first", g)
	}
	b.answer(1, StatusOK, NoteHit)
	found := b.last(1).Endpoint
	b.now += sec
	b.call(2, 0, 7)
	if g := b.last(2); g.Endpoint != found {
		t.Errorf("known by a look at %d, but sent to %d", found, g.Endpoint)
	}
}

func TestSameHomesAtAllDirectors(t *testing.T) {
	one, two := newBench(t, site()), newBench(t, site())
	two.do(ListEvent{Kind: ListDelta, Endpoints: []Endpoint{{ID: 5, Zone: 2, State: Ready, Weight: 8}}})
	moved := 0
	for id := RequestID(1); id <= 300; id++ {
		p := gaptable.Part{Object: uint64(id) * 977}
		a, b := one.d.endpoints.Caches.OrderFor(p.Hash(), nil, 0).At(0).ID, two.d.endpoints.Caches.OrderFor(p.Hash(), nil, 0).At(0).ID
		if a != b {
			moved++
			if b != 5 {
				t.Fatalf("part %v moved from %d to %d, not to the new cache", p, a, b)
			}
		}
	}
	if moved < 30 || moved > 90 {
		t.Errorf("a fifth cache took %d of 300 homes, want about 60", moved)
	}
}

func TestDrains(t *testing.T) {
	b := newBench(t, site())
	for _, n := range []Endpoint{{ID: 1, Zone: 2, State: Draining, Weight: 8}, {ID: 100, Kind: 1, State: Gone}} {
		b.do(ListEvent{Kind: ListDelta, Endpoints: []Endpoint{n}})
		b.banned[n.ID] = true
	}
	for id := RequestID(1); id <= 60; id++ {
		b.call(id, 0, uint64(id))
		b.settle(id)
		b.answer(id, StatusError, NoteNone)
		b.now += 100 * ms
	}
}

func TestPurgesBoundTheAge(t *testing.T) {
	b := newBench(t, site())
	b.do(PurgeEvent{Object: 7, Age: 200 * ms})
	for _, step := range []struct {
		wait time.Duration
		most time.Duration // 0: any age
	}{{0, 200 * ms}, {300 * ms, 500 * ms}, {5 * sec, 5500 * ms}, {3 * sec, 0}} {
		b.now += step.wait
		id := RequestID(b.now / ms)
		b.call(id, 0, 7)
		for tries := 0; tries < 3; tries++ {
			g := b.last(id)
			if step.most > 0 && (g.MaxAge <= 0 || g.MaxAge > step.most || g.JoinFill != (step.most > joinFillsAfter) || g.Revalidate) {
				t.Errorf("%v after the purge: %+v, want an age of at most %v", step.wait, g, step.most)
			}
			b.answer(id, StatusMiss, NoteNone)
		}
	}
	b.do(PurgeEvent{Object: 8})
	b.call(1, 0, 8)
	if g := b.last(1); g.MaxAge <= 0 || g.MaxAge > ms {
		t.Errorf("a purge just told: age %v, want the smallest that is not 'any'", g.MaxAge)
	}
	b.do(PurgeEvent{Group: 3, Age: ms})
	b.do(RequestEvent{ID: 2, Object: 9, Group: 3, Remaining: sec})
	if g := b.last(2); g.MaxAge <= 0 || g.MaxAge > ms {
		t.Errorf("a purged group: age %v", g.MaxAge)
	}
}

func TestColdBudget(t *testing.T) {
	for _, cold := range []Endpoint{{ID: 1, Zone: 2, State: Ready, Weight: 8}, {ID: 100, Kind: 1, State: Ready, Weight: 40}} {
		b := newBench(t, site())
		cold.StartedAt = b.now
		b.do(ListEvent{Kind: ListDelta, Endpoints: []Endpoint{cold}})
		rate, share := 0.2*3.0, 1.0
		if cold.Kind == 1 {
			rate, share = 0.1*2.0, 2
		}
		spentHere, id := 0.0, RequestID(0)
		for end := b.now + 2*sec; b.now < end; b.now += 5 * ms {
			id++
			b.call(id, 0, uint64(id))
			b.settle(id)
			for _, g := range b.gets[id] {
				if g.Endpoint == cold.ID || g.Source == cold.ID && g.Endpoint != cold.ID {
					spentHere += b.d.classes[0].cost.Cost()
				}
			}
			b.answer(id, StatusOK, NoteFilled)
		}
		// The share may have grown to the end of the window: a tenth of the way to warm.
		budget := (rate + 0.1*3) * cold.Weight * 2 / share
		if spentHere > budget || spentHere == 0 {
			t.Errorf("node %d: %.2f s of sending in its first 2 s, want some and at most %.2f", cold.ID, spentHere, budget)
		}
	}
}

func TestEffects(t *testing.T) {
	for _, c := range []struct {
		name      string
		class     int
		status    Status
		wait      time.Duration
		wantSend  bool
		wantFinal Action
	}{
		{"keyed, within the window", 1, StatusError, 0, true, nil},
		{"keyed, too late", 1, StatusError, 1900 * ms, false, Reject{ID: 1, RetryAfter: 200 * ms}},
		{"unsafe, may have run", 2, StatusError, 0, false, Fail{ID: 1}},
		{"unsafe, never ran", 2, StatusConnectFailed, 0, true, nil},
	} {
		b := newBench(t, site())
		b.call(1, c.class, 7)
		b.now += c.wait
		b.answer(1, c.status, NoteNone)
		if got := len(b.gets[1]) == 2; got != c.wantSend {
			t.Errorf("%s: sent again %v, want %v", c.name, got, c.wantSend)
		}
		if !reflect.DeepEqual(b.finals[1], c.wantFinal) {
			t.Errorf("%s: final answer %v, want %v", c.name, b.finals[1], c.wantFinal)
		}
	}
}

// TestLongAnswersAreNotSilence: three long answers out at once ejected live caches dozens of times a day.
func TestLongAnswersAreNotSilence(t *testing.T) {
	b := newBench(t, site())
	for id := RequestID(1); id <= 12; id++ {
		b.do(RequestEvent{ID: id, Object: uint64(id), Remaining: 5 * sec, SizeKB: 900})
	}
	b.tick(800 * ms)
	for _, s := range b.d.endpoints.Caches.Members() {
		if s.Health.Ejected() {
			t.Errorf("cache %d ejected after 0.8 s of sending 0.9 s answers", s.ID)
		}
	}
}

// TestSilentHolderIsLeft: a hung holder must not keep its requests.
func TestSilentHolderIsLeft(t *testing.T) {
	b := newBench(t, site())
	for id := RequestID(1); id <= 6; id++ {
		b.do(RequestEvent{ID: id, Object: 7, Part: int(id), Remaining: 3 * sec, SizeKB: 50})
	}
	b.tick(1500 * ms)
	for id := RequestID(1); id <= 6; id++ {
		if len(b.gets[id]) < 2 && b.finals[id] == nil {
			t.Errorf("request %d still waits for a server that has been silent for 1.5 s", id)
		}
	}
}

// TestLostZoneGoesToParents: a location whose caches are all dead kept refusing; its parents could serve.
func TestLostZoneGoesToParents(t *testing.T) {
	b := newBench(t, site())
	served := 0
	for id := RequestID(1); id <= 200; id++ {
		b.call(id, 0, uint64(id))
		for b.finals[id] == nil {
			if g := b.last(id); g.Endpoint >= 100 {
				if g.Endpoint < 200 && g.Source != 200 {
					t.Fatalf("%+v: a parent asked with itself as source fetches nothing", g)
				}
				b.answer(id, StatusOK, NoteFilled)
				served++
			} else {
				b.answer(id, StatusConnectFailed, NoteNone)
			}
		}
		b.tick(30 * ms)
	}
	if served < 150 {
		t.Errorf("%d of 200 requests served past the dead caches, want most", served)
	}
}

// TestSlowRefusalIsTheSources: a dead parent shows as "full" after the dial time-out; caches were shut for it.
func TestSlowRefusalIsTheSources(t *testing.T) {
	cfg := site()
	cfg.Detail = DetailOff
	b := newBench(t, cfg)
	b.call(1, 0, 7)
	first := b.settle(1)
	b.do(ResponseEvent{ID: 1, Endpoint: first.Endpoint, Attempt: len(b.gets[1]) - 1, Elapsed: 400 * ms, Status: StatusAtCapacity})
	if g := b.last(1); g.Endpoint != first.Endpoint || g.Source == first.Source {
		t.Errorf("after a late refusal: %+v, want cache %d with another source than %d", g, first.Endpoint, first.Source)
	}
}

// TestHeldOnlyWhileFillsAreNarrow: a slow origin shut what the parents hold.
func TestHeldOnlyWhileFillsAreNarrow(t *testing.T) {
	b := newBench(t, site())
	b.d.fillLimiter.Max = aimd.MinLimit
	for id := RequestID(1); id <= 40; id++ {
		b.call(id, 0, uint64(id))
		if b.finals[id] == nil {
			if g := b.settle(id); g.CachedOnly && (g.Source == 100 || g.Source == 101) {
				return
			}
		}
	}
	t.Error("no parent was asked for what it holds")
}

// TestNewProcess: a restart of a cache voids what was known of it.
func TestNewProcess(t *testing.T) {
	b := newBench(t, site())
	b.d.endpoints.Eject(b.now, b.d.endpoints.Get(1), outlier.Failing)
	b.do(ListEvent{Kind: ListDelta, Endpoints: []Endpoint{{ID: 1, Zone: 2, State: Ready, Weight: 8, StartedAt: b.now}}})
	if b.d.endpoints.Get(1).Health.Ejected() {
		t.Error("a new process is still ejected for what the old one did")
	}
}

func TestBadSettings(t *testing.T) {
	for name, spoil := range map[string]func(*Config){
		"no class": func(c *Config) { c.Classes = nil }, "time": func(c *Config) { c.Classes[0].LatencyObjective = -1 },
		"effect": func(c *Config) { c.Classes[0].Idempotency = 9 }, "zone": func(c *Config) { c.Zone = -1 },
	} {
		cfg := site()
		spoil(&cfg)
		if _, err := New(cfg, 1); err == nil {
			t.Errorf("%s: accepted", name)
		}
	}
}

// storm plays a random stream of legal and hostile events and returns what was done.
func storm(t *testing.T, seed int64, steps int) []Action {
	rnd := rand.New(rand.NewSource(seed))
	b := newBench(t, site())
	gone := map[RequestID]time.Duration{}
	answered := map[[2]int]bool{}
	id := RequestID(0)
	for step := 0; step < steps; step++ {
		b.now += time.Duration(rnd.Intn(8)) * ms
		switch rnd.Intn(12) {
		case 0, 1, 2:
			id++
			left := time.Duration(200+rnd.Intn(2000)) * ms
			gone[id] = b.now + left
			b.do(RequestEvent{ID: id, Class: rnd.Intn(3), Object: uint64(rnd.Intn(40)), Remaining: left,
				SizeKB: float64(rnd.Intn(400))})
		case 3, 4, 5, 6:
			if id == 0 {
				continue
			}
			r := id - RequestID(rnd.Intn(min(int(id), 20)))
			if n := len(b.gets[r]); n > 0 {
				i := rnd.Intn(n)
				s := Status(rnd.Intn(int(StatusMiss) + 1))
				if answered[[2]int{int(r), i}] && s == StatusOK {
					s = StatusError // a second answer to an attempt is hostile, but never the client's
				}
				answered[[2]int{int(r), i}] = true
				if b.finals[r] == nil && s == StatusOK {
					b.finals[r] = b.gets[r][i]
				}
				b.do(ResponseEvent{ID: r, Endpoint: b.gets[r][i].Endpoint, Attempt: i, Elapsed: 50 * ms, Status: s,
					Concluded: b.finals[r] != nil, Note: Note(rnd.Intn(11))})
			}
		case 7:
			b.do(PurgeEvent{Object: uint64(rnd.Intn(40)), Age: time.Duration(rnd.Intn(300)) * ms})
		case 8:
			n := nodes()[rnd.Intn(len(nodes()))]
			n.State = State(rnd.Intn(3))
			n.StartedAt = b.now - time.Duration(rnd.Intn(2000))*ms
			b.banned[n.ID] = n.State != Ready
			b.do(ListEvent{Kind: ListDelta, Endpoints: []Endpoint{n}})
		case 9: // what was never asked for
			b.do(ResponseEvent{ID: 1 << 30, Attempt: rnd.Intn(300) - 1, Status: StatusOK})
			b.do(ClientGoneEvent{ID: 1 << 30})
			b.do(TimerEvent{Token: 999})
			b.do(RequestEvent{ID: 1<<30 + RequestID(step), Class: 99})
		default:
			b.do(TimerEvent{Token: tickToken})
		}
		for r := RequestID(1); r <= id; r++ {
			if at, waits := gone[r]; waits && b.now >= at {
				if b.finals[r] == nil {
					b.finals[r] = left{}
					b.do(ClientGoneEvent{ID: r})
				}
				delete(gone, r)
			}
		}
		if b.d.fillLimiter.InFlight < 0 || b.d.cachedOnlyLimiter.InFlight < 0 {
			t.Fatalf("seed %d step %d: fewer than no fills out", seed, step)
		}
	}
	return b.log
}

// left stands for "the client left" among the final answers of the bench.
type left struct{}

func (left) isAction() {}

func TestRandomStreams(t *testing.T) {
	for seed := int64(1); seed <= 20; seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) { storm(t, seed, 3000) })
	}
}

func TestSameEventsSameActions(t *testing.T) {
	if !reflect.DeepEqual(storm(t, 7, 2000), storm(t, 7, 2000)) {
		t.Error("the same events gave other actions")
	}
}

// fillsVia sends requests one after another and answers each attempt by how;
// it gives the number of fills that went by the parent.
func fillsVia(b *bench, parent EndpointID, requests int, how func(SendAttempt) (Status, Note)) int {
	via := 0
	for id := RequestID(1); id <= RequestID(requests); id++ {
		b.call(id, 0, uint64(1000+id))
		for b.finals[id] == nil {
			g := b.settle(id)
			if b.finals[id] != nil {
				break
			}
			s, note := how(g)
			if g.Source == parent && g.Endpoint != parent {
				via++
			}
			b.answer(id, s, note)
		}
		b.tick(20 * ms)
	}
	return via
}

// TestUnreachedSourceIsPassedSoon: a trunk that the caches cannot reach is passed over after two fills, though the
// other trunk fails at times too. A doorman of a fleet sees each trunk seldom; weighed against what the other trunks
// showed, a dead one kept its fills for seconds.
func TestUnreachedSourceIsPassedSoon(t *testing.T) {
	b := newBench(t, site())
	// The other trunk is busy and turns fills away at times, as on a day when a hub is lost.
	turned := 0
	via := fillsVia(b, 100, 40, func(g SendAttempt) (Status, Note) {
		if g.Source == 100 && g.Endpoint != 100 {
			return StatusError, NoteSourceLost
		}
		if turned++; g.Source == 101 && turned%2 == 0 {
			return StatusAtCapacity, NoteSourceRejected
		}
		return StatusOK, NoteFilled
	})
	if via > 2 {
		t.Errorf("%d fills by the unreached trunk in 40 requests, want 2 at most", via)
	}
}

// TestTrustedAgainIsSparedAsCold: a trunk that failed and answers again has started anew before the list says so,
// cold; it gets no more than a cold trunk's budget. At full rate all doormans together had it fall over.
func TestTrustedAgainIsSparedAsCold(t *testing.T) {
	b := newBench(t, site())
	dead := true
	fillsVia(b, 100, 30, func(g SendAttempt) (Status, Note) {
		if dead && g.Source == 100 && g.Endpoint != 100 {
			return StatusError, NoteSourceLost
		}
		return StatusOK, NoteFilled
	})
	if !b.d.endpoints.Get(100).Health.Ejected() {
		t.Fatal("the failing trunk was not ejected")
	}
	dead = false
	for tries := 0; b.d.endpoints.Get(100).Health.Ejected(); tries++ {
		if tries > 100 {
			t.Fatal("the trunk is never trusted again")
		}
		b.tick(100 * ms)
		id := RequestID(100 + tries)
		b.call(id, 0, uint64(7000+tries))
		for b.finals[id] == nil {
			b.settle(id)
			if b.finals[id] == nil {
				b.answer(id, StatusOK, NoteFilled)
			}
		}
	}
	spent, id := 0.0, RequestID(5000)
	for end := b.now + 2*sec; b.now < end; b.now += 5 * ms {
		id++
		b.call(id, 0, uint64(id))
		g := b.settle(id)
		if g.Source == 100 && g.Endpoint != 100 || g.Endpoint == 100 {
			spent += b.d.classes[0].cost.Mean()
		}
		b.answer(id, StatusOK, NoteFilled)
	}
	// ParentFrom 0.1 rising over 20 s, FallMultiple 2, weight 40, shared by two directors: as TestColdBudget.
	if budget := (0.1*2.0 + 0.1*3) * 40 * 2 / 2; spent > budget {
		t.Errorf("%.2f s of sending in its first 2 s back, want at most %.2f", spent, budget)
	}
}

// TestFirstSizesReachColdServers: until a size was seen a request was held for one that takes all of the wanted time,
// and that guess was left by a fiftieth a request: one doorman of a hundred, whose part of a cold server's budget is
// small, sent nothing for its first hundred requests, and a fleet that started together served three quarters of what
// it could.
func TestFirstSizesReachColdServers(t *testing.T) {
	cfg := site()
	cfg.Instances, cfg.ZoneInstances = 100, []int{0, 0, 50, 50}
	d, err := New(cfg, 1)
	if err != nil {
		t.Fatal(err)
	}
	now := 100 * sec
	list := nodes()
	for i := range list {
		list[i].StartedAt = now
	}
	d.Handle(now, ListEvent{Kind: ListFull, Endpoints: list})
	sent := 0
	for id := RequestID(1); id <= 10; id++ {
		now += 100 * ms
		for _, a := range d.Handle(now, RequestEvent{ID: id, Object: uint64(id), Remaining: 3 * sec, SizeKB: 5}) {
			if g, ok := a.(SendAttempt); ok {
				if g.Endpoint < 10 { // a cache, and not the origin past them all
					sent++
				}
				d.Handle(now, ResponseEvent{ID: id, Endpoint: g.Endpoint, Elapsed: ms, Concluded: true, Note: NoteHit, Status: StatusOK})
				break
			}
		}
	}
	if sent < 9 {
		t.Errorf("%d of 10 requests were sent to servers that have room for them", sent)
	}
}

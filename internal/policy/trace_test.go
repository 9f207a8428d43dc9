package policy

import (
	"container/heap"
	"fmt"
	"hash/fnv"
	"math"
	"math/rand"
	"testing"
	"time"

	"sloequay/internal/policy/classcost"
	"sloequay/internal/policy/rendezvous"
)

// due is something that a random day has planned: an answer, or a timer's token.
type due struct {
	at     time.Duration
	serial int
	event  Event
	get    SendAttempt // with an answer: what it answers
}

type agenda []due

func (a agenda) Len() int { return len(a) }
func (a agenda) Less(i, j int) bool {
	return a[i].at < a[j].at || a[i].at == a[j].at && a[i].serial < a[j].serial
}
func (a agenda) Swap(i, j int) { a[i], a[j] = a[j], a[i] }
func (a *agenda) Push(x any)   { *a = append(*a, x.(due)) }
func (a *agenda) Pop() any {
	last := (*a)[len(*a)-1]
	*a = (*a)[:len(*a)-1]
	return last
}

// randomDay plays calls, answers of all kinds, purges and changes of the list from a seed, and gives a hash of every
// action with its time. After each event, look sees the director.
func randomDay(t testing.TB, seed int64, caches, calls int, warm bool, look func(*Engine)) uint64 {
	rng := rand.New(rand.NewSource(seed))
	cfg := site()
	cfg.Hedging = seed%2 == 0
	cfg.WeightsReported = seed%3 != 0
	if warm {
		cfg.OverloadMultiple, cfg.ParentOverloadMultiple = 0, 0
	}
	d, err := New(cfg, 1)
	if err != nil {
		t.Fatal(err)
	}
	list := []Endpoint{{ID: 100, Zone: 0, Kind: 1, State: Ready, Weight: 40}, {ID: 101, Zone: 1, Kind: 1, State: Ready,
		Weight: 40}, {ID: 102, Zone: 1, Kind: 1, State: Ready, Weight: 20}, {ID: 200, Kind: 2, State: Ready, Weight: 1}}
	for i := range caches {
		list = append(list, Endpoint{ID: EndpointID(1000 + i), Zone: 2, State: Ready, Weight: float64(1 + rng.Intn(12))})
	}
	for i := range 5 {
		list = append(list, Endpoint{ID: EndpointID(90000 + i), Zone: 3, State: Ready, Weight: 8})
	}
	var plan agenda
	serial, attempts := 0, map[RequestID]int{}
	ended := map[RequestID]bool{}
	sum := fnv.New64a()
	now := 100 * sec
	add := func(after time.Duration, e Event, g SendAttempt) {
		serial++
		heap.Push(&plan, due{now + after, serial, e, g})
	}
	statuses := []Status{StatusOK, StatusOK, StatusOK, StatusOK, StatusOK, StatusOK, StatusOK, StatusOK, StatusMiss, StatusMiss, StatusAtCapacity, StatusError, StatusTimeout, StatusConnectFailed, StatusReset, StatusNotExecuted}
	do := func(e Event) {
		for _, a := range d.Handle(now, e) {
			fmt.Fprintf(sum, "%d %T %+v\n", now, a, a)
			switch a := a.(type) {
			case SendAttempt:
				n := attempts[a.ID]
				attempts[a.ID]++
				status := statuses[rng.Intn(len(statuses))]
				note := NoteHit
				if a.Source != a.Endpoint {
					note = []Note{NoteFilled, NoteFilledOrigin, NoteJoined, NoteSourceLost, NoteNoCapacity, NoteNone}[rng.Intn(6)]
				}
				took := time.Duration(rng.ExpFloat64() * 60 * float64(ms))
				if rng.Intn(40) == 0 {
					took += sec // a slow box
				}
				if rng.Intn(200) == 0 {
					continue // never answered
				}
				add(took, ResponseEvent{ID: a.ID, Endpoint: a.Endpoint, Attempt: n, Elapsed: took, Note: note, Status: status}, a)
			case Reject:
				ended[a.ID] = true
			case Fail:
				ended[a.ID] = true
			case CancelAttempt:
				if !ended[a.ID] {
					add(ms, ResponseEvent{ID: a.ID, Attempt: a.Attempt, Elapsed: 100 * ms, Status: StatusCanceled}, SendAttempt{})
				}
			case SetTimer:
				add(a.At-now, TimerEvent{a.Token}, SendAttempt{})
			}
		}
		if look != nil {
			look(d)
		}
	}
	do(ListEvent{Kind: ListFull, Endpoints: list})
	zipf := rand.NewZipf(rng, 1.1, 4, 5000)
	for id := RequestID(1); int(id) <= calls; id++ {
		now += time.Duration(rng.ExpFloat64() * float64(2*ms))
		until := now
		for len(plan) > 0 && plan[0].at <= until {
			p := heap.Pop(&plan).(due)
			now = p.at
			if e, ok := p.event.(ResponseEvent); ok {
				if ended[e.ID] {
					continue
				}
				e.Concluded = e.Status == StatusOK
				ended[e.ID] = e.Concluded
				p.event = e
			}
			do(p.event)
		}
		now = until
		switch n := rng.Intn(300); {
		case n == 0:
			do(PurgeEvent{Object: zipf.Uint64() + 1, Age: 50 * ms})
		case n == 1:
			do(PurgeEvent{Group: rng.Intn(8), Age: 50 * ms})
		case n == 2: // one box changes
			i := 1 + rng.Intn(len(list)-1)
			list[i].State = []State{Gone, Ready, Ready, Draining}[rng.Intn(4)]
			if rng.Intn(3) == 0 {
				list[i].StartedAt = now
			}
			do(ListEvent{Kind: ListDelta, Endpoints: list[i : i+1]})
		case n == 3 && rng.Intn(4) == 0:
			do(ListEvent{Kind: ListFull, Endpoints: list})
		case n == 4 && id > 10:
			gone := id - RequestID(rng.Intn(10)) - 1
			ended[gone] = true
			do(ClientGoneEvent{gone})
		}
		class := 0
		if rng.Intn(20) == 0 {
			class = 1 + rng.Intn(2)
		}
		size := 20 + 200*rng.Float64()
		if rng.Intn(10) == 0 {
			size = 0
		}
		do(RequestEvent{ID: id, Class: class, Object: zipf.Uint64() + 1, Part: rng.Intn(2), Group: rng.Intn(8),
			Remaining: 3 * sec, SizeKB: size})
	}
	return sum.Sum64()
}

// TestSameDecisions plays random days without cold boxes, on which boxes drain, leave, start anew, fail, fall silent
// and are ejected and limits become narrow: passing over what the guards would turn down changes no decision against a
// walk that looks at every server, as all are opened again after each event.
func TestSameDecisions(t *testing.T) {
	shut := 0
	for _, c := range []struct {
		seed          int64
		caches, calls int
	}{{1, 4, 6000}, {2, 4, 6000}, {3, 12, 6000}, {4, 12, 6000}, {5, 40, 4000}, {6, 40, 4000}, {7, 300, 2000}, {8, 300, 2000}, {9, 1, 3000}, {10, 2, 3000}} {
		events := 0
		got := randomDay(t, c.seed, c.caches, c.calls, true, func(d *Engine) {
			if events++; events%50 == 0 {
				checkOut(t, d)
			}
			for _, s := range d.endpoints.Caches.Members() {
				if d.endpoints.Skipped(s, d.now) {
					shut++
				}
			}
		})
		walk := randomDay(t, c.seed, c.caches, c.calls, true, func(d *Engine) {
			for _, r := range []*ranking{&d.endpoints.Caches, &d.endpoints.Parents} {
				for _, s := range r.Members() {
					d.endpoints.SkipUntil(s, 0)
				}
			}
		})
		if got != walk {
			t.Errorf("seed %d, %d caches: the actions hash to %#x, by a walk over all to %#x", c.seed, c.caches, got, walk)
		}
	}
	if shut == 0 {
		t.Error("no server was ever passed over: the days do not try it")
	}
}

// TestColdDays plays days with cold boxes, where what is shut must be what the guard turns down: a server that is
// passed over has no room for the cheapest class, but for what costs have moved since it was shut.
func TestColdDays(t *testing.T) {
	shut := 0
	for seed := range int64(6) {
		randomDay(t, seed, 12, 4000, false, func(d *Engine) {
			checkOut(t, d)
			for _, s := range d.endpoints.Caches.Members() {
				if !d.endpoints.Skipped(s, d.now) || s.Health.Ejected() {
					continue
				}
				shut++
				least := math.Inf(1)
				for i := range d.classes {
					least = min(least, d.classes[i].cost.Cost())
				}
				q := &requestState{class: &classState{cost: classcost.New(least * 1.3)}}
				if d.withinWarmupBudget(q, s) {
					t.Fatalf("seed %d: server %d is shut at %v, and has room", seed, s.ID, d.now)
				}
			}
		})
	}
	if shut == 0 {
		t.Error("no server was shut for being cold: the days do not try it")
	}
}

// checkOut compares what each server has listed as out with a walk over all requests.
func checkOut(t testing.TB, d *Engine) {
	want, listed := map[attemptRef]*endpointState{}, 0
	for _, q := range d.requests {
		for i := range q.attempts {
			if !q.attempts[i].done {
				want[attemptRef{q, i}] = q.attempts[i].endpoint
			}
		}
	}
	for _, s := range d.endpoints.All() {
		listed += len(s.InFlight())
		for _, o := range s.InFlight() {
			if want[o] != s {
				t.Fatalf("server %x lists attempt %d of request %d, which is not out there", s.ID, o.n, o.request.id)
			}
		}
	}
	if listed != len(want) {
		t.Fatalf("%d attempts are listed as out, and %d are", listed, len(want))
	}
}

// BenchmarkCold is one request where all caches have just started and the guard turns each of them down.
func BenchmarkCold(b *testing.B) {
	for _, caches := range []int{10, 100, 1000, 4000} {
		b.Run(fmt.Sprintf("caches/%d", caches), func(b *testing.B) {
			cfg := site()
			cfg.ColdStartShare, cfg.WarmupTime = 0.001, time.Hour
			d, err := New(cfg, 1)
			if err != nil {
				b.Fatal(err)
			}
			now := 100 * sec
			list := nodes()[:3]
			for i := range caches {
				list = append(list, Endpoint{ID: EndpointID(rendezvous.Hash(uint64(i))), Zone: 2, State: Ready, Weight: 1, StartedAt: now})
			}
			d.Handle(now, ListEvent{Kind: ListFull, Endpoints: list})
			drive(b, d, now)
		})
	}
}

// BenchmarkRequest is one request through the module and the end of its one attempt, with a plaza of so many caches.
func BenchmarkRequest(b *testing.B) {
	for _, caches := range []int{10, 100, 1000, 4000, 10000} {
		b.Run(fmt.Sprintf("caches/%d", caches), func(b *testing.B) {
			d, err := New(site(), 1)
			if err != nil {
				b.Fatal(err)
			}
			list := nodes()
			for i := range caches {
				list = append(list, Endpoint{ID: EndpointID(rendezvous.Hash(uint64(i))), Zone: 2, State: Ready, Weight: 8})
			}
			now := 100 * sec
			d.Handle(now, ListEvent{Kind: ListFull, Endpoints: list})
			drive(b, d, now)
		})
	}
}

// drive puts requests through a director, a millisecond apart, and ends the first attempt of each.
func drive(b *testing.B, d *Engine, now time.Duration) {
	zipf := rand.NewZipf(rand.New(rand.NewSource(1)), 1.1, 4, 50000)
	b.ReportAllocs()
	b.ResetTimer()
	for i := range b.N {
		now += ms
		if i%10 == 0 {
			d.Handle(now, TimerEvent{tickToken})
		}
		id := RequestID(i + 1)
		for _, a := range d.Handle(now, RequestEvent{ID: id, Object: zipf.Uint64() + 1, Remaining: 3 * sec, SizeKB: 40}) {
			if g, ok := a.(SendAttempt); ok {
				d.Handle(now, ResponseEvent{ID: id, Endpoint: g.Endpoint, Elapsed: ms, Concluded: true, Note: NoteHit, Status: StatusOK})
				break
			}
		}
	}
}

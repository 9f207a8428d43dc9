package policy

import (
	"container/heap"
	"fmt"
	"hash"
	"hash/fnv"
	"math"
	"math/rand"
	"testing"
	"time"

	"sloequay/internal/policy/classcost"
)

// plannedEvent is an event that a random day has planned: a response, or a timer's token.
type plannedEvent struct {
	at     time.Duration
	serial int
	event  Event
}

type eventQueue []plannedEvent

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].serial < q[j].serial
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(plannedEvent)) }
func (q *eventQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

// randomDay plays requests, responses of all kinds, purges and changes of the list from a seed.
type randomDay struct {
	seed     int64
	caches   int
	requests int
	warm     bool          // no endpoint is warming up
	look     func(*Engine) // sees the engine after each event

	random   *rand.Rand
	objects  *rand.Zipf
	engine   *Engine
	list     []Endpoint
	now      time.Duration
	queue    eventQueue
	serial   int
	attempts map[RequestID]int
	ended    map[RequestID]bool
	digest   hash.Hash64
}

// play gives a hash of every action with its time.
func (day *randomDay) play(t testing.TB) uint64 {
	day.random = rand.New(rand.NewSource(day.seed))
	cfg := testConfig()
	cfg.Hedging = day.seed%2 == 0
	cfg.WeightsReported = day.seed%3 != 0
	if day.warm {
		cfg.OverloadMultiple, cfg.ParentOverloadMultiple = 0, 0
	}
	engine, err := New(cfg, 1)
	if err != nil {
		t.Fatal(err)
	}
	day.engine = engine
	day.drawList()
	day.now = 100 * sec
	day.attempts = map[RequestID]int{}
	day.ended = map[RequestID]bool{}
	day.digest = fnv.New64a()
	day.handle(ListEvent{Kind: ListFull, Endpoints: day.list})
	day.objects = rand.NewZipf(day.random, 1.1, 4, 5000)
	for id := RequestID(1); int(id) <= day.requests; id++ {
		until := day.now + time.Duration(day.random.ExpFloat64()*float64(2*ms))
		day.deliver(until)
		day.now = until
		day.disturb(id)
		day.request(id)
	}
	return day.digest.Sum64()
}

func (day *randomDay) drawList() {
	day.list = []Endpoint{
		{ID: 100, Zone: 0, Kind: 1, State: Ready, Weight: 40}, {ID: 101, Zone: 1, Kind: 1, State: Ready, Weight: 40},
		{ID: 102, Zone: 1, Kind: 1, State: Ready, Weight: 20}, {ID: 200, Kind: 2, State: Ready, Weight: 1},
	}
	for i := range day.caches {
		weight := float64(1 + day.random.Intn(12))
		day.list = append(day.list, Endpoint{ID: EndpointID(1000 + i), Zone: 2, State: Ready, Weight: weight})
	}
	for i := range 5 {
		day.list = append(day.list, Endpoint{ID: EndpointID(90000 + i), Zone: 3, State: Ready, Weight: 8})
	}
}

// plan has an event come after a time.
func (day *randomDay) plan(after time.Duration, event Event) {
	day.serial++
	heap.Push(&day.queue, plannedEvent{day.now + after, day.serial, event})
}

// deliver takes the planned events up to a time.
func (day *randomDay) deliver(until time.Duration) {
	for len(day.queue) > 0 && day.queue[0].at <= until {
		next := heap.Pop(&day.queue).(plannedEvent)
		day.now = next.at
		if response, ok := next.event.(ResponseEvent); ok {
			if day.ended[response.ID] {
				continue
			}
			response.Concluded = response.Status == StatusOK
			day.ended[response.ID] = response.Concluded
			next.event = response
		}
		day.handle(next.event)
	}
}

// handle hands an event to the engine, digests its actions and plans what they lead to.
func (day *randomDay) handle(event Event) {
	for _, action := range day.engine.Handle(day.now, event) {
		fmt.Fprintf(day.digest, "%d %T %+v\n", day.now, action, action)
		switch action := action.(type) {
		case SendAttempt:
			day.planResponse(action)
		case Reject:
			day.ended[action.ID] = true
		case Fail:
			day.ended[action.ID] = true
		case CancelAttempt:
			if !day.ended[action.ID] {
				day.plan(ms, ResponseEvent{ID: action.ID, Attempt: action.Attempt, Elapsed: 100 * ms,
					Status: StatusCanceled})
			}
		case SetTimer:
			day.plan(action.At-day.now, TimerEvent{action.Token})
		}
	}
	if day.look != nil {
		day.look(day.engine)
	}
}

// planResponse draws how an attempt ends, which may be never.
func (day *randomDay) planResponse(sent SendAttempt) {
	statuses := []Status{
		StatusOK, StatusOK, StatusOK, StatusOK, StatusOK, StatusOK, StatusOK, StatusOK, StatusMiss, StatusMiss,
		StatusAtCapacity, StatusError, StatusTimeout, StatusConnectFailed, StatusReset, StatusNotExecuted,
	}
	fillNotes := []Note{NoteFilled, NoteFilledOrigin, NoteJoined, NoteSourceLost, NoteNoCapacity, NoteNone}
	response := ResponseEvent{ID: sent.ID, Attempt: day.attempts[sent.ID]}
	day.attempts[sent.ID]++
	response.Status = statuses[day.random.Intn(len(statuses))]
	response.Note = NoteHit
	if sent.Source != sent.Endpoint {
		response.Note = fillNotes[day.random.Intn(len(fillNotes))]
	}
	response.Elapsed = time.Duration(day.random.ExpFloat64() * 60 * float64(ms))
	if day.random.Intn(40) == 0 {
		response.Elapsed += sec // a slow endpoint
	}
	if day.random.Intn(200) > 0 {
		day.plan(response.Elapsed, response)
	}
}

// disturb has a purge come, the list change or a client leave, now and then.
func (day *randomDay) disturb(id RequestID) {
	switch n := day.random.Intn(300); {
	case n == 0:
		day.handle(PurgeEvent{Object: day.objects.Uint64() + 1, Age: 50 * ms})
	case n == 1:
		day.handle(PurgeEvent{Group: day.random.Intn(8), Age: 50 * ms})
	case n == 2: // one endpoint changes
		i := 1 + day.random.Intn(len(day.list)-1)
		day.list[i].State = []State{Gone, Ready, Ready, Draining}[day.random.Intn(4)]
		if day.random.Intn(3) == 0 {
			day.list[i].StartedAt = day.now
		}
		day.handle(ListEvent{Kind: ListDelta, Endpoints: day.list[i : i+1]})
	case n == 3 && day.random.Intn(4) == 0:
		day.handle(ListEvent{Kind: ListFull, Endpoints: day.list})
	case n == 4 && id > 10:
		gone := id - RequestID(day.random.Intn(10)) - 1
		day.ended[gone] = true
		day.handle(ClientGoneEvent{gone})
	}
}

// request draws a new request.
func (day *randomDay) request(id RequestID) {
	class := 0
	if day.random.Intn(20) == 0 {
		class = 1 + day.random.Intn(2)
	}
	sizeKB := 20 + 200*day.random.Float64()
	if day.random.Intn(10) == 0 {
		sizeKB = 0
	}
	day.handle(RequestEvent{ID: id, Class: class, Object: day.objects.Uint64() + 1, Part: day.random.Intn(2),
		Group: day.random.Intn(8), Remaining: 3 * sec, SizeKB: sizeKB})
}

// TestSkippingChangesNoDecision plays random days without endpoints that warm up, on which endpoints drain, leave,
// start anew, fail, fall silent and are ejected and limiters become full: to skip what the guards would let nothing
// pass to changes no decision against a walk that looks at every endpoint, as none is skipped any more after each
// event.
func TestSkippingChangesNoDecision(t *testing.T) {
	skipped := 0
	for _, c := range []struct {
		seed             int64
		caches, requests int
	}{
		{1, 4, 6000}, {2, 4, 6000}, {3, 12, 6000}, {4, 12, 6000}, {5, 40, 4000}, {6, 40, 4000}, {7, 300, 2000},
		{8, 300, 2000}, {9, 1, 3000}, {10, 2, 3000},
	} {
		events := 0
		day := randomDay{seed: c.seed, caches: c.caches, requests: c.requests, warm: true}
		walk := day
		day.look = func(engine *Engine) {
			if events++; events%50 == 0 {
				checkInFlight(t, engine)
			}
			for _, endpoint := range engine.endpoints.Caches.Members() {
				if engine.endpoints.Skipped(endpoint, engine.now) {
					skipped++
				}
			}
		}
		walk.look = func(engine *Engine) {
			for _, ranking := range []*ranking{&engine.endpoints.Caches, &engine.endpoints.Parents} {
				for _, endpoint := range ranking.Members() {
					engine.endpoints.SkipUntil(endpoint, 0)
				}
			}
		}
		if got, want := day.play(t), walk.play(t); got != want {
			t.Errorf("seed %d, %d caches: the actions hash to %#x, by a walk over all to %#x",
				c.seed, c.caches, got, want)
		}
	}
	if skipped == 0 {
		t.Error("no endpoint was ever skipped: the days do not try it")
	}
}

// TestSkippedHaveNoBudget plays days with endpoints that warm up, where one that is skipped must have no budget for
// the cheapest class, but for what costs have moved since.
func TestSkippedHaveNoBudget(t *testing.T) {
	skipped := 0
	for seed := range int64(6) {
		day := randomDay{seed: seed, caches: 12, requests: 4000}
		day.look = func(engine *Engine) {
			checkInFlight(t, engine)
			for _, endpoint := range engine.endpoints.Caches.Members() {
				if !engine.endpoints.Skipped(endpoint, engine.now) || endpoint.Health.Ejected() {
					continue
				}
				skipped++
				cheapest := math.Inf(1)
				for i := range engine.classes {
					cheapest = min(cheapest, engine.classes[i].cost.Cost())
				}
				request := &openRequest{class: &classState{cost: classcost.New(cheapest * 1.3)}}
				if engine.withinWarmupBudget(request, endpoint) {
					t.Fatalf("seed %d: endpoint %d is skipped at %v, and has budget", seed, endpoint.ID, engine.now)
				}
			}
		}
		day.play(t)
	}
	if skipped == 0 {
		t.Error("no endpoint was skipped for its budget: the days do not try it")
	}
}

// checkInFlight compares what each endpoint has listed as in flight with a walk over all requests, of which each has an
// attempt in flight.
func checkInFlight(t testing.TB, engine *Engine) {
	t.Helper()
	want, listed := map[attemptRef]*endpointState{}, 0
	for _, request := range engine.requests {
		inFlight := 0
		for i := range request.attempts {
			if !request.attempts[i].done {
				want[attemptRef{request, i}] = request.attempts[i].endpoint
				inFlight++
			}
		}
		if inFlight == 0 || inFlight != request.inFlight {
			t.Fatalf("request %d is open with %d attempts in flight, and counts %d",
				request.id, inFlight, request.inFlight)
		}
	}
	for _, endpoint := range engine.endpoints.All() {
		listed += len(endpoint.InFlight())
		for _, ref := range endpoint.InFlight() {
			if want[ref] != endpoint {
				t.Fatalf("endpoint %x lists attempt %d of request %d, which is not in flight there",
					endpoint.ID, ref.n, ref.request.id)
			}
		}
	}
	if listed != len(want) {
		t.Fatalf("%d attempts are listed as in flight, and %d are", listed, len(want))
	}
}

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

// scheduledEvent is a future event of a random scenario: a response or a timer event.
type scheduledEvent struct {
	at     time.Duration
	serial int
	event  Event
}

type eventQueue []scheduledEvent

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].serial < q[j].serial
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(scheduledEvent)) }
func (q *eventQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

// randomScenario passes random requests, responses of all kinds, purges and changes of the endpoint list to an engine.
type randomScenario struct {
	seed     int64
	caches   int
	requests int
	noWarmup bool          // warm-up budgets are off
	inspect  func(*Engine) // called after each event; nil: not called

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

// run returns a hash of all actions with their times.
func (s *randomScenario) run(t testing.TB) uint64 {
	s.random = rand.New(rand.NewSource(s.seed))
	cfg := testConfig()
	cfg.Hedging = s.seed%2 == 0
	cfg.WeightsReported = s.seed%3 != 0
	if s.noWarmup {
		cfg.OverloadMultiple, cfg.ParentOverloadMultiple = 0, 0
	}
	engine, err := New(cfg, 1)
	if err != nil {
		t.Fatal(err)
	}
	s.engine = engine
	s.drawEndpoints()
	s.now = 100 * sec
	s.attempts = map[RequestID]int{}
	s.ended = map[RequestID]bool{}
	s.digest = fnv.New64a()
	s.handle(ListEvent{Kind: ListFull, Endpoints: s.list})
	s.objects = rand.NewZipf(s.random, 1.1, 4, 5000)
	for id := RequestID(1); int(id) <= s.requests; id++ {
		until := s.now + time.Duration(s.random.ExpFloat64()*float64(2*ms))
		s.deliver(until)
		s.now = until
		s.injectChange(id)
		s.request(id)
	}
	return s.digest.Sum64()
}

func (s *randomScenario) drawEndpoints() {
	s.list = []Endpoint{
		{ID: 100, Zone: 0, Kind: 1, State: Ready, Weight: 40}, {ID: 101, Zone: 1, Kind: 1, State: Ready, Weight: 40},
		{ID: 102, Zone: 1, Kind: 1, State: Ready, Weight: 20}, {ID: 200, Kind: 2, State: Ready, Weight: 1},
	}
	for i := range s.caches {
		weight := float64(1 + s.random.Intn(12))
		s.list = append(s.list, Endpoint{ID: EndpointID(1000 + i), Zone: 2, State: Ready, Weight: weight})
	}
	for i := range 5 {
		s.list = append(s.list, Endpoint{ID: EndpointID(90000 + i), Zone: 3, State: Ready, Weight: 8})
	}
}

// schedule adds an event to the queue, due after a delay.
func (s *randomScenario) schedule(delay time.Duration, event Event) {
	s.serial++
	heap.Push(&s.queue, scheduledEvent{s.now + delay, s.serial, event})
}

// deliver handles the scheduled events up to a time.
func (s *randomScenario) deliver(until time.Duration) {
	for len(s.queue) > 0 && s.queue[0].at <= until {
		next := heap.Pop(&s.queue).(scheduledEvent)
		s.now = next.at
		if response, ok := next.event.(ResponseEvent); ok {
			if s.ended[response.ID] {
				continue
			}
			response.Concluded = response.Status == StatusOK
			s.ended[response.ID] = response.Concluded
			next.event = response
		}
		s.handle(next.event)
	}
}

// handle passes an event to the engine, digests the actions and schedules the events that they cause.
func (s *randomScenario) handle(event Event) {
	for _, action := range s.engine.Handle(s.now, event) {
		fmt.Fprintf(s.digest, "%d %T %+v\n", s.now, action, action)
		switch action := action.(type) {
		case SendAttempt:
			s.scheduleResponse(action)
		case Reject:
			s.ended[action.ID] = true
		case Fail:
			s.ended[action.ID] = true
		case CancelAttempt:
			if !s.ended[action.ID] {
				s.schedule(ms, ResponseEvent{ID: action.ID, Attempt: action.Attempt, Elapsed: 100 * ms,
					Status: StatusCanceled})
			}
		case SetTimer:
			s.schedule(action.At-s.now, TimerEvent{action.Token})
		}
	}
	if s.inspect != nil {
		s.inspect(s.engine)
	}
}

// scheduleResponse draws how and when an attempt ends, which may be never.
func (s *randomScenario) scheduleResponse(sent SendAttempt) {
	statuses := []Status{
		StatusOK, StatusOK, StatusOK, StatusOK, StatusOK, StatusOK, StatusOK, StatusOK, StatusMiss, StatusMiss,
		StatusAtCapacity, StatusError, StatusTimeout, StatusConnectFailed, StatusReset, StatusNotExecuted,
	}
	fillNotes := []Note{NoteFilled, NoteFilledOrigin, NoteJoined, NoteSourceLost, NoteNoCapacity, NoteNone}
	response := ResponseEvent{ID: sent.ID, Attempt: s.attempts[sent.ID]}
	s.attempts[sent.ID]++
	response.Status = statuses[s.random.Intn(len(statuses))]
	response.Note = NoteHit
	if sent.Source != sent.Endpoint {
		response.Note = fillNotes[s.random.Intn(len(fillNotes))]
	}
	response.Elapsed = time.Duration(s.random.ExpFloat64() * 60 * float64(ms))
	if s.random.Intn(40) == 0 {
		response.Elapsed += sec // a slow endpoint
	}
	if s.random.Intn(200) > 0 {
		s.schedule(response.Elapsed, response)
	}
}

// injectChange sometimes purges, changes the endpoint list or lets a client leave.
func (s *randomScenario) injectChange(id RequestID) {
	switch n := s.random.Intn(300); {
	case n == 0:
		s.handle(PurgeEvent{Object: s.objects.Uint64() + 1, Age: 50 * ms})
	case n == 1:
		s.handle(PurgeEvent{Group: s.random.Intn(8), Age: 50 * ms})
	case n == 2: // one endpoint changes
		i := 1 + s.random.Intn(len(s.list)-1)
		s.list[i].State = []State{Gone, Ready, Ready, Draining}[s.random.Intn(4)]
		if s.random.Intn(3) == 0 {
			s.list[i].StartedAt = s.now
		}
		s.handle(ListEvent{Kind: ListDelta, Endpoints: s.list[i : i+1]})
	case n == 3 && s.random.Intn(4) == 0:
		s.handle(ListEvent{Kind: ListFull, Endpoints: s.list})
	case n == 4 && id > 10:
		goneID := id - RequestID(s.random.Intn(10)) - 1
		s.ended[goneID] = true
		s.handle(ClientGoneEvent{goneID})
	}
}

// request draws and handles a new request.
func (s *randomScenario) request(id RequestID) {
	class := 0
	if s.random.Intn(20) == 0 {
		class = 1 + s.random.Intn(2)
	}
	sizeKB := 20 + 200*s.random.Float64()
	if s.random.Intn(10) == 0 {
		sizeKB = 0
	}
	s.handle(RequestEvent{ID: id, Class: class, Object: s.objects.Uint64() + 1, Part: s.random.Intn(2),
		Group: s.random.Intn(8), Remaining: 3 * sec, SizeKB: sizeKB})
}

// TestSkippingChangesNoDecision runs random scenarios without warm-up budgets, in which endpoints drain, leave,
// restart, fail, fall silent and are ejected, and limiters become full. Skipping endpoints that the guards would not
// allow must give the same decisions as a full walk, where every skip is cleared after each event.
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
		scenario := randomScenario{seed: c.seed, caches: c.caches, requests: c.requests, noWarmup: true}
		fullWalk := scenario
		scenario.inspect = func(engine *Engine) {
			if events++; events%50 == 0 {
				checkInFlight(t, engine)
			}
			for _, endpoint := range engine.endpoints.Caches.Members() {
				if engine.endpoints.Skipped(endpoint, engine.now) {
					skipped++
				}
			}
		}
		fullWalk.inspect = func(engine *Engine) {
			for _, ranking := range []*ranking{&engine.endpoints.Caches, &engine.endpoints.Parents} {
				for _, endpoint := range ranking.Members() {
					engine.endpoints.SkipUntil(endpoint, 0)
				}
			}
		}
		if got, want := scenario.run(t), fullWalk.run(t); got != want {
			t.Errorf("seed %d, %d caches: got action hash %#x, want %#x as with a full walk",
				c.seed, c.caches, got, want)
		}
	}
	if skipped == 0 {
		t.Error("no endpoint was skipped, want some for the test to cover skipping")
	}
}

// TestSkippedEndpointsHaveNoBudget runs random scenarios with endpoints that warm up. A skipped endpoint must have
// no budget for the cheapest class, except for changes of the cost since it was skipped.
func TestSkippedEndpointsHaveNoBudget(t *testing.T) {
	skipped := 0
	for seed := range int64(6) {
		scenario := randomScenario{seed: seed, caches: 12, requests: 4000}
		scenario.inspect = func(engine *Engine) {
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
					t.Fatalf("seed %d: endpoint %d is skipped at %v, but has budget", seed, endpoint.ID, engine.now)
				}
			}
		}
		scenario.run(t)
	}
	if skipped == 0 {
		t.Error("no endpoint was skipped for its budget, want some for the test to cover it")
	}
}

// checkInFlight compares the attempts that each endpoint lists as in flight with those of all open requests, and checks
// that each open request has an attempt in flight.
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
			t.Fatalf("open request %d: got %d attempts in flight and a count of %d, want the same number above 0",
				request.id, inFlight, request.inFlight)
		}
	}
	for _, endpoint := range engine.endpoints.All() {
		listed += len(endpoint.InFlight())
		for _, ref := range endpoint.InFlight() {
			if want[ref] != endpoint {
				t.Fatalf("endpoint %x lists attempt %d of request %d, want only attempts in flight there",
					endpoint.ID, ref.n, ref.request.id)
			}
		}
	}
	if listed != len(want) {
		t.Fatalf("got %d attempts listed as in flight, want %d", listed, len(want))
	}
}

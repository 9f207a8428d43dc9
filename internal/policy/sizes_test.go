package policy

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

const (
	scenarioMeanSeconds = 0.25 // mean size, in seconds of transfer at full rate
	scenarioStep        = 5 * ms
	scenarioDuration    = 60 * sec
	scenarioRetryDelay  = 300 * ms
)

// sizeScenario describes the load on a zone whose four caches have every object and share their links evenly among the
// transfers in flight. Which requests get a response depends only on sizes and on what the engine admits. Rejected
// clients retry at most twice.
type sizeScenario struct {
	load       float64 // in multiples of the caches' links
	sigma      float64 // standard deviation of the logarithm of sizes; 0: all sizes are equal
	sizesKnown bool    // whether requests state their size
	parts      int     // number of parts of an object
}

// sizeRequest is a request of a client, with its retries.
type sizeRequest struct {
	object   uint64
	part     int
	size     float64 // seconds of transfer at full rate
	attempts int     // by the client
	answered bool
}

// transfer is the transfer of a response to an attempt in flight at a cache.
type transfer struct {
	id        RequestID
	attempt   int
	remaining float64 // seconds of transfer at full rate
	sentAt    time.Duration
}

// sizeSimulation runs a sizeScenario.
type sizeSimulation struct {
	scenario  sizeScenario
	engine    *Engine
	random    *rand.Rand
	now       time.Duration
	timer     time.Duration
	lastID    RequestID
	requests  []*sizeRequest
	open      map[RequestID]*sizeRequest
	attempts  map[RequestID]int
	transfers map[EndpointID][]transfer
	retries   map[time.Duration][]*sizeRequest
}

// run returns the share of requests that got a response: of the tenth with the largest sizes, of the next fifth and of
// all.
func (scenario sizeScenario) run(t *testing.T, seed uint64) (largest, next, all float64) {
	t.Helper()
	cfg := testConfig()
	cfg.Instances, cfg.ZoneInstances, cfg.Hedging = 1, []int{0, 0, 1, 1}, false
	engine, err := New(cfg, 1)
	if err != nil {
		t.Fatal(err)
	}
	s := &sizeSimulation{
		scenario: scenario, engine: engine, random: rand.New(rand.NewPCG(seed, 1)), now: 100 * sec,
		open: map[RequestID]*sizeRequest{}, attempts: map[RequestID]int{},
		transfers: map[EndpointID][]transfer{}, retries: map[time.Duration][]*sizeRequest{},
	}
	s.handle(ListEvent{Kind: ListCached, Endpoints: testEndpoints()})
	for end := s.now + scenarioDuration; s.now < end+5*sec; s.now += scenarioStep {
		if s.timer > 0 && s.now >= s.timer {
			s.handle(TimerEvent{Token: tickToken})
		}
		for _, request := range s.retries[s.now] {
			s.send(request)
		}
		delete(s.retries, s.now)
		if s.now < end {
			s.sendNewRequests()
		}
		for _, endpoint := range testEndpoints() {
			s.advance(endpoint)
		}
	}
	return s.answeredShares(t)
}

// links returns the sum of the caches' links, in responses at full rate.
func (s *sizeSimulation) links() float64 {
	links := 0.0
	for _, endpoint := range testEndpoints() {
		if endpoint.Zone == s.engine.cfg.Zone && endpoint.Kind == 0 {
			links += endpoint.Weight
		}
	}
	return links
}

// sendNewRequests sends the new requests of a step, with exponential gaps between them.
func (s *sizeSimulation) sendNewRequests() {
	requestsPerSecond := s.scenario.load * s.links() / scenarioMeanSeconds
	perStep := requestsPerSecond * time.Duration(scenarioStep).Seconds()
	for arrival := s.random.ExpFloat64(); arrival < perStep; arrival += s.random.ExpFloat64() {
		request := &sizeRequest{object: s.random.Uint64N(2000) + 1, size: scenarioMeanSeconds}
		if sigma := s.scenario.sigma; sigma > 0 {
			request.size = scenarioMeanSeconds * math.Exp(sigma*s.random.NormFloat64()-sigma*sigma/2)
		}
		if s.scenario.parts > 1 {
			request.part = s.random.IntN(s.scenario.parts)
		}
		s.requests = append(s.requests, request)
		s.send(request)
	}
}

// send sends a client's request, with a new ID each time.
func (s *sizeSimulation) send(request *sizeRequest) {
	s.lastID++
	request.attempts++
	s.open[s.lastID] = request
	sizeKB := 0.0
	if s.scenario.sizesKnown {
		sizeKB = request.size * s.engine.cfg.FlowKBps
	}
	s.handle(RequestEvent{ID: s.lastID, Object: request.object, Part: request.part,
		Remaining: s.engine.cfg.Classes[0].Deadline, SizeKB: sizeKB})
}

// handle passes an event to the engine and carries out the actions.
func (s *sizeSimulation) handle(event Event) {
	for _, action := range slices.Clone(s.engine.Handle(s.now, event)) {
		switch action := action.(type) {
		case SendAttempt:
			id, size := action.ID, s.open[action.ID].size
			s.transfers[action.Endpoint] = append(s.transfers[action.Endpoint],
				transfer{id, s.attempts[id], size, s.now})
			s.attempts[id]++
		case CancelAttempt:
			s.cancel(action)
		case Reject:
			request := s.open[action.ID]
			delete(s.open, action.ID)
			if request.attempts <= 2 {
				at := (s.now + scenarioRetryDelay).Truncate(scenarioStep)
				s.retries[at] = append(s.retries[at], request)
			}
		case Fail:
			delete(s.open, action.ID)
		case SetTimer:
			s.timer = action.At
		}
	}
}

// cancel ends an attempt in flight.
func (s *sizeSimulation) cancel(cancel CancelAttempt) {
	isCanceled := func(transfer transfer) bool { return transfer.id == cancel.ID && transfer.attempt == cancel.Attempt }
	for endpoint, transfers := range s.transfers {
		i := slices.IndexFunc(transfers, isCanceled)
		if i < 0 {
			continue
		}
		canceled := transfers[i]
		s.transfers[endpoint] = slices.Delete(transfers, i, i+1)
		s.handle(ResponseEvent{ID: canceled.id, Attempt: canceled.attempt,
			Elapsed: s.now - canceled.sentAt, Status: StatusCanceled})
	}
}

// advance runs the transfers of a cache for one step, and responds to those that are complete.
func (s *sizeSimulation) advance(endpoint Endpoint) {
	transfers := s.transfers[endpoint.ID]
	sentSeconds := time.Duration(scenarioStep).Seconds() * min(1, endpoint.Weight/float64(max(1, len(transfers))))
	s.transfers[endpoint.ID] = transfers[:0]
	var ended []transfer
	for _, transfer := range transfers {
		switch transfer.remaining -= sentSeconds; {
		case s.open[transfer.id] == nil: // the request ended before its response
		case transfer.remaining > 0:
			s.transfers[endpoint.ID] = append(s.transfers[endpoint.ID], transfer)
		default:
			ended = append(ended, transfer)
		}
	}
	for _, transfer := range ended { // checked by ID, so that an attempt canceled meanwhile does not end twice
		request := s.open[transfer.id]
		if request == nil || s.attempts[transfer.id] != transfer.attempt+1 {
			continue
		}
		request.answered = true
		delete(s.open, transfer.id)
		s.handle(ResponseEvent{ID: transfer.id, Attempt: transfer.attempt,
			Elapsed: s.now - transfer.sentAt, Status: StatusOK, Note: NoteHit, Concluded: true})
	}
}

func (s *sizeSimulation) answeredShares(t *testing.T) (largest, next, all float64) {
	t.Helper()
	slices.SortStableFunc(s.requests, func(a, b *sizeRequest) int { return cmp.Compare(b.size, a.size) })
	share := func(requests []*sizeRequest) float64 {
		answered := 0
		for _, request := range requests {
			if request.answered {
				answered++
			}
		}
		return float64(answered) / float64(len(requests))
	}
	n := len(s.requests)
	if n < 1000 {
		t.Fatalf("got %d requests, want at least 1000", n)
	}
	return share(s.requests[:n/10]), share(s.requests[n/10 : 3*n/10]), share(s.requests)
}

// TestLargeRequestsGetTheirShare: of the largest tenth of a class's requests, and of the next fifth, the share that
// gets a response is at least two thirds of that of all requests at low load, and half of it under overload, with
// retries as clients make them.
func TestLargeRequestsGetTheirShare(t *testing.T) {
	for _, c := range []struct {
		name     string
		scenario sizeScenario
		minShare float64
	}{
		{"low load", sizeScenario{load: 0.5, sigma: 1, sizesKnown: true}, 2.0 / 3},
		{"low load, with widely spread sizes", sizeScenario{load: 0.5, sigma: 1.6, sizesKnown: true}, 2.0 / 3},
		{"overloaded", sizeScenario{load: 1.1, sigma: 1, sizesKnown: true}, 0.5},
		{"overloaded, at 1.5 times the capacity", sizeScenario{load: 1.5, sigma: 1, sizesKnown: true}, 0.5},
		{"overloaded, with objects in parts", sizeScenario{load: 1.1, sigma: 1, sizesKnown: true, parts: 5}, 0.5},
		{"overloaded, with unknown sizes", sizeScenario{load: 1.1, sigma: 1}, 0.5},
		{"overloaded, with equal sizes", sizeScenario{load: 1.1, sizesKnown: true}, 0.5},
	} {
		for seed := range uint64(2) {
			largest, next, all := c.scenario.run(t, seed)
			t.Logf("%s, seed %d: largest tenth %.3f, next fifth %.3f, all %.3f", c.name, seed, largest, next, all)
			if largest < c.minShare*all || next < c.minShare*all {
				t.Errorf("%s, seed %d: got shares %.3f for the largest tenth, %.3f for the next fifth, %.3f for all",
					c.name, seed, largest, next, all)
			}
		}
	}
}

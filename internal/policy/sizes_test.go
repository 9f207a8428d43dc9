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
	sizeDayMean     = 0.25 // of sizes, in seconds at full pace
	sizeDayStep     = 5 * ms
	sizeDaySpan     = 60 * sec
	sizeDayRetryGap = 300 * ms
)

// sizeDay is a day of one zone whose four caches have everything and share their links evenly among what is in
// flight: what is answered and what is not depends on sizes and on what the module admits alone. Clients that are
// rejected come again, twice at most.
type sizeDay struct {
	load       float64 // of the caches' links
	sigma      float64 // of the logarithm of sizes; 0: all alike
	sizesKnown bool    // whether requests say their size
	parts      int     // of an object, requested one after another under its key
}

// sizeRequest is what a client wants.
type sizeRequest struct {
	object   uint64
	part     int
	size     float64 // seconds at full pace
	attempts int     // of the client
	answered bool
}

// sending is an attempt in flight at a cache.
type sending struct {
	id      RequestID
	attempt int
	left    float64 // seconds at full pace
	sentAt  time.Duration
}

// sizeSimulation plays a sizeDay.
type sizeSimulation struct {
	day      sizeDay
	engine   *Engine
	random   *rand.Rand
	now      time.Duration
	timer    time.Duration
	lastID   RequestID
	requests []*sizeRequest
	open     map[RequestID]*sizeRequest
	attempts map[RequestID]int
	sendings map[EndpointID][]sending
	retries  map[time.Duration][]*sizeRequest
}

// play gives the share of requests that were answered in the end: of the tenth with the largest sizes, of the next
// fifth and of all.
func (day sizeDay) play(t *testing.T, seed uint64) (largest, next, all float64) {
	t.Helper()
	cfg := testConfig()
	cfg.Instances, cfg.ZoneInstances, cfg.Hedging = 1, []int{0, 0, 1, 1}, false
	engine, err := New(cfg, 1)
	if err != nil {
		t.Fatal(err)
	}
	s := &sizeSimulation{
		day: day, engine: engine, random: rand.New(rand.NewPCG(seed, 1)), now: 100 * sec,
		open: map[RequestID]*sizeRequest{}, attempts: map[RequestID]int{},
		sendings: map[EndpointID][]sending{}, retries: map[time.Duration][]*sizeRequest{},
	}
	s.handle(ListEvent{Kind: ListCached, Endpoints: testEndpoints()})
	for end := s.now + sizeDaySpan; s.now < end+5*sec; s.now += sizeDayStep {
		if s.timer > 0 && s.now >= s.timer {
			s.handle(TimerEvent{Token: tickToken})
		}
		for _, request := range s.retries[s.now] {
			s.send(request)
		}
		delete(s.retries, s.now)
		if s.now < end {
			s.sendNew()
		}
		for _, endpoint := range testEndpoints() {
			s.advance(endpoint)
		}
	}
	return s.answeredShares(t)
}

// links is the sum of the caches' links, in answers at full pace.
func (s *sizeSimulation) links() float64 {
	links := 0.0
	for _, endpoint := range testEndpoints() {
		if endpoint.Zone == s.engine.cfg.Zone && endpoint.Kind == 0 {
			links += endpoint.Weight
		}
	}
	return links
}

// sendNew has the new requests of a step come.
func (s *sizeSimulation) sendNew() {
	requestsPerSecond := s.day.load * s.links() / sizeDayMean
	perStep := requestsPerSecond * time.Duration(sizeDayStep).Seconds()
	for drawn := s.random.ExpFloat64(); drawn < perStep; drawn += s.random.ExpFloat64() {
		request := &sizeRequest{object: s.random.Uint64N(2000) + 1, size: sizeDayMean}
		if sigma := s.day.sigma; sigma > 0 {
			request.size = sizeDayMean * math.Exp(sigma*s.random.NormFloat64()-sigma*sigma/2)
		}
		if s.day.parts > 1 {
			request.part = s.random.IntN(s.day.parts)
		}
		s.requests = append(s.requests, request)
		s.send(request)
	}
}

// send has a client send its request, under an id of its own each time.
func (s *sizeSimulation) send(request *sizeRequest) {
	s.lastID++
	request.attempts++
	s.open[s.lastID] = request
	sizeKB := 0.0
	if s.day.sizesKnown {
		sizeKB = request.size * s.engine.cfg.FlowKBps
	}
	s.handle(RequestEvent{ID: s.lastID, Object: request.object, Part: request.part,
		Remaining: s.engine.cfg.Classes[0].Deadline, SizeKB: sizeKB})
}

// handle hands an event to the engine and follows its actions.
func (s *sizeSimulation) handle(event Event) {
	for _, action := range slices.Clone(s.engine.Handle(s.now, event)) {
		switch action := action.(type) {
		case SendAttempt:
			id, size := action.ID, s.open[action.ID].size
			s.sendings[action.Endpoint] = append(s.sendings[action.Endpoint], sending{id, s.attempts[id], size, s.now})
			s.attempts[id]++
		case CancelAttempt:
			s.cancel(action)
		case Reject:
			request := s.open[action.ID]
			delete(s.open, action.ID)
			if request.attempts <= 2 {
				at := (s.now + sizeDayRetryGap).Truncate(sizeDayStep)
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
	isCanceled := func(sending sending) bool { return sending.id == cancel.ID && sending.attempt == cancel.Attempt }
	for endpoint, sendings := range s.sendings {
		i := slices.IndexFunc(sendings, isCanceled)
		if i < 0 {
			continue
		}
		canceled := sendings[i]
		s.sendings[endpoint] = slices.Delete(sendings, i, i+1)
		s.handle(ResponseEvent{ID: canceled.id, Attempt: canceled.attempt,
			Elapsed: s.now - canceled.sentAt, Status: StatusCanceled})
	}
}

// advance has a cache send for a step, and ends what it has sent.
func (s *sizeSimulation) advance(endpoint Endpoint) {
	sendings := s.sendings[endpoint.ID]
	each := time.Duration(sizeDayStep).Seconds() * min(1, endpoint.Weight/float64(max(1, len(sendings))))
	s.sendings[endpoint.ID] = sendings[:0]
	var ended []sending
	for _, sending := range sendings {
		switch sending.left -= each; {
		case s.open[sending.id] == nil: // its time was up
		case sending.left > 0:
			s.sendings[endpoint.ID] = append(s.sendings[endpoint.ID], sending)
		default:
			ended = append(ended, sending)
		}
	}
	for _, sending := range ended { // by id, so that what is canceled meanwhile has no second end
		request := s.open[sending.id]
		if request == nil || s.attempts[sending.id] != sending.attempt+1 {
			continue
		}
		request.answered = true
		delete(s.open, sending.id)
		s.handle(ResponseEvent{ID: sending.id, Attempt: sending.attempt,
			Elapsed: s.now - sending.sentAt, Status: StatusOK, Note: NoteHit, Concluded: true})
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
		t.Fatalf("%d requests: too few for a result", n)
	}
	return share(s.requests[:n/10]), share(s.requests[n/10 : 3*n/10]), share(s.requests)
}

// TestSizes: of the largest tenth of a class's requests, and of the next fifth, at least two thirds as many are
// answered as of all on a quiet day, and half as many on others, with retries as clients make them.
func TestSizes(t *testing.T) {
	for _, c := range []struct {
		name     string
		day      sizeDay
		minShare float64
	}{
		{"quiet", sizeDay{load: 0.5, sigma: 1, sizesKnown: true}, 2.0 / 3},
		{"quiet, with sizes far apart", sizeDay{load: 0.5, sigma: 1.6, sizesKnown: true}, 2.0 / 3},
		{"overloaded", sizeDay{load: 1.1, sigma: 1, sizesKnown: true}, 0.5},
		{"half as much again as there is capacity for", sizeDay{load: 1.5, sigma: 1, sizesKnown: true}, 0.5},
		{"overloaded, by parts", sizeDay{load: 1.1, sigma: 1, sizesKnown: true, parts: 5}, 0.5},
		{"overloaded, sizes not known", sizeDay{load: 1.1, sigma: 1}, 0.5},
		{"overloaded, all alike", sizeDay{load: 1.1, sizesKnown: true}, 0.5},
	} {
		for seed := range uint64(2) {
			largest, next, all := c.day.play(t, seed)
			t.Logf("%s, seed %d: largest tenth %.3f, next fifth %.3f, all %.3f", c.name, seed, largest, next, all)
			if largest < c.minShare*all || next < c.minShare*all {
				t.Errorf("%s, seed %d: answered of the largest tenth %.3f, of the next fifth %.3f, of all %.3f",
					c.name, seed, largest, next, all)
			}
		}
	}
}

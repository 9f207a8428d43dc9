package policy

import (
	"fmt"
	"math/rand"
	"reflect"
	"testing"
	"time"
)

func TestInvalidConfig(t *testing.T) {
	for name, invalidate := range map[string]func(*Config){
		"no class":            func(cfg *Config) { cfg.Classes = nil },
		"negative time":       func(cfg *Config) { cfg.Classes[0].LatencyObjective = -1 },
		"unknown idempotency": func(cfg *Config) { cfg.Classes[0].Idempotency = 9 },
		"negative zone":       func(cfg *Config) { cfg.Zone = -1 },
	} {
		cfg := testConfig()
		invalidate(&cfg)
		if _, err := New(cfg, 1); err == nil {
			t.Errorf("%s: got no error, want one", name)
		}
	}
}

// randomStream passes a random stream of valid and invalid events to an engine.
type randomStream struct {
	*harness
	random   *rand.Rand
	newestID RequestID
	leavesAt map[RequestID]time.Duration // when the client times out
	answered map[attemptKey]bool
}

// attemptKey identifies an attempt of a request.
type attemptKey struct {
	id RequestID
	n  int
}

// playRandomStream returns the actions of a stream.
func playRandomStream(t *testing.T, seed int64, steps int) []Action {
	s := &randomStream{
		harness: newHarness(t, testConfig()), random: rand.New(rand.NewSource(seed)),
		leavesAt: map[RequestID]time.Duration{}, answered: map[attemptKey]bool{},
	}
	for step := range steps {
		s.now += time.Duration(s.random.Intn(8)) * ms
		switch s.random.Intn(12) {
		case 0, 1, 2:
			s.sendRequest()
		case 3, 4, 5, 6:
			if s.newestID > 0 {
				s.respondToRandomAttempt()
			} else {
				continue
			}
		case 7:
			s.handle(PurgeEvent{Object: uint64(s.random.Intn(40)), Age: time.Duration(s.random.Intn(300)) * ms})
		case 8:
			s.changeEndpoint()
		case 9: // events that name unknown requests, attempts, timers and classes
			s.handle(ResponseEvent{ID: 1 << 30, Attempt: s.random.Intn(300) - 1, Status: StatusOK})
			s.handle(ClientGoneEvent{ID: 1 << 30})
			s.handle(TimerEvent{Token: 999})
			s.handle(RequestEvent{ID: 1<<30 + RequestID(step), Class: 99})
		default:
			s.handle(TimerEvent{Token: tickToken})
		}
		s.removeExpiredClients()
		if s.engine.fillLimiter.InFlight < 0 || s.engine.cachedOnlyLimiter.InFlight < 0 {
			t.Fatalf("seed %d step %d: got a negative number of fills in flight, want at least 0", seed, step)
		}
	}
	return s.actions
}

func (s *randomStream) sendRequest() {
	s.newestID++
	remaining := time.Duration(200+s.random.Intn(2000)) * ms
	s.leavesAt[s.newestID] = s.now + remaining
	s.handle(RequestEvent{ID: s.newestID, Class: s.random.Intn(3), Object: uint64(s.random.Intn(40)),
		Remaining: remaining, SizeKB: float64(s.random.Intn(400))})
}

// respondToRandomAttempt responds to any attempt of one of the latest requests, even if it has ended.
func (s *randomStream) respondToRandomAttempt() {
	id := s.newestID - RequestID(s.random.Intn(min(int(s.newestID), 20)))
	if len(s.sent[id]) == 0 {
		return
	}
	n := s.random.Intn(len(s.sent[id]))
	status := Status(s.random.Intn(int(StatusMiss) + 1))
	key := attemptKey{id, n}
	if s.answered[key] && status == StatusOK {
		status = StatusError // a second response is invalid, and must not be the client's response
	}
	s.answered[key] = true
	if s.ends[id] == nil && status == StatusOK {
		s.ends[id] = s.sent[id][n]
	}
	s.handle(ResponseEvent{ID: id, Attempt: n, Elapsed: 50 * ms, Status: status,
		Concluded: s.ends[id] != nil, Note: Note(s.random.Intn(11))})
}

func (s *randomStream) changeEndpoint() {
	endpoint := testEndpoints()[s.random.Intn(len(testEndpoints()))]
	endpoint.State = State(s.random.Intn(3))
	endpoint.StartedAt = s.now - time.Duration(s.random.Intn(2000))*ms
	s.notReady[endpoint.ID] = endpoint.State != Ready
	s.handle(ListEvent{Kind: ListDelta, Endpoints: []Endpoint{endpoint}})
}

// removeExpiredClients handles a ClientGoneEvent for each client that has timed out.
func (s *randomStream) removeExpiredClients() {
	for id := RequestID(1); id <= s.newestID; id++ {
		at, isWaiting := s.leavesAt[id]
		if !isWaiting || s.now < at {
			continue
		}
		delete(s.leavesAt, id)
		if s.ends[id] == nil {
			s.ends[id] = clientLeft{}
			s.handle(ClientGoneEvent{ID: id})
		}
	}
}

// clientLeft marks in harness.ends that the client of a request has left.
type clientLeft struct{}

func (clientLeft) isAction() {}

func TestRandomStreams(t *testing.T) {
	for seed := int64(1); seed <= 20; seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) { playRandomStream(t, seed, 3000) })
	}
}

func TestSameEventsSameActions(t *testing.T) {
	if !reflect.DeepEqual(playRandomStream(t, 7, 2000), playRandomStream(t, 7, 2000)) {
		t.Error("got different actions from the same events")
	}
}

package policy

import (
	"fmt"
	"math/rand"
	"reflect"
	"testing"
	"time"
)

func TestBadSettings(t *testing.T) {
	for name, spoil := range map[string]func(*Config){
		"no class": func(cfg *Config) { cfg.Classes = nil },
		"time":     func(cfg *Config) { cfg.Classes[0].LatencyObjective = -1 },
		"effect":   func(cfg *Config) { cfg.Classes[0].Idempotency = 9 },
		"zone":     func(cfg *Config) { cfg.Zone = -1 },
	} {
		cfg := testConfig()
		spoil(&cfg)
		if _, err := New(cfg, 1); err == nil {
			t.Errorf("%s: accepted", name)
		}
	}
}

// randomStream plays a random stream of legal and hostile events.
type randomStream struct {
	*harness
	random   *rand.Rand
	newest   RequestID
	leavesAt map[RequestID]time.Duration
	answered map[attemptName]bool
}

// attemptName names an attempt of a request.
type attemptName struct {
	id RequestID
	n  int
}

// playRandomStream gives the actions of a stream.
func playRandomStream(t *testing.T, seed int64, steps int) []Action {
	s := &randomStream{
		harness: newHarness(t, testConfig()), random: rand.New(rand.NewSource(seed)),
		leavesAt: map[RequestID]time.Duration{}, answered: map[attemptName]bool{},
	}
	for step := range steps {
		s.now += time.Duration(s.random.Intn(8)) * ms
		switch s.random.Intn(12) {
		case 0, 1, 2:
			s.sendRequest()
		case 3, 4, 5, 6:
			if s.newest > 0 {
				s.respondToAny()
			} else {
				continue
			}
		case 7:
			s.handle(PurgeEvent{Object: uint64(s.random.Intn(40)), Age: time.Duration(s.random.Intn(300)) * ms})
		case 8:
			s.changeEndpoint()
		case 9: // nothing of what this names exists
			s.handle(ResponseEvent{ID: 1 << 30, Attempt: s.random.Intn(300) - 1, Status: StatusOK})
			s.handle(ClientGoneEvent{ID: 1 << 30})
			s.handle(TimerEvent{Token: 999})
			s.handle(RequestEvent{ID: 1<<30 + RequestID(step), Class: 99})
		default:
			s.handle(TimerEvent{Token: tickToken})
		}
		s.withdraw()
		if s.engine.fillLimiter.InFlight < 0 || s.engine.cachedOnlyLimiter.InFlight < 0 {
			t.Fatalf("seed %d step %d: fewer than no fills in flight", seed, step)
		}
	}
	return s.actions
}

func (s *randomStream) sendRequest() {
	s.newest++
	remaining := time.Duration(200+s.random.Intn(2000)) * ms
	s.leavesAt[s.newest] = s.now + remaining
	s.handle(RequestEvent{ID: s.newest, Class: s.random.Intn(3), Object: uint64(s.random.Intn(40)),
		Remaining: remaining, SizeKB: float64(s.random.Intn(400))})
}

// respondToAny ends any attempt of one of the last requests, also one that has ended.
func (s *randomStream) respondToAny() {
	id := s.newest - RequestID(s.random.Intn(min(int(s.newest), 20)))
	if len(s.sent[id]) == 0 {
		return
	}
	n := s.random.Intn(len(s.sent[id]))
	status := Status(s.random.Intn(int(StatusMiss) + 1))
	name := attemptName{id, n}
	if s.answered[name] && status == StatusOK {
		status = StatusError // a second answer to an attempt is hostile, but never the client's
	}
	s.answered[name] = true
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

// withdraw has the clients leave whose time is up.
func (s *randomStream) withdraw() {
	for id := RequestID(1); id <= s.newest; id++ {
		at, waits := s.leavesAt[id]
		if !waits || s.now < at {
			continue
		}
		delete(s.leavesAt, id)
		if s.ends[id] == nil {
			s.ends[id] = left{}
			s.handle(ClientGoneEvent{ID: id})
		}
	}
}

// left stands for "the client left" among the ends of a harness.
type left struct{}

func (left) isAction() {}

func TestRandomStreams(t *testing.T) {
	for seed := int64(1); seed <= 20; seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) { playRandomStream(t, seed, 3000) })
	}
}

func TestSameEventsSameActions(t *testing.T) {
	if !reflect.DeepEqual(playRandomStream(t, 7, 2000), playRandomStream(t, 7, 2000)) {
		t.Error("the same events gave other actions")
	}
}

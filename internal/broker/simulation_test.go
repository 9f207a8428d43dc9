package broker_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"sloequay/internal/broker"
	"sloequay/internal/digesttest"
	"sloequay/internal/membership"
	"sloequay/internal/policy"
	"sloequay/internal/quota"
	"sloequay/internal/retry"
)

const (
	millisecond = time.Millisecond
	maxOpen     = 60
	clockOffset = 1_700_000 * time.Second // of the Unix clock over the broker's

	cacheKind, parentKind, originKind = 0, 1, 2
)

// behaviour is how a simulated endpoint handles attempts.
type behaviour int

const (
	healthy behaviour = iota
	slow
	silent
	unreachable
	rejecting
	failing
	misbehaving
	behaviourCount
)

// simulation plays one seed. It simulates the frontend, the pool of connections, the endpoints and the sources of the
// endpoint list, and digests the broker's effects.
type simulation struct {
	t         *testing.T
	random    *rand.Rand
	broker    *broker.Broker
	config    policy.Config
	now       time.Duration
	agenda    digesttest.EventQueue[func()]
	events    []broker.Event // of the next round
	endpoints []membership.Endpoint
	modes     map[string]behaviour
	version   uint64
	requests  map[*broker.Request]*simulatedRequest
	attempts  map[*broker.Attempt]*simulatedAttempt
	arrivals  []*simulatedRequest
	objects   *rand.Zipf
	recorder  *digesttest.Recorder
	counts    map[string]int
}

func simulationClasses() []policy.Class {
	class := policy.Class{LatencyObjective: 400 * millisecond, Deadline: 2 * time.Second, PriorityWeight: 3}
	safe, fresh, keyed, zoned, unsafe := class, class, class, class, class
	safe.Name = "safe"
	safe.ObjectiveStretch = 2
	safe.PriorityWeight = 2
	fresh.Name = "fresh"
	fresh.LatencyObjective = 300 * millisecond
	fresh.PriorityWeight = 1
	fresh.FreshFor = time.Second
	keyed.Name = "keyed"
	keyed.Idempotency = policy.IdempotentByKey
	keyed.DedupWindow = 500 * millisecond
	keyed.Write = true
	zoned.Name = "zoned"
	zoned.Idempotency = policy.IdempotentByKey
	zoned.DedupScope = policy.DedupZone
	zoned.DedupWindow = 500 * millisecond
	unsafe.Name = "unsafe"
	unsafe.Idempotency = policy.NotIdempotent
	unsafe.Write = true
	return []policy.Class{safe, fresh, keyed, zoned, unsafe}
}

func simulationConfig(seed uint64) policy.Config {
	config := policy.Config{
		Instances:        2,
		Zone:             1,
		ZoneInstances:    []int{0, 2},
		ParentKind:       parentKind,
		OriginKind:       originKind,
		FlowKBps:         1000,
		WeightsReported:  seed%5 != 0,
		Siblings:         policy.SiblingScope(seed % 3),
		DirectFetch:      true,
		JoinFills:        true,
		PurgePropagation: 6 * time.Second,
		MaxAttempts:      6,
		MayCancel:        true,
		Hedging:          seed%2 == 0,
		MaxRetryAfter:    time.Second,
		Classes:          simulationClasses(),
	}
	if seed%3 != 1 { // otherwise there is no slow start
		config.ColdStartShare = 0.2
		config.WarmupTime = 5 * time.Second
		config.OverloadMultiple = 3
		config.OverloadWindow = 2 * time.Second
		config.ParentStartShare = 0.1
		config.ParentWarmupTime = 5 * time.Second
		config.ParentOverloadMultiple = 2
	}
	return config
}

// simulationQuotas limits one team in some seeds.
func simulationQuotas(seed uint64) *quota.Ledger {
	if seed%4 != 3 {
		return nil
	}
	small := &quota.Spec{Name: "small"}
	small.Rates[quota.Requests] = quota.Limit{Set: true, Ceiling: 15}
	small.MaxOpen[0] = 5 // open requests
	return quota.NewLedger(&quota.Spec{Children: []*quota.Spec{small, {}}})
}

func newSimulation(
	t *testing.T, seed uint64, recorder *digesttest.Recorder, counts map[string]int,
) *simulation {
	t.Helper()
	random := rand.New(rand.NewPCG(seed, 0xb2_0c))
	damping := membership.Damping{
		SuppressAbove: 1.1,
		ReuseBelow:    0.5,
		HalfLife:      2 * time.Second,
		MaxSuppress:   2 * time.Second,
	}
	members := membership.New(membership.Config{
		MaxLossShare: 0.2,
		MinLoss:      2,
		MaxSilence:   3 * time.Second,
		Sources: []membership.Source{
			{Name: "bulletin", ConfirmLosses: true, Damping: damping},
			{Name: "register"},
		},
	})
	config := simulationConfig(seed)
	tested, err := broker.New(config, seed, maxOpen, simulationQuotas(seed), members)
	if err != nil {
		t.Fatal(err)
	}
	tested.SetOffset(clockOffset)
	if seed%3 == 2 {
		tested.LimitRetries(retry.Config{Share: 0.1, Floor: 1}, retry.Config{Share: 0.2, Floor: 1})
	}
	s := &simulation{
		t:        t,
		random:   random,
		broker:   tested,
		config:   config,
		now:      1000 * time.Second,
		modes:    map[string]behaviour{},
		requests: map[*broker.Request]*simulatedRequest{},
		attempts: map[*broker.Attempt]*simulatedAttempt{},
		objects:  rand.NewZipf(random, 1.2, 4, 200),
		recorder: recorder,
		counts:   counts,
	}
	s.addEndpoints()
	s.deliverFirstList(seed)
	return s
}

func (s *simulation) addEndpoints() {
	add := func(id string, kind, zone, weight int) {
		s.endpoints = append(s.endpoints, membership.Endpoint{
			ID:      id,
			Zone:    zone,
			Kind:    kind,
			Cell:    zone,
			State:   membership.Up,
			Address: fmt.Sprintf("10.0.0.%d:1", len(s.endpoints)+1),
			Weight:  float64(weight),
		})
	}
	for i := range 2 + s.random.IntN(8) {
		add(fmt.Sprintf("c%d", i), cacheKind, 1, 2+s.random.IntN(10))
	}
	for i := range 2 + s.random.IntN(2) {
		add(fmt.Sprintf("p%d", i), parentKind, 0, 10+s.random.IntN(30))
	}
	add("o", originKind, 0, 1)
}

// deliverFirstList delivers the first list complete, in parts, or as a snapshot from before a restart.
func (s *simulation) deliverFirstList(seed uint64) {
	half := len(s.endpoints) / 2
	switch seed % 4 {
	case 0:
		s.events = append(s.events, broker.SnapshotRestored{Reports: []membership.SourceReport{
			{Source: "bulletin", Version: 1, LastSeen: s.now - time.Second, Endpoints: slices.Clone(s.endpoints)}}})
		s.schedule(300*millisecond, func() { s.deliverList(0, false) })
	case 1:
		s.events = append(s.events, broker.EndpointList{
			List: membership.List{Part: true, Endpoints: slices.Clone(s.endpoints[:half])}})
		s.schedule(20*millisecond, func() { s.deliverList(0, false) })
	default:
		s.deliverList(0, false)
	}
	s.round()
}

// schedule calls run after a time.
func (s *simulation) schedule(after time.Duration, run func()) {
	s.agenda.Schedule(s.now+after, run)
}

// randomMilliseconds draws a duration of less than limit milliseconds.
func (s *simulation) randomMilliseconds(limit int) time.Duration {
	return time.Duration(s.random.IntN(limit*1000)) * time.Microsecond
}

// round passes the pending events to the broker, and digests and applies its effects.
func (s *simulation) round() {
	events := s.events
	s.events = nil // of the next round
	for _, effect := range s.broker.Round(s.now, events) {
		s.recorder.Add("%d %s", int64(s.now), s.effectText(effect))
		s.applyEffect(effect)
	}
	s.recorder.AddUncounted("next %d open %d", int64(s.broker.Next()), s.broker.OpenRequests())
}

// applyEffect makes the simulated environment carry out an effect.
func (s *simulation) applyEffect(effect broker.Effect) {
	switch e := effect.(type) {
	case broker.SendAttempt:
		s.sendAttempt(e.Attempt)
	case broker.CancelAttempt:
		s.cancelAttempt(s.attempts[e.Attempt], e.AwaitEnd)
	case broker.Respond:
		s.respond(s.requests[e.Request], e.Response)
	case broker.EndpointChanged:
		s.counts["changed endpoints"]++
		if e.Restarted {
			s.counts["restarted endpoints"]++
		}
	case broker.RefetchList:
		s.counts["refetches"]++
		s.schedule(s.randomMilliseconds(50), func() { s.deliverList(e.Source, true) })
	case broker.LogEntry:
		s.countLogEntry(e)
	}
}

func (s *simulation) countLogEntry(entry broker.LogEntry) {
	name := "log " + entry.Event
	switch entry.Event {
	case "endpoint-ejected":
		name = "ejections"
	case "endpoint-readmitted":
		name = "readmissions"
	}
	s.counts[name]++
}

// run plays a number of rounds, each with random events.
func (s *simulation) run(rounds int) {
	for range rounds {
		s.advance(s.randomMilliseconds(30))
		for range 1 + s.random.IntN(2) {
			s.addRandomEvent()
		}
		s.round()
	}
}

// advance moves the time forward and runs what is due. Sometimes it adds a standstill of the process or a long time
// without any events.
func (s *simulation) advance(span time.Duration) {
	if s.random.IntN(300) == 0 {
		span += s.randomMilliseconds(1500)
	}
	if s.random.IntN(1000) == 0 {
		span += 70 * time.Second
	}
	s.now += span
	for _, run := range s.agenda.PopDue(s.now) {
		run()
	}
}

// addRandomEvent adds one event, mostly a request.
func (s *simulation) addRandomEvent() {
	switch n := s.random.IntN(200); {
	case n < 6:
		s.counts["purges"]++
		purge := broker.Purge{Object: s.objects.Uint64() + 1, Issued: s.now + clockOffset - s.randomMilliseconds(100)}
		if s.random.IntN(3) == 0 {
			purge.Object = 0
			purge.Group = 1 + s.random.IntN(7)
		}
		s.events = append(s.events, purge)
	case n < 12:
		s.changeEndpoint()
	case n < 14:
		s.deliverList(s.random.IntN(2), false)
	case n < 16:
		s.counts["source status changes"]++
		s.events = append(s.events, broker.SourceStatus{Source: s.random.IntN(2), Silent: s.random.IntN(2) == 0})
	case n < 24:
		s.modes[s.randomEndpoint().ID] = behaviour(s.random.IntN(int(behaviourCount)))
	case n < 32:
		s.modes[s.randomEndpoint().ID] = healthy
	case n < 33:
		s.events = append(s.events, broker.RequestCanceled{Request: &broker.Request{}}) // never received

	case n < 37: // a burst
		for range 10 {
			s.receive(s.newRequest())
		}
	default:
		s.receive(s.newRequest())
	}
}

func (s *simulation) randomEndpoint() *membership.Endpoint {
	return &s.endpoints[s.random.IntN(len(s.endpoints))]
}

// changeEndpoint makes a source report that one endpoint drains, departs, returns, restarted or moved.
func (s *simulation) changeEndpoint() {
	endpoint := s.randomEndpoint()
	states := []membership.State{membership.Gone, membership.Up, membership.Up, membership.Up, membership.Draining}
	endpoint.State = states[s.random.IntN(len(states))]
	if endpoint.State == membership.Draining {
		s.counts["drains"]++
	}
	switch s.random.IntN(4) {
	case 0:
		endpoint.StartedAt = s.now + clockOffset - s.randomMilliseconds(1000)
		s.modes[endpoint.ID] = healthy
	case 1:
		endpoint.Address = fmt.Sprintf("10.0.1.%d:1", s.random.IntN(30))
	}
	s.version++
	s.events = append(s.events, broker.EndpointDelta{Source: s.random.IntN(2), Version: s.version,
		Endpoints: []membership.Endpoint{*endpoint}})
}

// deliverList delivers the complete list of a source. It may lack some endpoints unless it is confirming.
func (s *simulation) deliverList(source int, isConfirming bool) {
	s.counts["reloaded lists"]++
	if s.random.IntN(2) == 0 {
		for i := range s.endpoints {
			s.endpoints[i].State = membership.Up
		}
	}
	listed := slices.Clone(s.endpoints)
	if missingCount := s.random.IntN(5); !isConfirming && missingCount < len(listed) {
		listed = listed[missingCount:]
	}
	s.version++
	s.events = append(s.events, broker.EndpointList{Source: source,
		List: membership.List{Version: s.version, Endpoints: listed, Confirms: isConfirming}})
}

// finish lets the open requests end or fails them, and checks that each request has a response or was canceled.
func (s *simulation) finish(failInFlight bool) {
	if failInFlight {
		s.counts["shutdowns"]++
		s.events = append(s.events, broker.FailInFlight{})
		s.round()
	}
	for range 300 {
		s.advance(10 * millisecond)
		s.round()
	}
	for _, request := range s.arrivals {
		if request.responses == 0 && !request.Canceled && s.now > request.ReceivedAt+request.Timeout {
			s.t.Errorf("request %s: got no response, want one", request.ID)
		}
	}
	sizes := s.broker.Sizes()
	s.recorder.AddUncounted("held %d %d %d %d %d %d", sizes.Open, sizes.PolicyRequests, sizes.Timers,
		sizes.Endpoints, sizes.GoneEndpoints, sizes.Purges)
}

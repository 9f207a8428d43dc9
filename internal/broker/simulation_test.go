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

// behaviour is how an endpoint treats the attempts that it gets.
type behaviour int

const (
	healthy behaviour = iota
	slow
	silent
	unreachable
	refusing
	erring
	breaking
	behaviours
)

// simulation plays one seed: it stands for the frontend, the pool of connections, the endpoints and the sources of the
// list, and digests the broker's effects.
type simulation struct {
	t         *testing.T
	random    *rand.Rand
	broker    *broker.Broker
	config    policy.Config
	now       time.Duration
	agenda    digesttest.Agenda[func()]
	events    []broker.Event // of the next round
	endpoints []membership.Endpoint
	modes     map[string]behaviour
	version   uint64
	requests  map[*broker.Request]*simulatedRequest
	attempts  map[*broker.Attempt]*simulatedAttempt
	order     []*simulatedRequest
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
	if seed%3 != 1 { // else nothing is spared for having just started
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
	small.MaxOpen[0] = 5 // requests that are open
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
	core, err := broker.New(config, seed, maxOpen, simulationQuotas(seed), members)
	if err != nil {
		t.Fatal(err)
	}
	core.SetOffset(clockOffset)
	if seed%3 == 2 {
		core.LimitRetries(retry.Config{Share: 0.1, Floor: 1}, retry.Config{Share: 0.2, Floor: 1})
	}
	s := &simulation{
		t:        t,
		random:   random,
		broker:   core,
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
	s.firstList(seed)
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

// firstList has the first list come complete, in parts, or as what was reported before a restart.
func (s *simulation) firstList(seed uint64) {
	half := len(s.endpoints) / 2
	switch seed % 4 {
	case 0:
		s.events = append(s.events, broker.SnapshotRestored{Reports: []membership.SourceReport{
			{Source: "bulletin", Version: 1, LastSeen: s.now - time.Second, Endpoints: slices.Clone(s.endpoints)}}})
		s.plan(300*millisecond, func() { s.reload(0, false) })
	case 1:
		s.events = append(s.events, broker.EndpointList{
			List: membership.List{Part: true, Endpoints: slices.Clone(s.endpoints[:half])}})
		s.plan(20*millisecond, func() { s.reload(0, false) })
	default:
		s.reload(0, false)
	}
	s.round()
}

// plan has something done after a time.
func (s *simulation) plan(after time.Duration, run func()) {
	s.agenda.Plan(s.now+after, run)
}

// milliseconds draws a time of less than so many milliseconds.
func (s *simulation) milliseconds(limit int) time.Duration {
	return time.Duration(s.random.IntN(limit*1000)) * time.Microsecond
}

// round hands over what has come, digests the effects and follows them.
func (s *simulation) round() {
	events := s.events
	s.events = nil // of the next round
	for _, effect := range s.broker.Round(s.now, events) {
		s.recorder.Add("%d %s", int64(s.now), s.effectText(effect))
		s.follow(effect)
	}
	s.recorder.AddUncounted("next %d open %d", int64(s.broker.Next()), s.broker.OpenRequests())
}

// follow has the simulated world do what an effect wants.
func (s *simulation) follow(effect broker.Effect) {
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
		s.plan(s.milliseconds(50), func() { s.reload(e.Source, true) })
	case broker.LogEntry:
		s.countEntry(e)
	}
}

func (s *simulation) countEntry(entry broker.LogEntry) {
	name := "log " + entry.Event
	switch entry.Event {
	case "endpoint-ejected":
		name = "ejections"
	case "endpoint-readmitted":
		name = "readmissions"
	}
	s.counts[name]++
}

// run plays so many rounds, each with what was due before it.
func (s *simulation) run(rounds int) {
	for range rounds {
		s.pass(s.milliseconds(30))
		for range 1 + s.random.IntN(2) {
			s.step()
		}
		s.round()
	}
}

// pass lets time go by; now and then the program stands still, or all is quiet for long.
func (s *simulation) pass(span time.Duration) {
	if s.random.IntN(300) == 0 {
		span += s.milliseconds(1500)
	}
	if s.random.IntN(1000) == 0 {
		span += 70 * time.Second
	}
	s.now += span
	for _, run := range s.agenda.Due(s.now) {
		run()
	}
}

// step has one thing happen, mostly a request.
func (s *simulation) step() {
	switch n := s.random.IntN(200); {
	case n < 6:
		s.counts["purges"]++
		purge := broker.Purge{Object: s.objects.Uint64() + 1, Issued: s.now + clockOffset - s.milliseconds(100)}
		if s.random.IntN(3) == 0 {
			purge.Object = 0
			purge.Group = 1 + s.random.IntN(7)
		}
		s.events = append(s.events, purge)
	case n < 12:
		s.changeEndpoint()
	case n < 14:
		s.reload(s.random.IntN(2), false)
	case n < 16:
		s.counts["sources seen or silent"]++
		s.events = append(s.events, broker.SourceStatus{Source: s.random.IntN(2), Silent: s.random.IntN(2) == 0})
	case n < 24:
		s.modes[s.anyEndpoint().ID] = behaviour(s.random.IntN(int(behaviours)))
	case n < 32:
		s.modes[s.anyEndpoint().ID] = healthy
	case n < 33:
		s.events = append(s.events, broker.RequestCanceled{Request: &broker.Request{}}) // one that never came

	case n < 37: // a burst
		for range 10 {
			s.receive(s.newRequest())
		}
	default:
		s.receive(s.newRequest())
	}
}

func (s *simulation) anyEndpoint() *membership.Endpoint {
	return &s.endpoints[s.random.IntN(len(s.endpoints))]
}

// changeEndpoint has a source report that one endpoint drains, goes, comes back, has started anew or is elsewhere.
func (s *simulation) changeEndpoint() {
	endpoint := s.anyEndpoint()
	states := []membership.State{membership.Gone, membership.Up, membership.Up, membership.Up, membership.Draining}
	endpoint.State = states[s.random.IntN(len(states))]
	if endpoint.State == membership.Draining {
		s.counts["drains"]++
	}
	switch s.random.IntN(4) {
	case 0:
		endpoint.StartedAt = s.now + clockOffset - s.milliseconds(1000)
		s.modes[endpoint.ID] = healthy
	case 1:
		endpoint.Address = fmt.Sprintf("10.0.1.%d:1", s.random.IntN(30))
	}
	s.version++
	s.events = append(s.events, broker.EndpointDelta{Source: s.random.IntN(2), Version: s.version,
		Endpoints: []membership.Endpoint{*endpoint}})
}

// reload has the complete list of a source come, which may lack some endpoints unless it confirms.
func (s *simulation) reload(source int, confirms bool) {
	s.counts["reloaded lists"]++
	if s.random.IntN(2) == 0 {
		for i := range s.endpoints {
			s.endpoints[i].State = membership.Up
		}
	}
	all := slices.Clone(s.endpoints)
	if missing := s.random.IntN(5); !confirms && missing < len(all) {
		all = all[missing:]
	}
	s.version++
	s.events = append(s.events, broker.EndpointList{Source: source,
		List: membership.List{Version: s.version, Endpoints: all, Confirms: confirms}})
}

// finish ends what is open, by itself or by failing it, and checks that each request has its one end.
func (s *simulation) finish(failInFlight bool) {
	if failInFlight {
		s.counts["shutdowns"]++
		s.events = append(s.events, broker.FailInFlight{})
		s.round()
	}
	for range 300 {
		s.pass(10 * millisecond)
		s.round()
	}
	for _, request := range s.order {
		if request.responses == 0 && !request.Canceled && s.now > request.ReceivedAt+request.Timeout {
			s.t.Errorf("request %s has no response", request.ID)
		}
	}
	sizes := s.broker.Sizes()
	s.recorder.AddUncounted("held %d %d %d %d %d %d", sizes.Open, sizes.PolicyRequests, sizes.Timers,
		sizes.Endpoints, sizes.GoneEndpoints, sizes.Purges)
}

package broker_test

import (
	"container/heap"
	"crypto/sha256"
	"flag"
	"fmt"
	"hash"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"sloequay/internal/broker"
	"sloequay/internal/membership"
	"sloequay/internal/policy"
	"sloequay/internal/quota"
	"sloequay/internal/retry"
)

var update = flag.Bool("update", false, "write testdata/decisions.txt anew")

const (
	decisionSeeds = 24
	decisionsFile = "testdata/decisions.txt"
	millisecond   = time.Millisecond
	openMost      = 60
	clockAhead    = 1_700_000 * time.Second // of the Unix clock over the broker's

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

// planned is something that is done at a time. The serial makes the order of equal times definite.
type planned struct {
	at     time.Duration
	serial int
	run    func()
}

type schedule []planned

func (s schedule) Len() int { return len(s) }
func (s schedule) Less(i, j int) bool {
	return s[i].at < s[j].at || s[i].at == s[j].at && s[i].serial < s[j].serial
}
func (s schedule) Swap(i, j int) { s[i], s[j] = s[j], s[i] }
func (s *schedule) Push(x any)   { *s = append(*s, x.(planned)) }
func (s *schedule) Pop() any {
	last := (*s)[len(*s)-1]
	*s = (*s)[:len(*s)-1]
	return last
}

// clientRequest is what the simulation knows of one request.
type clientRequest struct {
	*broker.Request
	attempts []*clientAttempt
	answers  int
}

type clientAttempt struct {
	*broker.Attempt
	quit bool // given up by the broker
	told bool // its end was told
}

// simulation plays one seed: it stands for the front, the pool of connections, the endpoints and the sources of the
// list, and digests the broker's effects.
type simulation struct {
	t         *testing.T
	random    *rand.Rand
	broker    *broker.Broker
	config    policy.Config
	now       time.Duration
	serial    int
	schedule  schedule
	events    []broker.Event // of the next round
	endpoints []membership.Endpoint
	modes     map[string]behaviour
	version   uint64
	requests  map[*broker.Request]*clientRequest
	attempts  map[*broker.Attempt]*clientAttempt
	order     []*clientRequest
	objects   *rand.Zipf
	digest    hash.Hash
	effects   int
	counts    map[string]int
}

func decisionConfig(seed uint64) policy.Config {
	config := policy.Config{Instances: 2, Zone: 1, ZoneInstances: []int{0, 2}, ParentKind: parentKind,
		OriginKind: originKind, FlowKBps: 1000, WeightsReported: seed%5 != 0, Siblings: policy.Reach(seed % 3),
		Detail: policy.DetailAll, DirectFetch: true, JoinFills: true,
		PurgeGrace: 500 * millisecond, PurgePropagation: 6 * time.Second, DrainGrace: time.Second, MaxAttempts: 6,
		MayCancel: true, Hedging: seed%2 == 0, MaxRetryAfter: time.Second,
		Classes: []policy.Class{
			{Name: "safe", LatencyObjective: 400 * millisecond, ObjectiveStretch: 2, Deadline: 2 * time.Second, PriorityWeight: 2},
			{Name: "fresh", LatencyObjective: 300 * millisecond, Deadline: 2 * time.Second, PriorityWeight: 1, FreshFor: time.Second},
			{Name: "keyed", LatencyObjective: 400 * millisecond, Deadline: 2 * time.Second, PriorityWeight: 3, Idempotency: policy.IdempotentByKey,
				DedupWindow: 500 * millisecond, Write: true},
			{Name: "zoned", LatencyObjective: 400 * millisecond, Deadline: 2 * time.Second, PriorityWeight: 3, Idempotency: policy.IdempotentByKey,
				DedupScope: policy.DedupZone, DedupWindow: 500 * millisecond},
			{Name: "unsafe", LatencyObjective: 400 * millisecond, Deadline: 2 * time.Second, PriorityWeight: 3, Idempotency: policy.NotIdempotent,
				Write: true},
		},
	}
	if seed%3 != 1 { // else nothing is spared for having just started
		config.ColdStartShare, config.WarmupTime, config.OverloadMultiple, config.OverloadWindow = 0.2, 5*time.Second, 3, 2*time.Second
		config.ParentStartShare, config.ParentWarmupTime, config.ParentOverloadMultiple = 0.1, 5*time.Second, 2
	}
	return config
}

// decisionContracts limits one team in some seeds.
func decisionContracts(seed uint64) *quota.Ledger {
	if seed%4 != 3 {
		return nil
	}
	small := &quota.Spec{Name: "small"}
	small.Rates[quota.Requests] = quota.Limit{Set: true, Ceiling: 15}
	small.MaxOpen[0] = 5 // requests that are open
	return quota.NewLedger(&quota.Spec{Children: []*quota.Spec{small, {}}})
}

func newSimulation(t *testing.T, seed uint64, counts map[string]int) *simulation {
	t.Helper()
	random := rand.New(rand.NewPCG(seed, 0xb2_0c))
	members := membership.New(membership.Config{MaxLossShare: 0.2, MinLoss: 2, MaxSilence: 3 * time.Second,
		Sources: []membership.Source{
			{Name: "bulletin", ConfirmLosses: true, Damping: membership.Damping{SuppressAbove: 1.1, ReuseBelow: 0.5,
				HalfLife: 2 * time.Second, MaxSuppress: 2 * time.Second}},
			{Name: "register"}}})
	config := decisionConfig(seed)
	core, err := broker.New(config, seed, openMost, decisionContracts(seed), members)
	if err != nil {
		t.Fatal(err)
	}
	core.SetOffset(clockAhead)
	if seed%3 == 2 {
		core.LimitRetries(retry.Config{Share: 0.1, Floor: 1}, retry.Config{Share: 0.2, Floor: 1})
	}
	s := &simulation{t: t, random: random, broker: core, config: config, now: 1000 * time.Second,
		modes: map[string]behaviour{}, requests: map[*broker.Request]*clientRequest{},
		attempts: map[*broker.Attempt]*clientAttempt{}, objects: rand.NewZipf(random, 1.2, 4, 200),
		digest: sha256.New(), counts: counts}
	s.addEndpoints()
	s.coldStart(seed)
	return s
}

func (s *simulation) addEndpoints() {
	add := func(id string, kind, zone, weight int) {
		s.endpoints = append(s.endpoints, membership.Endpoint{ID: id, Zone: zone, Kind: kind, Cell: zone,
			State: membership.Up, Address: fmt.Sprintf("10.0.0.%d:1", len(s.endpoints)+1), Weight: float64(weight)})
	}
	for i := range 2 + s.random.IntN(8) {
		add(fmt.Sprintf("c%d", i), cacheKind, 1, 2+s.random.IntN(10))
	}
	for i := range 2 + s.random.IntN(2) {
		add(fmt.Sprintf("p%d", i), parentKind, 0, 10+s.random.IntN(30))
	}
	add("o", originKind, 0, 1)
}

// coldStart has the first list come whole, in parts, or as words from before a restart.
func (s *simulation) coldStart(seed uint64) {
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
	s.serial++
	heap.Push(&s.schedule, planned{s.now + after, s.serial, run})
}

// milliseconds draws a time of less than so many milliseconds.
func (s *simulation) milliseconds(most int) time.Duration {
	return time.Duration(s.random.IntN(most*1000)) * time.Microsecond
}

// round hands over what has come, digests the effects and follows them.
func (s *simulation) round() {
	events := s.events
	s.events = nil // of the next round
	for _, effect := range s.broker.Round(s.now, events) {
		s.effects++
		fmt.Fprintf(s.digest, "%d %s\n", int64(s.now), s.effectText(effect))
		s.follow(effect)
	}
	fmt.Fprintf(s.digest, "next %d open %d\n", int64(s.broker.Next()), s.broker.OpenRequests())
}

// effectText writes an effect from plain words and numbers, so that no name in the code shows in it.
func (s *simulation) effectText(effect broker.Effect) string {
	switch e := effect.(type) {
	case broker.SendAttempt:
		a := e.Attempt
		return fmt.Sprintf("send %s %d %s %s %d %d %s %d", a.Request.ID, a.Number, a.Endpoint.Name, a.Source.Name, a.CacheRank,
			int64(a.MaxAge), flags(a.JoinFill, a.CachedOnly, a.BypassParent, a.Revalidate), int64(a.Deadline))
	case broker.CancelAttempt:
		return fmt.Sprintf("quit %s %d %s", e.Attempt.Request.ID, e.Attempt.Number, flags(e.AwaitEnd))
	case broker.Respond:
		return "answer " + e.Request.ID + " " + finalText(e.Response)
	case broker.EndpointChanged:
		return "moved " + endpointText(e.Endpoint) + " " + flags(e.Restarted)
	case broker.HealthCheck:
		return "probe " + e.Endpoint.Name
	case broker.RefetchList:
		return fmt.Sprintf("confirm %d", e.Source)
	case broker.LogEntry:
		return "line " + e.Event + s.fieldsText(e)
	}
	panic("an effect of an unknown kind: write its text in effectText")
}

func finalText(f broker.Response) string {
	host := "-"
	if f.Endpoint != nil {
		host = f.Endpoint.Name
	}
	text := fmt.Sprintf("%s %s %q %q %d %q %q", kindText(f.Kind), host, f.Address, f.Body, int64(f.RetryAfter), f.Budget,
		f.Reason)
	for _, field := range f.Fields {
		text += fmt.Sprintf(" %q=%q", field.Name, field.Value)
	}
	return text
}

func kindText(kind broker.ResponseKind) string {
	switch kind {
	case broker.ResponseServed:
		return "answered"
	case broker.ResponseNotModified:
		return "same"
	case broker.ResponseRejected:
		return "rejected"
	case broker.ResponseFailed:
		return "failed"
	case broker.ResponseDenied:
		return "denied"
	}
	panic("a final answer of an unknown kind: write its text in kindText")
}

func endpointText(e *broker.Endpoint) string {
	state := "gone"
	switch e.State {
	case policy.Ready:
		state = "ready"
	case policy.Draining:
		state = "draining"
	}
	return fmt.Sprintf("%s %s %d %d %d %d %s %s %d", e.Name, e.Address, uint64(e.ID), e.Zone, e.Kind, e.Cell, state,
		strconv.FormatFloat(e.Weight, 'g', -1, 64), int64(e.StartedAt))
}

// fieldsText writes the values of a log line. The words for operators are behaviour, and stay.
func (s *simulation) fieldsText(line broker.LogEntry) string {
	if line.Event == "policy-invalid-action" {
		s.t.Error("the module names an endpoint or a request that the broker does not know")
		return ""
	}
	text := ""
	for _, field := range line.Fields {
		switch value := field.(type) {
		case string:
			text += fmt.Sprintf(" %q", value)
		case int:
			text += fmt.Sprintf(" %d", value)
		case time.Duration:
			text += fmt.Sprintf(" %d", int64(value))
		case fmt.Stringer:
			text += fmt.Sprintf(" %q", value.String())
		default:
			panic("a log value of an unknown type: write its text in fieldsText")
		}
	}
	return text
}

// flags writes truth values as digits.
func flags(values ...bool) string {
	text := make([]byte, len(values))
	for i, value := range values {
		if text[i] = '0'; value {
			text[i] = '1'
		}
	}
	return string(text)
}

// follow has the simulated world do what an effect wants.
func (s *simulation) follow(effect broker.Effect) {
	switch e := effect.(type) {
	case broker.SendAttempt:
		s.attempt(e.Attempt)
	case broker.CancelAttempt:
		s.quit(s.attempts[e.Attempt], e.AwaitEnd)
	case broker.Respond:
		s.answer(s.requests[e.Request], e.Response)
	case broker.EndpointChanged:
		if s.counts["changed endpoints"]++; e.Restarted {
			s.counts["restarted endpoints"]++
		}
	case broker.RefetchList:
		s.counts["confirmations"]++
		s.plan(s.milliseconds(50), func() { s.reload(e.Source, true) })
	case broker.LogEntry:
		s.countLine(e)
	}
}

func (s *simulation) countLine(line broker.LogEntry) {
	name := "lines " + line.Event
	if line.Event == "outlier-detection" {
		text, _ := line.Fields[1].(string)
		switch {
		case strings.HasPrefix(text, "ejected"):
			name = "ejections"
		case strings.HasPrefix(text, "trusted"):
			name = "readmissions"
		}
	}
	s.counts[name]++
}

// answer takes the one final answer of a request. Of the clients that are rejected some come again.
func (s *simulation) answer(r *clientRequest, f broker.Response) {
	if r.answers++; r.answers > 1 {
		s.t.Errorf("request %s has %d final answers", r.ID, r.answers)
	}
	s.counts["final answers: "+kindText(f.Kind)]++
	if f.Budget != "" {
		s.counts["over a budget"]++
	}
	if f.Kind == broker.ResponseRejected && s.random.IntN(3) == 0 {
		s.plan(f.RetryAfter+s.milliseconds(50), func() {
			again := s.newRequest()
			again.Class, again.Object, again.Part, again.MarkedRetry = r.Class, r.Object, r.Part, true
			s.arrive(again)
		})
	}
}

// attempt has a connection come up for an attempt, or not.
func (s *simulation) attempt(sent *broker.Attempt) {
	r := s.requests[sent.Request]
	a := &clientAttempt{Attempt: sent}
	s.counts["sends"]++
	switch {
	case slices.ContainsFunc(r.attempts, func(o *clientAttempt) bool { return o.Open() }):
		s.counts["hedges"]++
	case sent.Number > 0:
		s.counts["retries"]++
	}
	s.attempts[sent] = a
	r.attempts = append(r.attempts, a)
	wait := s.milliseconds(10)
	switch mode := s.modes[sent.Endpoint.Name]; {
	case mode == unreachable:
		s.plan(wait, func() { s.end(a, broker.AttemptEnded{End: broker.ConnectFailed}) })
	case s.random.IntN(60) == 0:
		s.plan(wait, func() { s.end(a, broker.AttemptEnded{End: broker.NoConnectionCapacity}) })
	case s.random.IntN(60) == 0:
		s.plan(wait, func() { s.end(a, broker.AttemptEnded{End: broker.NotSent}) })
	case s.random.IntN(25) == 0: // the connection comes up late
		s.plan(wait+s.milliseconds(1000), func() { s.write(a) })
	default:
		s.plan(wait, func() { s.write(a) })
	}
}

// write is the moment of writing an attempt.
func (s *simulation) write(a *clientAttempt) {
	if a.told {
		return
	}
	age, may := s.broker.MaySend(a.Attempt, s.now)
	fmt.Fprintf(s.digest, "%d may %s %d %d %s\n", int64(s.now), a.Request.ID, a.Number, int64(age), flags(may))
	if !may {
		s.counts["barred at writing"]++
		s.end(a, broker.AttemptEnded{End: broker.Blocked})
		return
	}
	if age > 0 {
		s.counts["written with an age"]++
	}
	a.Written = true
	s.reply(a)
}

// reply plans how an attempt that was written ends, as the behaviour of its endpoint has it.
func (s *simulation) reply(a *clientAttempt) {
	took := time.Duration(a.Request.SizeKB*float64(millisecond)) + s.milliseconds(30)
	ending := s.healthyEnding(a)
	mode := s.modes[a.Endpoint.Name]
	if s.random.IntN(40) == 0 {
		mode = behaviour(s.random.IntN(int(behaviours)))
	}
	switch mode {
	case slow:
		took += s.milliseconds(1500)
	case silent:
		if s.random.IntN(3) > 0 {
			return
		}
		ending, took = broker.AttemptEnded{End: broker.Unresponsive}, 600*millisecond
	case refusing:
		ending = broker.AttemptEnded{End: broker.Rejected, Note: policy.NoteSourceRejected}
	case erring:
		ending = broker.AttemptEnded{End: broker.Failed}
	case breaking:
		ending = broker.AttemptEnded{End: []broker.End{broker.ConnectionReset, broker.ProtocolError, broker.AlreadyEnded}[s.random.IntN(3)]}
	}
	ending.MayHaveRun = s.random.IntN(20) == 0
	s.plan(took, func() { s.end(a, ending) })
	if s.random.IntN(40) == 0 { // a second word of it
		s.plan(took+s.milliseconds(50), func() { s.events = append(s.events, broker.AttemptEnded{Attempt: a.Attempt}) })
	}
}

// healthyEnding draws what an endpoint without faults answers; a fill fails with its source.
func (s *simulation) healthyEnding(a *clientAttempt) broker.AttemptEnded {
	served := broker.AttemptEnded{End: broker.Served, Address: a.Endpoint.Address, Body: []byte(a.Request.ID),
		Fields: []broker.Field{{Name: "tag", Value: a.Request.ObjectName}}, Note: policy.NoteHit}
	if a.Request.ETag != "" && s.random.IntN(2) == 0 {
		served.End, served.Body = broker.NotModified, nil
	}
	if a.Source == a.Endpoint {
		if s.random.IntN(2) == 0 && a.Endpoint.Kind == cacheKind {
			return broker.AttemptEnded{End: broker.CacheMiss}
		}
		return served
	}
	switch s.modes[a.Source.Name] {
	case silent, unreachable:
		return broker.AttemptEnded{End: broker.Failed, Note: policy.NoteSourceLost}
	case refusing:
		return broker.AttemptEnded{End: broker.Rejected, Note: policy.NoteSourceRejected}
	case erring, breaking:
		return broker.AttemptEnded{End: broker.Failed, Note: policy.NoteOriginFailed}
	}
	if a.CachedOnly && s.random.IntN(2) == 0 {
		return broker.AttemptEnded{End: broker.CacheMiss, Note: policy.NoteSourceMiss}
	}
	notes := []policy.Note{policy.NoteFilled, policy.NoteFilledOrigin, policy.NoteJoined, policy.NoteNoCapacity}
	served.Note, served.SourceDelay = notes[s.random.IntN(len(notes))], s.milliseconds(50)
	return served
}

// end tells how an attempt ended. What was given up ends late, if at all.
func (s *simulation) end(a *clientAttempt, ending broker.AttemptEnded) {
	if a.told || a.quit && s.random.IntN(2) == 0 {
		return
	}
	if a.quit {
		s.counts["late answers"]++
	}
	a.told = true
	ending.Attempt = a.Attempt
	s.events = append(s.events, ending)
}

// quit takes back an attempt that the broker gave up. With confirm its end is still owed.
func (s *simulation) quit(a *clientAttempt, confirm bool) {
	if a == nil { // it was never asked to be sent
		return
	}
	s.counts["cancels"]++
	if a.quit = true; confirm {
		s.counts["cancels to be confirmed"]++
		s.plan(s.milliseconds(20), func() {
			if !a.told {
				a.told = true
				s.events = append(s.events, broker.AttemptEnded{Attempt: a.Attempt, End: broker.Canceled})
			}
		})
	}
}

// newRequest draws a request.
func (s *simulation) newRequest() *broker.Request {
	r := &broker.Request{ID: fmt.Sprintf("%08x", len(s.order)+1), Object: s.objects.Uint64() + 1,
		Part: s.random.IntN(2), Group: s.random.IntN(9) - 1, SizeKB: 5 + 100*s.random.Float64(),
		ReceivedAt: s.now - s.milliseconds(5), Timeout: 300*millisecond + s.milliseconds(2000),
		Team: []string{"small", "large", "other"}[s.random.IntN(3)]}
	if s.random.IntN(3) == 0 {
		r.Class = s.random.IntN(len(s.config.Classes))
	}
	r.ObjectName = fmt.Sprintf("object %d", r.Object)
	if s.random.IntN(5) == 0 {
		r.ETag = "known"
	}
	switch s.random.IntN(10) {
	case 0:
		r.SizeKB = 0 // not told
	case 1:
		r.SizeKB *= 6
	}
	if n := len(s.order); n > 0 && s.random.IntN(100) == 0 {
		r.ID = s.order[n-1].ID // that may be open
	}
	return r
}

// arrive has a request come; some clients leave early, a few of them in the same round.
func (s *simulation) arrive(r *broker.Request) {
	if class := s.config.Classes[r.Class]; class.Idempotency == policy.IdempotentByKey {
		r.Key = r.ID
	}
	request := &clientRequest{Request: r}
	s.requests[r] = request
	s.order = append(s.order, request)
	s.events = append(s.events, broker.RequestReceived{Request: r})
	if s.random.IntN(25) > 0 {
		return
	}
	if s.random.IntN(4) == 0 {
		s.withdraw(request)
		return
	}
	s.plan(s.milliseconds(200), func() { s.withdraw(request) })
}

func (s *simulation) withdraw(r *clientRequest) {
	if r.answers > 0 {
		return
	}
	s.counts["clients that left"]++
	r.Canceled = true
	s.events = append(s.events, broker.RequestCanceled{Request: r.Request})
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
	for len(s.schedule) > 0 && s.schedule[0].at <= s.now {
		heap.Pop(&s.schedule).(planned).run()
	}
}

// step has one thing happen, mostly a request.
func (s *simulation) step() {
	switch n := s.random.IntN(200); {
	case n < 6:
		s.counts["purges"]++
		purge := broker.Purge{Object: s.objects.Uint64() + 1, Issued: s.now + clockAhead - s.milliseconds(100)}
		if s.random.IntN(3) == 0 {
			purge.Object, purge.Group = 0, 1+s.random.IntN(7)
		}
		s.events = append(s.events, purge)
	case n < 12:
		s.changeEndpoint()
	case n < 14:
		s.reload(s.random.IntN(2), false)
	case n < 16:
		s.counts["sources heard or silent"]++
		s.events = append(s.events, broker.SourceStatus{Source: s.random.IntN(2), Silent: s.random.IntN(2) == 0})
	case n < 24:
		s.modes[s.anyEndpoint().ID] = behaviour(s.random.IntN(int(behaviours)))
	case n < 32:
		s.modes[s.anyEndpoint().ID] = healthy
	case n < 33:
		s.events = append(s.events, broker.HealthChecked{Endpoint: 1, Status: policy.StatusError})
	case n < 37: // a burst
		for range 10 {
			s.arrive(s.newRequest())
		}
	default:
		s.arrive(s.newRequest())
	}
}

func (s *simulation) anyEndpoint() *membership.Endpoint {
	return &s.endpoints[s.random.IntN(len(s.endpoints))]
}

// changeEndpoint has a source tell that one endpoint drains, goes, comes back, has started anew or is elsewhere.
func (s *simulation) changeEndpoint() {
	endpoint := s.anyEndpoint()
	states := []membership.State{membership.Gone, membership.Up, membership.Up, membership.Up, membership.Draining}
	if endpoint.State = states[s.random.IntN(len(states))]; endpoint.State == membership.Draining {
		s.counts["drains"]++
	}
	switch s.random.IntN(4) {
	case 0:
		endpoint.StartedAt = s.now + clockAhead - s.milliseconds(1000)
		s.modes[endpoint.ID] = healthy
	case 1:
		endpoint.Address = fmt.Sprintf("10.0.1.%d:1", s.random.IntN(30))
	}
	s.version++
	s.events = append(s.events, broker.EndpointDelta{Source: s.random.IntN(2), Version: s.version,
		Endpoints: []membership.Endpoint{*endpoint}})
}

// reload has the whole list of a source come, which may lack some endpoints unless it confirms.
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

// finish ends what is open, by itself or by a cut-off, and checks that each request has its one end.
func (s *simulation) finish(cutOff bool) {
	if cutOff {
		s.counts["cut-offs"]++
		s.events = append(s.events, broker.FailInFlight{})
		s.round()
	}
	for range 300 {
		s.pass(10 * millisecond)
		s.round()
	}
	for _, r := range s.order {
		if r.answers == 0 && !r.Canceled && s.now > r.ReceivedAt+r.Timeout {
			s.t.Errorf("request %s has no final answer", r.ID)
		}
	}
	held := s.broker.Sizes()
	fmt.Fprintf(s.digest, "held %d %d %d %d %d %d\n", held.Open, held.PolicyRequests, held.Timers, held.Endpoints, held.GoneEndpoints,
		held.Purges)
}

// decisionLine plays one seed and gives its line of the file: the seed, the number of effects, the digest.
func decisionLine(t *testing.T, seed uint64, counts map[string]int) string {
	t.Helper()
	s := newSimulation(t, seed, counts)
	s.run(200 + 40*int(seed))
	s.finish(seed%2 == 1)
	return fmt.Sprintf("%d %d %x", seed, s.effects, s.digest.Sum(nil)[:16])
}

// decisionMinimums is how often each kind of thing happens at least, over all seeds. Fewer would mean that the
// digests pin less than they seem to.
var decisionMinimums = map[string]int{
	"barred at writing": 300, "cancels": 1000, "cancels to be confirmed": 30, "changed endpoints": 300,
	"clients that left": 300, "confirmations": 20, "cut-offs": 6, "drains": 80, "ejections": 100,
	"final answers: answered": 5000, "final answers: failed": 400, "final answers: rejected": 8000,
	"final answers: same": 600, "hedges": 300, "late answers": 300, "lines endpoint-added": 100,
	"lines endpoint-recovered": 40, "lines endpoint-draining": 60, "lines endpoint-suppressed": 7, "lines endpoint-removed": 80,
	"lines endpoint-moved": 50, "lines endpoint-released": 5, "lines endpoint-restarted": 50, "lines drain-deadline": 6,
	"lines list-loss-suspected": 20, "lines list-loss-refuted": 20, "lines snapshot-restored": 3, "over a budget": 1000,
	"purges": 300, "readmissions": 50, "reloaded lists": 100, "restarted endpoints": 100, "retries": 3000,
	"sends": 10000, "sources heard or silent": 100, "written with an age": 5000,
}

// TestDecisions plays random event sequences and compares the digests of all effects with those that are on file.
func TestDecisions(t *testing.T) {
	counts := map[string]int{}
	var lines []string
	for seed := uint64(1); seed <= decisionSeeds; seed++ {
		lines = append(lines, decisionLine(t, seed, counts))
	}
	for name, least := range decisionMinimums {
		if counts[name] < least {
			t.Errorf("%s: %d over all seeds, at least %d wanted", name, counts[name], least)
		}
	}
	compareDecisions(t, lines)
	t.Log(counts)
}

// compareDecisions compares lines with the file, or writes it when that is asked for.
func compareDecisions(t *testing.T, lines []string) {
	t.Helper()
	if *update {
		if err := os.MkdirAll(filepath.Dir(decisionsFile), 0o755); err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(decisionsFile, []byte(strings.Join(lines, "\n")+"\n"), 0o644); err != nil {
			t.Fatal(err)
		}
		return
	}
	text, err := os.ReadFile(decisionsFile)
	if err != nil {
		t.Fatalf("%v; go test ./broker -run TestDecisions -update writes it", err)
	}
	want := strings.Split(strings.TrimSpace(string(text)), "\n")
	if len(want) != len(lines) {
		t.Fatalf("%s has %d seeds, %d were played", decisionsFile, len(want), len(lines))
	}
	differ := 0
	for i, line := range lines {
		if line != want[i] {
			differ++
			t.Errorf("seed, actions, digest: %s, want %s", line, want[i])
		}
	}
	if differ > 0 {
		t.Errorf("%d of %d seeds differ: the broker or the module decides otherwise. Only where that is meant: "+
			"go test ./broker -run TestDecisions -update", differ, len(lines))
	}
}

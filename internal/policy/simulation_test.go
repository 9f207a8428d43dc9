package policy_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"sloequay/internal/digesttest"
	"sloequay/internal/policy"
	"sloequay/internal/policy/outlier"
)

// behaviour is how an endpoint responds to attempts.
type behaviour int

const (
	healthy behaviour = iota
	slow
	silent
	unreachable
	rejecting
	failing
	resetting
	behaviourCount
)

// clientRequest is the simulation's state of a request.
type clientRequest struct {
	event    policy.RequestEvent
	attempts int
	inFlight int          // attempts without a response
	done     map[int]bool // attempts that have ended
	ended    bool
}

// simulation runs one seed: it simulates the clients, the endpoints and the endpoint list, and digests the engine's
// actions.
type simulation struct {
	random     *rand.Rand
	engine     *policy.Engine
	config     policy.Config
	now        time.Duration
	eventQueue digesttest.EventQueue[policy.Event]
	endpoints  []policy.Endpoint
	modes      map[policy.EndpointID]behaviour
	ejected    map[policy.EndpointID]bool
	requests   map[policy.RequestID]*clientRequest
	lastID     policy.RequestID
	meanGap    time.Duration
	objects    *rand.Zipf
	recorder   *digesttest.Recorder
	counts     map[string]int
}

func newSimulation(
	t *testing.T, seed uint64, recorder *digesttest.Recorder, counts map[string]int,
) *simulation {
	t.Helper()
	random := rand.New(rand.NewPCG(seed, 0x51_0e))
	config := decisionConfig(seed)
	engine, err := policy.New(config, seed)
	if err != nil {
		t.Fatal(err)
	}
	s := &simulation{random: random, engine: engine, config: config, now: 100 * time.Second,
		modes: map[policy.EndpointID]behaviour{}, ejected: map[policy.EndpointID]bool{},
		requests: map[policy.RequestID]*clientRequest{}, objects: rand.NewZipf(random, 1.2, 4, 400),
		meanGap: time.Duration(3+random.IntN(16)) * millisecond, recorder: recorder, counts: counts}
	for i := range 1 + random.IntN(10) {
		s.addEndpoint(policy.EndpointID(1+i), cacheKind, ownZone, 2+random.IntN(10))
	}
	for i := range 1 + random.IntN(3) {
		s.addEndpoint(policy.EndpointID(50+i), cacheKind, otherZone, 8)
	}
	for i := range 2 + random.IntN(3) {
		s.addEndpoint(policy.EndpointID(100+i), parentKind, i%2, 10+random.IntN(30))
	}
	s.addEndpoint(200, originKind, 0, 1)
	s.handle(policy.ListEvent{Kind: policy.ListCached, Endpoints: s.endpoints})
	return s
}

func (s *simulation) addEndpoint(id policy.EndpointID, kind, zone, weight int) {
	endpoint := policy.Endpoint{ID: id, Zone: zone, Kind: kind, Cell: int(id) % 2, State: policy.Ready,
		Weight: float64(weight)}
	if s.random.IntN(4) == 0 {
		endpoint.StartedAt = s.now - time.Duration(s.random.IntN(5000))*millisecond
	}
	s.endpoints = append(s.endpoints, endpoint)
}

// plan adds an event to the queue, due after a delay.
func (s *simulation) plan(delay time.Duration, event policy.Event) {
	s.eventQueue.Schedule(s.now+delay, event)
}

// milliseconds draws a duration below a number of milliseconds.
func (s *simulation) milliseconds(below int) time.Duration {
	return time.Duration(s.random.IntN(below*1000)) * time.Microsecond
}

// handle passes an event to the engine, and digests and applies the resulting actions.
func (s *simulation) handle(event policy.Event) {
	for _, action := range s.engine.Handle(s.now, event) {
		s.recorder.Add("%d %s", int64(s.now), actionText(action))
		s.applyAction(action)
	}
	s.recorder.AddUncounted("open %d", s.engine.OpenRequests())
}

// actionText formats an action without any identifier of the code, so that renames leave the digests unchanged.
func actionText(action policy.Action) string {
	switch a := action.(type) {
	case policy.SendAttempt:
		return fmt.Sprintf("send %d %d %d %d %d %d %s", uint32(a.ID), uint64(a.Endpoint), int64(a.Timeout),
			uint64(a.Source), a.CacheRank, int64(a.MaxAge),
			digesttest.Flags(a.JoinFill, a.CachedOnly, a.BypassParent, a.Revalidate))
	case policy.Reject:
		return fmt.Sprintf("reject %d %d", uint32(a.ID), int64(a.RetryAfter))
	case policy.Fail:
		return fmt.Sprintf("fail %d", uint32(a.ID))
	case policy.CancelAttempt:
		return fmt.Sprintf("cancel %d %d", uint32(a.ID), a.Attempt)
	case policy.SetTimer:
		return fmt.Sprintf("timer %d %d", a.Token, int64(a.At))
	case policy.Watch:
		return "watch " + digesttest.Flags(a.On)
	case policy.EndpointEjected:
		return fmt.Sprintf("log ejected %x: %s", uint64(a.Endpoint), digestedCauses[a.Cause])
	case policy.EndpointReadmitted:
		return fmt.Sprintf("log trusted again %x", uint64(a.Endpoint))
	}
	panic("unknown kind of action: add its text to actionText")
}

// digestedCauses are the words for causes in the digests on file, which do not distinguish slow fills from failures.
var digestedCauses = map[outlier.Cause]string{
	outlier.Failing: "failing", outlier.Unresponsive: "silent", outlier.SlowFills: "failing",
}

// applyAction carries out an action in the simulation.
func (s *simulation) applyAction(action policy.Action) {
	switch a := action.(type) {
	case policy.SendAttempt:
		s.planResponse(a)
	case policy.Reject:
		s.counts["rejections"]++
		s.end(a.ID)
		if request := s.requests[a.ID]; s.random.IntN(3) == 0 { // the client retries
			retry := request.event
			retry.Retry = true
			s.plan(a.RetryAfter+s.milliseconds(50), retry)
		}
	case policy.Fail:
		s.counts["failures"]++
		s.end(a.ID)
	case policy.CancelAttempt:
		s.counts["cancels"]++
		s.cancel(a)
	case policy.SetTimer:
		s.plan(a.At-s.now, policy.TimerEvent{Token: a.Token})
	case policy.Watch:
		s.counts["watches"]++
	case policy.EndpointEjected:
		s.ejected[a.Endpoint] = true
		s.counts["ejections, "+digestedCauses[a.Cause]]++
	case policy.EndpointReadmitted:
		delete(s.ejected, a.Endpoint)
		s.counts["readmissions"]++
	}
}

func (s *simulation) end(id policy.RequestID) {
	if request := s.requests[id]; request != nil {
		request.ended = true
	}
}

// cancel usually ends an attempt that the engine canceled; its response may be planned already.
func (s *simulation) cancel(cancel policy.CancelAttempt) {
	request := s.requests[cancel.ID]
	if s.random.IntN(5) == 0 {
		return
	}
	event := policy.ResponseEvent{ID: cancel.ID, Attempt: cancel.Attempt, Elapsed: 100 * millisecond,
		Status: policy.StatusCanceled}
	if s.random.IntN(4) == 0 {
		event.Status = policy.StatusNotExecuted
	}
	if !request.done[cancel.Attempt] {
		s.plan(s.milliseconds(5), event)
	}
}

// planResponse plans the response to an attempt, according to the behaviour of its endpoint and of its source.
func (s *simulation) planResponse(sent policy.SendAttempt) {
	request := s.requests[sent.ID]
	s.countSend(request, sent)
	event := policy.ResponseEvent{ID: sent.ID, Attempt: request.attempts}
	request.attempts++
	request.inFlight++
	event.Elapsed = time.Duration(request.event.SizeKB*float64(millisecond)) + s.milliseconds(30)
	s.drawHealthyResponse(sent, &event)
	s.applySourceFault(sent, &event)
	if !s.applyEndpointFault(sent, &event) {
		return
	}
	s.plan(event.Elapsed, event)
	if s.random.IntN(60) == 0 { // a duplicate response
		s.plan(event.Elapsed+s.milliseconds(100), event)
	}
}

func (s *simulation) countSend(request *clientRequest, sent policy.SendAttempt) {
	s.counts["sends"]++
	switch {
	case request.inFlight > 0:
		s.counts["hedges"]++
	case request.attempts > 0:
		s.counts["retries"]++
	}
	s.counts[fmt.Sprintf("sends of class %d", request.event.Class)]++
	s.counts[fmt.Sprintf("copies at rank %d", sent.CacheRank)]++
	for name, applies := range map[string]bool{
		"fills by a cache":         sent.Source != sent.Endpoint && sent.Endpoint < 100,
		"fills by a sibling":       sent.Source < 100 && sent.Source != sent.Endpoint,
		"sends to a parent":        sent.Endpoint >= 100 && sent.Endpoint < 200,
		"sends to the origin":      sent.Endpoint == 200,
		"sends for cached copies":  sent.CachedOnly,
		"sends with a maximum age": sent.MaxAge > 0,
		"sends that join fills":    sent.JoinFill,
		"sends that revalidate":    sent.Revalidate,
		"trials":                   s.ejected[sent.Endpoint],
	} {
		if applies {
			s.counts[name]++
		}
	}
}

// drawHealthyResponse draws the response of an endpoint without faults.
func (s *simulation) drawHealthyResponse(sent policy.SendAttempt, event *policy.ResponseEvent) {
	if sent.Source == sent.Endpoint {
		if event.Note = policy.NoteHit; s.random.IntN(2) == 0 && sent.Endpoint < 100 {
			event.Status, event.Note = policy.StatusMiss, policy.NoteNone
		}
		return
	}
	notes := []policy.Note{policy.NoteFilled, policy.NoteFilled, policy.NoteFilledOrigin, policy.NoteFilledOrigin,
		policy.NoteHit, policy.NoteJoined, policy.NoteNoCapacity, policy.NoteStale, policy.NoteNone}
	event.Note = notes[s.random.IntN(len(notes))]
	event.Elapsed += s.milliseconds(60)
	if sent.CachedOnly && s.random.IntN(2) == 0 {
		event.Status, event.Note = policy.StatusMiss, policy.NoteSourceMiss
	}
}

// applySourceFault changes a response according to the behaviour of its source.
func (s *simulation) applySourceFault(sent policy.SendAttempt, event *policy.ResponseEvent) {
	if sent.Source == sent.Endpoint {
		return
	}
	switch s.modes[sent.Source] {
	case slow:
		event.Elapsed += s.milliseconds(1500)
	case silent, unreachable:
		event.Status, event.Note = policy.StatusError, policy.NoteSourceLost
	case rejecting:
		event.Status, event.Note = policy.StatusAtCapacity, policy.NoteSourceRejected
	case failing, resetting:
		event.Status, event.Note = policy.StatusError, policy.NoteOriginFailed
	}
}

// applyEndpointFault changes a response according to the behaviour of the endpoint or a rare random fault, and reports
// whether the endpoint responds at all.
func (s *simulation) applyEndpointFault(sent policy.SendAttempt, event *policy.ResponseEvent) bool {
	mode := s.modes[sent.Endpoint]
	if s.random.IntN(40) == 0 {
		mode = behaviour(s.random.IntN(int(behaviourCount)))
	}
	switch mode {
	case slow:
		event.Elapsed += s.milliseconds(1500)
	case silent:
		if s.random.IntN(3) > 0 {
			return false
		}
		event.Status, event.Note, event.Elapsed = policy.StatusTimeout, policy.NoteNone, 800*millisecond
	case unreachable:
		event.Status, event.Note, event.Elapsed = policy.StatusConnectFailed, policy.NoteNone, s.milliseconds(20)
	case rejecting:
		event.Status, event.Note, event.Elapsed = policy.StatusAtCapacity, policy.NoteNone, s.milliseconds(100)
	case failing:
		event.Status, event.Note = policy.StatusError, policy.NoteNone
	case resetting:
		event.Status, event.Note = policy.StatusReset, policy.NoteNone
	}
	return true
}

// deliver handles one planned event, which may be late.
func (s *simulation) deliver(event policy.Event) {
	switch e := event.(type) {
	case policy.ResponseEvent:
		request := s.requests[e.ID]
		if request.ended && s.random.IntN(2) == 0 {
			return // the other half of the late responses reaches the engine
		}
		if request.ended || request.done[e.Attempt] {
			s.counts["late responses"]++
		}
		if !request.done[e.Attempt] {
			request.done[e.Attempt] = true
			request.inFlight--
		}
		e.Concluded = request.ended || e.Status == policy.StatusOK
		request.ended = e.Concluded
		s.handle(e)
	case policy.ClientGoneEvent:
		if request := s.requests[e.ID]; !request.ended {
			s.counts["clients that left"]++
			request.ended = true
			s.handle(e)
		}
	case policy.RequestEvent:
		s.sendRequest(e)
	case policy.TimerEvent:
		s.counts["ticks"]++
		s.handle(e)
	default:
		s.handle(e)
	}
}

// sendRequest handles a request with a new ID, and plans when its client leaves.
func (s *simulation) sendRequest(event policy.RequestEvent) {
	s.lastID++
	event.ID = s.lastID
	s.requests[event.ID] = &clientRequest{event: event, done: map[int]bool{}}
	clientTimeout := event.Remaining
	if s.random.IntN(30) == 0 {
		clientTimeout = s.milliseconds(200)
	}
	s.plan(clientTimeout, policy.ClientGoneEvent{ID: event.ID})
	s.handle(event)
}

// drawRequest draws a request.
func (s *simulation) drawRequest() policy.RequestEvent {
	event := policy.RequestEvent{Object: s.objects.Uint64() + 1, Part: s.random.IntN(2), Group: s.random.IntN(8),
		Remaining: 500*millisecond + s.milliseconds(3000), SizeKB: 5 + 150*s.random.Float64()}
	if s.random.IntN(3) == 0 {
		event.Class = s.random.IntN(len(s.config.Classes))
	}
	switch s.random.IntN(10) {
	case 0:
		event.SizeKB = 0 // unknown
	case 1:
		event.SizeKB *= 6
	}
	return event
}

// run runs a number of steps, each after the events that are due before it.
func (s *simulation) run(steps int) {
	for range steps {
		until := s.now + time.Duration(s.random.ExpFloat64()*float64(s.meanGap))
		if s.random.IntN(1500) == 0 {
			until += 70 * time.Second // a quiet time, after which endpoints that are long gone are forgotten
		}
		if s.random.IntN(400) == 0 {
			s.now = until + s.milliseconds(1500) // a standstill: events due meanwhile come late
			until = s.now
		}
		for at, event := range s.eventQueue.PopDue(until) {
			s.now = max(s.now, at)
			s.deliver(event)
			if until-s.now > time.Minute { // deliver events of a quiet time at its end, as it would have too many ticks
				s.now = until - millisecond
			}
		}
		s.now = until
		s.step()
	}
}

// step draws one event, mostly a request.
func (s *simulation) step() {
	switch n := s.random.IntN(200); {
	case n < 4:
		s.counts["purges"]++
		s.handle(policy.PurgeEvent{Object: s.objects.Uint64() + 1, Age: s.milliseconds(300)})
	case n < 6:
		s.counts["purges"]++
		s.handle(policy.PurgeEvent{Group: 1 + s.random.IntN(7), Age: s.milliseconds(300)})
	case n < 11:
		s.changeEndpoint()
	case n < 12:
		s.reloadList()
	case n < 18:
		id := s.endpoints[s.random.IntN(len(s.endpoints))].ID
		s.modes[id] = behaviour(s.random.IntN(int(behaviourCount)))
	case n < 24:
		s.modes[s.endpoints[s.random.IntN(len(s.endpoints))].ID] = healthy
	case n < 26:
		s.sendInvalidEvents()
	case n < 30: // a burst
		for range 10 {
			s.sendRequest(s.drawRequest())
		}
	default:
		s.sendRequest(s.drawRequest())
	}
}

// changeEndpoint handles a list event in which one endpoint drains, leaves, returns or has restarted.
func (s *simulation) changeEndpoint() {
	endpoint := &s.endpoints[s.random.IntN(len(s.endpoints))]
	states := []policy.State{policy.Gone, policy.Ready, policy.Ready, policy.Ready, policy.Draining}
	endpoint.State = states[s.random.IntN(len(states))]
	if endpoint.State == policy.Draining {
		s.counts["drains"]++
	}
	if s.random.IntN(2) == 0 {
		s.counts["restarts"]++
		endpoint.StartedAt = s.now - s.milliseconds(1000)
		s.modes[endpoint.ID] = healthy
	}
	s.handle(policy.ListEvent{Kind: policy.ListDelta, Endpoints: []policy.Endpoint{*endpoint}})
}

// reloadList handles a whole list, which may lack one endpoint, or the failure to get a list.
func (s *simulation) reloadList() {
	s.counts["reloaded lists"]++
	for i := range s.endpoints {
		s.endpoints[i].State = policy.Ready
	}
	listed := append([]policy.Endpoint(nil), s.endpoints...)
	if missing := s.random.IntN(2 * len(listed)); missing < len(listed) {
		listed = append(listed[:missing], listed[missing+1:]...)
	}
	kinds := []policy.ListKind{policy.ListFull, policy.ListCached, policy.ListFailed}
	kind := kinds[s.random.IntN(len(kinds))]
	if kind == policy.ListFailed {
		listed = nil
	}
	s.handle(policy.ListEvent{Kind: kind, Endpoints: listed})
}

// sendInvalidEvents handles events that name unknown requests, attempts, timers and classes.
func (s *simulation) sendInvalidEvents() {
	s.handle(policy.ResponseEvent{ID: 1 << 30, Attempt: s.random.IntN(9) - 1})
	s.handle(policy.ClientGoneEvent{ID: 1 << 30})
	s.handle(policy.TimerEvent{Token: 999})
	s.handle(policy.RequestEvent{ID: 1 << 30, Class: 99, Remaining: time.Second})
	for range 3 {
		s.handle(policy.ClockEvent{})
	}
}

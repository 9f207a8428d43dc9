package broker

import (
	"fmt"
	"slices"
	"time"

	"pgregory.net/rapid"

	"sloequay/internal/membership"
	"sloequay/internal/policy"
)

// The classes of a harness. Requests of zonedClass and onceClass must not be rejected once they may have run, and those
// of onceClass must not be sent again either.
const (
	safeClass = iota
	keyedClass
	zonedClass
	onceClass
)

// harnessDedupWindow is how long the endpoints of a harness drop repeats of keyed requests.
const harnessDedupWindow = 500 * time.Millisecond

// harness drives a broker as a pool of connections and a frontend do, and leaves the events and their times to the
// test. It checks the broker's invariants at each write and each response.
type harness struct {
	t              rapid.TB
	broker         *Broker
	now            time.Duration
	events         []Event // of the next round
	endpoints      []membership.Endpoint
	version        uint64 // of the endpoint list
	requests       []*Request
	responses      map[*Request]int
	waiting        []*Attempt                 // sent by the broker, not yet written
	inFlight       []*Attempt                 // written, neither ended nor canceled
	canceled       []*Attempt                 // canceled in flight, their ends not yet reported
	ended          []*Attempt                 // written, and their ends reported
	mayHaveRun     map[*Request]bool          // an attempt of the request may have run
	writtenAt      map[*Attempt]time.Duration // of attempts that may have run
	written        map[*Request]int           // number of written attempts
	canceledBefore map[*Request]bool          // canceled in an earlier round
}

func harnessConfig() policy.Config {
	class := policy.Class{LatencyObjective: 300 * time.Millisecond, Deadline: 2 * time.Second}
	safe, keyed, zoned, once := class, class, class, class
	safe.Name = "safe"
	keyed.Name = "keyed"
	keyed.Idempotency = policy.IdempotentByKey
	keyed.DedupWindow = harnessDedupWindow
	keyed.Write = true
	zoned.Name = "zoned"
	zoned.Idempotency = policy.IdempotentByKey
	zoned.DedupScope = policy.DedupZone
	zoned.DedupWindow = harnessDedupWindow
	zoned.Write = true
	once.Name = "once"
	once.Idempotency = policy.NotIdempotent
	once.Write = true
	return policy.Config{
		Classes:       []policy.Class{safeClass: safe, keyedClass: keyed, zonedClass: zoned, onceClass: once},
		MaxAttempts:   6,
		OriginKind:    2,
		ParentKind:    1,
		DirectFetch:   true,
		MayCancel:     true,
		Instances:     1,
		ZoneInstances: []int{1},
	}
}

func newHarness(t rapid.TB) *harness { return newHarnessWith(t, harnessConfig()) }

// newHarnessWith returns a harness with a config, which must have the classes of harnessConfig.
func newHarnessWith(t rapid.TB, config policy.Config) *harness {
	members := membership.New(membership.Config{Sources: []membership.Source{{Name: "bulletin"}}})
	broker, err := New(config, 1, 100, nil, members)
	if err != nil {
		t.Fatal(err)
	}
	x := &harness{
		t:              t,
		broker:         broker,
		now:            1000 * time.Second,
		version:        1,
		responses:      map[*Request]int{},
		mayHaveRun:     map[*Request]bool{},
		writtenAt:      map[*Attempt]time.Duration{},
		written:        map[*Request]int{},
		canceledBefore: map[*Request]bool{},
	}
	kinds := []int{0, 0, 1, 1, 2}
	for i, id := range []string{"c1", "c2", "p1", "p2", "o1"} {
		address := fmt.Sprintf("10.0.0.%d:1", i+1)
		x.endpoints = append(x.endpoints,
			membership.Endpoint{ID: id, Address: address, Kind: kinds[i], State: membership.Up})
	}
	x.add(EndpointList{List: membership.List{Version: 1, Endpoints: slices.Clone(x.endpoints)}})
	x.round()
	return x
}

// add adds an event to the next round.
func (x *harness) add(event Event) { x.events = append(x.events, event) }

// receive adds a request of a class to the next round.
func (x *harness) receive(class int) *Request {
	request := &Request{
		ID:         fmt.Sprintf("%016x", len(x.requests)+1),
		Class:      class,
		Object:     uint64(len(x.requests)%3 + 1),
		Group:      -1,
		ReceivedAt: x.now,
		Timeout:    2 * time.Second,
		SizeKB:     1,
	}
	if class == keyedClass || class == zonedClass {
		request.Key = request.ID
	}
	x.requests = append(x.requests, request)
	x.add(RequestReceived{request})
	return request
}

// cancel cancels a request as its client.
func (x *harness) cancel(request *Request) {
	request.Canceled = true
	x.add(RequestCanceled{request})
}

// report makes the list report the state of the endpoint at an index.
func (x *harness) report(index int, state membership.State) {
	x.version++
	x.endpoints[index].State = state
	x.add(EndpointDelta{Version: x.version, Endpoints: []membership.Endpoint{x.endpoints[index]}})
}

// reportNamed makes the list report the state of the endpoint with a name.
func (x *harness) reportNamed(name string, state membership.State) {
	named := func(endpoint membership.Endpoint) bool { return endpoint.ID == name }
	x.report(slices.IndexFunc(x.endpoints, named), state)
}

// takeWaiting removes and returns the waiting attempt at an index.
func (x *harness) takeWaiting(index int) *Attempt {
	attempt := x.waiting[index]
	x.waiting = slices.Delete(x.waiting, index, index+1)
	return attempt
}

// write writes the waiting attempt at an index if MaySend allows it.
func (x *harness) write(index int) {
	attempt := x.takeWaiting(index)
	if _, ok := x.broker.MaySend(attempt, x.now); !ok {
		x.add(AttemptEnded{Attempt: attempt, End: Blocked})
		return
	}
	x.checkWrite(attempt)
	request := attempt.Request
	attempt.Written = true
	x.written[request]++
	x.mayHaveRun[request] = true
	x.writtenAt[attempt] = x.now
	x.inFlight = append(x.inFlight, attempt)
}

// writeAll writes all waiting attempts.
func (x *harness) writeAll() {
	for len(x.waiting) > 0 {
		x.write(0)
	}
}

// checkWrite checks the invariants that concern the write of an attempt.
func (x *harness) checkWrite(attempt *Attempt) {
	request, endpoint, source := attempt.Request, attempt.Endpoint, attempt.Source
	switch {
	case x.canceledBefore[request]:
		x.t.Fatalf("request %s was canceled in an earlier round but is written to %s", request.ID, endpoint.Name)
	case endpoint.State != policy.Ready || source.State != policy.Ready:
		x.t.Fatalf("request %s is written to %s, which fills from %s: got states %v and %v, want both ready",
			request.ID, endpoint.Name, source.Name, endpoint.State, source.State)
	case request.Class == onceClass && x.mayHaveRun[request]:
		x.t.Fatalf("request %s may have run and must not be repeated, but is written to %s", request.ID, endpoint.Name)
	}
	for _, other := range slices.Concat(x.inFlight, x.canceled) {
		if other.Request == request {
			x.t.Fatalf("request %s is written to %s while it is in flight at %s",
				request.ID, endpoint.Name, other.Endpoint.Name)
		}
	}
	for _, other := range request.attempts {
		writtenAt := x.writtenAt[other]
		if writtenAt > 0 && request.Key != "" && x.now-writtenAt > harnessDedupWindow {
			x.t.Fatalf("request %s is written to %s %v after an attempt that may have run, want at most %v",
				request.ID, endpoint.Name, x.now-writtenAt, harnessDedupWindow)
		}
	}
}

// end ends the attempt in flight at an index.
func (x *harness) end(index int, end End) { x.endInFlight(index, AttemptEnded{End: end}) }

// endInFlight ends the attempt in flight at an index with an event.
func (x *harness) endInFlight(index int, event AttemptEnded) {
	attempt := x.inFlight[index]
	x.inFlight = slices.Delete(x.inFlight, index, index+1)
	x.ended = append(x.ended, attempt)
	if !event.MayHaveRun && slices.Contains([]End{CacheMiss, Rejected, AlreadyEnded}, event.End) {
		x.mayHaveRun[attempt.Request] = false // it was the only attempt in flight
		delete(x.writtenAt, attempt)
	}
	event.Attempt = attempt
	x.add(event)
}

// round passes the events to the broker in their order and carries out the effects.
func (x *harness) round() {
	events := x.events
	x.events = nil // of the next round
	for _, effect := range x.broker.Round(x.now, events) {
		switch e := effect.(type) {
		case SendAttempt:
			x.waiting = append(x.waiting, e.Attempt)
		case CancelAttempt:
			x.cancelAttempt(e)
		case Respond:
			x.checkResponse(e)
		}
	}
	for _, request := range x.requests {
		x.canceledBefore[request] = request.Canceled
	}
}

// cancelAttempt carries out a CancelAttempt. A waiting attempt that is canceled without AwaitEnd stays in waiting: the
// pool may be about to write it.
func (x *harness) cancelAttempt(effect CancelAttempt) {
	remove := func(attempts *[]*Attempt) bool {
		index := slices.Index(*attempts, effect.Attempt)
		if index >= 0 {
			*attempts = slices.Delete(*attempts, index, index+1)
		}
		return index >= 0
	}
	switch {
	case effect.AwaitEnd && remove(&x.waiting):
		x.add(AttemptEnded{Attempt: effect.Attempt, End: Canceled})
	case effect.AwaitEnd && remove(&x.inFlight):
		x.canceled = append(x.canceled, effect.Attempt)
	case !effect.AwaitEnd && !remove(&x.inFlight):
		remove(&x.canceled)
	}
}

// checkResponse checks the invariants that concern a response.
func (x *harness) checkResponse(effect Respond) {
	request := effect.Request
	x.responses[request]++
	if x.responses[request] > 1 || x.canceledBefore[request] {
		x.t.Fatalf("request %s: got %d responses, canceled in an earlier round: %v",
			request.ID, x.responses[request], x.canceledBefore[request])
	}
	rejected := effect.Response.Kind == ResponseRejected
	if rejected && x.mayHaveRun[request] && request.Class >= zonedClass {
		x.t.Fatalf("request %s may have run but is rejected: %s", request.ID, effect.Response.Reason)
	}
}

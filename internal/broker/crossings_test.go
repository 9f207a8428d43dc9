package broker

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"sloequay/internal/membership"
	"sloequay/internal/policy"
)

// inFlightEnds are the ends that the pool may report for an attempt in flight, other than Canceled.
var inFlightEnds = []End{
	Served, CacheMiss, Rejected, Failed, AlreadyEnded, ConnectionReset, ProtocolError, Unresponsive,
}

// TestCrossings checks the invariants under random events in random order: each request ends exactly once and in time;
// nothing is written to an endpoint that is draining or gone, filled from one, or written for a client that canceled;
// no two attempts of a request are in flight together; a request that may have run and must not be repeated is not
// repeated; and the broker and the policy hold no request in the end.
func TestCrossings(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		x := newHarness(t)
		for range rapid.IntRange(5, 60).Draw(t, "rounds") {
			for range rapid.IntRange(1, 5).Draw(t, "events") {
				drawEvent(t, x)
			}
			x.now += time.Duration(rapid.IntRange(0, 120).Draw(t, "ms")) * time.Millisecond
			x.round()
		}
		for range 300 { // endpoints send nothing more
			x.now += 10 * time.Millisecond
			x.round()
		}
		for _, request := range x.requests {
			if x.responses[request] == 0 && !request.Canceled {
				t.Fatalf("request %s: got no response, want one", request.ID)
			}
		}
		if sizes := x.broker.Sizes(); sizes.Open+sizes.PolicyRequests > 0 {
			t.Fatalf("sizes after all requests ended: got %+v, want no open requests", sizes)
		}
	})
}

// drawEvent draws one event and adds it, if there is a request, attempt or endpoint that it can apply to.
func drawEvent(t *rapid.T, x *harness) {
	pick := func(n int) int { return rapid.IntRange(0, n-1).Draw(t, "which") }
	states := []membership.State{membership.Up, membership.Draining, membership.Gone}
	switch kind := rapid.IntRange(0, 9).Draw(t, "event"); {
	case kind <= 1:
		x.receive(rapid.IntRange(safeClass, onceClass).Draw(t, "class"))
	case kind == 2 && len(x.requests) > 0:
		request := x.requests[pick(len(x.requests))]
		if !request.Canceled && x.responses[request] == 0 {
			x.cancel(request)
		}
	case kind == 3:
		x.report(pick(len(x.endpoints)), rapid.SampledFrom(states).Draw(t, "state"))
	case kind == 4:
		x.add(Purge{Object: uint64(1 + pick(3)), Issued: x.now})
	case kind == 5 && len(x.canceled) > 0:
		attempt := x.canceled[0]
		x.canceled = x.canceled[1:]
		x.add(AttemptEnded{Attempt: attempt, End: Canceled})
	case kind == 6 && len(x.waiting) > 0:
		attempt := x.takeWaiting(pick(len(x.waiting)))
		end := rapid.SampledFrom([]End{ConnectFailed, NotSent, NoConnectionCapacity}).Draw(t, "unsent")
		x.add(AttemptEnded{Attempt: attempt, End: end})
	case kind == 7 && len(x.inFlight) > 0:
		index := pick(len(x.inFlight))
		end := rapid.SampledFrom(inFlightEnds).Draw(t, "end")
		x.endInFlight(index, AttemptEnded{End: end, MayHaveRun: rapid.Bool().Draw(t, "may have run")})
	case kind == 8 && len(x.ended) > 0: // a second end of one attempt
		attempt := x.ended[pick(len(x.ended))]
		x.add(AttemptEnded{Attempt: attempt, End: rapid.SampledFrom(inFlightEnds).Draw(t, "second end")})
	case len(x.waiting) > 0:
		x.write(pick(len(x.waiting)))
	}
}

// eventOrder says which of two events comes first in a round.
type eventOrder string

const (
	changeFirst  eventOrder = "change first"
	requestFirst eventOrder = "request first"
)

// TestDrainCrossesRequest delivers a request and a list change of its endpoint or source in one round, in both
// orders.
func TestDrainCrossesRequest(t *testing.T) {
	const cache1, cache2, parent1 = 0, 1, 2
	for _, test := range []struct {
		name   string
		report func(x *harness)
	}{
		{"an endpoint drains", func(x *harness) { x.report(cache1, membership.Draining) }},
		{"an endpoint drains, is up and drains again", func(x *harness) {
			x.report(cache1, membership.Draining)
			x.report(cache1, membership.Up)
			x.report(cache1, membership.Draining)
		}},
		{"a source drains", func(x *harness) { x.report(parent1, membership.Draining) }},
		{"an endpoint is gone", func(x *harness) { x.report(cache2, membership.Gone) }},
	} {
		for _, order := range []eventOrder{changeFirst, requestFirst} {
			t.Run(fmt.Sprintf("%s, %s", test.name, order), func(t *testing.T) {
				checkDrainCrossesRequest(t, test.report, order)
			})
		}
	}
}

func checkDrainCrossesRequest(t *testing.T, report func(x *harness), order eventOrder) {
	t.Helper()
	const requests = 3 // few, as the number of fills is limited
	x := newHarness(t)
	if order == changeFirst {
		report(x)
	}
	for range requests {
		x.receive(safeClass)
	}
	if order == requestFirst {
		report(x)
	}
	for x.round(); len(x.responses) < requests; x.round() {
		x.writeAll() // checks the endpoints
		for len(x.inFlight) > 0 {
			x.end(0, Served)
		}
		if x.now += time.Millisecond; x.now > 1003*time.Second {
			t.Fatalf("got responses to %d requests, want %d", len(x.responses), requests)
		}
	}
	for _, request := range x.requests {
		if x.written[request] == 0 {
			t.Errorf("request %s: got no written attempt, want at least one", request.ID)
		}
	}
}

// attemptEvent adds an event that concerns an attempt, its endpoint, its object or its client.
type attemptEvent func(*harness, *Attempt)

func attemptServed(x *harness, attempt *Attempt) {
	x.add(AttemptEnded{Attempt: attempt, End: Served, Body: []byte("done")})
}

func connectionReset(x *harness, attempt *Attempt) {
	x.add(AttemptEnded{Attempt: attempt, End: ConnectionReset})
}

func endpointDrains(x *harness, attempt *Attempt) {
	x.reportNamed(attempt.Endpoint.Name, membership.Draining)
}

func endpointGone(x *harness, attempt *Attempt) {
	x.reportNamed(attempt.Endpoint.Name, membership.Gone)
}

func objectPurged(x *harness, attempt *Attempt) {
	x.add(Purge{Object: attempt.Request.Object, Issued: x.now})
}

func clientCancels(x *harness, attempt *Attempt) { x.cancel(attempt.Request) }

// twoEventsCase is a pair of events in one round, and the outcomes allowed for either order.
type twoEventsCase struct {
	name       string
	event      attemptEvent
	other      attemptEvent // nil: none
	class      int
	atDeadline bool           // the round is at the request's deadline
	want       []ResponseKind // the allowed responses; nil: no response
	retried    bool           // at another endpoint
}

// TestTwoEventsInOneRound delivers two events of one request in one round, in both orders. The allowed outcomes are
// the same for both.
func TestTwoEventsInOneRound(t *testing.T) {
	served := []ResponseKind{ResponseServed}
	failed := []ResponseKind{ResponseFailed}
	for _, test := range []twoEventsCase{
		{name: "a response at the deadline", event: attemptServed, atDeadline: true, want: served},
		{name: "a reset at the deadline", event: connectionReset, atDeadline: true,
			want: []ResponseKind{ResponseRejected, ResponseFailed}},
		{name: "a reset at the deadline, not idempotent", event: connectionReset, class: onceClass,
			atDeadline: true, want: failed},
		{name: "a drain at the deadline", event: endpointDrains, class: onceClass, atDeadline: true, want: failed},
		{name: "a response, and its endpoint drains", event: attemptServed, other: endpointDrains, want: served},
		{name: "a response, and its endpoint is gone", event: attemptServed, other: endpointGone, want: served},
		{name: "a response, and its object is purged", event: attemptServed, other: objectPurged, want: served},
		{name: "a response and a reset", event: attemptServed, other: connectionReset, class: onceClass,
			want: []ResponseKind{ResponseServed, ResponseFailed}},
		{name: "a reset, and its endpoint drains", event: connectionReset, other: endpointDrains, retried: true},
		{name: "a reset, and its endpoint drains, not idempotent", event: connectionReset,
			other: endpointDrains, class: onceClass, want: failed},
		{name: "a drain while the attempt is in flight", event: endpointDrains, class: onceClass},
		{name: "a reset, and its client cancels", event: connectionReset, other: clientCancels,
			want: []ResponseKind{}},
		{name: "a response, and its client cancels", event: attemptServed, other: clientCancels, want: served},
	} {
		t.Run(test.name+", in the order written", func(t *testing.T) {
			test.check(t, []attemptEvent{test.event, test.other})
		})
		t.Run(test.name+", in reverse order", func(t *testing.T) {
			test.check(t, []attemptEvent{test.other, test.event})
		})
	}
}

// check adds the events to one round and checks the outcome.
func (c twoEventsCase) check(t *testing.T, events []attemptEvent) {
	t.Helper()
	x := newHarness(t)
	request := x.receive(c.class)
	for x.round(); len(x.waiting) > 0 && len(x.inFlight) == 0; x.round() {
		x.write(0)
	}
	if len(x.inFlight) != 1 {
		t.Fatalf("got %d attempts in flight, want 1", len(x.inFlight))
	}
	attempt := x.inFlight[0]
	x.inFlight = nil // the events end it, so checkWrite must not count it as in flight
	if x.now += 20 * time.Millisecond; c.atDeadline {
		x.now = request.deadline
	}
	for _, event := range events {
		if event != nil {
			event(x, attempt)
		}
	}
	var responses []ResponseKind
	for _, effect := range x.broker.Round(x.now, x.events) {
		switch e := effect.(type) {
		case Respond:
			responses = append(responses, e.Response.Kind)
		case SendAttempt:
			// The pool asks this when it writes the attempt, at the end of the round.
			if _, ok := x.broker.MaySend(e.Attempt, x.now); ok {
				x.waiting = append(x.waiting, e.Attempt)
			}
		}
	}
	retried := len(x.waiting) > 0
	if !c.allows(request, responses) || retried != c.retried {
		t.Errorf("got responses %v, want one of %v; got retried %v, want %v", responses, c.want, retried, c.retried)
	}
	x.writeAll() // checks the endpoints
}

// allows reports whether the responses are among the allowed ones.
func (c twoEventsCase) allows(request *Request, responses []ResponseKind) bool {
	if len(responses) == 0 {
		return c.want == nil || request.Canceled
	}
	return len(responses) == 1 && slices.Contains(c.want, responses[0])
}

// TestResponsesAfterStandstill checks that responses in the first round after a standstill are handled before the
// policy looks for unresponsive endpoints. It guards against ejecting the endpoints that sent them.
func TestResponsesAfterStandstill(t *testing.T) {
	for _, responded := range []bool{true, false} {
		x := newHarness(t)
		for range 60 {
			x.receive(safeClass)
		}
		x.round()
		x.writeAll()
		x.now += time.Second
		if responded {
			for len(x.inFlight) > 0 {
				x.end(0, Served)
			}
		}
		ejected := 0
		for _, effect := range x.broker.Round(x.now, x.events) {
			entry, ok := effect.(LogEntry)
			if ok && entry.Event == "endpoint-ejected" {
				ejected++
			}
		}
		if (ejected > 0) == responded {
			t.Errorf("endpoints responded: %v; got %d endpoints ejected, want none if and only if they did",
				responded, ejected)
		}
	}
}

// TestPurgeCrossesRequest delivers a purge and a request for its object, or for one of its group, in one round, in
// both orders. Only a copy from after the purge may be served.
func TestPurgeCrossesRequest(t *testing.T) {
	const group = 7
	for _, test := range []struct {
		name         string
		purge        Purge
		requestGroup int
	}{
		{"an object", Purge{Object: 1}, -1},
		{"a group", Purge{Group: group}, group},
	} {
		for _, order := range []eventOrder{changeFirst, requestFirst} {
			x := newHarness(t)
			x.now += time.Minute
			purge := test.purge
			purge.Issued = x.now - 100*time.Millisecond
			if order == changeFirst {
				x.add(purge)
			}
			x.receive(safeClass).Group = test.requestGroup
			if order == requestFirst {
				x.add(purge)
			}
			if x.round(); len(x.waiting) == 0 {
				t.Fatal("got no attempt, want one")
			}
			for _, wait := range []time.Duration{0, 40 * time.Millisecond} { // for a connection
				writtenAt := x.now + wait
				age, ok := x.broker.MaySend(x.waiting[0], writtenAt)
				if !ok || age <= 0 || writtenAt-age < purge.Issued {
					t.Errorf("%s, %s: got max age %v, want a positive one of at most %v, the time since the purge",
						test.name, order, age, writtenAt-purge.Issued)
				}
			}
		}
	}
}

// TestBrokerGuardsIndependentlyOfPolicy checks that the broker itself blocks what the policy should never decide.
func TestBrokerGuardsIndependentlyOfPolicy(t *testing.T) {
	x := newHarness(t)
	x.cancel(x.receive(safeClass))
	if x.round(); len(x.waiting) > 0 {
		t.Error("a request that was canceled in the round of its arrival is sent to an endpoint")
	}
	request := x.receive(safeClass)
	x.round()
	x.write(0)
	first := x.inFlight[0]
	checkNoSecondAttempt(t, x.broker, first)
	attemptCanceled := false
	request.Canceled = true
	for _, effect := range x.broker.Round(x.now, []Event{RequestCanceled{request}}) {
		if cancel, ok := effect.(CancelAttempt); ok && cancel.Attempt == first {
			attemptCanceled = true
		}
	}
	if _, ok := x.broker.MaySend(first, x.now); ok || !attemptCanceled || first.Open() {
		t.Errorf("attempt of a canceled request: got MaySend %v, canceled %v, open %v, want false, true, false",
			ok, attemptCanceled, first.Open())
	}
}

// checkNoSecondAttempt lets the policy send another attempt beside one in flight, and checks that it ends as Blocked.
func checkNoSecondAttempt(t *testing.T, broker *Broker, first *Attempt) {
	t.Helper()
	broker.effects = broker.effects[:0]
	endpoint := first.Endpoint.ID
	broker.sendAttempt(policy.SendAttempt{ID: first.Request.id, Endpoint: endpoint, Source: endpoint})
	for _, effect := range broker.effects {
		if _, ok := effect.(SendAttempt); ok {
			t.Error("a second attempt is sent beside the first, though hedging is not configured")
		}
	}
	if n := len(broker.pending); n == 0 {
		t.Error("second attempt: got no end, want Blocked")
	} else if e, ok := broker.pending[n-1].(AttemptEnded); !ok || e.Attempt == first || e.End != Blocked {
		t.Errorf("second attempt: got %+v, want an AttemptEnded with Blocked", broker.pending[n-1])
	}
	broker.pending = nil
}

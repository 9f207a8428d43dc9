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

// inFlightEnds are the ends that an attempt in flight may have, but those that the broker itself gives it.
var inFlightEnds = []End{
	Served, CacheMiss, Rejected, Failed, AlreadyEnded, ConnectionReset, ProtocolError, Unresponsive,
}

// TestCrossings: whatever comes in whatever order, each request has exactly one end, in its time; nothing is written to
// an endpoint that drains or is gone, or is filled from one, nor for a client that has canceled; no two attempts are in
// flight together; what may have run and may not be repeated is not; and nothing is held in the end.
func TestCrossings(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		x := newCrossing(t)
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
				t.Fatalf("request %s has no response", request.ID)
			}
		}
		if sizes := x.broker.Sizes(); sizes.Open+sizes.PolicyRequests > 0 {
			t.Fatalf("held in the end: %+v", sizes)
		}
	})
}

// drawEvent has one thing happen, if there is what it happens to.
func drawEvent(t *rapid.T, x *crossing) {
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

// order says which of two things comes first in a round.
type order string

const (
	changeFirst  order = "the change first"
	requestFirst order = "the request first"
)

// TestDrainCrossesRequest: a request and what the list says of its endpoint, or of its source, come in one round, in
// both orders.
func TestDrainCrossesRequest(t *testing.T) {
	const cache1, cache2, parent1 = 0, 1, 2
	for _, test := range []struct {
		name   string
		report func(x *crossing)
	}{
		{"an endpoint drains", func(x *crossing) { x.report(cache1, membership.Draining) }},
		{"an endpoint drains, is up and drains again", func(x *crossing) {
			x.report(cache1, membership.Draining)
			x.report(cache1, membership.Up)
			x.report(cache1, membership.Draining)
		}},
		{"a source drains", func(x *crossing) { x.report(parent1, membership.Draining) }},
		{"an endpoint is gone", func(x *crossing) { x.report(cache2, membership.Gone) }},
	} {
		for _, order := range []order{changeFirst, requestFirst} {
			t.Run(fmt.Sprintf("%s, %s", test.name, order), func(t *testing.T) {
				checkDrainCrossesRequest(t, test.report, order)
			})
		}
	}
}

func checkDrainCrossesRequest(t *testing.T, report func(x *crossing), order order) {
	t.Helper()
	const requests = 3 // fills are limited
	x := newCrossing(t)
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
		x.writeAll() // which checks where they go
		for len(x.inFlight) > 0 {
			x.end(0, Served)
		}
		if x.now += time.Millisecond; x.now > 1003*time.Second {
			t.Fatalf("%d of %d requests have a response", len(x.responses), requests)
		}
	}
	for _, request := range x.requests {
		if x.written[request] == 0 {
			t.Errorf("request %s was sent nowhere", request.ID)
		}
	}
}

// attemptEvent is something that happens to an attempt, or to what it needs.
type attemptEvent func(*crossing, *Attempt)

func attemptServed(x *crossing, attempt *Attempt) {
	x.add(AttemptEnded{Attempt: attempt, End: Served, Body: []byte("done")})
}

func connectionReset(x *crossing, attempt *Attempt) {
	x.add(AttemptEnded{Attempt: attempt, End: ConnectionReset})
}

func endpointDrains(x *crossing, attempt *Attempt) {
	x.reportNamed(attempt.Endpoint.Name, membership.Draining)
}

func endpointGone(x *crossing, attempt *Attempt) {
	x.reportNamed(attempt.Endpoint.Name, membership.Gone)
}

func objectPurged(x *crossing, attempt *Attempt) {
	x.add(Purge{Object: attempt.Request.Object, Issued: x.now})
}

func clientCancels(x *crossing, attempt *Attempt) { x.cancel(attempt.Request) }

// oneRoundCase is a pair of events in one round, and what each order of them has to come to.
type oneRoundCase struct {
	name       string
	event      attemptEvent
	other      attemptEvent // nil: none
	class      int
	atDeadline bool           // the round is that of the deadline
	want       []ResponseKind // one of these; nil: none
	retried    bool           // at another endpoint
}

// TestOneRound: two events of one request come in one round, in both orders. What each of them has to come to is the
// same.
func TestOneRound(t *testing.T) {
	served := []ResponseKind{ResponseServed}
	failed := []ResponseKind{ResponseFailed}
	for _, test := range []oneRoundCase{
		{name: "a response at the deadline", event: attemptServed, atDeadline: true, want: served},
		{name: "a reset at the deadline", event: connectionReset, atDeadline: true,
			want: []ResponseKind{ResponseRejected, ResponseFailed}},
		{name: "a reset at the deadline, of what may run once", event: connectionReset, class: onceClass,
			atDeadline: true, want: failed},
		{name: "a drain at the deadline", event: endpointDrains, class: onceClass, atDeadline: true, want: failed},
		{name: "a response, and its endpoint drains", event: attemptServed, other: endpointDrains, want: served},
		{name: "a response, and its endpoint is gone", event: attemptServed, other: endpointGone, want: served},
		{name: "a response, and its object is purged", event: attemptServed, other: objectPurged, want: served},
		{name: "a response and a reset", event: attemptServed, other: connectionReset, class: onceClass,
			want: []ResponseKind{ResponseServed, ResponseFailed}},
		{name: "a reset, and its endpoint drains", event: connectionReset, other: endpointDrains, retried: true},
		{name: "a reset, and its endpoint drains, of what may run once", event: connectionReset,
			other: endpointDrains, class: onceClass, want: failed},
		{name: "a drain while it is in flight", event: endpointDrains, class: onceClass},
		{name: "a reset, and its client cancels", event: connectionReset, other: clientCancels,
			want: []ResponseKind{}},
		{name: "a response, and its client cancels", event: attemptServed, other: clientCancels, want: served},
	} {
		t.Run(test.name+", in the order written", func(t *testing.T) {
			test.check(t, []attemptEvent{test.event, test.other})
		})
		t.Run(test.name+", the other way round", func(t *testing.T) {
			test.check(t, []attemptEvent{test.other, test.event})
		})
	}
}

// check has the events come in one round.
func (c oneRoundCase) check(t *testing.T, events []attemptEvent) {
	t.Helper()
	x := newCrossing(t)
	request := x.receive(c.class)
	for x.round(); len(x.waiting) > 0 && len(x.inFlight) == 0; x.round() {
		x.write(0)
	}
	if len(x.inFlight) != 1 {
		t.Fatalf("%d attempts are in flight", len(x.inFlight))
	}
	attempt := x.inFlight[0]
	x.inFlight = nil // its end comes with the events; write must not take it for one that is in flight
	if x.now += 20 * time.Millisecond; c.atDeadline {
		x.now = request.deadline
	}
	for _, happen := range events {
		if happen != nil {
			happen(x, attempt)
		}
	}
	var responses []ResponseKind
	for _, effect := range x.broker.Round(x.now, x.events) {
		switch e := effect.(type) {
		case Respond:
			responses = append(responses, e.Response.Kind)
		case SendAttempt:
			// As it is asked when it is written, at the end of the round.
			if _, ok := x.broker.MaySend(e.Attempt, x.now); ok {
				x.waiting = append(x.waiting, e.Attempt)
			}
		}
	}
	retried := len(x.waiting) > 0
	if !c.allows(request, responses) || retried != c.retried {
		t.Errorf("responses %v, want one of %v; retried %v, want %v", responses, c.want, retried, c.retried)
	}
	x.writeAll() // which checks where they go
}

// allows reports whether the responses are among those that are wanted.
func (c oneRoundCase) allows(request *Request, responses []ResponseKind) bool {
	if len(responses) == 0 {
		return c.want == nil || request.Canceled
	}
	return len(responses) == 1 && slices.Contains(c.want, responses[0])
}

// TestResponsesAfterStandstill: responses that lie in the first round after a standstill are taken before the policy
// looks for unresponsive endpoints. It ejected them.
func TestResponsesAfterStandstill(t *testing.T) {
	for _, responded := range []bool{true, false} {
		x := newCrossing(t)
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
			t.Errorf("their responses are there: %v; endpoints that are taken for unresponsive: %d", responded, ejected)
		}
	}
}

// TestPurgeCrossesRequest: a purge and a request for its object, or for one of its group, come in one round, in both
// orders. Only a copy from after the purge will do.
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
		for _, order := range []order{changeFirst, requestFirst} {
			x := newCrossing(t)
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
				t.Fatal("nothing is sent")
			}
			for _, wait := range []time.Duration{0, 40 * time.Millisecond} { // for its connection
				writtenAt := x.now + wait
				age, ok := x.broker.MaySend(x.waiting[0], writtenAt)
				if !ok || age <= 0 || writtenAt-age < purge.Issued {
					t.Errorf("%s, %s: a copy of %v will do, %v after the purge",
						test.name, order, age, writtenAt-purge.Issued)
				}
			}
		}
	}
}

// TestGuardsBeyondPolicy: what the policy would not do either, the broker does not let through.
func TestGuardsBeyondPolicy(t *testing.T) {
	x := newCrossing(t)
	x.cancel(x.receive(safeClass))
	if x.round(); len(x.waiting) > 0 {
		t.Error("a request that was canceled in the round of its coming is forwarded")
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
		t.Errorf("its client has canceled; the attempt may still be written: %v, was canceled: %v, is open: %v",
			ok, attemptCanceled, first.Open())
	}
}

// checkNoSecondAttempt has the policy want another attempt beside one that is in flight.
func checkNoSecondAttempt(t *testing.T, broker *Broker, first *Attempt) {
	t.Helper()
	broker.effects = broker.effects[:0]
	endpoint := first.Endpoint.ID
	broker.sendAttempt(policy.SendAttempt{ID: first.Request.id, Endpoint: endpoint, Source: endpoint})
	for _, effect := range broker.effects {
		if _, ok := effect.(SendAttempt); ok {
			t.Error("a second attempt goes out beside the first, where hedging is not allowed")
		}
	}
	if n := len(broker.pending); n == 0 {
		t.Error("the second attempt has no end")
	} else if e, ok := broker.pending[n-1].(AttemptEnded); !ok || e.Attempt == first || e.End != Blocked {
		t.Errorf("the second attempt ends with %+v, want that it was not executed", broker.pending[n-1])
	}
	broker.pending = nil
}

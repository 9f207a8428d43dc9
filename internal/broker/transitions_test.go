package broker

import (
	"slices"
	"testing"
	"time"

	"sloequay/internal/policy"
	"sloequay/internal/quota"
)

// transition is one row of the tables in the package's doc comment: an event in a state.
type transition struct {
	name    string
	class   int
	trigger func(x *harness, request *Request)
	want    requestState
	effects []string // as in the table, but of the policy's actions only SendAttempt
}

// effectsOf returns the effects of an event, by their names in the table.
func (x *harness) effectsOf(trigger func()) []string {
	x.broker.effects = x.broker.effects[:0]
	trigger()
	x.broker.handlePending()
	var effects []string
	for _, effect := range x.broker.effects {
		switch e := effect.(type) {
		case SendAttempt:
			effects = append(effects, "SendAttempt")
		case CancelAttempt:
			name := "CancelAttempt"
			if e.AwaitEnd {
				name += " with AwaitEnd"
			}
			effects = append(effects, name)
		case Respond:
			kinds := [...]string{"served", "not modified", "rejected", "failed", "denied"}
			effects = append(effects, "Respond: "+kinds[e.Response.Kind])
		}
	}
	return effects
}

func (row transition) check(t *testing.T, x *harness, request *Request) {
	t.Helper()
	effects := x.effectsOf(func() { row.trigger(x, request) })
	if request.state != row.want || !slices.Equal(effects, row.effects) {
		t.Errorf("%s: got state %d, want %d; got effects %q, want %q",
			row.name, request.state, row.want, effects, row.effects)
	}
}

func received(x *harness, request *Request) { x.broker.handle(RequestReceived{request}) }

func attemptEnds(end End) func(*harness, *Request) {
	return func(x *harness, request *Request) {
		x.broker.handle(AttemptEnded{Attempt: request.attempts[0], End: end})
	}
}

func timerFires(kind timerKind) func(*harness, *Request) {
	return func(x *harness, request *Request) {
		x.broker.fire(timer{kind: kind, request: request, attempt: request.attempts[0]})
	}
}

// TestTransitionsOfNewRequest checks the rows for the state new.
func TestTransitionsOfNewRequest(t *testing.T) {
	for _, row := range []transition{
		{name: "received", trigger: received, want: requestAdmitted, effects: []string{"SendAttempt"}},
		{name: "received, already canceled", want: requestEnded, trigger: func(x *harness, request *Request) {
			request.Canceled = true
			received(x, request)
		}},
		{name: "received, its ID is in use", want: requestEnded, effects: []string{"Respond: failed"},
			trigger: func(x *harness, request *Request) {
				request.ID = x.requests[0].ID
				received(x, request)
			}},
		{name: "received, maxOpen reached", want: requestEnded, effects: []string{"Respond: rejected"},
			trigger: func(x *harness, request *Request) {
				x.broker.maxOpen = 1
				received(x, request)
			}},
		{name: "received, a quota reached", want: requestEnded, effects: []string{"Respond: rejected"},
			trigger: func(x *harness, request *Request) {
				team := &quota.Spec{Name: "small"}
				team.Rates[quota.Requests] = quota.Limit{Set: true}
				x.broker.quotas = quota.NewLedger(&quota.Spec{Children: []*quota.Spec{team}})
				request.Team = team.Name
				received(x, request)
			}},
		{name: "canceled", want: requestEnded, trigger: func(x *harness, request *Request) {
			x.broker.handle(RequestCanceled{request})
		}},
	} {
		x := newHarness(t)
		x.receive(safeClass)
		x.round()
		request := &Request{ID: "new", Object: 9, Group: -1, ReceivedAt: x.now, Timeout: 2 * time.Second, SizeKB: 1}
		row.check(t, x, request)
	}
}

// openRows are the rows for the state open, for a request with one attempt in flight.
var openRows = []transition{
	{name: "canceled", want: requestEnded, effects: []string{"CancelAttempt"},
		trigger: func(x *harness, request *Request) { x.broker.handle(RequestCanceled{request}) }},
	{name: "served", want: requestEnded, trigger: attemptEnds(Served), effects: []string{"Respond: served"}},
	{name: "not modified", want: requestEnded, trigger: attemptEnds(NotModified),
		effects: []string{"Respond: not modified"}},
	{name: "another end", want: requestAdmitted, trigger: attemptEnds(ConnectionReset),
		effects: []string{"SendAttempt"}},
	{name: "another end, not idempotent", class: onceClass, want: requestEnded,
		trigger: attemptEnds(ConnectionReset), effects: []string{"Respond: failed"}},
	{name: "policy.Reject", want: requestEnded, effects: []string{"CancelAttempt", "Respond: rejected"},
		trigger: func(x *harness, request *Request) { x.broker.apply(policy.Reject{ID: request.id}) }},
	{name: "policy.Fail", want: requestEnded, effects: []string{"CancelAttempt", "Respond: failed"},
		trigger: func(x *harness, request *Request) { x.broker.apply(policy.Fail{ID: request.id}) }},
	{name: "policy.CancelAttempt", want: requestAdmitted, effects: []string{"CancelAttempt with AwaitEnd"},
		trigger: func(x *harness, request *Request) { x.broker.apply(policy.CancelAttempt{ID: request.id}) }},
	{name: "half-time timer, written", want: requestAdmitted, trigger: timerFires(halfTimeTimer)},
	{name: "half-time timer, not written", want: requestEnded,
		effects: []string{"CancelAttempt", "Respond: rejected"},
		trigger: func(x *harness, request *Request) {
			request.attempts[0].Written = false
			timerFires(halfTimeTimer)(x, request)
		}},
	{name: "deadline timer", class: onceClass, want: requestEnded, trigger: timerFires(deadlineTimer),
		effects: []string{"CancelAttempt", "Respond: failed"}},
	{name: "deadline timer, the policy rejects", want: requestEnded,
		effects: []string{"CancelAttempt", "Respond: rejected"},
		trigger: func(x *harness, request *Request) {
			x.broker.now = request.deadline
			timerFires(deadlineTimer)(x, request)
		}},
	{name: "FailInFlight", class: onceClass, want: requestEnded,
		effects: []string{"CancelAttempt", "Respond: failed"},
		trigger: func(x *harness, _ *Request) { x.broker.handle(FailInFlight{}) }},
	{name: "attempt timer", want: requestAdmitted, trigger: timerFires(attemptTimer),
		effects: []string{"CancelAttempt", "SendAttempt"}},
}

// newInFlight returns a harness and a request with one attempt in flight.
func newInFlight(t *testing.T, class int) (*harness, *Request) {
	t.Helper()
	x := newHarness(t)
	request := x.receive(class)
	x.round()
	x.write(0)
	return x, request
}

// TestTransitionsOfOpenRequest checks the rows for the state open, and that no event has an effect in the state ended.
func TestTransitionsOfOpenRequest(t *testing.T) {
	for _, row := range openRows {
		x, request := newInFlight(t, row.class)
		row.check(t, x, request)
		if request.state != requestEnded {
			continue
		}
		for _, attempt := range request.attempts {
			if attempt.Open() {
				t.Errorf("%s: attempt %d is open after the request ended", row.name, attempt.Number)
			}
		}
		for _, after := range openRows {
			after.want = requestEnded
			after.effects = nil
			after.name = row.name + ", then " + after.name
			after.check(t, x, request)
		}
	}
}

// TestTransitionsOfAttempt checks the state of an attempt after each End.
func TestTransitionsOfAttempt(t *testing.T) {
	notExecuted := []End{
		CacheMiss, Rejected, AlreadyEnded, ConnectFailed, NotSent, Blocked, BudgetExhausted, EndpointBudgetExhausted,
		NoConnectionCapacity,
	}
	for end := range endCount {
		for _, mayHaveRun := range []bool{false, true} {
			want := attemptEnded
			if slices.Contains(notExecuted, end) && !mayHaveRun {
				want = attemptNotExecuted
			}
			x, request := newInFlight(t, onceClass)
			attempt := request.attempts[0]
			x.broker.handle(AttemptEnded{Attempt: attempt, End: end, MayHaveRun: mayHaveRun})
			if attempt.state != want {
				t.Errorf("end %v, MayHaveRun %v: got state %d, want %d", end, mayHaveRun, attempt.state, want)
			}
		}
	}
}

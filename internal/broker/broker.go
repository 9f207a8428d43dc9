package broker

import (
	"maps"
	"slices"
	"time"

	"sloequay/internal/clock"
	"sloequay/internal/invalidation"
	"sloequay/internal/invariant"
	"sloequay/internal/membership"
	"sloequay/internal/policy"
	"sloequay/internal/quota"
	"sloequay/internal/retry"
)

// Broker holds the open requests, the endpoints and the timers. It is not safe for concurrent use.
type Broker struct {
	config  policy.Config
	engine  *policy.Engine
	quotas  *quota.Ledger
	retries retryBudgets
	members *membership.Table

	now     time.Duration // the latest time that a round was given
	offsets clock.Offsets // of the Unix clock over now
	pending []Event       // of this round, not yet handled
	effects []Effect      // of this round

	maxOpen    int
	lastID     policy.RequestID
	open       map[policy.RequestID]*Request
	byClientID map[string]*Request // the open ones by their clients' ids

	monitor   *invariant.Monitor // nil: nothing is checked
	endpoints endpointIndex
	purges    *invalidation.Ledger
	timers    timerQueue

	stampLoggedAt time.Duration // when a purge's stamp was logged last; 0: never
}

// New makes a broker that holds at most maxOpen requests. With quotas nil every team may do everything; members is the
// merged view of the endpoint list's sources.
func New(config policy.Config, seed uint64, maxOpen int, quotas *quota.Ledger,
	members *membership.Table) (*Broker, error) {
	engine, err := policy.New(config, seed)
	if err != nil {
		return nil, err
	}
	return &Broker{
		config:     config,
		engine:     engine,
		quotas:     quotas,
		members:    members,
		maxOpen:    maxOpen,
		open:       map[policy.RequestID]*Request{},
		byClientID: map[string]*Request{},
		endpoints:  newEndpointIndex(),
		purges: invalidation.New(invalidation.Config{
			Propagation: config.PurgePropagation,
			Slack:       purgeSlack,
		}),
	}, nil
}

// LimitRetries sets the retry budgets of each tenant and of each endpoint. What is left in them stays.
func (b *Broker) LimitRetries(tenants, endpoints retry.Config) {
	b.retries.configure(tenants, endpoints)
}

// SetOffset sets the offset of the Unix clock over the times that the broker is given. What others have stamped, the
// starts of endpoints, is converted once, so that a step of that clock changes nothing that is under way. Where the
// clock was stepped, the latest time counts that a stamp may stand for: an endpoint is then rather too young than too
// old.
func (b *Broker) SetOffset(offset time.Duration) {
	b.offsets.Observe(offset)
	b.members.SetOffset(offset)
}

// Round handles the events that have come by now and the timers that are due, and returns what is to be done. The
// result is valid until the next call.
func (b *Broker) Round(now time.Duration, events []Event) []Effect {
	b.now = max(b.now, now)
	b.effects = b.effects[:0]
	b.pending = append(b.pending[:0], events...)
	b.purges.Expire(b.now)
	if next := b.members.Next(); next != 0 && next <= b.now {
		b.members.Step(b.now)
	}
	b.followList()
	// Events go before timers: a response that is here in time counts, and after a standstill the policy would take
	// endpoints for unresponsive whose responses are in this round.
	b.handlePending()
	b.fireTimers()
	b.handlePending()
	return b.effects
}

// Next is when the next round is due at the latest; 0: no time is set.
func (b *Broker) Next() time.Duration {
	if b.members.HasChanges() {
		return b.now
	}
	next := b.members.Next()
	if at, ok := b.timers.next(); ok && (next == 0 || at < next) {
		next = at
	}
	return next
}

// MaySend says at the moment of writing whether an attempt may still go out, and the oldest copy that will do then: the
// list and the purges may have moved on while it waited for its connection.
func (b *Broker) MaySend(attempt *Attempt, now time.Duration) (maxAge time.Duration, ok bool) {
	switch {
	case !attempt.Open() || now >= attempt.Deadline:
		return 0, false
	case !attempt.Endpoint.usable() || !attempt.Source.usable():
		return 0, false
	case !b.inRetryWindow(attempt, now):
		return 0, false
	}
	b.checkWrite(attempt, now)
	return b.maxAge(attempt, now), true
}

// EndpointByName finds an endpoint of the list by its name, without regard to case; nil if there is none.
func (b *Broker) EndpointByName(name string) *Endpoint { return b.endpoints.named(name) }

// AddressBlocked says whether an address that a name server gave is that of a listed endpoint which takes nothing new.
// The list outranks the name server: its answers may be older.
func (b *Broker) AddressBlocked(address string) bool {
	return b.endpoints.addressBlocked(address, b.now)
}

// OpenRequests is the number of requests without an end.
func (b *Broker) OpenRequests() int { return len(b.open) }

// Sizes is how much a broker holds. Open, PolicyRequests and Timers follow the requests that are open, Endpoints and
// GoneEndpoints the lists of the last minute, Purges what was issued in the time that endpoints take to drop copies.
type Sizes struct {
	Open, PolicyRequests, Timers, Endpoints, GoneEndpoints, Purges int
}

// Sizes returns how much is held, for operators and for tests that nothing grows.
func (b *Broker) Sizes() Sizes {
	return Sizes{
		Open:           len(b.open),
		PolicyRequests: b.engine.OpenRequests(),
		Timers:         b.timers.len(),
		Endpoints:      len(b.endpoints.byID),
		GoneEndpoints:  len(b.endpoints.departures),
		Purges:         b.purges.Len(),
	}
}

// handlePending handles the events of the round, and those that the broker adds to them meanwhile.
func (b *Broker) handlePending() {
	for i := 0; i < len(b.pending); i++ {
		b.handle(b.pending[i])
	}
	b.pending = b.pending[:0]
}

// handle handles one event.
func (b *Broker) handle(event Event) {
	switch event := event.(type) {
	case RequestReceived:
		b.receive(event.Request)
	case RequestCanceled:
		b.cancel(event.Request)
	case AttemptEnded:
		b.endAttempt(event)
	case EndpointList:
		b.members.ReplaceList(b.now, event.Source, event.List)
		b.followList()
	case EndpointDelta:
		b.members.ApplyDelta(b.now, event.Source, event.Version, event.Endpoints)
		b.followList()
	case SourceStatus:
		b.setSourceStatus(event)
	case SnapshotRestored:
		b.log("snapshot-restored", "endpoints", b.members.Restore(b.now, event.Reports))
		b.followList()
	case Purge:
		b.purge(event)
	case FailInFlight:
		b.failInFlight()
	}
}

// failInFlight ends all open requests, in the order in which they came, as if their deadlines had passed.
func (b *Broker) failInFlight() {
	if len(b.open) == 0 {
		return
	}
	b.log("drain-deadline", "open", len(b.open))
	for _, id := range slices.Sorted(maps.Keys(b.open)) {
		if request := b.open[id]; request != nil {
			b.passDeadline(request)
		}
	}
}

// notify hands one event to the policy and carries out the actions that it wants.
func (b *Broker) notify(event policy.Event) {
	for _, action := range b.engine.Handle(b.now, event) {
		b.apply(action)
	}
}

// apply carries out one action of the policy.
func (b *Broker) apply(action policy.Action) {
	switch action := action.(type) {
	case policy.SendAttempt:
		b.sendAttempt(action)
	case policy.Reject:
		b.conclude(action.ID, Response{Kind: ResponseRejected, RetryAfter: action.RetryAfter, Reason: reasonRefused})
	case policy.Fail:
		b.conclude(action.ID, Response{Kind: ResponseFailed, Reason: reasonFailed})
	case policy.CancelAttempt:
		b.cancelAttempt(action)
	case policy.SetTimer:
		b.timers.push(timer{at: action.At, kind: policyTimer, token: action.Token})
	case policy.EndpointEjected:
		b.log("endpoint-ejected", "endpoint", b.endpoints.nameOf(action.Endpoint), "cause", action.Cause)
	case policy.EndpointReadmitted:
		b.log("endpoint-readmitted", "endpoint", b.endpoints.nameOf(action.Endpoint))
	}
}

// emit adds an effect to those of the round.
func (b *Broker) emit(effect Effect) { b.effects = append(b.effects, effect) }

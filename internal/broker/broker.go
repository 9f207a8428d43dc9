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

	now     time.Duration // the latest time passed to Round
	offsets clock.Offsets // of the Unix clock from the times passed to Round
	pending []Event       // of this round, not yet handled
	effects []Effect      // of this round

	maxOpen    int
	lastID     policy.RequestID
	open       map[policy.RequestID]*Request
	byClientID map[string]*Request // the open requests by Request.ID
	executed   executedRequests

	monitor   *invariant.Monitor // nil: violations are ignored
	endpoints endpointIndex
	purges    *invalidation.Ledger
	timers    timerQueue

	stampLoggedAt time.Duration // when an implausible purge stamp was last logged; 0: never
}

// New returns a broker that holds at most maxOpen open requests. A nil quotas sets no limits on any team. members is
// the merged view of the sources of the endpoint list.
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
		executed:   executedRequests{firstAt: map[string]time.Duration{}},
		endpoints:  newEndpointIndex(),
		purges: invalidation.New(invalidation.Config{
			Propagation: config.PurgePropagation,
			Slack:       purgeSlack,
		}),
	}, nil
}

// LimitRetries sets the limits of the retry budgets of each tenant and of each endpoint. The budgets keep their tokens.
func (b *Broker) LimitRetries(tenants, endpoints retry.Config) {
	b.retries.configure(tenants, endpoints)
}

// SetOffset sets the offset of the Unix clock from the times passed to the broker. A reported start of an endpoint is
// converted only once, so that later steps of the Unix clock do not move it. After a step, a stamp is converted
// to the latest time that it may stand for, so that an endpoint counts as too young rather than too old.
func (b *Broker) SetOffset(offset time.Duration) {
	b.offsets.Observe(offset)
	b.members.SetOffset(offset)
}

// Round handles the events that have arrived and the timers that are due by now, and returns the effects to carry out.
// The result is valid until the next call.
func (b *Broker) Round(now time.Duration, events []Event) []Effect {
	b.now = max(b.now, now)
	b.effects = b.effects[:0]
	b.pending = append(b.pending[:0], events...)
	b.purges.Expire(b.now)
	if next := b.members.Next(); next != 0 && next <= b.now {
		b.members.Step(b.now)
	}
	b.applyListChanges()
	// Events come before timers: a response that arrived in time counts, and after a standstill the policy would
	// otherwise judge endpoints unresponsive although their responses are in this round.
	b.handlePending()
	b.fireTimers()
	b.handlePending()
	return b.effects
}

// Next returns the time by which the next round is due; 0: none is due until an event arrives.
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

// MaySend reports, just before an attempt is written, whether it may still be sent, and the maximum age of a cached
// copy that may serve it (0: the limit of its class). The endpoint list and the purges may have changed while the
// attempt waited for its connection.
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

// EndpointByName returns the endpoint with a name, ignoring case, or nil if there is none.
func (b *Broker) EndpointByName(name string) *Endpoint { return b.endpoints.findByName(name) }

// AddressBlocked reports whether an address resolved by a name server belongs to a listed endpoint that takes no new
// requests. The endpoint list takes precedence because a name server's answer may be older.
func (b *Broker) AddressBlocked(address string) bool {
	return b.endpoints.addressBlocked(address, b.now)
}

// OpenRequests returns the number of admitted requests that have not ended.
func (b *Broker) OpenRequests() int { return len(b.open) }

// Sizes holds the number of entries that a broker keeps. Open, PolicyRequests and Timers grow with the open requests,
// Endpoints and GoneEndpoints with the endpoint lists of the last minute, and Purges with the purges issued within the
// time that endpoints take to drop copies.
type Sizes struct {
	Open, PolicyRequests, Timers, Endpoints, GoneEndpoints, Purges int
}

// Sizes returns the current sizes, for operators and for tests that check for leaks.
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

// handlePending handles the events of the round, including those that the broker adds while handling them.
func (b *Broker) handlePending() {
	for i := 0; i < len(b.pending); i++ {
		b.handle(b.pending[i])
	}
	b.pending = b.pending[:0]
}

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
		b.applyListChanges()
	case EndpointDelta:
		b.members.ApplyDelta(b.now, event.Source, event.Version, event.Endpoints)
		b.applyListChanges()
	case SourceStatus:
		b.setSourceStatus(event)
	case SnapshotRestored:
		b.log("snapshot-restored", "endpoints", b.members.Restore(b.now, event.Reports))
		b.applyListChanges()
	case Purge:
		b.purge(event)
	case FailInFlight:
		b.failInFlight()
	}
}

// failInFlight ends all open requests, in the order of their admission, as if their deadlines had passed.
func (b *Broker) failInFlight() {
	if len(b.open) == 0 {
		return
	}
	b.log("drain-deadline", "open", len(b.open))
	for _, id := range slices.Sorted(maps.Keys(b.open)) {
		if request := b.open[id]; request != nil {
			b.handleDeadline(request)
		}
	}
}

// notify passes one event to the policy and applies the actions that it returns.
func (b *Broker) notify(event policy.Event) {
	for _, action := range b.engine.Handle(b.now, event) {
		b.apply(action)
	}
}

// apply applies one action of the policy.
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

package policy

import (
	"slices"
	"time"

	"sloequay/internal/policy/endpointset"
	"sloequay/internal/policy/slowstart"
)

// The protocol page has five rules ("Five things never to do"). Each has its function here; send asks the
// guards of the first four, and each attempt has the age that the fifth allows.

const (
	retryWindowPart = 8 // tenths of the window in which repeats are dropped

	warmupBudgetPart = 0.7 // of the stated budget that is used: estimates are rough
	// restartBudgetPart of it is used in the first window after this proxy's own start, for endpoints that
	// started before it: what it sent them before a restart is in that window too. With 0.5 of 0.7 seven in
	// ten proxies may restart at once, and the fleet stays within what is stated.
	restartBudgetPart = 0.5
	maxSkipTime       = 250 * time.Millisecond // of an endpoint without budget: costs change meanwhile

	clockMargin    = 5 * time.Millisecond // for the clock ticks of both sides
	minMaxAge      = time.Millisecond     // 0 would mean "any age"
	joinFillsAfter = time.Second          // of a purge: most fills that began before it are over
)

// neverRan are the outcomes that prove that an attempt had no effect.
var neverRan = []Status{StatusAtCapacity, StatusConnectFailed, StatusNotExecuted, StatusMiss}

// guardsPass says whether an attempt breaks no rule and no limit of the settings. The budgets come last, as
// they have an endpoint without one skipped.
func (e *Engine) guardsPass(request *requestState, via route) bool {
	hasAttemptsLeft := e.cfg.MaxAttempts <= 0 || len(request.attempts) < e.cfg.MaxAttempts
	return hasAttemptsLeft && e.isOpen(request) && e.mayRepeatAt(request, via.endpoint) &&
		bothReady(via) && e.isReachable(via) &&
		e.withinWarmupBudget(request, via.endpoint) && e.withinWarmupBudget(request, via.source)
}

// isOpen keeps rule 1, every request answered: nothing is sent for a request that has its end. That each gets
// its end in time is advance's part.
func (e *Engine) isOpen(request *requestState) bool { return e.requests[request.id] == request }

// mayRepeatAt keeps rule 2, no effect done twice: an attempt after one that may have run goes only where, and
// only as long as, a repeat is dropped. Two attempts of a request are in flight together only with hedging.
func (e *Engine) mayRepeatAt(request *requestState, endpoint *endpointState) bool {
	if request.inFlight > 0 && !e.cfg.Hedging {
		return false
	}
	class := request.class
	for i := range request.attempts {
		attempt := &request.attempts[i]
		if !attempt.mayHaveRun || class.Idempotency == Idempotent {
			continue
		}
		isOutOfScope := class.DedupScope == DedupZone && attempt.endpoint.Zone != endpoint.Zone ||
			class.DedupScope == DedupCell && attempt.endpoint.Cell != endpoint.Cell
		if class.Idempotency == NotIdempotent || isOutOfScope || e.now-attempt.sentAt > class.RetryWindow() {
			return false
		}
	}
	return true
}

// mayReject keeps rule 2's other part: a rejection says that a retry is harmless.
func (e *Engine) mayReject(request *requestState) bool {
	class := request.class
	return class.Idempotency == Idempotent ||
		class.Idempotency == IdempotentByKey && class.DedupScope == DedupAll ||
		!slices.ContainsFunc(request.attempts, func(a attemptState) bool { return a.mayHaveRun })
}

// RetryWindow is how long after an attempt that may have run another one may be sent: endpoints drop repeats
// for DedupWindow, and what is decided has yet to be written, sent and read.
func (c *Class) RetryWindow() time.Duration { return c.DedupWindow * retryWindowPart / 10 }

// bothReady keeps rule 3, draining done safely: neither endpoint nor source drains or is gone.
func bothReady(via route) bool { return via.endpoint.State == Ready && via.source.State == Ready }

// withinWarmupBudget keeps rule 4, controlled fail-back: an endpoint that has just started gets at most this
// proxy's share of what it bears in any OverloadWindow. Without budget it is skipped until it has some.
func (e *Engine) withinWarmupBudget(request *requestState, endpoint *endpointState) bool {
	initialShare, warmupTime := e.cfg.ColdStartShare, e.cfg.WarmupTime
	multiple := e.cfg.OverloadMultiple
	if endpoint.Role == endpointset.Parent {
		initialShare, warmupTime = e.cfg.ParentStartShare, e.cfg.ParentWarmupTime
		multiple = e.cfg.ParentOverloadMultiple
	}
	startedAt := max(endpoint.StartedAt, endpoint.ReadmittedAt)
	isWarm := startedAt == 0 || e.now-startedAt >= warmupTime
	if isWarm || endpoint.Role == endpointset.Origin || multiple <= 0 {
		endpoint.Budget.Clear()
		return true
	}
	window := e.cfg.OverloadWindow
	budget := warmupBudgetPart * multiple * e.endpoints.Share(endpoint) * window.Seconds()
	if startedAt < e.startedAt && e.now-e.startedAt < window {
		budget *= restartBudgetPart
	}
	schedule := slowstart.Schedule{
		InitialShare: initialShare, WarmupTime: warmupTime, FullBudget: budget, Window: window}
	cost := request.class.cost.Cost()
	if cost <= endpoint.Budget.Available(e.now, startedAt, &schedule) {
		return true
	}
	for i := range e.classes {
		cost = min(cost, e.classes[i].cost.Cost())
	}
	availableAt := endpoint.Budget.AvailableAt(e.now, startedAt, cost, &schedule)
	e.endpoints.SkipUntil(endpoint, min(availableAt, e.now+maxSkipTime))
	return false
}

// maxAge keeps rule 5, no purged copy: the oldest copy that will do is younger than the last purge. It says
// also whether there was a purge; without one the age is 0, for the class's own limit.
func (e *Engine) maxAge(request *requestState) (age time.Duration, isPurged bool) {
	purgedAt, isPurged := e.purges.Newest(request.part.Object, request.group)
	if !isPurged {
		return 0, false
	}
	age = max(minMaxAge, e.now-purgedAt-clockMargin)
	if request.class.FreshFor > 0 {
		age = min(age, request.class.FreshFor)
	}
	return age, true
}

// isReachable says whether the settings allow a route.
func (e *Engine) isReachable(via route) bool {
	endpoint, source := via.endpoint, via.source
	if endpoint.Role != endpointset.Cache {
		return e.cfg.DirectFetch && (source == endpoint || source.Role == endpointset.Origin)
	}
	if endpoint.Zone != e.cfg.Zone {
		return false
	}
	if source.Role != endpointset.Cache || source == endpoint || e.cfg.Siblings == ReachAny {
		return true
	}
	return source.Zone == e.cfg.Zone && e.cfg.Siblings == ReachZone
}

package policy

import (
	"slices"
	"time"

	"sloequay/internal/policy/endpointset"
	"sloequay/internal/policy/slowstart"
)

// The protocol has five rules, each of which has its function here: every request is answered (isOpen), no
// effect is done twice (mayRepeatAt), nothing goes to or fills from an endpoint that drains (bothReady),
// one that has just started is spared (withinWarmupBudget), no purged copy is served (maxAge). send asks
// the guards of the first four, and each attempt has the age that the fifth allows.

const (
	// retryWindowShare of the time in which endpoints drop repeats is used: what is decided has yet to be
	// written, sent and read.
	retryWindowShare = 0.8

	// warmupBudgetShare of the stated budget is used: estimates of cost are rough.
	warmupBudgetShare = 0.7
	// restartBudgetShare of that is used in the first window after this proxy's own start, for endpoints
	// that started before it: what it sent them before a restart is in that window too. So seven in ten
	// proxies may restart at once, and the fleet stays within the stated budget.
	restartBudgetShare = 0.5
	maxSkipTime        = 250 * time.Millisecond // of an endpoint without budget: costs change meanwhile

	joinFillsAfter = time.Second // of a purge: most fills that began before it are over
)

// guardsPass says whether an attempt breaks no rule and no limit of the settings. The budgets come last, as
// they have an endpoint without one skipped.
func (e *Engine) guardsPass(request *openRequest, via route) bool {
	return e.hasAttemptsLeft(request, 1) && e.isOpen(request) && e.mayRepeatAt(request, via.endpoint) &&
		bothReady(via) && e.isReachable(via) &&
		e.withinWarmupBudget(request, via.endpoint) && e.withinWarmupBudget(request, via.source)
}

// hasAttemptsLeft reports whether a request may have so many more attempts.
func (e *Engine) hasAttemptsLeft(request *openRequest, count int) bool {
	return e.cfg.MaxAttempts <= 0 || len(request.attempts)+count <= e.cfg.MaxAttempts
}

// isOpen keeps rule 1, every request answered: nothing is sent for a request that has its end. That each gets
// its end in time is advance's part.
func (e *Engine) isOpen(request *openRequest) bool { return e.requests[request.id] == request }

// mayRepeatAt keeps rule 2, no effect done twice: an attempt after one that may have run goes only where, and
// only as long as, a repeat is dropped. Two attempts of a request are in flight together only with hedging.
func (e *Engine) mayRepeatAt(request *openRequest, endpoint *endpointState) bool {
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
		if class.Idempotency == NotIdempotent || isOutOfScope || !class.InRetryWindow(e.now-attempt.sentAt) {
			return false
		}
	}
	return true
}

// isRetryHarmless keeps rule 2's other part: a rejection says that a retry is harmless.
func (e *Engine) isRetryHarmless(request *openRequest) bool {
	class := request.class
	return class.Idempotency == Idempotent ||
		class.Idempotency == IdempotentByKey && class.DedupScope == DedupAll ||
		!slices.ContainsFunc(request.attempts, func(a attemptState) bool { return a.mayHaveRun })
}

// InRetryWindow says whether endpoints still drop the repeat of an attempt that was decided on so long ago.
func (c *Class) InRetryWindow(sinceAttempt time.Duration) bool {
	return sinceAttempt <= time.Duration(retryWindowShare*float64(c.DedupWindow))
}

// bothReady keeps rule 3, draining done safely: neither endpoint nor source drains or is gone.
func bothReady(via route) bool { return via.endpoint.State == Ready && via.source.State == Ready }

// withinWarmupBudget keeps rule 4, controlled fail-back: an endpoint that has just started gets at most this
// proxy's share of what it bears in any OverloadWindow. Without budget it is skipped until it has some.
func (e *Engine) withinWarmupBudget(request *openRequest, endpoint *endpointState) bool {
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
	budget := warmupBudgetShare * multiple * e.endpoints.LinkShare(endpoint) * window.Seconds()
	if startedAt < e.startedAt && e.now-e.startedAt < window {
		budget *= restartBudgetShare
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

// maxAge keeps rule 5, no purged copy: the oldest copy that will do is younger than the last purge. 0: there
// was none, and the class's own limit is the only one.
func (e *Engine) maxAge(request *openRequest) time.Duration {
	return e.purges.MaxAge(e.now, request.part.Object, request.group, request.class.FreshFor)
}

// isReachable reports whether the settings allow a route.
func (e *Engine) isReachable(via route) bool {
	endpoint, source := via.endpoint, via.source
	if endpoint.Role != endpointset.Cache {
		return e.cfg.DirectFetch && (source == endpoint || source.Role == endpointset.Origin)
	}
	if endpoint.Zone != e.cfg.Zone {
		return false
	}
	if source.Role != endpointset.Cache || source == endpoint || e.cfg.Siblings == SiblingsAny {
		return true
	}
	return source.Zone == e.cfg.Zone && e.cfg.Siblings == SiblingsZone
}

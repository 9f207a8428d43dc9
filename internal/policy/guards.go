package policy

import (
	"slices"
	"time"

	"sloequay/internal/policy/endpointset"
	"sloequay/internal/policy/slowstart"
)

// Each of the protocol's five rules is enforced by a function in this file: every request gets a response
// (isOpen), no request takes effect twice (mayRepeatAt), no attempt goes to or fills from a draining endpoint
// (bothReady), an endpoint that has just started is not overloaded (withinWarmupBudget), and no purged copy
// is served (maxAge). send checks the first four, and startAttempt sets the MaxAge that the fifth allows.

const (
	// retryWindowShare is the share of Class.DedupWindow in which repeats are sent: after the decision, an
	// attempt still has to be written, transmitted and read.
	retryWindowShare = 0.8

	// warmupBudgetShare is the share of the configured budget that is used, since cost estimates are rough.
	warmupBudgetShare = 0.7
	// restartBudgetShare is the share of that budget that is used in the first window after this proxy's own
	// start, for endpoints that started before it: what it sent them before its restart counts in that window
	// too. So the fleet stays within the configured budget if up to seven in ten proxies restart at once.
	restartBudgetShare = 0.5
	maxSkipTime        = 250 * time.Millisecond // for an endpoint without budget, as cost estimates change

	joinFillsAfterPurge = time.Second // by then, most fills that began before a purge are over
)

// guardsPass reports whether an attempt breaks no rule and no configured limit. Budgets are checked last,
// since that check marks an endpoint without budget as skipped.
func (e *Engine) guardsPass(request *openRequest, via route) bool {
	return e.hasAttemptsLeft(request, 1) && e.isOpen(request) && e.mayRepeatAt(request, via.endpoint) &&
		bothReady(via) && e.routeAllowed(via) &&
		e.withinWarmupBudget(request, via.endpoint) && e.withinWarmupBudget(request, via.source)
}

// hasAttemptsLeft reports whether a request may have count more attempts.
func (e *Engine) hasAttemptsLeft(request *openRequest, count int) bool {
	return e.cfg.MaxAttempts <= 0 || len(request.attempts)+count <= e.cfg.MaxAttempts
}

// isOpen enforces rule 1, every request gets a response: nothing is sent for a request that has ended.
// advance ensures that each ends in time.
func (e *Engine) isOpen(request *openRequest) bool { return e.requests[request.id] == request }

// mayRepeatAt enforces rule 2, no request takes effect twice: after an attempt that may have run, another one
// is sent only where, and only as long as, a repeat is dropped. Without hedging, a request has at most one
// attempt in flight.
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

// isSafeToRetry enforces rule 2 for rejections, which tell the client that a retry is safe.
func (e *Engine) isSafeToRetry(request *openRequest) bool {
	class := request.class
	return class.Idempotency == Idempotent ||
		class.Idempotency == IdempotentByKey && class.DedupScope == DedupAll ||
		!slices.ContainsFunc(request.attempts, func(a attemptState) bool { return a.mayHaveRun })
}

// InRetryWindow reports whether endpoints still drop the repeat of an attempt that was decided sinceAttempt
// ago.
func (c *Class) InRetryWindow(sinceAttempt time.Duration) bool {
	return sinceAttempt <= time.Duration(retryWindowShare*float64(c.DedupWindow))
}

// bothReady enforces rule 3, safe draining: neither endpoint nor source is draining or gone.
func bothReady(via route) bool { return via.endpoint.State == Ready && via.source.State == Ready }

// withinWarmupBudget enforces rule 4, controlled fail-back: an endpoint that has just started gets at most
// this proxy's share of the load that it can bear in any OverloadWindow. An endpoint without budget is
// skipped until it has some.
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

// maxAge enforces rule 5, no purged copy is served: it returns the age of the oldest copy that may be served,
// which is younger than the last purge. 0: there was no purge, and only the class's own limit applies.
func (e *Engine) maxAge(request *openRequest) time.Duration {
	return e.purges.MaxAge(e.now, request.part.Object, request.group, request.class.FreshFor)
}

// routeAllowed reports whether the settings allow a route.
func (e *Engine) routeAllowed(via route) bool {
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

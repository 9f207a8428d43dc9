package policy

import (
	"slices"

	"sloequay/internal/policy/aimd"
	"sloequay/internal/policy/endpointset"
	"sloequay/internal/policy/gaptable"
	"sloequay/internal/policy/rendezvous"
)

const (
	// attemptsAfterLookups is how many of a request's MaxAttempts the lookups at siblings leave for the fill
	// and its retries.
	attemptsAfterLookups = 4
	// maxLookups is the most siblings at which a request looks up its part, even if more attempts would be
	// left.
	maxLookups = 3
)

// ranking orders endpoints by weighted rendezvous hash of a part, so that the loss of one moves only its
// share.
type ranking = rendezvous.Ranking[*endpointState]

// route is the endpoint of an attempt and the source that it may fill from.
type route struct {
	endpoint   *endpointState
	source     *endpointState // the endpoint itself: no fill
	cachedOnly bool           // the source serves only a cached copy
}

func (r route) isFill() bool { return r.source != r.endpoint }

// cachedOnFirstRequest reports whether a part is cached as early as its first request. In a zone with n
// proxies a hash picks n-1 in n of the parts; otherwise each proxy would fill a part once before it is
// cached.
func (e *Engine) cachedOnFirstRequest(part gaptable.Part) bool {
	if len(e.endpoints.Caches.Members()) == 0 {
		return false
	}
	proxies := uint64(e.endpoints.ProxiesOf(e.endpoints.Caches.Members()[0]))
	return rendezvous.Hash(part.Hash()^uint64(e.cfg.Ordinal))%proxies != 0
}

// tryNext sends one attempt by the first route that the guards allow, through caches, parents or the origin,
// and reports whether there was one.
func (e *Engine) tryNext(request *openRequest) bool {
	parents := e.endpoints.Parents.OrderFor(request.part.Hash(), nil, e.now)
	if request.class.Write {
		return e.sendDirect(request, nil, e.endpoints.Origin) || e.sendThroughCaches(request, nil) ||
			e.sendDirect(request, parents, nil)
	}
	request.atCapacity = false
	if e.sendThroughCaches(request, parents) {
		return true
	}
	return !request.atCapacity && e.sendDirect(request, parents, e.endpoints.Origin)
}

// cacheOrder ranks the zone's caches for a request: first the one that probably caches the part, then by
// hash. At the top rank the first two have a copy, and the one with less load goes first.
func (e *Engine) cacheOrder(request *openRequest) *ranking {
	var likelyCache *endpointState
	if request.row != nil && request.row.CachedBy != 0 {
		likelyCache = e.endpoints.LocalCache(EndpointID(request.row.CachedBy))
	}
	order := e.endpoints.Caches.OrderFor(request.part.Hash(), likelyCache, e.now)
	if request.cacheRank < gaptable.TopRank || order.At(1) == nil {
		return order
	}
	first, second := order.At(0), order.At(1)
	if first.Usable(e.now) && second.Usable(e.now) &&
		e.endpoints.Load(e.now, second) < e.endpoints.Load(e.now, first) {
		order.Swap(0, 1)
		request.toReplica = true
	}
	return order
}

// likelyCachedAt reports whether an endpoint probably caches a request's part.
func (r *openRequest) likelyCachedAt(endpoint *endpointState) bool {
	return r.row != nil && r.row.CachedBy == uint64(endpoint.ID)
}

// sendThroughCaches tries the zone's caches in order, each with all sources. It stops at the first cache
// without capacity and marks the request as at capacity; later caches are not tried.
func (e *Engine) sendThroughCaches(request *openRequest, parents *ranking) bool {
	order := e.cacheOrder(request)
	if e.siblingLookup(request, order) {
		return true
	}
	// While both limiters are full, no fill is sent through any cache.
	fillLimitersFull := !request.class.Write && e.limiterFull(request, &e.fillLimiter) &&
		(request.cachedOnlySent || e.limiterFull(request, &e.cachedOnlyLimiter))
	for cache := range order.AllThen(nil) {
		if !e.eligible(request, cache) {
			continue
		}
		isReplica := request.toReplica && cache == order.At(0)
		needsLimiter := !request.likelyCachedAt(cache) && !isReplica
		if !e.hasCapacity(request, cache) || fillLimitersFull && needsLimiter {
			request.atCapacity = true
			return false
		}
		mayFillReplica := isReplica && len(request.attempts) == 0
		if mayFillReplica && e.send(request, route{endpoint: cache, source: order.At(1), cachedOnly: true}) ||
			e.sendToCache(request, cache, parents) {
			return true
		}
	}
	return false
}

// sendToCache tries a cache with one source after another: with each parent, first for a fill and then for
// the parent's cached copy only, and at last with the origin.
func (e *Engine) sendToCache(request *openRequest, cache *endpointState, parents *ranking) bool {
	for source := range parents.AllThen(e.endpoints.Origin) {
		if !e.eligible(request, source) {
			continue
		}
		if e.send(request, route{endpoint: cache, source: source}) {
			return true
		}
		if source.Role == endpointset.Parent &&
			e.send(request, route{endpoint: cache, source: source, cachedOnly: true}) {
			return true
		}
	}
	return false
}

// siblingLookup tries the zone's caches one after another, without a fill, if the part's row names no cache.
func (e *Engine) siblingLookup(request *openRequest, order *ranking) bool {
	if request.row == nil || request.row.CachedBy != 0 || len(request.attempts) >= maxLookups ||
		!e.hasAttemptsLeft(request, attemptsAfterLookups) ||
		slices.ContainsFunc(request.attempts, attemptState.isFill) {
		return false
	}
	for cache := range order.AllThen(nil) {
		isAtCache := func(attempt attemptState) bool { return attempt.endpoint == cache }
		wasTried := slices.ContainsFunc(request.attempts, isAtCache)
		if !wasTried && cache.Usable(e.now) && e.hasCapacity(request, cache) &&
			e.send(request, route{endpoint: cache, source: cache}) {
			return true
		}
	}
	return false
}

// sendDirect bypasses the caches. A parent fills a part that it lacks from the origin.
func (e *Engine) sendDirect(request *openRequest, parents *ranking, last *endpointState) bool {
	if !e.cfg.DirectFetch || e.endpoints.Origin == nil {
		return false
	}
	for endpoint := range parents.AllThen(last) {
		if e.eligible(request, endpoint) && e.hasCapacity(request, endpoint) &&
			e.send(request, route{endpoint: endpoint, source: e.endpoints.Origin}) {
			return true
		}
	}
	return false
}

// eligible reports whether an endpoint is usable and has not failed a request before.
func (e *Engine) eligible(request *openRequest, endpoint *endpointState) bool {
	return endpoint != nil && endpoint.Usable(e.now) && !slices.Contains(request.failed, endpoint)
}

// send sends an attempt by a route if its limiter has capacity and the guards allow it, and reports whether
// it did. Every attempt is sent here.
func (e *Engine) send(request *openRequest, via route) bool {
	limiter := e.limiterFor(request, via)
	if limiter != nil && (via.cachedOnly && request.cachedOnlySent || e.limiterFull(request, limiter)) {
		request.atCapacity = true
		return false
	}
	if limiter == nil && via.source.Role == endpointset.Parent && e.limiterFull(request, &e.fillLimiter) {
		via.cachedOnly = true // if the part is not cached after all, it must not be filled
	}
	if !e.guardsPass(request, via) {
		return false
	}
	via.endpoint.Budget.Spend(e.now, request.class.cost.Cost())
	if via.isFill() {
		via.source.Budget.Spend(e.now, request.class.cost.Cost())
	}
	e.startAttempt(request, via, limiter)
	return true
}

// limiterFor returns the limiter that a route counts against, or nil if no fill is likely.
func (e *Engine) limiterFor(request *openRequest, via route) *aimd.Limiter {
	isCopy := via.source.Role == endpointset.Cache || request.likelyCachedAt(via.endpoint)
	if request.class.Write || isCopy && via.endpoint.Role == endpointset.Cache {
		return nil
	}
	if via.cachedOnly {
		return &e.cachedOnlyLimiter
	}
	return &e.fillLimiter
}

// startAttempt records an attempt and emits its action.
func (e *Engine) startAttempt(request *openRequest, via route, limiter *aimd.Limiter) {
	endpoint := via.endpoint
	maxAge := e.maxAge(request)
	isPurged := maxAge > 0
	action := SendAttempt{
		ID: request.id, Endpoint: endpoint.ID, Source: via.source.ID,
		MaxAge: maxAge, CachedOnly: via.cachedOnly,
		JoinFill:   e.cfg.JoinFills && (!isPurged || maxAge > joinFillsAfterPurge),
		Revalidate: request.class.FreshFor > 0 && !isPurged,
	}
	if endpoint.Role == endpointset.Cache {
		action.CacheRank = request.cacheRank
	}
	load := e.endpoints.Load(e.now, endpoint)
	request.attempts = append(request.attempts, attemptState{
		route: via, limiter: limiter, sentAt: e.now, mayHaveRun: true,
		load: load, expectedSeconds: request.expectedSeconds * max(1, load),
	})
	if limiter != nil {
		limiter.InFlight++
		request.cachedOnlySent = request.cachedOnlySent || via.cachedOnly
	}
	endpoint.Start(e.now, attemptRef{request, len(request.attempts) - 1})
	request.inFlight++
	e.emit(action)
}

package policy

import (
	"slices"

	"sloequay/internal/policy/endpointset"
	"sloequay/internal/policy/outlier"
)

// saysNothingOfEndpoint are the outcomes that say nothing of the endpoint, nor of what is behind it.
var saysNothingOfEndpoint = []Status{
	StatusCanceled, StatusNotExecuted, StatusBudgetExhausted, StatusUnavailable,
}

// recordOutcome books an answer to the endpoint that is at fault: the attempt's own, or the source behind it.
func (e *Engine) recordOutcome(request *openRequest, attempt *attemptState, event ResponseEvent) {
	switch {
	case event.Status == StatusOK:
		e.observe(attempt.endpoint, outlier.Success)
		if attempt.limiter != nil && attempt.isFill() && event.Note != NoteHit && !attempt.slow {
			e.observe(attempt.source, outlier.Success)
		}
	case event.Status == StatusUnavailable:
		request.failed = append(request.failed, attempt.endpoint)
	case slices.Contains(saysNothingOfEndpoint, event.Status):
		request.inconclusive++
	case event.Status == StatusMiss && (attempt.source.Role == endpointset.Cache || attempt.cachedOnly):
		request.recordExpectedMiss(attempt)
	case sourceFailed(attempt, event):
		request.failed = append(request.failed, attempt.source)
		if attempt.endpoint.Role != endpointset.Cache { // the origin is the only source that it has
			request.failed = append(request.failed, attempt.endpoint)
		}
		e.recordSourceFailure(attempt, event)
	case event.Status == StatusReset && !request.answerLost:
		request.answerLost = true // it may be cached there by now: the same cache once more
	default:
		request.failed = append(request.failed, attempt.endpoint)
		e.recordEndpointFailure(attempt, event)
	}
	if event.Status == StatusReset {
		attempt.endpoint.LastResetAt = e.now
	}
}

// recordExpectedMiss takes a miss where only a cached copy was asked for, which is nobody's fault.
func (r *openRequest) recordExpectedMiss(attempt *attemptState) {
	r.toReplica = false
	if attempt.limiter == nil && attempt.isFill() && r.row != nil {
		r.row.CachedBy = 0 // a believed hit that was none
	}
}

// sourceFailed says whether an answer without success is the fault of the source behind a cache. A cache at
// capacity says so at once; what comes later than that and without a note is its source's.
func sourceFailed(attempt *attemptState, event ResponseEvent) bool {
	if !attempt.isFill() {
		return false
	}
	if event.Status == StatusMiss || event.Note >= NoteSourceRejected && event.Note != NoteNoCapacity {
		return true
	}
	if event.Note != NoteNone || event.Elapsed <= rejectionTime {
		return false
	}
	return event.Status == StatusAtCapacity || event.Status == StatusError && attempt.limiter != nil
}

// recordSourceFailure counts a failure against the source, unless it is that of the origin behind it.
func (e *Engine) recordSourceFailure(attempt *attemptState, event ResponseEvent) {
	if event.Note == NoteSourceMiss || event.Note == NoteOriginFailed || attempt.slow {
		return
	}
	outcome := outlier.Failure
	if event.Note == NoteSourceLost {
		outcome = outlier.HardFailure // as hard a sign as a refused connection: sources are seen seldom
	}
	e.observe(attempt.source, outcome)
}

// recordEndpointFailure counts a failure against the attempt's endpoint, where it is a sign of a fault.
func (e *Engine) recordEndpointFailure(attempt *attemptState, event ResponseEvent) {
	if event.Status == StatusAtCapacity || event.Status == StatusTimeout {
		return
	}
	// All that was in flight on a connection ends with it, and that is one sign: one bad answer does not make
	// a fault.
	if event.Status == StatusReset && attempt.endpoint.LastResetAt == e.now {
		return
	}
	outcome := outlier.Failure
	if event.Status == StatusConnectFailed && attempt.endpoint.Role == endpointset.Cache {
		outcome = outlier.HardFailure
	}
	e.observe(attempt.endpoint, outcome)
}

// observe weighs an outcome against what is usual for the endpoint's role.
func (e *Engine) observe(endpoint *endpointState, outcome outlier.Outcome) {
	e.applyVerdict(e.endpoints.Observe(endpoint, outcome), endpoint, outlier.Failing)
}

// applyVerdict ejects or readmits an endpoint. The origin is never ejected.
func (e *Engine) applyVerdict(verdict outlier.Verdict, endpoint *endpointState, cause outlier.Cause) {
	switch {
	case verdict == outlier.Recovered:
		endpoint.ReadmittedAt = e.now // it may have started anew, before the list says so: it is warming up
		e.readmit(endpoint)
	case verdict == outlier.Faulty && (endpoint.Health.Ejected() || endpoint.Role != endpointset.Origin):
		e.eject(endpoint, cause)
	}
}

// recordSlowFill counts a slow fill, unless those by the other parents are slow as well: then the origin is.
func (e *Engine) recordSlowFill(attempt *attemptState) {
	source := attempt.source
	if source.Role != endpointset.Parent || attempt.cachedOnly || source.LastFillAt < attempt.sentAt {
		e.observe(source, outlier.Failure) // one that answers nothing at all is not waiting for the origin
		return
	}
	verdict := source.Health.Record(outlier.Failure, e.endpoints.OthersSlowRate(e.now, source))
	e.applyVerdict(verdict, source, outlier.SlowFills)
	e.endpoints.RecordParentFill(e.now, source, outlier.Slow)
}

// readmitSlowParents readmits the parents that are ejected for slow fills alone, once the others are as slow.
func (e *Engine) readmitSlowParents() {
	for _, parent := range e.endpoints.Parents.Members() {
		othersSlowRate := e.endpoints.OthersSlowRate(e.now, parent)
		if parent.Health.EjectedForSlowness() && othersSlowRate == outlier.FaultyErrorRate {
			e.readmit(parent)
		}
	}
}

// ejectSilentCaches ejects the caches of the zone that have been silent for too long.
func (e *Engine) ejectSilentCaches() {
	for _, cache := range e.endpoints.SilentCaches(e.now) {
		e.eject(cache, outlier.Unresponsive)
	}
}

// eject takes an endpoint out of ordinary work, but for trials.
func (e *Engine) eject(endpoint *endpointState, cause outlier.Cause) {
	if !endpoint.Health.Ejected() {
		e.emit(EndpointEjected{Endpoint: endpoint.ID, Cause: cause})
	}
	e.endpoints.Eject(e.now, endpoint, cause)
}

// readmit takes an endpoint back into ordinary work.
func (e *Engine) readmit(endpoint *endpointState) {
	e.emit(EndpointReadmitted{Endpoint: endpoint.ID})
	e.endpoints.Readmit(endpoint)
}

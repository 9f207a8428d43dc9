package quota

import (
	"time"

	"sloequay/internal/concurrency"
)

// Grant holds what an admitted request has taken from the budgets. The zero Grant, of a request without a contract,
// holds nothing.
type Grant struct {
	leaf  *node
	cost  Cost
	limit *concurrency.Limit
}

// Tenant returns the name of the tenant whose contract applies; empty if there is none.
func (g Grant) Tenant() string {
	if g.leaf == nil {
		return ""
	}
	return g.leaf.tenant().name
}

// SpendAttempt charges a first attempt to the budgets of the grant, or returns a rejection that names the exhausted
// one.
func (g Grant) SpendAttempt(now time.Duration) *Rejection { return g.spend(now, Attempts) }

// SpendRetry charges a retry to the budgets of the grant, or returns a rejection that names the exhausted one.
func (g Grant) SpendRetry(now time.Duration) *Rejection { return g.spend(now, Retries) }

// spend charges one unit of each kind from Attempts to last, or nothing at all if one of them is exhausted.
func (g Grant) spend(now time.Duration, last Kind) *Rejection {
	if g.leaf == nil {
		return nil
	}
	var found draws
	if rejection := g.leaf.findSources(now, Attempts, last, Cost{}, &found); rejection != nil {
		return rejection
	}
	found.charge(now, Cost{})
	return nil
}

// Release ends the request without a signal about the load, and returns what it holds of the limits on open requests
// and their bytes. Either Release or ReleaseWithOutcome must be called, exactly once.
func (g Grant) Release(now time.Duration) { g.ReleaseWithOutcome(now, concurrency.NoSignal, 0) }

// ReleaseWithOutcome is like Release, and reports to the concurrency limit how the request ended and how long it took.
func (g Grant) ReleaseWithOutcome(now time.Duration, outcome concurrency.Outcome, took time.Duration) {
	if g.limit != nil {
		g.limit.Release(now, outcome, took)
	}
	if g.leaf != nil {
		g.leaf.release(now, g.cost)
	}
}

package quota

import (
	"time"

	"sloequay/internal/concurrency"
)

// Grant is what an admission has taken. Its zero value is that of a request without a contract.
type Grant struct {
	leaf  *node
	cost  Cost
	limit *concurrency.Limit
}

// Tenant returns the name of the tenant whose contract it is; empty where there is none.
func (g Grant) Tenant() string {
	if g.leaf == nil {
		return ""
	}
	return g.leaf.tenant().name
}

// SpendAttempt charges a first attempt to the budgets of a grant, or returns the one that is used up.
func (g Grant) SpendAttempt(now time.Duration) *Rejection { return g.spend(now, Attempts) }

// SpendRetry charges a later attempt to the budgets of a grant, or returns the one that is used up.
func (g Grant) SpendRetry(now time.Duration) *Rejection { return g.spend(now, Retries) }

// spend charges one unit of each kind from Attempts to last, or of none.
func (g Grant) spend(now time.Duration, last Kind) *Rejection {
	if g.leaf == nil {
		return nil
	}
	var found draws
	if rejection := g.leaf.findRoom(now, Attempts, last, Cost{}, &found); rejection != nil {
		return rejection
	}
	found.charge(now, Cost{})
	return nil
}

// Release gives back what the admission has open, and says nothing about the load. Either it or ReleaseWithOutcome must
// be called once.
func (g Grant) Release(now time.Duration) { g.ReleaseWithOutcome(now, concurrency.NoSignal, 0) }

// ReleaseWithOutcome is Release with what the end of the request says about the load, and how long it took.
func (g Grant) ReleaseWithOutcome(now time.Duration, outcome concurrency.Outcome, took time.Duration) {
	if g.limit != nil {
		g.limit.Release(now, outcome, took)
	}
	if g.leaf != nil {
		g.leaf.release(now, g.cost)
	}
}

// Package slowstart limits the load that one of many senders puts on an endpoint that has just started. It grants a
// budget per sliding window, which grows with the endpoint's age from a share of the full budget to all of it.
//
// Invariants: if a sender spends only while some budget is available, the costs within a window exceed the budget at
// its end by at most the last of them; a cost is not available before the time that AvailableAt returns, so the sender
// can skip the endpoint until then.
//
// Bounds: memory and time in proportion to the requests sent within one window. The package does no I/O and reads no
// clock; times passed to it must not decrease.
package slowstart

import "time"

// Schedule describes how the budget of one sender for one endpoint grows. The zero value allows nothing.
type Schedule struct {
	InitialShare float64       // of FullBudget, at the endpoint's start
	WarmupTime   time.Duration // from the start until the budget is FullBudget
	FullBudget   float64       // cost per window, in the unit of Spend
	Window       time.Duration
}

// budget returns the cost allowed in the window that ends now, for an endpoint that started at startedAt.
func (s *Schedule) budget(now, startedAt time.Duration) float64 {
	age := float64(now-startedAt) / float64(max(1, s.WarmupTime))
	return s.FullBudget * (s.InitialShare + (1-s.InitialShare)*min(1, max(0, age)))
}

// growthRate returns how fast the budget grows at a time, in cost per nanosecond.
func (s *Schedule) growthRate(now, startedAt time.Duration) float64 {
	if now >= startedAt+s.WarmupTime {
		return 0
	}
	return s.FullBudget * (1 - s.InitialShare) / float64(max(1, s.WarmupTime))
}

// expense is the cost of one request and the time at which it was sent.
type expense struct {
	at   time.Duration
	cost float64
}

// Budget records what one sender has spent on one endpoint within the window. In the zero value nothing is spent.
type Budget struct {
	expenses []expense // oldest first
}

// Spend records the cost of a request that is sent now.
func (b *Budget) Spend(now time.Duration, cost float64) {
	b.expenses = append(b.expenses, expense{now, cost})
}

// Clear removes all expenses, and keeps their memory for later ones.
func (b *Budget) Clear() { b.expenses = b.expenses[:0] }

// Available returns the cost that may still be spent now; it may be negative. It removes the expenses that have left
// the window.
func (b *Budget) Available(now, startedAt time.Duration, schedule *Schedule) float64 {
	expired := 0
	for expired < len(b.expenses) && now-b.expenses[expired].at > schedule.Window {
		expired++
	}
	if expired > 0 {
		b.expenses = b.expenses[:copy(b.expenses, b.expenses[expired:])]
	}
	available := schedule.budget(now, startedAt)
	for _, expense := range b.expenses {
		available -= expense.cost
	}
	return available
}

// AvailableAt returns the first time from now on at which a cost is available, if nothing is spent until then. A cost
// that is not available during the warm-up, such as one above the full budget, counts as available at its end.
func (b *Budget) AvailableAt(now, startedAt time.Duration, cost float64, schedule *Schedule) time.Duration {
	warmupEnd := startedAt + schedule.WarmupTime
	growthRate := schedule.growthRate(now, startedAt)
	available := b.Available(now, startedAt, schedule) // at the time "at", which the loop moves forward
	at := now
	for expired := 0; ; expired++ {
		nextChange := warmupEnd
		if expired < len(b.expenses) {
			nextChange = min(nextChange, b.expenses[expired].at+schedule.Window+1)
		}
		if cost <= available {
			return at
		}
		if growthRate > 0 {
			if fitsAt := at + time.Duration((cost-available)/growthRate) + 1; fitsAt < nextChange {
				return fitsAt
			}
		}
		if nextChange >= warmupEnd || expired >= len(b.expenses) {
			return max(now, warmupEnd)
		}
		available += growthRate*float64(nextChange-at) + b.expenses[expired].cost
		at = nextChange
	}
}

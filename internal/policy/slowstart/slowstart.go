// Package slowstart limits what one of many senders sends to an endpoint that has just started: a budget in any
// window of time, which grows with the endpoint's age from a share of its capacity to all of it.
//
// Invariants: the costs spent within a window exceed the budget at its end by the last one at most; AvailableAt gives
// the first time at which Available covers a cost, so that until then the endpoint need not be considered.
//
// Bounds: memory for what is sent within one window, and time in proportion to it. The package does no I/O and reads
// no clock; times must not fall.
package slowstart

import "time"

// Schedule is what an endpoint can bear, as far as this sender's part goes. The zero value bears nothing.
type Schedule struct {
	InitialShare float64       // of FullBudget, at age 0
	WarmupTime   time.Duration // until the endpoint has its full budget
	FullBudget   float64       // cost that fits into a window
	Window       time.Duration
}

// budget is what the window that ends now bears, for an endpoint that started at a time.
func (s *Schedule) budget(now, startedAt time.Duration) float64 {
	age := float64(now-startedAt) / float64(max(1, s.WarmupTime))
	return s.FullBudget * (s.InitialShare + (1-s.InitialShare)*min(1, max(0, age)))
}

// growth is by how much the budget grows at a time, in cost a nanosecond.
func (s *Schedule) growth(now, startedAt time.Duration) float64 {
	if now >= startedAt+s.WarmupTime {
		return 0
	}
	return s.FullBudget * (1 - s.InitialShare) / float64(max(1, s.WarmupTime))
}

// expense is one sending.
type expense struct {
	at   time.Duration
	cost float64
}

// Budget is what one sender has sent to one endpoint within the window. The zero value has sent nothing.
type Budget struct {
	expenses []expense // the oldest first
}

// Spend records a sending.
func (b *Budget) Spend(now time.Duration, cost float64) {
	b.expenses = append(b.expenses, expense{now, cost})
}

// Clear forgets all sendings, and keeps the memory for others.
func (b *Budget) Clear() { b.expenses = b.expenses[:0] }

// Available is the cost that may still be spent now. Sendings that have left the window are forgotten.
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

// AvailableAt is the first time from now on at which a cost fits, if nothing is spent until then. A cost beyond the
// full budget fits at the end of the warm-up.
func (b *Budget) AvailableAt(now, startedAt time.Duration, cost float64, schedule *Schedule) time.Duration {
	warmAt := startedAt + schedule.WarmupTime
	growth := schedule.growth(now, startedAt)
	available := b.Available(now, startedAt, schedule) // at the time at, from which the loop goes on
	at := now
	for expired := 0; ; expired++ {
		next := warmAt
		if expired < len(b.expenses) {
			next = min(next, b.expenses[expired].at+schedule.Window+1)
		}
		if cost <= available {
			return at
		}
		if growth > 0 {
			if fits := at + time.Duration((cost-available)/growth) + 1; fits < next {
				return fits
			}
		}
		if next >= warmAt || expired >= len(b.expenses) {
			return max(now, warmAt)
		}
		available += growth*float64(next-at) + b.expenses[expired].cost
		at = next
	}
}

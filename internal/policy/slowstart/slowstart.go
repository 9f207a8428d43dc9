// Package slowstart is what one of many senders may send to a server that has just started: a budget in any window of time,
// which grows with the server's age from a part of its capacity to the whole. It does no I/O and asks no clock.
//
// Invariants: the costs that were spent in a window never exceed the budget at its end by more than the last one; When gives
// the first time at which Left is enough, so that until then the server need not be looked at; what is remembered is bounded
// by what is sent in one window.
package slowstart

import "time"

// Schedule is what a server can bear, as far as this sender's part goes. The zero value bears nothing.
type Schedule struct {
	InitialShare float64       // of Full, at age 0
	WarmupTime   time.Duration // until it is Full
	FullBudget   float64       // budget of a window
	Window       time.Duration
}

// spent is one sending.
type spent struct {
	at   time.Duration
	cost float64
}

// Budget is what one sender has sent to one server lately.
type Budget struct{ spent []spent }

// Spend notes a sending. Times must not fall.
func (m *Budget) Spend(now time.Duration, cost float64) { m.spent = append(m.spent, spent{now, cost}) }

// Clear forgets all sendings, and keeps the memory.
func (m *Budget) Clear() { m.spent = m.spent[:0] }

// budget is what the window that ends at a time bears, for a server that started at since.
func (r *Schedule) budget(now, since time.Duration) float64 {
	return r.FullBudget * (r.InitialShare + (1-r.InitialShare)*min(1, max(0, float64(now-since)/float64(max(1, r.WarmupTime)))))
}

// Available is what may still be sent now. What has left the window is forgotten.
func (m *Budget) Available(now, since time.Duration, r *Schedule) float64 {
	gone := 0
	for gone < len(m.spent) && now-m.spent[gone].at > r.Window {
		gone++
	}
	if gone > 0 {
		m.spent = m.spent[:copy(m.spent, m.spent[gone:])]
	}
	left := r.budget(now, since)
	for _, s := range m.spent {
		left -= s.cost
	}
	return left
}

// AvailableAt is the first time from now on at which a cost fits, if nothing is spent until then. A cost beyond Full fits once the
// server counts as started for long: at since plus Span.
func (m *Budget) AvailableAt(now, since time.Duration, cost float64, r *Schedule) time.Duration {
	left := m.Available(now, since, r) // of the budget at now; it grows while sendings leave the window
	at := now
	slope := 0.0 // of the budget, in cost a nanosecond
	if end := since + r.WarmupTime; at < end {
		slope = r.FullBudget * (1 - r.InitialShare) / float64(max(1, r.WarmupTime))
	}
	for i := 0; ; i++ {
		next := since + r.WarmupTime
		if i < len(m.spent) {
			next = min(next, m.spent[i].at+r.Window+1)
		}
		if cost <= left {
			return at
		}
		if slope > 0 {
			if fits := at + time.Duration((cost-left)/slope) + 1; fits < next {
				return fits
			}
		}
		if next >= since+r.WarmupTime || i >= len(m.spent) {
			return max(now, since+r.WarmupTime)
		}
		left += slope*float64(next-at) + m.spent[i].cost
		at = next
	}
}

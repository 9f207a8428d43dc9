package slowstart

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestAvailableAtIsTheFirstTime compares AvailableAt with a search over time in steps, and Available with a sum over
// all expenses.
func TestAvailableAtIsTheFirstTime(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		schedule := &Schedule{
			InitialShare: rapid.Float64Range(0.01, 1).Draw(t, "initial share"),
			WarmupTime:   time.Duration(rapid.IntRange(1, 40).Draw(t, "warm-up")) * 50 * time.Millisecond,
			FullBudget:   rapid.Float64Range(0.1, 20).Draw(t, "full budget"),
			Window:       time.Duration(rapid.IntRange(1, 20).Draw(t, "window")) * 50 * time.Millisecond,
		}
		startedAt := time.Duration(rapid.IntRange(0, 1000).Draw(t, "started at")) * time.Millisecond
		var budget Budget
		var all []expense
		now := startedAt
		for range rapid.IntRange(0, 30).Draw(t, "requests") {
			now += time.Duration(rapid.IntRange(0, 100).Draw(t, "gap")) * time.Millisecond
			cost := rapid.Float64Range(0.01, 3).Draw(t, "cost")
			budget.Spend(now, cost)
			all = append(all, expense{now, cost})
		}
		sum := schedule.budget(now, startedAt)
		for _, spent := range all {
			if now-spent.at <= schedule.Window {
				sum -= spent.cost
			}
		}
		if available := budget.Available(now, startedAt, schedule); available < sum-1e-9 || available > sum+1e-9 {
			t.Fatalf("got %g available, want %g", available, sum)
		}
		cost := rapid.Float64Range(0.01, 3).Draw(t, "wanted cost")
		availableAt := budget.AvailableAt(now, startedAt, cost, schedule)
		if availableAt < now {
			t.Fatalf("AvailableAt returned %v, want %v (now) or later", availableAt, now)
		}
		fits := func(at time.Duration) bool {
			if at >= startedAt+schedule.WarmupTime {
				return true // the warm-up is over
			}
			copied := Budget{append([]expense(nil), budget.expenses...)}
			return cost <= copied.Available(at, startedAt, schedule)+1e-9
		}
		if !fits(availableAt + 2) {
			t.Fatalf("the cost is not available at %v, the time that AvailableAt returned at %v", availableAt, now)
		}
		for at := now; at < availableAt-time.Millisecond; at += time.Millisecond {
			if fits(at) && !fits(at-2) { // the cost becomes available here
				copied := Budget{append([]expense(nil), budget.expenses...)}
				if cost <= copied.Available(at, startedAt, schedule)-1e-6 {
					t.Fatalf("the cost is available at %v, but AvailableAt returned %v", at, availableAt)
				}
			}
		}
	})
}

package slowstart

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestWhenIsTheFirstTime compares When with a walk over time, and Left with a sum over all that was ever sent.
func TestWhenIsTheFirstTime(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := &Schedule{InitialShare: rapid.Float64Range(0.01, 1).Draw(t, "from"), WarmupTime: time.Duration(rapid.IntRange(1, 40).Draw(t, "span")) * 50 * time.Millisecond,
			FullBudget: rapid.Float64Range(0.1, 20).Draw(t, "full"), Window: time.Duration(rapid.IntRange(1, 20).Draw(t, "window")) * 50 * time.Millisecond}
		since := time.Duration(rapid.IntRange(0, 1000).Draw(t, "since")) * time.Millisecond
		var m Budget
		var all []spent
		now := since
		for range rapid.IntRange(0, 30).Draw(t, "sendings") {
			now += time.Duration(rapid.IntRange(0, 100).Draw(t, "gap")) * time.Millisecond
			cost := rapid.Float64Range(0.01, 3).Draw(t, "cost")
			m.Spend(now, cost)
			all = append(all, spent{now, cost})
		}
		sum := r.budget(now, since)
		for _, s := range all {
			if now-s.at <= r.Window {
				sum -= s.cost
			}
		}
		if left := m.Available(now, since, r); left < sum-1e-9 || left > sum+1e-9 {
			t.Fatalf("left %g, want %g", left, sum)
		}
		cost := rapid.Float64Range(0.01, 3).Draw(t, "wanted")
		when := m.AvailableAt(now, since, cost, r)
		if when < now {
			t.Fatalf("when %v lies before now %v", when, now)
		}
		fits := func(at time.Duration) bool {
			if at >= since+r.WarmupTime {
				return true // it is cold no more
			}
			c := Budget{append([]spent(nil), m.spent...)}
			return cost <= c.Available(at, since, r)+1e-9
		}
		if !fits(when + 2) {
			t.Fatalf("at %v, from %v on, it does not fit", when, now)
		}
		for at := now; at < when-time.Millisecond; at += time.Millisecond {
			if fits(at) && !fits(at-2) { // a place where it would have fitted before
				c := Budget{append([]spent(nil), m.spent...)}
				if cost <= c.Available(at, since, r)-1e-6 {
					t.Fatalf("it fits at %v, and when says %v", at, when)
				}
			}
		}
	})
}

package retry

import (
	"fmt"
	"math"
	"testing"
	"time"

	"pgregory.net/rapid"
)

const start = 1_800_000_000 * time.Second

// TestRetriesStayWithinBound checks that the retries in every span of a random run are within the bound of the package:
// Share of the first attempts, Floor of the time, and the tokens at the start of the span.
func TestRetriesStayWithinBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		config := Config{
			Share: rapid.Float64Range(0.01, 1).Draw(t, "share"), Floor: rapid.Float64Range(0, 5).Draw(t, "floor"),
			Window: time.Duration(rapid.IntRange(1, 5000).Draw(t, "window")) * time.Millisecond,
		}
		type moment struct {
			at                     time.Duration
			firstAttempts, retries int
			tokens                 float64
		}
		var budget Budget
		now := start
		past := []moment{{at: now, tokens: budget.Available(now, config)}}
		firstAttempts, retries := 0, 0
		for range rapid.IntRange(1, 200).Draw(t, "attempts") {
			now += time.Duration(rapid.IntRange(0, 800).Draw(t, "pause")) * time.Millisecond
			if rapid.Bool().Draw(t, "first") {
				budget.Deposit(now, config)
				firstAttempts++
			} else if budget.Available(now, config) >= 1 {
				budget.Withdraw()
				retries++
			}
			for _, since := range past {
				span := now - since.at
				bound := config.Share*float64(firstAttempts-since.firstAttempts) +
					config.Floor*span.Seconds() + since.tokens
				if got := float64(retries - since.retries); got > bound+1e-6 {
					t.Fatalf("got %g retries in %v, want at most %g", got, span, bound)
				}
			}
			past = append(past, moment{now, firstAttempts, retries, budget.Available(now, config)})
		}
	})
}

// TestRetryStormIsBounded lets an endpoint fail all requests, 200 a second, each with up to five retries: the total
// number of attempts must stay within 1.2 times the first attempts. A client that sends one request an hour must still
// get its retry, because of the floor.
func TestRetryStormIsBounded(t *testing.T) {
	config := Config{Share: 0.15, Floor: 1}
	var budget Budget
	now, firsts, retries := start, 0, 0
	for range 2000 {
		now += 5 * time.Millisecond
		budget.Deposit(now, config)
		firsts++
		for range 5 {
			if budget.Available(now, config) < 1 {
				break
			}
			budget.Withdraw()
			retries++
		}
	}
	if ratio := float64(firsts+retries) / float64(firsts); ratio > 1.2 || ratio < 1.1 {
		t.Errorf("got %.3f attempts per first attempt, want 1.1 to 1.2", ratio)
	}
	var infrequent Budget
	for _, floor := range []float64{0.02, 1} {
		now += time.Hour
		infrequentConfig := Config{Share: 0.1, Floor: floor}
		infrequent.Deposit(now, infrequentConfig)
		if infrequent.Available(now, infrequentConfig) < 1 {
			t.Errorf("floor %g: got no token for a client that sends one request an hour, want at least 1", floor)
		}
	}
	if available := budget.Available(now, Config{}); !math.IsInf(available, 1) {
		t.Errorf("zero Config: got %g tokens available, want infinity", available)
	}
}

// TestSetEvictsLeastRecentlyUsed checks that a set is bounded, and that an evicted key starts with an empty budget.
func TestSetEvictsLeastRecentlyUsed(t *testing.T) {
	config := Config{Share: 1}
	set := NewSet[int](config, 3)
	for key := range 10 {
		budget := set.Get(key)
		for range 5 {
			budget.Deposit(start, config)
		}
	}
	length, newest, forgotten := set.Len(), set.Get(9).Available(start, config), set.Get(0).Available(start, config)
	if length != 3 || newest < 5 || forgotten != 0 {
		t.Errorf("got %d budgets, %g tokens for the newest, %g for an evicted one; want 3, at least 5, 0",
			length, newest, forgotten)
	}
}

func BenchmarkDepositAndWithdraw(b *testing.B) {
	for _, endpoints := range []int{10, 10_000} {
		b.Run(fmt.Sprint(endpoints), func(b *testing.B) {
			b.ReportAllocs()
			set := NewSet[uint64](Config{Share: 0.2, Floor: 1}, 1<<20)
			now := start
			for i := range b.N {
				now += time.Microsecond
				budget := set.Get(uint64(i * 2654435761 % endpoints))
				budget.Deposit(now, set.Config())
				if budget.Available(now, set.Config()) >= 1 {
					budget.Withdraw()
				}
			}
		})
	}
}

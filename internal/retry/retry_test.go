package retry

import (
	"fmt"
	"math"
	"testing"
	"time"

	"pgregory.net/rapid"
)

const start = 1_800_000_000 * time.Second

// TestBound: over every span of a random day the retries are within share, floor and the tokens at its beginning.
func TestBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		config := Config{
			Share: rapid.Float64Range(0.01, 1).Draw(t, "share"), Floor: rapid.Float64Range(0, 5).Draw(t, "floor"),
			Window: time.Duration(rapid.IntRange(1, 5000).Draw(t, "window")) * time.Millisecond,
		}
		type moment struct {
			at              time.Duration
			firsts, retries int
			tokens          float64
		}
		var budget Budget
		now := start
		past := []moment{{at: now, tokens: budget.Available(now, config)}}
		firsts, retries := 0, 0
		for range rapid.IntRange(1, 200).Draw(t, "attempts") {
			now += time.Duration(rapid.IntRange(0, 800).Draw(t, "pause")) * time.Millisecond
			if rapid.Bool().Draw(t, "first") {
				budget.Deposit(now, config)
				firsts++
			} else if budget.Available(now, config) >= 1 {
				budget.Withdraw()
				retries++
			}
			for _, since := range past {
				span := now - since.at
				bound := config.Share*float64(firsts-since.firsts) + config.Floor*span.Seconds() + since.tokens
				if got := float64(retries - since.retries); got > bound+1e-6 {
					t.Fatalf("%g retries in %v, at most %g were due", got, span, bound)
				}
			}
			past = append(past, moment{now, firsts, retries, budget.Available(now, config)})
		}
	})
}

// TestStorm: an endpoint fails everything that 200 clients a second send, each wanting five retries: the attempts stay
// under 1.2 times the first ones. A client that sends once an hour still has its retry by the floor.
func TestStorm(t *testing.T) {
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
		t.Errorf("%.3f attempts for each first one", ratio)
	}
	var rare Budget
	for _, floor := range []float64{0.02, 1} {
		now += time.Hour
		rareConfig := Config{Share: 0.1, Floor: floor}
		rare.Deposit(now, rareConfig)
		if rare.Available(now, rareConfig) < 1 {
			t.Errorf("floor %g: nothing for a client that sends little", floor)
		}
	}
	if available := budget.Available(now, Config{}); !math.IsInf(available, 1) {
		t.Errorf("without settings %g are available", available)
	}
}

// TestSet: it is bounded, and a key that was forgotten has no more than one that is new.
func TestSet(t *testing.T) {
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
		t.Errorf("%d budgets; the newest has %g, one that was forgotten %g", length, newest, forgotten)
	}
}

func BenchmarkRepeat(b *testing.B) {
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

package retry

import (
	"fmt"
	"math"
	"testing"
	"time"

	"pgregory.net/rapid"
)

const start = 1_800_000_000 * time.Second

// TestBound: over every span of a random day the repeats allowed are within share, floor and what was left at its beginning.
func TestBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := Config{Share: rapid.Float64Range(0.01, 1).Draw(t, "share"), Floor: rapid.Float64Range(0, 5).Draw(t, "floor"),
			Window: time.Duration(rapid.IntRange(1, 5000).Draw(t, "window")) * time.Millisecond}
		type moment struct {
			at              time.Duration
			firsts, repeats int
			left            float64
		}
		var b Budget
		now := start
		past := []moment{{at: now, left: b.Available(now, c)}}
		firsts, repeats := 0, 0
		for range rapid.IntRange(1, 200).Draw(t, "attempts") {
			now += time.Duration(rapid.IntRange(0, 800).Draw(t, "pause")) * time.Millisecond
			if rapid.Bool().Draw(t, "first") {
				b.Deposit(now, c)
				firsts++
			} else if b.Available(now, c) >= 1 {
				b.Withdraw()
				repeats++
			}
			for _, p := range past {
				most := c.Share*float64(firsts-p.firsts) + c.Floor*(now-p.at).Seconds() + p.left
				if got := float64(repeats - p.repeats); got > most+1e-6 {
					t.Fatalf("%g repeats in %v, at most %g were due", got, now-p.at, most)
				}
			}
			past = append(past, moment{now, firsts, repeats, b.Available(now, c)})
		}
	})
}

// TestStorm: a box fails everything that 200 clients a second send, each wanting five repeats: what is written stays under
// 1.2 times the first tries. One that sends a try a minute still has its repeat by the floor.
func TestStorm(t *testing.T) {
	c := Config{Share: 0.15, Floor: 1}
	var b Budget
	now, firsts, repeats := start, 0, 0
	for range 2000 {
		now += 5 * time.Millisecond
		b.Deposit(now, c)
		firsts++
		for range 5 {
			if b.Available(now, c) < 1 {
				break
			}
			b.Withdraw()
			repeats++
		}
	}
	if all := float64(firsts+repeats) / float64(firsts); all > 1.2 || all < 1.1 {
		t.Errorf("%.3f attempts a first try", all)
	}
	var rare Budget
	for _, floor := range []float64{0.02, 1} {
		now += time.Hour
		if rare.Deposit(now, Config{Share: 0.1, Floor: floor}); rare.Available(now, Config{Share: 0.1, Floor: floor}) < 1 {
			t.Errorf("floor %g: nothing for who sends little", floor)
		}
	}
	if left := b.Available(now, Config{}); !math.IsInf(left, 1) {
		t.Errorf("without settings %g are left", left)
	}
}

// TestSet: it is bounded, and who was forgotten has no more than one that is new.
func TestSet(t *testing.T) {
	c := Config{Share: 1}
	s := NewSet[int](c, 3)
	for key := range 10 {
		b := s.Of(key)
		for range 5 {
			b.Deposit(start, c)
		}
	}
	if s.Len() != 3 || s.Of(9).Available(start, c) < 5 || s.Of(0).Available(start, c) != 0 {
		t.Errorf("%d held; the newest has %g, one that was forgotten %g", s.Len(), s.Of(9).Available(start, c), s.Of(0).Available(start, c))
	}
}

func BenchmarkRepeat(b *testing.B) {
	for _, boxes := range []int{10, 10_000} {
		b.Run(fmt.Sprint(boxes), func(b *testing.B) {
			b.ReportAllocs()
			s := NewSet[uint64](Config{Share: 0.2, Floor: 1}, 1<<20)
			now := start
			for i := range b.N {
				now += time.Microsecond
				k := s.Of(uint64(i * 2654435761 % boxes))
				if k.Deposit(now, s.cfg); k.Available(now, s.cfg) >= 1 {
					k.Withdraw()
				}
			}
		})
	}
}

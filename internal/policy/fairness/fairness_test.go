package fairness

import (
	"math"
	"math/rand/v2"
	"testing"

	"pgregory.net/rapid"
)

// TestShares: whatever bounds on sizes come, the largest tenth and the next fifth are let in Owed times as often as their class; who is
// within the bound is never judged to be beyond it; and where the largest have their share anyway, none is judged by another size.
func TestShares(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rnd := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		sigma := rapid.Float64Range(0, 2).Draw(t, "sigma")
		low, high := rapid.Float64Range(0.2, 5).Draw(t, "low"), rapid.Float64Range(0, 5).Draw(t, "beyond low")
		every := rapid.IntRange(1, 500).Draw(t, "every") // requests, the bound is another one
		const many, first = 40000, 1000
		var s Shares
		bound := low
		var of, in [3]float64 // all, tenth, fifth
		changed := 0
		for n := range many {
			if n%every == 0 {
				bound = low + high*rnd.Float64()
			}
			own := math.Exp(sigma * rnd.NormFloat64())
			judged := s.EffectiveSize(own)
			let := judged <= bound
			if own <= bound && !let {
				t.Fatalf("a size of %v within %v is judged as %v", own, bound, judged)
			}
			s.Record(own, !let)
			if n < first {
				continue
			}
			if judged != own {
				changed++
			}
			for i, is := range [3]bool{true, own > math.Exp(1.2816*sigma), own > math.Exp(0.5244*sigma) && own <= math.Exp(1.2816*sigma)} {
				if is {
					of[i]++
					if let {
						in[i]++
					}
				}
			}
		}
		all := in[0] / of[0]
		for i, name := range []string{"", "the largest tenth", "the next fifth"} {
			if i == 0 || of[i] == 0 {
				continue
			}
			if got := in[i] / of[i]; got < MinAdmittedShare*all-0.08 {
				t.Fatalf("of %s %.3f are let in, of all %.3f", name, got, all)
			}
		}
		if low > math.Exp(3*sigma) && changed > 0 {
			t.Fatalf("all have room, and %d are judged by another size", changed)
		}
	})
}

// TestAlike: with all sizes alike or none, every request is judged by that size.
func TestAlike(t *testing.T) {
	for _, own := range []float64{0, 0.3} {
		var s Shares
		for n := range 1000 {
			if got := s.EffectiveSize(own); got != own {
				t.Fatalf("request %d of size %v is judged as %v", n, own, got)
			}
			s.Record(own, n%2 == 0)
		}
	}
}

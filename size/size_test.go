package size

import (
	"math"
	"math/rand/v2"
	"testing"

	"pgregory.net/rapid"
)

// TestJudged: whatever the bound on sizes, requests of any size are let in at least Share times as often as their class is by its own
// sizes, and small ones as often as by theirs.
func TestJudged(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rnd := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		sigma, bound := rapid.Float64Range(0, 2).Draw(t, "sigma"), rapid.Float64Range(0.05, 5).Draw(t, "bound")
		const many = 20000
		last, in, large, largeIn := 0.0, 0, 0, 0
		for range many {
			own := math.Exp(sigma * rnd.NormFloat64())
			judged := Judged(own, last, rnd.Uint64())
			if last = own; own <= bound {
				if in++; judged > bound {
					t.Fatalf("a size of %v is judged as %v", own, judged)
				}
			}
			if own > math.Exp(1.28*sigma) { // a tenth
				if large++; judged <= bound {
					largeIn++
				}
			}
		}
		if large == 0 {
			return
		}
		if got, all := float64(largeIn)/float64(large), float64(in)/many; got < Share*all-0.06 { // six times what chance does
			t.Fatalf("%.3f of the largest are let in, %.3f of all by their own sizes", got, all)
		}
	})
}

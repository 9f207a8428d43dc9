package fairness

import (
	"math"
	"math/rand/v2"
	"testing"

	"pgregory.net/rapid"
)

// TestShares: whatever bounds on sizes come, the largest tenth and the next fifth are admitted MinAdmittedShare times
// as often as their class; who is within the bound never has an effective size beyond it; and where the largest have
// their share anyway, each request has its own size.
func TestShares(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rnd := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		sigma := rapid.Float64Range(0, 2).Draw(t, "sigma")
		low, high := rapid.Float64Range(0.2, 5).Draw(t, "low"), rapid.Float64Range(0, 5).Draw(t, "beyond low")
		every := rapid.IntRange(1, 500).Draw(t, "every") // requests, the bound is another one
		const many, first = 40000, 1000
		var shares Shares
		bound := low
		var seen, admitted [3]float64 // all, tenth, fifth
		changed := 0
		for n := range many {
			if n%every == 0 {
				bound = low + high*rnd.Float64()
			}
			size := math.Exp(sigma * rnd.NormFloat64())
			effective := shares.EffectiveSize(size)
			isAdmitted := effective <= bound
			if size <= bound && !isAdmitted {
				t.Fatalf("a size of %v within %v has the effective size %v", size, bound, effective)
			}
			if isAdmitted {
				shares.RecordAdmitted(size)
			} else {
				shares.RecordRejected(size)
			}
			if n < first {
				continue
			}
			if effective != size {
				changed++
			}
			isInTenth := size > math.Exp(1.2816*sigma)
			isInFifth := size > math.Exp(0.5244*sigma) && !isInTenth
			for i, isIn := range [3]bool{true, isInTenth, isInFifth} {
				if isIn {
					seen[i]++
					if isAdmitted {
						admitted[i]++
					}
				}
			}
		}
		all := admitted[0] / seen[0]
		for i, name := range []string{"", "the largest tenth", "the next fifth"} {
			if i == 0 || seen[i] == 0 {
				continue
			}
			if got := admitted[i] / seen[i]; got < MinAdmissionRatio*all-0.08 {
				t.Fatalf("of %s %.3f are admitted, of all %.3f", name, got, all)
			}
		}
		if low > math.Exp(3*sigma) && changed > 0 {
			t.Fatalf("all fit, and %d have another effective size", changed)
		}
	})
}

// TestAlike: with all sizes alike or none, every request has that effective size.
func TestAlike(t *testing.T) {
	for _, size := range []float64{0, 0.3} {
		var shares Shares
		for n := range 1000 {
			if got := shares.EffectiveSize(size); got != size {
				t.Fatalf("request %d of size %v has the effective size %v", n, size, got)
			}
			if n%2 == 0 {
				shares.RecordRejected(size)
			} else {
				shares.RecordAdmitted(size)
			}
		}
	}
}

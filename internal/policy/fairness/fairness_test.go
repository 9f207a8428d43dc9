package fairness

import (
	"math"
	"math/rand/v2"
	"testing"

	"pgregory.net/rapid"
)

// TestLargeRequestsAreAdmittedOftenEnough: for random bounds on sizes, the largest tenth and the next fifth are
// admitted at least MinAdmissionRatio times as often as their class; a request within the bound never has an effective
// size beyond it; and if the largest are admitted often enough anyway, every request keeps its own size.
func TestLargeRequestsAreAdmittedOftenEnough(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rnd := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		sigma := rapid.Float64Range(0, 2).Draw(t, "sigma")
		low, span := rapid.Float64Range(0.2, 5).Draw(t, "low"), rapid.Float64Range(0, 5).Draw(t, "span above low")
		requestsPerBound := rapid.IntRange(1, 500).Draw(t, "requests per bound")
		const requests, warmupRequests = 40000, 1000
		var shares Shares
		bound := low
		var seen, admitted [3]float64 // all, tenth, fifth
		changed := 0
		for n := range requests {
			if n%requestsPerBound == 0 {
				bound = low + span*rnd.Float64()
			}
			size := math.Exp(sigma * rnd.NormFloat64())
			effective := shares.EffectiveSize(size)
			isAdmitted := effective <= bound
			if size <= bound && !isAdmitted {
				t.Fatalf("size %v is within the bound %v, but its effective size %v is not", size, bound, effective)
			}
			if isAdmitted {
				shares.RecordAdmitted(size)
			} else {
				shares.RecordRejected(size)
			}
			if n < warmupRequests {
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
		for i, name := range []string{"", "largest tenth", "next fifth"} {
			if i == 0 || seen[i] == 0 {
				continue
			}
			if got := admitted[i] / seen[i]; got < MinAdmissionRatio*all-0.08 {
				t.Fatalf("admitted share of the %s: got %.3f, want at least 2/3 of the class's share, %.3f, less 0.08",
					name, got, all)
			}
		}
		if low > math.Exp(3*sigma) && changed > 0 {
			t.Fatalf("all bounds exceed nearly all sizes, but %d requests got another effective size, want 0", changed)
		}
	})
}

// TestEqualSizesAreUnchanged: if all sizes are equal or all are unknown (0), every request keeps its own size.
func TestEqualSizesAreUnchanged(t *testing.T) {
	for _, size := range []float64{0, 0.3} {
		var shares Shares
		for n := range 1000 {
			if got := shares.EffectiveSize(size); got != size {
				t.Fatalf("request %d of size %v: got effective size %v, want its own size", n, size, got)
			}
			if n%2 == 0 {
				shares.RecordRejected(size)
			} else {
				shares.RecordAdmitted(size)
			}
		}
	}
}

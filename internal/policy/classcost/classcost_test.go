package classcost

import (
	"math"
	"testing"

	"pgregory.net/rapid"
)

// TestEstimatesStayWithinTheirSamples: both estimates lie within what was seen, and one size moves them by no more
// than its bound, however large a client says it is.
func TestEstimatesStayWithinTheirSamples(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		seconds := rapid.Float64Range(0.001, 100)
		first := seconds.Draw(t, "first guess")
		estimate, smallest, largest := New(first), first, first
		for range rapid.IntRange(1, 100).Draw(t, "samples") {
			mean := estimate.Mean()
			sample := seconds.Draw(t, "sample")
			smallest, largest = min(smallest, sample), max(largest, sample)
			if rapid.Bool().Draw(t, "size known") {
				estimate.RecordSendingTime(sample)
				if bound := mean * (1 + sizeWeight*(maxMeanPerSize-1)); estimate.Mean() > bound+1e-9 {
					t.Fatalf("a size of %v s moved the mean from %v to %v s", sample, mean, estimate.Mean())
				}
			} else {
				load := rapid.Float64Range(1, 20).Draw(t, "load")
				estimate.RecordResponse(sample, sample*load)
				largest = max(largest, sample*load)
			}
			for _, got := range []float64{estimate.Mean(), estimate.Cost()} {
				if got < smallest-1e-9 || got > largest+1e-9 {
					t.Fatalf("an estimate of %v s from samples of %v to %v s", got, smallest, largest)
				}
			}
		}
	})
}

// TestFirstSizeIsTheCost: the first size replaces the first guess of the cost, and the mean follows slowly.
func TestFirstSizeIsTheCost(t *testing.T) {
	estimate := New(1)
	estimate.RecordSendingTime(0.1)
	if math.Abs(estimate.Cost()-0.1) > 1e-9 || estimate.Mean() < 0.9 {
		t.Errorf("after one size of 0.1 s: cost %v s, want 0.1; mean %v s, want about 1",
			estimate.Cost(), estimate.Mean())
	}
}

package classcost

import (
	"math"
	"testing"

	"pgregory.net/rapid"
)

// TestEstimatesStayWithinSamples: both estimates lie within the range of the samples, and one sending time raises the
// mean by no more than its bound, however large the size that a client states.
func TestEstimatesStayWithinSamples(t *testing.T) {
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
				if bound := mean * (1 + sendingTimeWeight*(maxSampleInMeans-1)); estimate.Mean() > bound+1e-9 {
					t.Fatalf("a sending time of %v s moved the mean from %v to %v s", sample, mean, estimate.Mean())
				}
			} else {
				load := rapid.Float64Range(1, 20).Draw(t, "load")
				estimate.RecordResponse(sample, sample*load)
				largest = max(largest, sample*load)
			}
			for _, got := range []float64{estimate.Mean(), estimate.Cost()} {
				if got < smallest-1e-9 || got > largest+1e-9 {
					t.Fatalf("got an estimate of %v s, want one within the samples, %v to %v s", got, smallest, largest)
				}
			}
		}
	})
}

// TestFirstSendingTimeReplacesCost: the first sending time replaces the first guess of the cost, while the mean follows
// slowly.
func TestFirstSendingTimeReplacesCost(t *testing.T) {
	estimate := New(1)
	estimate.RecordSendingTime(0.1)
	if math.Abs(estimate.Cost()-0.1) > 1e-9 || estimate.Mean() < 0.9 {
		t.Errorf("after one sending time of 0.1 s: got cost %v s, want 0.1 s; got mean %v s, want at least 0.9 s",
			estimate.Cost(), estimate.Mean())
	}
}

package answersize

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// answer is one observed answer in the reference model.
type answer struct {
	at       time.Duration
	statedKB float64
	bytes    int
}

// TestEstimateCoversRecentAnswers checks over random answers that an estimate has room for an object with as many bytes
// for each KB as any answer of the last window, that it stays within its bounds, and that old answers are forgotten.
func TestEstimateCoversRecentAnswers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var estimator Estimator
		if got := estimator.Estimate(1); got != unknownBytes {
			t.Fatalf("got estimate %d before any answer, want %d", got, unknownBytes)
		}
		var seen []answer
		now := time.Duration(0)
		for range rapid.IntRange(1, 30).Draw(t, "answers") {
			now += time.Duration(rapid.SampledFrom([]int{0, 1, 20, 40, 70, 200}).Draw(t, "seconds")) * time.Second
			observed := answer{
				at:       now,
				statedKB: rapid.Float64Range(0, 1000).Draw(t, "stated KB"),
				bytes:    rapid.IntRange(0, MaxBytes).Draw(t, "bytes"),
			}
			estimator.Observe(now, observed.statedKB, observed.bytes)
			seen = append(seen, observed)
			largestRecent := 0.0
			for _, earlier := range seen {
				got := estimator.Estimate(earlier.statedKB)
				if now-earlier.at <= window && got < earlier.bytes-1 {
					t.Fatalf("got estimate %d for %g KB, want the %d bytes of an answer %v ago", got, earlier.statedKB,
						earlier.bytes, now-earlier.at)
				}
				if got < smallBytes || got > MaxBytes {
					t.Fatalf("got estimate %d, want it from %d to %d", got, smallBytes, MaxBytes)
				}
				if now-earlier.at <= 3*window {
					ratio := float64(max(0, earlier.bytes-smallBytes)) / max(earlier.statedKB, minStatedKB)
					largestRecent = max(largestRecent, ratio)
				}
			}
			if got, limit := estimator.Estimate(minStatedKB), smallBytes+largestRecent; float64(got) > limit {
				t.Fatalf("got estimate %d for %d KB, want at most the %g bytes of recent answers", got,
					minStatedKB, limit)
			}
		}
	})
}

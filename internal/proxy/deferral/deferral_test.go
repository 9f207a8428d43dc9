package deferral

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestStalledRoundDefersItsAttempts checks that a stalled round defers its attempts until it ends, unless the previous
// round has deferred its own.
func TestStalledRoundDefersItsAttempts(t *testing.T) {
	for _, c := range []struct {
		name           string
		elapsed        time.Duration
		deferredBefore bool
		want           bool
	}{
		{"normal round", time.Millisecond, false, false},
		{"round of exactly the limit", maxRoundTime, false, false},
		{"stalled round", time.Second, false, true},
		{"stalled round after one that deferred", time.Second, true, false},
	} {
		rounds := Rounds{deferred: c.deferredBefore}
		rounds.Begin()
		if rounds.MayFlush(c.elapsed); rounds.Deferred() != c.want {
			t.Errorf("%s: got deferred %v, want %v", c.name, rounds.Deferred(), c.want)
		}
		if rounds.MayFlush(0); rounds.Deferred() != c.want {
			t.Errorf("%s: second check in the round: got deferred %v, want %v", c.name, rounds.Deferred(), c.want)
		}
	}
}

// TestRounds compares random rounds with a model that keeps the longest elapsed time of each round.
func TestRounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var rounds Rounds
		previousDeferred := false
		for range rapid.IntRange(1, 30).Draw(t, "rounds") {
			rounds.Begin()
			if rounds.Deferred() {
				t.Fatal("start of a round: got deferred true, want false")
			}
			longest := time.Duration(0)
			for range rapid.IntRange(0, 4).Draw(t, "checks") {
				elapsed := time.Duration(rapid.IntRange(0, 100).Draw(t, "ms")) * time.Millisecond
				longest = max(longest, elapsed)
				stalled := longest > 50*time.Millisecond
				want := previousDeferred || !stalled
				if got := rounds.MayFlush(elapsed); got != want {
					t.Fatalf("after %v, previous round deferred %v: got MayFlush %v, want %v",
						longest, previousDeferred, got, want)
				}
			}
			previousDeferred = rounds.Deferred()
		}
	})
}

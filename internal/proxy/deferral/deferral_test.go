package deferral

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestStalledRoundDefersItsAttempts: once, and not where the round before has done so; and for the whole round.
func TestStalledRoundDefersItsAttempts(t *testing.T) {
	for _, c := range []struct {
		name           string
		took           time.Duration
		deferredBefore bool
		want           bool
	}{
		{"a round as usual", time.Millisecond, false, false},
		{"a round of exactly the limit", maxRoundTime, false, false},
		{"a round that stalled", time.Second, false, true},
		{"the round after one that stalled", time.Second, true, false},
	} {
		rounds := Rounds{deferred: c.deferredBefore}
		rounds.Begin()
		if rounds.MayFlush(c.took); rounds.Deferred() != c.want {
			t.Errorf("%s: deferred %v, want %v", c.name, rounds.Deferred(), c.want)
		}
		if rounds.MayFlush(0); rounds.Deferred() != c.want {
			t.Errorf("%s: after another look in the same round deferred %v, want %v", c.name, rounds.Deferred(), c.want)
		}
	}
}

// TestRounds compares rounds with a model that keeps the longest time that each round has shown.
func TestRounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var rounds Rounds
		previousDeferred := false
		for range rapid.IntRange(1, 30).Draw(t, "rounds") {
			rounds.Begin()
			if rounds.Deferred() {
				t.Fatal("deferred before it took any time")
			}
			longest := time.Duration(0)
			for range rapid.IntRange(0, 4).Draw(t, "looks") {
				elapsed := time.Duration(rapid.IntRange(0, 100).Draw(t, "ms")) * time.Millisecond
				longest = max(longest, elapsed)
				stalled := longest > 50*time.Millisecond
				want := previousDeferred || !stalled
				if got := rounds.MayFlush(elapsed); got != want {
					t.Fatalf("after %v, deferred before %v: may write %v, want %v",
						longest, previousDeferred, got, want)
				}
			}
			previousDeferred = rounds.Deferred()
		}
	})
}

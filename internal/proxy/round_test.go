package proxy

import (
	"testing"
	"time"

	"sloequay/internal/clock"
)

// TestStalledRoundDefersItsAttempts: once, and not where the round before has done so; and for the whole round.
func TestStalledRoundDefersItsAttempts(t *testing.T) {
	for _, c := range []struct {
		name     string
		elapsed  time.Duration
		mayDefer bool
		want     bool
	}{
		{"a round as usual", time.Millisecond, true, false},
		{"a round that stalled", time.Second, true, true},
		{"the round after one that stalled", time.Second, false, false},
	} {
		s := &server{clock: clock.NewSystem()}
		s.rounds.Begin()
		if !c.mayDefer {
			s.flush(s.clock.Monotonic() - time.Second)
		}
		s.rounds.Begin()
		s.flush(s.clock.Monotonic() - c.elapsed)
		if s.rounds.Deferred() != c.want {
			t.Errorf("%s: deferred %v, want %v", c.name, s.rounds.Deferred(), c.want)
		}
		if s.flush(s.clock.Monotonic()); s.rounds.Deferred() != c.want {
			t.Errorf("%s: after another look in the same round deferred %v, want %v",
				c.name, s.rounds.Deferred(), c.want)
		}
	}
}

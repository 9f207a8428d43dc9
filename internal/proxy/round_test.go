package proxy

import (
	"testing"
	"time"

	"sloequay/internal/clock"
)

// TestStalledRoundDefersItsAttempts checks that a stalled round defers its attempts until it ends, unless the previous
// round has deferred its own.
func TestStalledRoundDefersItsAttempts(t *testing.T) {
	for _, c := range []struct {
		name     string
		elapsed  time.Duration
		mayDefer bool
		want     bool
	}{
		{"normal round", time.Millisecond, true, false},
		{"stalled round", time.Second, true, true},
		{"stalled round after one that deferred", time.Second, false, false},
	} {
		s := &server{clock: clock.NewSystem()}
		s.rounds.Begin()
		if !c.mayDefer {
			s.flush(s.clock.Monotonic() - time.Second)
		}
		s.rounds.Begin()
		s.flush(s.clock.Monotonic() - c.elapsed)
		if s.rounds.Deferred() != c.want {
			t.Errorf("%s: got deferred %v, want %v", c.name, s.rounds.Deferred(), c.want)
		}
		if s.flush(s.clock.Monotonic()); s.rounds.Deferred() != c.want {
			t.Errorf("%s: second flush in the round: got deferred %v, want %v",
				c.name, s.rounds.Deferred(), c.want)
		}
	}
}

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
		took     time.Duration
		mayDefer bool
		want     bool
	}{
		{"a round as usual", time.Millisecond, true, false},
		{"a round that stood still", time.Second, true, true},
		{"the round after one that stood still", time.Second, false, false},
	} {
		d := &server{clock: clock.NewSystem()}
		began := d.clock.Monotonic() - c.took
		d.flush(began, c.mayDefer)
		if d.deferred != c.want {
			t.Errorf("%s: held back %v, want %v", c.name, d.deferred, c.want)
		}
		if d.flush(d.clock.Monotonic(), c.mayDefer); d.deferred != c.want {
			t.Errorf("%s: after another look in the same round held back %v, want %v", c.name, d.deferred, c.want)
		}
	}
}

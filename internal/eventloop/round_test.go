package eventloop

import (
	"testing"
	"time"
)

// TestRoundPacer checks that a loop is busy if its last window had more than busyRounds rounds.
func TestRoundPacer(t *testing.T) {
	var pacer roundPacer
	now := time.Unix(1000, 0)
	runWindow := func(rounds int) (isBusy bool) {
		for range rounds {
			now = now.Add(busyWindow / time.Duration(rounds))
			isBusy = pacer.roundEnded(now)
		}
		return isBusy
	}
	for _, c := range []struct {
		rounds int // in a window
		want   bool
	}{{10, false}, {10, false}, {200, true}, {200, true}, {busyRounds / 2, false}, {10, false}} {
		runWindow(c.rounds)
		if got := runWindow(c.rounds); got != c.want {
			t.Errorf("%d rounds per window: got busy %v, want %v", c.rounds, got, c.want)
		}
	}
}

package outlier

import (
	"math"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestOthersSlowRate compares the running total with the plainest model: each member's rate, faded and summed anew
// every time.
func TestOthersSlowRate(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		group := PeerGroup{halfLife: 2 * time.Second, weight: rapid.Float64Range(0.01, 1).Draw(t, "weight")}
		members := make([]Member, rapid.IntRange(1, 6).Draw(t, "members"))
		model := make([]float64, len(members))
		now := time.Duration(0)
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			step := time.Duration(rapid.IntRange(0, 5000).Draw(t, "ms")) * time.Millisecond
			now += step
			for i := range model {
				model[i] *= math.Exp2(-step.Seconds() / 2)
			}
			i := rapid.IntRange(0, len(members)-1).Draw(t, "member")
			pace := rapid.SampledFrom([]Timeliness{InTime, Slow}).Draw(t, "pace")
			group.Record(&members[i], now, pace)
			seen := 0.0
			if pace == Slow {
				seen = 1
			}
			model[i] += (seen - model[i]) * group.weight
			for i := range members {
				want := 0.0
				for j := range model {
					if j != i {
						want += model[j] / float64(len(model)-1)
					}
				}
				if want > sharedRate {
					want = FaultyErrorRate
				}
				got := group.OthersSlowRate(&members[i], now, len(members))
				if math.Abs(got-want) > 1e-9 && math.Abs(want-sharedRate) > 1e-9 {
					t.Fatalf("others of member %d: %v, the model has %v", i, got, want)
				}
			}
		}
	})
}

// TestBaseline: failures become usual, and cease to be when successes come; hard failures change nothing.
func TestBaseline(t *testing.T) {
	var baseline Baseline
	for range 100 {
		baseline.Record(Failure)
	}
	if got := baseline.ErrorRate(Failure); got < 0.95 {
		t.Errorf("failures alone: a rate of %v is usual", got)
	}
	if got := baseline.ErrorRate(HardFailure); got != 0 {
		t.Errorf("a hard failure: a rate of %v, want 0", got)
	}
	before := baseline
	if baseline.Record(HardFailure); baseline != before {
		t.Errorf("a hard failure moved the rate from %v to %v", before, baseline)
	}
	for range 200 {
		baseline.Record(Success)
	}
	if got := baseline.ErrorRate(Failure); got > minErrorRate {
		t.Errorf("successes again: a rate of %v is usual, want at most %v", got, minErrorRate)
	}
}

// TestEjectedCountsForNothing: what an ejected endpoint does is weighed against the baseline and does not move it.
func TestEjectedCountsForNothing(t *testing.T) {
	baseline := Baseline(0.1)
	var health Health
	health.Eject(0, Failing)
	for _, outcome := range []Outcome{Success, Failure, HardFailure} {
		if health.Observe(outcome, &baseline); baseline != 0.1 {
			t.Errorf("outcome %d of an ejected endpoint moved the baseline to %v", outcome, baseline)
		}
	}
	var sound Health
	if sound.Observe(Failure, &baseline); baseline <= 0.1 {
		t.Errorf("a failure of an endpoint in use left the baseline at %v", baseline)
	}
}

// TestOdds: with a baseline far from a faulty endpoint's rate two failures in three show it, with failures alone none
// does.
func TestOdds(t *testing.T) {
	for _, c := range []struct {
		rate float64
		want bool
	}{{minErrorRate, true}, {FaultyErrorRate, false}} {
		var odds Odds
		for i := range 60 {
			outcome := Failure
			if i%3 == 0 {
				outcome = Success
			}
			odds.Update(outcome, c.rate)
		}
		if got := odds >= EjectionThreshold; got != c.want || odds > 2*EjectionThreshold || odds < 0 {
			t.Errorf("a usual rate of %v: odds of %.1f, faulty %v, want %v", c.rate, odds, got, c.want)
		}
	}
}

// TestFailureIsNeverGood: where more than a faulty endpoint's rate is usual, a failure is no sign in its favour.
func TestFailureIsNeverGood(t *testing.T) {
	odds := Odds(3)
	if odds.Update(Failure, 0.95); odds != 3 {
		t.Errorf("a failure moved the odds from 3 to %v", odds)
	}
}

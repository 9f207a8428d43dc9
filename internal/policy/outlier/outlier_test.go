package outlier

import (
	"math"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestOthersSlowRate compares the running total with a simple model, in which each member's rate is decayed and summed
// again at every step.
func TestOthersSlowRate(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		group := PeerGroup{halfLife: 2 * time.Second, outcomeWeight: rapid.Float64Range(0.01, 1).Draw(t, "weight")}
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
			timeliness := rapid.SampledFrom([]Timeliness{InTime, Slow}).Draw(t, "timeliness")
			group.Record(&members[i], now, timeliness)
			outcome := 0.0
			if timeliness == Slow {
				outcome = 1
			}
			model[i] += (outcome - model[i]) * group.outcomeWeight
			for i := range members {
				want := 0.0
				for j := range model {
					if j != i {
						want += model[j] / float64(len(model)-1)
					}
				}
				if want > sharedCauseRate {
					want = FaultyErrorRate
				}
				got := group.OthersSlowRate(&members[i], now, len(members))
				if math.Abs(got-want) > 1e-9 && math.Abs(want-sharedCauseRate) > 1e-9 {
					t.Fatalf("slow rate of the others of member %d: got %v, want %v", i, got, want)
				}
			}
		}
	})
}

// TestBaseline: the baseline rises with failures and falls again with successes; hard failures do not change it.
func TestBaseline(t *testing.T) {
	var baseline Baseline
	for range 100 {
		baseline.Record(Failure)
	}
	if got := baseline.ErrorRate(Failure); got < 0.95 {
		t.Errorf("after failures alone: got baseline %v, want at least 0.95", got)
	}
	if got := baseline.ErrorRate(HardFailure); got != 0 {
		t.Errorf("error rate of a hard failure: got %v, want 0", got)
	}
	before := baseline
	if baseline.Record(HardFailure); baseline != before {
		t.Errorf("a hard failure moved the baseline from %v to %v", before, baseline)
	}
	for range 200 {
		baseline.Record(Success)
	}
	if got := baseline.ErrorRate(Failure); got > minErrorRate {
		t.Errorf("after successes: got baseline %v, want at most %v", got, minErrorRate)
	}
}

// TestEjectedEndpointLeavesBaseline: the outcomes of an ejected endpoint do not move the baseline.
func TestEjectedEndpointLeavesBaseline(t *testing.T) {
	baseline := Baseline(0.1)
	var health Health
	health.Eject(0, Failing)
	for _, outcome := range []Outcome{Success, Failure, HardFailure} {
		if health.Observe(outcome, &baseline); baseline != 0.1 {
			t.Errorf("outcome %d of an ejected endpoint moved the baseline to %v", outcome, baseline)
		}
	}
	var healthy Health
	if healthy.Observe(Failure, &baseline); baseline <= 0.1 {
		t.Errorf("a failure of an endpoint in use left the baseline at %v, want more than 0.1", baseline)
	}
}

// TestOdds: two failures in three show a faulty endpoint where failures are rare, and show nothing where healthy
// endpoints fail as often as a faulty one.
func TestOdds(t *testing.T) {
	for _, test := range []struct {
		rate float64
		want bool
	}{{minErrorRate, true}, {FaultyErrorRate, false}} {
		var odds Odds
		for i := range 60 {
			outcome := Failure
			if i%3 == 0 {
				outcome = Success
			}
			odds.Update(outcome, test.rate)
		}
		if got := odds >= EjectionThreshold; got != test.want || odds > 2*EjectionThreshold || odds < 0 {
			t.Errorf("error rate %v of healthy endpoints: odds %.1f, got faulty %v, want %v",
				test.rate, odds, got, test.want)
		}
	}
}

// TestFailureNeverLowersOdds: a failure does not lower the odds, even where endpoints fail more often than a faulty one
// is assumed to.
func TestFailureNeverLowersOdds(t *testing.T) {
	odds := Odds(3)
	if odds.Update(Failure, 0.95); odds != 3 {
		t.Errorf("odds after a failure: got %v, want 3 as before", odds)
	}
}

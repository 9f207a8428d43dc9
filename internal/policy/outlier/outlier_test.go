package outlier

import (
	"math"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestOthers compares the running total with the plainest model: each member's share, faded and summed anew every time.
func TestOthers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := PeerGroup{HalfLife: 2 * time.Second, Weight: rapid.Float64Range(0.01, 1).Draw(t, "weight")}
		members := make([]Member, rapid.IntRange(1, 6).Draw(t, "members"))
		model := make([]float64, len(members))
		now := time.Duration(0)
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			step := time.Duration(rapid.IntRange(0, 5000).Draw(t, "ms")) * time.Millisecond
			now += step
			for i := range model {
				model[i] *= math.Exp2(-step.Seconds() / 2)
			}
			i, late := rapid.IntRange(0, len(members)-1).Draw(t, "member"), rapid.Bool().Draw(t, "late")
			g.Record(&members[i], now, late)
			seen := 0.0
			if late {
				seen = 1
			}
			model[i] += (seen - model[i]) * g.Weight
			for i := range members {
				want := 0.0
				for j := range model {
					if j != i {
						want += model[j] / float64(len(model)-1)
					}
				}
				if want > shared {
					want = FaultyErrorRate
				}
				if got := g.OthersOverdueRate(&members[i], now, len(members)); math.Abs(got-want) > 1e-9 && math.Abs(want-shared) > 1e-9 {
					t.Fatalf("others of member %d: %v, the model has %v", i, got, want)
				}
			}
		}
	})
}

// TestUsual: bad outcomes become usual, and cease to be when good ones come; hard signs and those that do not count change
// nothing.
func TestUsual(t *testing.T) {
	var u Baseline
	for range 100 {
		u.Record(false, false, true)
	}
	if got := u.Record(false, false, false); got < 0.95 {
		t.Errorf("all bad: a share of %v is usual", got)
	}
	if got := u.Record(false, true, true); got != 0 {
		t.Errorf("a hard sign: a share of %v, want 0", got)
	}
	before := u
	u.Record(true, false, false)
	u.Record(true, true, true)
	if u != before {
		t.Errorf("what does not count moved the share from %v to %v", before, u)
	}
	for range 200 {
		u.Record(true, false, true)
	}
	if got := u.Record(false, false, false); got > least {
		t.Errorf("all good again: a share of %v is usual, want at most %v", got, least)
	}
}

// TestOdds: with what is usual far from a faulty server's share two bad outcomes in three show it, with all bad none does.
func TestOdds(t *testing.T) {
	for _, c := range []struct {
		share float64
		want  bool
	}{{least, true}, {FaultyErrorRate, false}} {
		var o Odds
		for i := range 60 {
			o.Update(i%3 == 0, c.share)
		}
		if got := o >= EjectionThreshold; got != c.want || o > 2*EjectionThreshold || o < 0 {
			t.Errorf("a usual share of %v: odds of %.1f, faulty %v, want %v", c.share, o, got, c.want)
		}
	}
}

// TestBadIsNeverGood: where more than a faulty server's share is usual, a bad outcome is no sign in its favour.
func TestBadIsNeverGood(t *testing.T) {
	o := Odds(3)
	if o.Update(false, 0.95); o != 3 {
		t.Errorf("a bad outcome moved the odds from 3 to %v", o)
	}
}

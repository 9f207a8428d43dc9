package aimd

import (
	"testing"

	"pgregory.net/rapid"
)

// TestSmallLimitRises: of a limit of two fills one is left in flight at an answer; it never rose.
func TestSmallLimitRises(t *testing.T) {
	limiter := New()
	limiter.InFlight, limiter.Max = 1, 0.25
	if limiter.Increase(8); limiter.Max <= 0.25 {
		t.Errorf("limit %.3f after a fill in time, want over 0.25", limiter.Max)
	}
	raised := limiter.Max
	if limiter.Decrease(8); limiter.Max >= raised {
		t.Errorf("limit %.3f after a slow fill, want under %.3f", limiter.Max, raised)
	}
}

// TestBounds: whatever comes, the limit stays in its bounds, no decrease takes more than its part, and more fits
// under a higher weight.
func TestBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limiter := New()
		if rapid.Bool().Draw(t, "cached only") {
			limiter = NewCachedOnly()
		}
		links := rapid.Float64Range(0.1, 100).Draw(t, "links")
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			limiter.InFlight = rapid.IntRange(0, 200).Draw(t, "in flight")
			old, inTime := limiter.Max, rapid.Bool().Draw(t, "in time")
			if inTime {
				limiter.Increase(links)
			} else {
				limiter.Decrease(links)
			}
			isOutOfBounds := limiter.Max < MinLimit || limiter.Max > 2*InitialLimit
			isCutTooFar := limiter.Max < old*limiter.minRemainder-1e-9
			if isOutOfBounds || isCutTooFar || inTime && limiter.Max < old || !inTime && limiter.Max > old {
				t.Fatalf("limit %v after %v, in time %v", limiter.Max, old, inTime)
			}
			draw := rapid.Float64Range(0, 0.99).Draw(t, "draw")
			if limiter.Full(links, 1.5, draw) && !limiter.Full(links, 0.5, draw) {
				t.Fatal("a request of less weight was admitted where one of more was not")
			}
		}
	})
}

// TestFullDecreaseTakesItsPart: a sure sign of overload takes all that one decrease may, whatever the links.
func TestFullDecreaseTakesItsPart(t *testing.T) {
	for _, limiter := range []Limiter{New(), NewCachedOnly()} {
		if limiter.DecreaseFully(); limiter.Max != InitialLimit*limiter.minRemainder {
			t.Errorf("limit %v, want %v", limiter.Max, InitialLimit*limiter.minRemainder)
		}
		for range 100 {
			limiter.DecreaseFully()
		}
		if limiter.Max != MinLimit {
			t.Errorf("limit %v after 100 decreases, want %v", limiter.Max, MinLimit)
		}
	}
}

// TestOneOfHundreds: with a fifth of a link one slow fill halved the limit, and a cut-off zone cost 0.017 of G on a
// day of 120 proxies.
func TestOneOfHundreds(t *testing.T) {
	for _, c := range []struct{ links, want float64 }{{0.2, 0.75 * InitialLimit}, {20, 0.9 * InitialLimit}} {
		limiter := New()
		if limiter.Decrease(c.links); limiter.Max < c.want-1e-9 || limiter.Max > c.want+1e-9 {
			t.Errorf("%v links, one slow fill: limit %v, want %v", c.links, limiter.Max, c.want)
		}
	}
}

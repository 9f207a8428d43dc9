package aimd

import (
	"testing"

	"pgregory.net/rapid"
)

// TestSmallLimitRises: of a limit of two fills one is left in flight at an answer; it never rose.
func TestSmallLimitRises(t *testing.T) {
	limiter := New()
	limiter.InFlight, limiter.Limit = 1, 0.25
	if limiter.Increase(8); limiter.Limit <= 0.25 {
		t.Errorf("limit %.3f after a fill in time, want over 0.25", limiter.Limit)
	}
	raised := limiter.Limit
	if limiter.Decrease(8); limiter.Limit >= raised {
		t.Errorf("limit %.3f after a slow fill, want under %.3f", limiter.Limit, raised)
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
			old, inTime := limiter.Limit, rapid.Bool().Draw(t, "in time")
			if inTime {
				limiter.Increase(links)
			} else {
				limiter.Decrease(links)
			}
			isOutOfBounds := limiter.Limit < MinLimit || limiter.Limit > 2*InitialLimit
			isCutTooFar := limiter.Limit < old*limiter.minRemainder-1e-9
			if isOutOfBounds || isCutTooFar || inTime && limiter.Limit < old || !inTime && limiter.Limit > old {
				t.Fatalf("limit %v after %v, in time %v", limiter.Limit, old, inTime)
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
		if limiter.DecreaseByMaxStep(); limiter.Limit != InitialLimit*limiter.minRemainder {
			t.Errorf("limit %v, want %v", limiter.Limit, InitialLimit*limiter.minRemainder)
		}
		for range 100 {
			limiter.DecreaseByMaxStep()
		}
		if limiter.Limit != MinLimit {
			t.Errorf("limit %v after 100 decreases, want %v", limiter.Limit, MinLimit)
		}
	}
}

// TestOneOfHundreds: with a fifth of a link one slow fill halved the limit, and a cut-off zone cost 0.017 of G on a
// day of 120 proxies.
func TestOneOfHundreds(t *testing.T) {
	for _, c := range []struct{ links, want float64 }{{0.2, 0.75 * InitialLimit}, {20, 0.9 * InitialLimit}} {
		limiter := New()
		if limiter.Decrease(c.links); limiter.Limit < c.want-1e-9 || limiter.Limit > c.want+1e-9 {
			t.Errorf("%v links, one slow fill: limit %v, want %v", c.links, limiter.Limit, c.want)
		}
	}
}

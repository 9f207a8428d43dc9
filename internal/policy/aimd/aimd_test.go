package aimd

import (
	"testing"

	"pgregory.net/rapid"
)

// TestSmallLimitRises guards against a limit of two fills that never rises: when one fill ends, only one is still in
// flight.
func TestSmallLimitRises(t *testing.T) {
	limiter := New()
	limiter.InFlight, limiter.Limit = 1, 0.25
	if limiter.Increase(8); limiter.Limit <= 0.25 {
		t.Errorf("after a fill within its objective: got limit %.3f, want more than 0.25", limiter.Limit)
	}
	raised := limiter.Limit
	if limiter.Decrease(8); limiter.Limit >= raised {
		t.Errorf("after a slow fill: got limit %.3f, want less than %.3f", limiter.Limit, raised)
	}
}

// TestBounds: after any sequence of fills the limit is within its bounds, no decrease exceeds the largest step, and a
// request of a higher weight is admitted wherever one of a lower weight is.
func TestBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limiter := New()
		if rapid.Bool().Draw(t, "cached only") {
			limiter = NewCachedOnly()
		}
		linkCapacity := rapid.Float64Range(0.1, 100).Draw(t, "link capacity")
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			limiter.InFlight = rapid.IntRange(0, 200).Draw(t, "in flight")
			old, inTime := limiter.Limit, rapid.Bool().Draw(t, "in time")
			if inTime {
				limiter.Increase(linkCapacity)
			} else {
				limiter.Decrease(linkCapacity)
			}
			isOutOfBounds := limiter.Limit < MinLimit || limiter.Limit > 2*InitialLimit
			isDecreasedTooFar := limiter.Limit < old*limiter.minDecreaseFactor-1e-9
			if isOutOfBounds || isDecreasedTooFar || inTime && limiter.Limit < old || !inTime && limiter.Limit > old {
				t.Fatalf("got limit %v, previous limit %v, fill in time %v, want a change in that direction in bounds",
					limiter.Limit, old, inTime)
			}
			draw := rapid.Float64Range(0, 0.99).Draw(t, "draw")
			if limiter.Full(linkCapacity, 1.5, draw) && !limiter.Full(linkCapacity, 0.5, draw) {
				t.Fatal("a request of weight 0.5 was admitted while one of weight 1.5 was not")
			}
		}
	})
}

// TestDecreaseByMaxStep: it takes the largest step that one decrease may, and repeated steps end at MinLimit.
func TestDecreaseByMaxStep(t *testing.T) {
	for _, limiter := range []Limiter{New(), NewCachedOnly()} {
		if limiter.DecreaseByMaxStep(); limiter.Limit != InitialLimit*limiter.minDecreaseFactor {
			t.Errorf("after one decrease: got limit %v, want %v", limiter.Limit, InitialLimit*limiter.minDecreaseFactor)
		}
		for range 100 {
			limiter.DecreaseByMaxStep()
		}
		if limiter.Limit != MinLimit {
			t.Errorf("after 100 decreases: got limit %v, want %v", limiter.Limit, MinLimit)
		}
	}
}

// TestDecreaseIsBoundedForSmallLinkShare guards against one slow fill halving the limit of a proxy with a fifth of a
// link, as it did in a fleet of 120 proxies with a zone that was cut off.
func TestDecreaseIsBoundedForSmallLinkShare(t *testing.T) {
	for _, test := range []struct{ linkCapacity, want float64 }{{0.2, 0.75 * InitialLimit}, {20, 0.9 * InitialLimit}} {
		limiter := New()
		if limiter.Decrease(test.linkCapacity); limiter.Limit < test.want-1e-9 || limiter.Limit > test.want+1e-9 {
			t.Errorf("link capacity %v, after one slow fill: got limit %v, want %v",
				test.linkCapacity, limiter.Limit, test.want)
		}
	}
}

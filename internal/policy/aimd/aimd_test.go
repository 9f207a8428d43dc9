package aimd

import (
	"testing"

	"pgregory.net/rapid"
)

// TestSmallLimitRises: of a limit of two fills one is left out at an answer; it never rose.
func TestSmallLimitRises(t *testing.T) {
	l := New()
	l.InFlight, l.Max = 1, 0.25
	if l.Adapt(8, true); l.Max <= 0.25 {
		t.Errorf("limit %.3f after a fill in time, want over 0.25", l.Max)
	}
	most := l.Max
	if l.Adapt(8, false); l.Max >= most {
		t.Errorf("limit %.3f after a late fill, want under %.3f", l.Max, most)
	}
}

// TestBounds: whatever comes, the limit stays in its bounds, no cut takes more than its part, and more fits under a higher value.
func TestBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := New()
		if rapid.Bool().Draw(t, "held") {
			l = NewCachedOnly()
		}
		zone := rapid.Float64Range(0.1, 100).Draw(t, "zone")
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			l.InFlight = rapid.IntRange(0, 200).Draw(t, "out")
			old, inTime := l.Max, rapid.Bool().Draw(t, "in time")
			l.Adapt(zone, inTime)
			if l.Max < MinLimit || l.Max > 2*InitialLimit || l.Max < old*l.keep-1e-9 || inTime && l.Max < old || !inTime && l.Max > old {
				t.Fatalf("limit %v after %v, in time %v", l.Max, old, inTime)
			}
			if lot := rapid.Float64Range(0, 0.99).Draw(t, "lot"); l.Full(zone, 1.5, lot) && !l.Full(zone, 0.5, lot) {
				t.Fatal("a request of less worth found room where one of more did not")
			}
		}
	})
}

// TestOneOfHundreds: with a fifth of a link one late fill halved the limit, and a cut-off zone cost 0.017 of G on a day of 120
// doormans.
func TestOneOfHundreds(t *testing.T) {
	for _, c := range []struct{ zone, want float64 }{{0.2, 0.75 * InitialLimit}, {20, 0.9 * InitialLimit}} {
		l := New()
		if l.Adapt(c.zone, false); l.Max < c.want-1e-9 || l.Max > c.want+1e-9 {
			t.Errorf("%v links, one late fill: limit %v, want %v", c.zone, l.Max, c.want)
		}
	}
}

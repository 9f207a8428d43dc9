package clock

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestTrackerReportsEachStepOnce: between readings a tenth of a second apart, each step of at least twice MinStep is
// reported once, with its size, whatever the clock slews beside it, and slewing alone is no step.
func TestTrackerReportsEachStepOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const interval = 100 * time.Millisecond
		var tracker Tracker
		monotonic, unix := time.Hour, 1_800_000_000*time.Second
		tracker.Observe(monotonic, unix)
		slew := rapid.Int64Range(-500, 500).Draw(t, "slew in parts per million")
		for range rapid.IntRange(1, 400).Draw(t, "readings") {
			monotonic += interval
			unix += interval + interval*time.Duration(slew)/1_000_000
			want := time.Duration(0)
			if rapid.IntRange(0, 19).Draw(t, "steps if 0") == 0 {
				want = time.Duration(rapid.Int64Range(int64(time.Second), int64(48*time.Hour)).Draw(t, "step"))
				if rapid.Bool().Draw(t, "backwards") {
					want = -want
				}
				unix += want
			}
			got := tracker.Observe(monotonic, unix)
			if (got == 0) != (want == 0) || (got-want).Abs() > MinStep {
				t.Fatalf("Read reported a step of %v, want %v", got, want)
			}
			if got := tracker.Unix(monotonic); got != unix {
				t.Fatalf("Unix(%v) = %v, want the reading's %v", monotonic, got, unix)
			}
			if got := tracker.Monotonic(unix); got != monotonic {
				t.Fatalf("Monotonic(%v) = %v, want the reading's %v", unix, got, monotonic)
			}
		}
	})
}

// TestTrackerStepLimits: the offset's change from reading to reading, at the limits between slewing and a step.
func TestTrackerStepLimits(t *testing.T) {
	for _, c := range []struct {
		name    string
		changes []time.Duration
		want    []time.Duration
	}{
		{"a first reading far off is no step", []time.Duration{48 * time.Hour}, []time.Duration{0}},
		{"a change by MinStep is a step", []time.Duration{0, MinStep}, []time.Duration{0, MinStep}},
		{"so it is backwards", []time.Duration{0, -MinStep}, []time.Duration{0, -MinStep}},
		{"a change by less is none", []time.Duration{0, MinStep - 1, 1 - MinStep}, []time.Duration{0, 0, 0}},
		{"slewing in halves does not add up", []time.Duration{0, MinStep / 2, MinStep / 2, MinStep / 2},
			[]time.Duration{0, 0, 0, 0}},
		{"less than half adds up to a step with what follows", []time.Duration{0, MinStep/2 - 1, MinStep/2 + 1},
			[]time.Duration{0, 0, MinStep}},
		{"a step back to the first offset is one too", []time.Duration{0, time.Hour, -time.Hour},
			[]time.Duration{0, time.Hour, -time.Hour}},
	} {
		t.Run(c.name, func(t *testing.T) {
			var tracker Tracker
			monotonic, unix := time.Hour, 1_800_000_000*time.Second
			for i, change := range c.changes {
				monotonic += time.Second
				unix += time.Second + change
				if got := tracker.Observe(monotonic, unix); got != c.want[i] {
					t.Errorf("reading %d, the offset changed by %v: a step of %v, want %v", i, change, got, c.want[i])
				}
			}
		})
	}
}

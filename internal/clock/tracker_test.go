package clock

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestTrackerReportsEachStepOnce checks, with readings 100 ms apart, that each step of at least twice MinStep is
// reported once and with its size while the clock also slews, and that slewing alone is never reported as a step.
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
			if rapid.IntRange(0, 19).Draw(t, "the clock is stepped if 0") == 0 {
				want = time.Duration(rapid.Int64Range(int64(time.Second), int64(48*time.Hour)).Draw(t, "step"))
				if rapid.Bool().Draw(t, "backwards") {
					want = -want
				}
				unix += want
			}
			got := tracker.Observe(monotonic, unix)
			if (got == 0) != (want == 0) || (got-want).Abs() > MinStep {
				t.Fatalf("Observe reported a step of %v, want %v", got, want)
			}
			if got := tracker.Unix(monotonic); got != unix {
				t.Fatalf("Unix(%v) = %v, want %v as in the reading", monotonic, got, unix)
			}
			if got := tracker.Monotonic(unix); got != monotonic {
				t.Fatalf("Monotonic(%v) = %v, want %v as in the reading", unix, got, monotonic)
			}
		}
	})
}

// TestTrackerStepLimits checks changes of the offset at the limits that separate slewing from a step.
func TestTrackerStepLimits(t *testing.T) {
	for _, c := range []struct {
		name    string
		changes []time.Duration
		want    []time.Duration
	}{
		{"a large offset in the first reading is no step", []time.Duration{48 * time.Hour}, []time.Duration{0}},
		{"a change of MinStep is a step", []time.Duration{0, MinStep}, []time.Duration{0, MinStep}},
		{"a change of -MinStep is a step", []time.Duration{0, -MinStep}, []time.Duration{0, -MinStep}},
		{"smaller changes are no steps", []time.Duration{0, MinStep - 1, 1 - MinStep}, []time.Duration{0, 0, 0}},
		{"changes of MinStep/2 do not add up to a step", []time.Duration{0, MinStep / 2, MinStep / 2, MinStep / 2},
			[]time.Duration{0, 0, 0, 0}},
		{"a change of less than MinStep/2 adds to the next one", []time.Duration{0, MinStep/2 - 1, MinStep/2 + 1},
			[]time.Duration{0, 0, MinStep}},
		{"a step back to the first offset is reported too", []time.Duration{0, time.Hour, -time.Hour},
			[]time.Duration{0, time.Hour, -time.Hour}},
	} {
		t.Run(c.name, func(t *testing.T) {
			var tracker Tracker
			monotonic, unix := time.Hour, 1_800_000_000*time.Second
			for i, change := range c.changes {
				monotonic += time.Second
				unix += time.Second + change
				if got := tracker.Observe(monotonic, unix); got != c.want[i] {
					t.Errorf("reading %d, change of %v: Observe returned %v, want %v", i, change, got, c.want[i])
				}
			}
		})
	}
}

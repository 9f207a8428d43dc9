package clock

import (
	"testing"
	"time"
)

// TestOffsetsReturnLatestMonotonicTime checks that a stamp may match every offset since the first, and that slewing
// adds none.
func TestOffsetsReturnLatestMonotonicTime(t *testing.T) {
	const stamp = 10 * time.Hour
	slewed := make([]time.Duration, 0, 1000)
	for i := range 1000 {
		slewed = append(slewed, time.Duration(i)*10*time.Millisecond)
	}
	for _, c := range []struct {
		name    string
		offsets []time.Duration
		want    time.Duration
	}{
		{"first offset only", []time.Duration{time.Hour}, 9 * time.Hour},
		{"stepped forward", []time.Duration{time.Hour, 2 * time.Hour}, 9 * time.Hour},
		{"stepped back", []time.Duration{time.Hour, 0}, 10 * time.Hour},
		{"stepped back and forward", []time.Duration{time.Hour, 0, time.Hour}, 10 * time.Hour},
		{"slewed for a long time", slewed, stamp - 999*10*time.Millisecond},
		{"slewed after a step", []time.Duration{0, time.Hour, time.Hour + time.Millisecond}, stamp - time.Millisecond},
	} {
		var offsets Offsets
		for _, offset := range c.offsets {
			offsets.Observe(offset)
		}
		if got := offsets.LatestMonotonic(stamp); got != c.want {
			t.Errorf("%s: LatestMonotonic(%v) = %v, want %v", c.name, stamp, got, c.want)
		}
	}
}

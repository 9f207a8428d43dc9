package clock

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestSteps: each step of at least StepLeast between readings a tenth of a second apart is told once, with its size, whatever the
// clock slews beside it, and slewing alone is none.
func TestSteps(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var k Tracker
		steady, unix := time.Hour, 1_800_000_000*time.Second
		k.Read(steady, unix)
		slew := rapid.Int64Range(-500, 500).Draw(t, "slewing in parts of a million")
		for range rapid.IntRange(1, 400).Draw(t, "readings") {
			const pause = 100 * time.Millisecond
			steady += pause
			unix += pause + pause*time.Duration(slew)/1_000_000
			want := time.Duration(0)
			if rapid.IntRange(0, 19).Draw(t, "a step now") == 0 {
				want = time.Duration(rapid.Int64Range(int64(time.Second), int64(48*time.Hour)).Draw(t, "by"))
				if rapid.Bool().Draw(t, "back") {
					want = -want
				}
				unix += want
			}
			got := k.Read(steady, unix)
			if (got == 0) != (want == 0) || got-want > MinStep || want-got > MinStep {
				t.Fatalf("a step by %v was told as %v", want, got)
			}
			if k.Unix(steady) != unix || k.Monotonic(unix) != steady {
				t.Fatal("the two times do not undo one another")
			}
		}
	})
}

package upstream

import (
	"testing"
	"time"
)

// TestMayCheck: which quiet connection is asked whether it lives. Each check is priced and answered from the box's budget
// of probes, which all doormans of a fleet share.
func TestMayCheck(t *testing.T) {
	const ms = time.Millisecond
	for _, c := range []struct {
		name          string
		quiet         time.Duration
		overdue, late bool
		want          bool
	}{
		{"nothing late, however long the quiet", 10 * time.Second, false, false, false},
		{"late since the box last answered a check, after 100 ms of quiet", 150 * ms, true, true, true},
		{"late since then, but something came within 100 ms", 50 * ms, true, true, false},
		{"late only from before the box answered a check: slow, not cut off", 500 * ms, false, true, false},
		{"late from before, and a second of quiet since", 1100 * ms, false, true, true},
	} {
		if got := mayCheck(c.quiet, c.overdue, c.late); got != c.want {
			t.Errorf("%s: mayCheck(%v, %v, %v) = %v, want %v", c.name, c.quiet, c.overdue, c.late, got, c.want)
		}
	}
}

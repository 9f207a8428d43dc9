package clock

import (
	"testing"
	"time"
)

// TestSystemMonotonicStartsAsUnix: at the start both times are the same, and the uptime counts from there.
func TestSystemMonotonicStartsAsUnix(t *testing.T) {
	before := time.Now()
	system := NewSystem()
	after := time.Now()
	earliest, latest := time.Duration(before.UnixNano()), time.Duration(after.UnixNano())
	if got := system.StartTime(); got < earliest || got > latest {
		t.Errorf("Started() = %v, want the Unix time of NewSystem, %v to %v", got, earliest, latest)
	}
	uptime := system.Uptime()
	monotonic := system.Monotonic()
	if got := monotonic - system.StartTime(); got < uptime || got > uptime+time.Minute {
		t.Errorf("Monotonic() is %v after the start, want the uptime, which was %v just before", got, uptime)
	}
}

// TestSystemOffsetMovesUnixTimeAlone: the offset of a drill moves Unix time by just as much, and leaves monotonic time.
func TestSystemOffsetMovesUnixTimeAlone(t *testing.T) {
	for _, offset := range []time.Duration{0, 36 * time.Hour, -36 * time.Hour} {
		t.Run(offset.String(), func(t *testing.T) {
			system := NewSystem()
			system.SetOffset(offset)
			const tolerance = time.Minute // for a busy machine; the offsets are hours
			if got := system.Unix() - time.Duration(time.Now().UnixNano()); (got - offset).Abs() > tolerance {
				t.Errorf("Unix() is %v ahead of the machine's clock, want %v", got, offset)
			}
			if got := time.Until(system.UnixTime()); (got - offset).Abs() > tolerance {
				t.Errorf("UnixTime() is %v ahead of the machine's clock, want %v", got, offset)
			}
			if got := system.Monotonic() - system.StartTime(); got < 0 || got > tolerance {
				t.Errorf("Monotonic() is %v after the start, want next to nothing", got)
			}
		})
	}
}

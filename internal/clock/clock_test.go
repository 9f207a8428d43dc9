package clock

import (
	"testing"
	"time"
)

// TestSystemMonotonicStartsAsUnix checks that monotonic time starts at the Unix time and advances by the uptime.
func TestSystemMonotonicStartsAsUnix(t *testing.T) {
	before := time.Now()
	system := NewSystem()
	after := time.Now()
	earliest, latest := time.Duration(before.UnixNano()), time.Duration(after.UnixNano())
	if got := system.StartTime(); got < earliest || got > latest {
		t.Errorf("StartTime() = %v, want the Unix time at NewSystem, from %v to %v", got, earliest, latest)
	}
	uptime := system.Uptime()
	monotonic := system.Monotonic()
	if got := monotonic - system.StartTime(); got < uptime || got > uptime+time.Minute {
		t.Errorf("Monotonic() - StartTime() = %v, want the uptime, which was %v just before", got, uptime)
	}
}

// TestSystemOffsetChangesOnlyUnixTime checks that the offset of a drill is added to Unix time, not to monotonic time.
func TestSystemOffsetChangesOnlyUnixTime(t *testing.T) {
	for _, offset := range []time.Duration{0, 36 * time.Hour, -36 * time.Hour} {
		t.Run(offset.String(), func(t *testing.T) {
			system := NewSystem()
			system.SetOffset(offset)
			const tolerance = time.Minute // allows for a busy machine; the offsets are hours
			if got := system.Unix() - time.Duration(time.Now().UnixNano()); (got - offset).Abs() > tolerance {
				t.Errorf("Unix() is %v ahead of the machine's clock, want %v", got, offset)
			}
			if got := time.Until(system.UnixTime()); (got - offset).Abs() > tolerance {
				t.Errorf("UnixTime() is %v ahead of the machine's clock, want %v", got, offset)
			}
			if got := system.Monotonic() - system.StartTime(); got < 0 || got > tolerance {
				t.Errorf("Monotonic() - StartTime() = %v, want about 0", got)
			}
		})
	}
}

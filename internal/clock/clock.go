// Package clock tells apart the two times that a long-running program needs: a monotonic one for deadlines, timers,
// budgets and ages, and Unix time, which operators and time servers set, for what others have stamped or will read.
//
// System reads the machine's clocks; the assembly builds one and passes it in. Tracker follows the offset between the
// two times for code that is stepped: it reads no clock, its caller hands in both readings.
package clock

import "time"

// System is a process's source of both times.
//
// Monotonic time starts as the Unix time at which the System was built, and goes on at its own rate whatever is done
// to the Unix clock. Unix time is the machine's, plus the offset that SetOffset has set.
type System struct {
	started time.Time // with Go's monotonic reading
	offset  time.Duration
	drift   func() time.Duration // what a test has set the Unix clock off by; nil in the program that is shipped
}

// NewSystem builds a process's clock. The start of the process counts from here.
func NewSystem() *System { return &System{started: time.Now(), drift: newDrift()} }

// SetOffset sets by how much Unix time is ahead of the machine's, for drills. It must be called before anything reads
// the clock on another goroutine.
func (s *System) SetOffset(offset time.Duration) { s.offset = offset }

// StartTime is the monotonic time of the start.
func (s *System) StartTime() time.Duration { return time.Duration(s.started.UnixNano()) }

// Uptime is how long ago the start was.
func (s *System) Uptime() time.Duration { return time.Since(s.started) }

// Monotonic is the time that everything but stamps goes by.
func (s *System) Monotonic() time.Duration { return s.StartTime() + s.Uptime() }

// Unix is the time since the Unix epoch, for what was stamped by others or will be read by them.
func (s *System) Unix() time.Duration { return time.Duration(s.UnixTime().UnixNano()) }

// UnixTime is Unix as a time.Time, for libraries that want one.
func (s *System) UnixTime() time.Time {
	offset := s.offset
	if s.drift != nil {
		offset += s.drift()
	}
	return time.Now().Add(offset)
}

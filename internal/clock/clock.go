// Package clock provides the two kinds of time that a long-running program needs: monotonic time for deadlines, timers,
// budgets and ages, and Unix time, which operators and time servers can set, for stamps exchanged with other machines.
//
// System reads the machine's clocks; package cli creates one at the start and passes it on. Tracker and Offsets
// follow the offset between the two times for code that must not read a clock: the caller passes the readings in.
package clock

import "time"

// System reads the clocks of the machine for one process.
//
// Monotonic time starts at the Unix time at which the System was created, and advances at its own rate even if the
// Unix clock is set. Unix time is that of the machine, plus the offset from SetOffset.
type System struct {
	started time.Time // with Go's monotonic reading
	offset  time.Duration
	drift   func() time.Duration // the error that a test adds to the Unix clock; nil in release builds
}

// NewSystem returns the clock of a process. The call counts as the start of the process.
func NewSystem() *System { return &System{started: time.Now(), drift: newDrift()} }

// SetOffset sets how far Unix time is ahead of the machine's Unix clock, for drills. It must be called before another
// goroutine reads the clock.
func (s *System) SetOffset(offset time.Duration) { s.offset = offset }

// StartTime returns the monotonic time of the start.
func (s *System) StartTime() time.Duration { return time.Duration(s.started.UnixNano()) }

// Uptime returns the time since the start.
func (s *System) Uptime() time.Duration { return time.Since(s.started) }

// Monotonic returns the present monotonic time, which is used for everything except stamps.
func (s *System) Monotonic() time.Duration { return s.StartTime() + s.Uptime() }

// Unix returns the time since the Unix epoch, for stamps that other machines wrote or will read.
func (s *System) Unix() time.Duration { return time.Duration(s.UnixTime().UnixNano()) }

// UnixTime returns the same time as Unix, for libraries that need a time.Time.
func (s *System) UnixTime() time.Time {
	offset := s.offset
	if s.drift != nil {
		offset += s.drift()
	}
	return time.Now().Add(offset)
}

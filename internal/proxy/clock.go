package proxy

import "time"

// wall is the system's Unix clock; a build with the tag clockstep puts one in its place that tests can set.
var wall = func() time.Time { return time.Now().Add(ahead) }

// ahead is what the Unix clock is taken to be ahead of the system's, for drills; it is set before anything runs.
var ahead time.Duration

// born is what monotonicNow counts from.
var born = time.Now()

// clock is the time that everything but stamps goes by. It starts as the Unix clock and only ever goes on, whatever is done to
// that one.
func monotonicNow() time.Duration { return time.Duration(born.UnixNano()) + time.Since(born) }

// unixClock is for what was stamped by others or will be read by them.
func unixClock() time.Duration { return time.Duration(wall().UnixNano()) }

// MonotonicNow is the time that a doorman goes by.
func MonotonicNow() time.Duration { return monotonicNow() }

// UnixNow is for commands that stamp what a doorman will read.
func UnixNow() time.Duration { return unixClock() }

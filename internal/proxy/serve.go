package proxy

import (
	"runtime"
	"runtime/debug"

	"sloequay/internal/eventlog"
	"sloequay/internal/eventloop"
)

const (
	// The memory limit of the Go runtime is this part of the settings' memory; the rest is for stacks, the runtime and
	// the sockets' buffers.
	heapNumerator   = 6
	heapDenominator = 10
	// gcPercent spaces collections out; the memory limit bounds the heap all the same.
	gcPercent = 300
	// minProcessors is the least GOMAXPROCS. The loop never parks its goroutine, so that with one processor the dials
	// beside it would wait for the scheduler's next preemption.
	minProcessors = 2
)

// Serve runs the proxy until it has shut down after SIGTERM or SIGINT.
func Serve(plan *Plan, signals *Signals, log *eventlog.Logger) error {
	plan.clock.SetOffset(plan.settings.clockOffset) // a reload does not change it
	configureRuntime(plan.platform.Memory)
	s, err := newServer(plan, signals, log)
	if err != nil {
		return err
	}
	return eventloop.Run(s.listeners(), s.start, s.round)
}

// configureRuntime bounds the Go runtime by the memory in bytes that the process may have.
func configureRuntime(memory int64) {
	debug.SetMemoryLimit(memory * heapNumerator / heapDenominator)
	debug.SetGCPercent(gcPercent)
	runtime.GOMAXPROCS(max(minProcessors, runtime.GOMAXPROCS(0)))
}

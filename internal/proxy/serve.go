package proxy

import (
	"runtime"
	"runtime/debug"

	"sloequay/internal/eventlog"
	"sloequay/internal/eventloop"
)

const (
	// heapNumerator / heapDenominator is the memory limit of the Go runtime as a fraction of the process's memory. The
	// rest is for stacks, the runtime and socket buffers.
	heapNumerator   = 6
	heapDenominator = 10
	// gcPercent makes garbage collections less frequent than by default; the memory limit still bounds the heap.
	gcPercent = 300
	// minProcessors is the minimum GOMAXPROCS. The event loop never parks its goroutine, so with one processor
	// concurrent dials would have to wait until the scheduler preempts the loop.
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

// configureRuntime configures the Go runtime for a process that may use the given memory, in bytes.
func configureRuntime(memory int64) {
	debug.SetMemoryLimit(memory * heapNumerator / heapDenominator)
	debug.SetGCPercent(gcPercent)
	runtime.GOMAXPROCS(max(minProcessors, runtime.GOMAXPROCS(0)))
}

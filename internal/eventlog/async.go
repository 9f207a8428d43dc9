package eventlog

import (
	"io"
	"time"
)

// maxQueuedLines limits the lines that are queued for a slow reader, to 20 s at MaxLinesPerSecond.
const maxQueuedLines = 20 * MaxLinesPerSecond

// AsyncWriter writes lines in a goroutine of its own, so that a slow reader of the log never blocks the caller.
//
// Bounds: at most maxQueuedLines lines are queued; further lines are dropped.
type AsyncWriter struct {
	lines chan []byte
	done  chan struct{} // closed after Close, once all queued lines are written
}

// NewAsyncWriter starts a goroutine that writes lines to w.
func NewAsyncWriter(w io.Writer) *AsyncWriter {
	a := &AsyncWriter{lines: make(chan []byte, maxQueuedLines), done: make(chan struct{})}
	go func() {
		defer close(a.done)
		for line := range a.lines {
			if line == nil { // queued by Close
				return
			}
			_, _ = w.Write(line) // a log that can't be written must not stop the process
		}
	}()
	return a
}

// Write queues one line. It never blocks and never fails.
func (a *AsyncWriter) Write(line []byte) (int, error) {
	select {
	case a.lines <- append([]byte{}, line...):
	default:
	}
	return len(line), nil
}

// Close waits until all queued lines are written, or until the time limit. Lines written afterwards are dropped.
func (a *AsyncWriter) Close(limit time.Duration) {
	timeout := time.After(limit)
	select {
	case a.lines <- nil:
	case <-timeout:
		return
	}
	select {
	case <-a.done:
	case <-timeout:
	}
}

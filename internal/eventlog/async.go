package eventlog

import (
	"io"
	"time"
)

// maxWaitingLines is how many lines wait for a reader that is slow: twenty seconds of MaxLinesPerSecond.
const maxWaitingLines = 20 * MaxLinesPerSecond

// AsyncWriter passes lines on by a goroutine of its own, so that whoever logs never waits for the reader of the log.
//
// Bounds: at most maxWaitingLines wait; what comes beyond them is dropped.
type AsyncWriter struct {
	lines chan []byte
	done  chan struct{} // closed once all was passed on after Close
}

// NewAsyncWriter starts to pass lines on to w.
func NewAsyncWriter(w io.Writer) *AsyncWriter {
	a := &AsyncWriter{lines: make(chan []byte, maxWaitingLines), done: make(chan struct{})}
	go func() {
		defer close(a.done)
		for line := range a.lines {
			if line == nil { // the mark that Close left
				return
			}
			_, _ = w.Write(line) // a log that can't be written must not end the program
		}
	}()
	return a
}

// Write takes one line. It never waits and never fails.
func (a *AsyncWriter) Write(line []byte) (int, error) {
	select {
	case a.lines <- append([]byte{}, line...):
	default:
	}
	return len(line), nil
}

// Close waits until all lines were passed on, for a time at most. What is written afterwards is dropped.
func (a *AsyncWriter) Close(limit time.Duration) {
	over := time.After(limit)
	select {
	case a.lines <- nil:
	case <-over:
		return
	}
	select {
	case <-a.done:
	case <-over:
	}
}

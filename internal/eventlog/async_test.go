package eventlog

import (
	"bytes"
	"fmt"
	"io"
	"testing"
	"time"
)

// TestAsyncWriterKeepsOrder checks that all lines are written in order before Close returns, and none afterwards.
func TestAsyncWriterKeepsOrder(t *testing.T) {
	var got, want bytes.Buffer
	a := NewAsyncWriter(&got)
	for i := range maxQueuedLines - 1 {
		line := fmt.Appendf(nil, "line %d\n", i)
		want.Write(line)
		if n, err := a.Write(line); n != len(line) || err != nil {
			t.Fatalf("Write: got %d, error %v; want the line's length and no error", n, err)
		}
		clear(line) // the caller may reuse the line
	}
	a.Close(time.Minute)
	_, _ = a.Write([]byte("too late"))
	if got.String() != want.String() {
		t.Errorf("output: got %d bytes, want the %d bytes that were written before Close", got.Len(), want.Len())
	}
}

// TestAsyncWriterNeverBlocks checks that, if nobody reads the log, Write does not block and Close returns at its time
// limit.
func TestAsyncWriterNeverBlocks(t *testing.T) {
	reader, writer := io.Pipe()
	defer reader.Close()
	a := NewAsyncWriter(writer)
	for range 3 * maxQueuedLines {
		_, _ = a.Write([]byte("line\n"))
	}
	a.Close(time.Millisecond)
}

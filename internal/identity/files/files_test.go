package files

import (
	"errors"
	"fmt"
	"syscall"
	"testing"
	"time"
)

// TestWatchRetriesAfterDiskErrors: files have changed and can't be read for a moment. They are read again though they
// do not change again; what is wrong in the files themselves waits for the next change.
func TestWatchRetriesAfterDiskErrors(t *testing.T) {
	for _, c := range []struct {
		name string
		err  error
		want int // calls within the time
	}{
		{"the disk fails once", fmt.Errorf("read: %w", syscall.EIO), 2},
		{"the file is not sound", errors.New("line 3: expected a key"), 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			calls := make(chan bool, 100)
			signature := "first"
			stop, stopped := make(chan struct{}), make(chan struct{})
			go func() {
				defer close(stopped)
				reads := 0
				Watch(stop, nil, func() string {
					reads++
					if reads > 1 {
						return "changed"
					}
					return signature
				}, func() error {
					calls <- true
					if len(calls) == 1 {
						return c.err
					}
					return nil
				})
			}()
			time.Sleep(4 * pollInterval) // within which the calls are counted
			close(stop)
			<-stopped
			if len(calls) != c.want {
				t.Errorf("%d calls, want %d", len(calls), c.want)
			}
		})
	}
}

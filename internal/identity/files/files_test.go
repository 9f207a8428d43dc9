package files

import (
	"errors"
	"fmt"
	"syscall"
	"testing"
	"time"
)

// TestWatchRetriesAfterDiskErrors checks that changed files that temporarily cannot be read are read again without
// another change, while invalid content is not read again before the next change.
func TestWatchRetriesAfterDiskErrors(t *testing.T) {
	for _, c := range []struct {
		name string
		err  error
		want int // calls within 4 poll intervals
	}{
		{"the disk fails once", fmt.Errorf("read: %w", syscall.EIO), 2},
		{"the file is invalid", errors.New("line 3: expected a key"), 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			calls := make(chan bool, 100)
			fingerprint := "first"
			stop, stopped := make(chan struct{}), make(chan struct{})
			go func() {
				defer close(stopped)
				reads := 0
				Watch(stop, nil, func() string {
					reads++
					if reads > 1 {
						return "changed"
					}
					return fingerprint
				}, func() error {
					calls <- true
					if len(calls) == 1 {
						return c.err
					}
					return nil
				})
			}()
			time.Sleep(4 * pollInterval) // the period in which calls are counted
			close(stop)
			<-stopped
			if len(calls) != c.want {
				t.Errorf("got %d calls, want %d", len(calls), c.want)
			}
		})
	}
}

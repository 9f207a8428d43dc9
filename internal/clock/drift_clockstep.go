//go:build clockstep

package clock

import (
	"os"
	"strconv"
	"strings"
	"sync/atomic"
	"time"
)

// driftFileVariable is the environment variable with the path of the file that holds the drift in nanoseconds.
const driftFileVariable = "SLOEQUAY_CLOCK"

// newDrift returns the drift that the file named by $SLOEQUAY_CLOCK holds, so that tests can set the Unix clock without
// privileges; nil if the variable is not set. The goroutine that reads the file runs until the process ends.
func newDrift() func() time.Duration {
	path := os.Getenv(driftFileVariable)
	if path == "" {
		return nil
	}
	var drift atomic.Int64
	go func() {
		for ; ; time.Sleep(time.Millisecond) {
			text, _ := os.ReadFile(path)
			if n, err := strconv.ParseInt(strings.TrimSpace(string(text)), 10, 64); err == nil {
				drift.Store(n)
			}
		}
	}()
	return func() time.Duration { return time.Duration(drift.Load()) }
}

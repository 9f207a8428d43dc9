//go:build clockstep

package clock

import (
	"os"
	"strconv"
	"strings"
	"sync/atomic"
	"time"
)

// driftFile names the environment variable that holds the path of the file with the drift, in nanoseconds.
const driftFile = "SLOEQUAY_CLOCK"

// newDrift follows the file that $SLOEQUAY_CLOCK names, so that tests can set the Unix clock without a privilege. The
// goroutine that reads the file ends with the process.
func newDrift() func() time.Duration {
	path := os.Getenv(driftFile)
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

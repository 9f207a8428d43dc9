package tlslistener

import (
	"sync"
	"time"
)

const (
	// maxFaultSources bounds the sources whose faults are remembered; with one more all are forgotten.
	maxFaultSources = 1024
	// faultInterval is how often a source's faults are logged.
	faultInterval = time.Minute
)

// faultLimiter decides which faults of a source are logged, so that a flood of bad handshakes does not fill the log.
// It may be used by many goroutines at once.
type faultLimiter struct {
	mu       sync.Mutex
	loggedAt map[string]time.Time // by source
}

// shouldLog reports whether a fault of a source is logged.
func (f *faultLimiter) shouldLog(now time.Time, source string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	last, known := f.loggedAt[source]
	if len(f.loggedAt) >= maxFaultSources && !known {
		clear(f.loggedAt)
	}
	if known && now.Sub(last) < faultInterval {
		return false
	}
	f.loggedAt[source] = now
	return true
}

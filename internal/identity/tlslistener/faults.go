package tlslistener

import (
	"sync"
	"time"
)

const (
	// maxErrorSources limits the sources whose last log times are kept. When another source exceeds the limit, all of
	// them are cleared.
	maxErrorSources = 1024
	// errorLogInterval is the minimum time between two logged errors of a source.
	errorLogInterval = time.Minute
)

// errorLogLimiter decides which connection errors of a source are logged, so that a flood of failed handshakes does not
// fill the log. It is safe for concurrent use.
type errorLogLimiter struct {
	mu       sync.Mutex
	loggedAt map[string]time.Time // by source
}

// shouldLog reports whether to log an error of a source now.
func (l *errorLogLimiter) shouldLog(now time.Time, source string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	last, known := l.loggedAt[source]
	if len(l.loggedAt) >= maxErrorSources && !known {
		clear(l.loggedAt)
	}
	if known && now.Sub(last) < errorLogInterval {
		return false
	}
	l.loggedAt[source] = now
	return true
}

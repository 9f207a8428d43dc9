package test

import (
	"bytes"
	"regexp"
	"sync"
	"time"
)

// waitLimit is how long a test waits for what must happen; no test rests on anything taking long.
const waitLimit = 10 * time.Second

// waitUntil waits for a condition.
func (w *testbed) waitUntil(what string, ok func() bool) {
	w.t.Helper()
	for end := time.Now().Add(waitLimit); !ok(); time.Sleep(2 * time.Millisecond) {
		if time.Now().After(end) {
			w.t.Fatalf("waited %v in vain until %s", waitLimit, what)
		}
	}
}

// logBuffer is what the program logs; it may be read while the program runs.
type logBuffer struct {
	mu   sync.Mutex
	text bytes.Buffer
}

func (l *logBuffer) Write(b []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.Write(b)
}

func (l *logBuffer) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.String()
}

func (l *logBuffer) reset() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.text.Reset()
}

// matches says whether an expression fits anywhere in a text.
func matches(expression, text string) bool { return regexp.MustCompile(expression).MatchString(text) }

package test

import (
	"bytes"
	"fmt"
	"regexp"
	"strings"
	"sync"
	"time"
)

// waitLimit is how long a test waits for what must happen; no test rests on anything taking long.
const waitLimit = 10 * time.Second

// waitUntil waits for a condition, which what names.
func (bed *testbed) waitUntil(what string, condition func() bool) {
	bed.t.Helper()
	for deadline := time.Now().Add(waitLimit); !condition(); time.Sleep(2 * time.Millisecond) {
		if time.Now().After(deadline) {
			bed.t.Fatalf("waited %v in vain until %s", waitLimit, what)
		}
	}
}

// waitLogged waits until a text stands in the program's log.
func (bed *testbed) waitLogged(text string) {
	bed.t.Helper()
	bed.waitUntil(fmt.Sprintf("%q is logged", text), func() bool { return bed.logged(text) })
}

// waitLoggedTimes waits until a text stands in the program's log just so often.
func (bed *testbed) waitLoggedTimes(text string, times int) {
	bed.t.Helper()
	bed.waitUntil(fmt.Sprintf("%q is logged %d times", text, times), func() bool {
		return bed.timesLogged(text) == times
	})
}

// waitLogMatches waits until an expression fits a place in the program's log.
func (bed *testbed) waitLogMatches(expression string) {
	bed.t.Helper()
	bed.waitUntil(fmt.Sprintf("%q fits the log", expression), func() bool {
		return matches(expression, bed.log.String())
	})
}

// waitEndpointsKnown waits until the program has added so many endpoints from its sources.
func (bed *testbed) waitEndpointsKnown(count int) {
	bed.t.Helper()
	bed.waitLoggedTimes("event=endpoint-added", count)
}

// logged says whether a text stands in the program's log.
func (bed *testbed) logged(text string) bool { return strings.Contains(bed.log.String(), text) }

// timesLogged is how often a text stands in the program's log.
func (bed *testbed) timesLogged(text string) int { return strings.Count(bed.log.String(), text) }

// logBuffer is what the program logs; it may be read while the program runs.
type logBuffer struct {
	mu   sync.Mutex
	text bytes.Buffer
}

// Write takes what the program logs.
func (l *logBuffer) Write(b []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.Write(b)
}

// String is all that was logged since the last reset.
func (l *logBuffer) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.String()
}

// reset drops what was logged so far.
func (l *logBuffer) reset() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.text.Reset()
}

// matches says whether an expression fits anywhere in a text.
func matches(expression, text string) bool { return regexp.MustCompile(expression).MatchString(text) }

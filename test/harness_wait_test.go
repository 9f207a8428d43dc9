package test

import (
	"bytes"
	"fmt"
	"regexp"
	"strings"
	"sync"
	"time"
)

// waitLimit is how long a test waits for an event that must happen. No test depends on an event taking that long.
const waitLimit = 10 * time.Second

// waitUntil waits until a condition holds; description describes it in the failure message.
func (bed *testbed) waitUntil(description string, condition func() bool) {
	bed.t.Helper()
	for deadline := time.Now().Add(waitLimit); !condition(); time.Sleep(2 * time.Millisecond) {
		if time.Now().After(deadline) {
			bed.t.Fatalf("timed out after %v waiting until %s", waitLimit, description)
		}
	}
}

// waitLogged waits until the program's log contains a text.
func (bed *testbed) waitLogged(text string) {
	bed.t.Helper()
	bed.waitUntil(fmt.Sprintf("%q is logged", text), func() bool { return bed.logged(text) })
}

// waitLoggedTimes waits until the program's log contains a text exactly the given number of times.
func (bed *testbed) waitLoggedTimes(text string, times int) {
	bed.t.Helper()
	bed.waitUntil(fmt.Sprintf("%q is logged %d times", text, times), func() bool {
		return bed.timesLogged(text) == times
	})
}

// waitLogMatches waits until a regular expression matches the program's log.
func (bed *testbed) waitLogMatches(expression string) {
	bed.t.Helper()
	bed.waitUntil(fmt.Sprintf("%q matches the log", expression), func() bool {
		return matches(expression, bed.log.String())
	})
}

// waitEndpointsKnown waits until the program has added count endpoints from its sources.
func (bed *testbed) waitEndpointsKnown(count int) {
	bed.t.Helper()
	bed.waitLoggedTimes("event=endpoint-added", count)
}

// logged reports whether the program's log contains a text.
func (bed *testbed) logged(text string) bool { return strings.Contains(bed.log.String(), text) }

// timesLogged returns how many times the program's log contains a text.
func (bed *testbed) timesLogged(text string) int { return strings.Count(bed.log.String(), text) }

// logBuffer holds the log of the program. It is safe for concurrent use, so that tests can read it while the program
// runs.
type logBuffer struct {
	mu   sync.Mutex
	text bytes.Buffer
}

// Write appends to the log.
func (l *logBuffer) Write(b []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.Write(b)
}

// String returns all that was logged since the last reset.
func (l *logBuffer) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.String()
}

// reset discards what was logged so far.
func (l *logBuffer) reset() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.text.Reset()
}

// matches reports whether a regular expression matches anywhere in a text.
func matches(expression, text string) bool { return regexp.MustCompile(expression).MatchString(text) }

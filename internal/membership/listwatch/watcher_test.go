package listwatch

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"sloequay/internal/eventloop"
	"sloequay/internal/membership"
)

// watcherTest drives a watcher without an event loop: each connection is a session that is already open.
type watcherTest struct {
	watcher  *Watcher
	now      time.Duration
	observed []string // events published and logged since the last call of receive
}

func newWatcherTest(lastEvent int64) *watcherTest {
	test := &watcherTest{now: time.Second}
	test.watcher = &Watcher{
		LastEvent: lastEvent,
		Publish:   func(event membership.SourceEvent) { test.observed = append(test.observed, describe(event)) },
		Now:       func() time.Duration { return test.now },
		Log:       func(event string, _ ...any) { test.observed = append(test.observed, "log "+event) },
	}
	return test
}

// describe returns a short text that tells apart the events of these tests.
func describe(event membership.SourceEvent) string {
	switch event := event.(type) {
	case membership.SourceStatus:
		if event.Silent {
			return "silent"
		}
		return "answers"
	case membership.PurgeReceived:
		return fmt.Sprint("purge ", event.Group)
	}
	return fmt.Sprintf("%T", event)
}

// receive passes data to the current session, or to a new one, and returns what was published and logged.
func (test *watcherTest) receive(text string) []string {
	if test.watcher.session == nil {
		test.watcher.session = &session{watcher: test.watcher}
	}
	test.watcher.session.Received(&eventloop.Conn{In: []byte(text)})
	observed := test.observed
	test.observed = nil
	return observed
}

// TestTimeoutGrowsWhileWatchDoesNotAnswer: with a constant timeout, a watch that always answers later than that would
// be dialed and dropped forever. So the timeout doubles with each connection in a row on which nothing is received, up
// to a bound, until something is.
func TestTimeoutGrowsWhileWatchDoesNotAnswer(t *testing.T) {
	test := newWatcherTest(6)
	var timeouts []time.Duration
	for range 4 {
		timeouts = append(timeouts, test.watcher.extendedTimeout(maxSilence))
		test.watcher.session = &session{watcher: test.watcher}
		test.watcher.session.Closed(nil, errors.New("nothing received"))
	}
	want := []time.Duration{maxSilence, 2 * maxSilence, 4 * maxSilence, 4 * maxSilence}
	if diff := cmp.Diff(want, timeouts); diff != "" {
		t.Errorf("timeouts of unanswered connections (-want +got):\n%s", diff)
	}
	test.receive("6\n")
	if got := test.watcher.extendedTimeout(maxSilence); got != maxSilence {
		t.Errorf("after an answer: got timeout %v, want %v", got, maxSilence)
	}
}

func purgeEvent(number int64) string {
	return fmt.Sprintf(`{"no":%d,"recall":{"lot":%d,"issued":1}}`+"\n", number, number)
}

// TestReceivedLines checks what the watcher publishes and logs for sequences of each kind of line.
func TestReceivedLines(t *testing.T) {
	const malformed = `{"no":5,"recall":{"lot":-1,"issued":1}}` + "\n"
	type step struct {
		received  string
		want      []string
		lastEvent int64
	}
	for name, steps := range map[string][]step{
		"events in order": {
			{purgeEvent(5), []string{"purge 5", "answers"}, 5},
			{purgeEvent(6) + purgeEvent(7), []string{"purge 6", "answers", "purge 7", "answers"}, 7},
		},
		"an event that was already handled": {
			{purgeEvent(4), nil, 4},
			{purgeEvent(2), nil, 4},
		},
		"a heartbeat": {
			{"4\n", []string{"answers"}, 4},
			{"\n3\r\n", []string{"answers"}, 4},
		},
		"a heartbeat after a missed event": {
			{"5\n", []string{"log endpoint-list-stale", "silent"}, 4},
			{purgeEvent(5), []string{"purge 5", "answers", "log endpoint-list-resumed"}, 5},
		},
		"a gap, after which the rest of the connection's data is ignored": {
			{purgeEvent(6) + purgeEvent(5), []string{"log endpoint-list-stale", "silent"}, 4},
			{purgeEvent(5) + purgeEvent(6),
				[]string{"purge 5", "answers", "log endpoint-list-resumed", "purge 6", "answers"}, 6},
		},
		"a malformed event that is valid the second time": {
			{malformed, []string{"log endpoint-list-bad-event", "log endpoint-list-stale", "silent"}, 4},
			{purgeEvent(5), []string{"purge 5", "answers", "log endpoint-list-resumed"}, 5},
		},
		"an event that is malformed twice is skipped": {
			{malformed, []string{"log endpoint-list-bad-event", "log endpoint-list-stale", "silent"}, 4},
			{malformed + purgeEvent(6),
				[]string{"log endpoint-list-event-skipped", "purge 6", "answers", "log endpoint-list-resumed"}, 6},
		},
		"a malformed line without a number that is received twice is skipped": {
			{"{\n", []string{"log endpoint-list-bad-event", "log endpoint-list-stale", "silent"}, 4},
			{"{\n", []string{"log endpoint-list-event-skipped"}, 4},
			{purgeEvent(9), []string{"purge 9", "answers", "log endpoint-list-resumed"}, 9},
		},
	} {
		test := newWatcherTest(4)
		for i, step := range steps {
			if diff := cmp.Diff(step.want, test.receive(step.received)); diff != "" {
				t.Errorf("%s: step %d (-want +got):\n%s", name, i, diff)
			}
			if test.watcher.LastEvent != step.lastEvent {
				t.Errorf("%s: step %d: got last event %d, want %d", name, i, test.watcher.LastEvent, step.lastEvent)
			}
		}
	}
}

// TestFirstEvent checks that a watcher without a last event accepts a first event with any number.
func TestFirstEvent(t *testing.T) {
	test := newWatcherTest(0)
	if got := test.receive(purgeEvent(17)); test.watcher.LastEvent != 17 || len(got) != 2 {
		t.Errorf("got last event %d, observed %v; want 17, 2 entries", test.watcher.LastEvent, got)
	}
}

// TestRetryDelay checks that the delay before the next dial doubles up to its bound while the watch is lost, that the
// loss is reported once, and that the next event ends the loss and resets the delay.
func TestRetryDelay(t *testing.T) {
	test := newWatcherTest(4)
	want := []time.Duration{0, 100 * time.Millisecond, 200 * time.Millisecond, 400 * time.Millisecond,
		800 * time.Millisecond, time.Second, time.Second}
	for i, delay := range want {
		test.watcher.session = &session{watcher: test.watcher}
		test.watcher.session.Closed(nil, nil)
		if got := test.watcher.nextDialAt - test.now; got != delay {
			t.Errorf("loss %d: got a delay of %v before the next dial, want %v", i, got, delay)
		}
	}
	wantObserved := []string{"log endpoint-list-stale", "silent", "purge 5", "answers", "log endpoint-list-resumed"}
	if diff := cmp.Diff(wantObserved, test.receive(purgeEvent(5))); diff != "" {
		t.Errorf("published and logged (-want +got):\n%s", diff)
	}
	test.watcher.session.Closed(nil, nil)
	if test.watcher.nextDialAt != test.now {
		t.Errorf("after an event: got a delay of %v before the next dial, want 0", test.watcher.nextDialAt-test.now)
	}
}

// TestLongLine checks that a line longer than maxLineBytes ends the connection.
func TestLongLine(t *testing.T) {
	test := newWatcherTest(4)
	got := test.receive(string(make([]byte, maxLineBytes+1)))
	if diff := cmp.Diff([]string{"log endpoint-list-stale", "silent"}, got); diff != "" {
		t.Errorf("published and logged (-want +got):\n%s", diff)
	}
}

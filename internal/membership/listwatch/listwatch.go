// Package listwatch follows the endpoint list watch: a stream of numbered events, one JSON object per line, that carry
// endpoint lists, deltas and purges. Every second, the watch also sends a heartbeat: a line that consists only of the
// number of the last event.
//
// Invariants: events are published in the order of their numbers, each at most once. A gap in the numbers drops the
// connection, and the next one requests the events after the last one handled. Only the newest connection counts. A
// malformed event is skipped only if it is malformed again after a reconnect.
//
// Bounds: a line has at most maxLineBytes, a list at most maxEndpoints. A connection that is silent for maxSilence is
// dropped, and the next dial starts at most maxRetryDelay after a failure. After connections on which nothing was
// received, the limits for silence and for a dial grow up to fourfold.
package listwatch

import (
	"bytes"
	"fmt"
	"strconv"
	"time"

	"sloequay/internal/eventloop"
	"sloequay/internal/membership"
)

const (
	maxLineBytes = 1 << 20 // enough for the complete list of a large fleet
	// maxSilence is how long a connection may be silent, although a heartbeat is due every second. An event withheld by
	// a stalled watch counts as reported 4 s later. Within these 4 s, the silence must be detected, the watch must be
	// dialed again, and a second must be left for draining.
	maxSilence    = 1600 * time.Millisecond
	dialTimeout   = time.Second
	minRetryDelay = 100 * time.Millisecond
	maxRetryDelay = time.Second
	// maxTimeoutDoublings bounds the growth of timeouts for a watch that has not answered on several connections.
	maxTimeoutDoublings = 2
)

// Watcher keeps a connection to the endpoint list watch, and resumes after the last event handled when it reconnects.
// Its methods run on the event loop, and it has no goroutine of its own.
type Watcher struct {
	Loop      *eventloop.Loop
	Address   string // empty: the watcher does not connect
	Decoder   Decoder
	LastEvent int64 // the number of the last event handled
	Publish   func(membership.SourceEvent)
	Now       func() time.Duration
	Log       func(event string, fields ...any)

	session        *session // nil: no connection, and the next dial is due at nextDialAt
	unanswered     int      // number of connections and dials in a row on which nothing was received
	retryDelay     time.Duration
	nextDialAt     time.Duration
	malformedEvent int64 // the expected number of the event on the line that was last malformed
	skipping       bool  // that line was malformed again and was skipped: the next event may have any higher number
	stale          bool  // the loss of the watch was logged and published, and the watcher has not caught up since
}

// Tick dials if there is no connection and a dial is due, and drops a connection that has been silent for too long.
func (w *Watcher) Tick(now time.Duration) {
	if current := w.session; current != nil {
		if silence := now - current.receivedAt; current.conn != nil && silence > w.extendedTimeout(maxSilence) {
			w.disconnect(fmt.Errorf("nothing received for %v", silence))
		}
		return
	}
	if w.Address != "" && now >= w.nextDialAt {
		w.dial()
	}
}

// extendedTimeout doubles a timeout for each connection in a row that went unanswered, up to a bound. Otherwise a slow
// or overloaded watch could be dropped shortly before each of its answers, so that none would arrive.
func (w *Watcher) extendedTimeout(base time.Duration) time.Duration {
	return base << min(w.unanswered, maxTimeoutDoublings)
}

func (w *Watcher) dial() {
	dialed := &session{watcher: w}
	w.session = dialed
	w.Loop.Dial("tcp", w.Address, w.extendedTimeout(dialTimeout), dialed, func(err error) {
		if w.session == dialed {
			w.disconnect(err)
		}
	})
}

// SwitchTo connects to another address and requests the events after the last one there. The numbering of events is
// the same at the new address.
func (w *Watcher) SwitchTo(address string) {
	if address == w.Address {
		return
	}
	w.drop()
	w.Address = address
	w.retryDelay = 0
	w.unanswered = 0
	w.nextDialAt = 0
	w.Tick(w.Now())
}

// drop closes the connection. Data still received on it is ignored.
func (w *Watcher) drop() {
	if current := w.session; current != nil && current.conn != nil {
		current.conn.Close()
	}
	w.session = nil
}

// disconnect drops the connection, schedules the next dial, and reports the watch as silent.
func (w *Watcher) disconnect(cause error) {
	if !w.stale {
		w.stale = true
		w.Log("endpoint-list-stale", "error", cause, "after", w.LastEvent)
		w.Publish(membership.SourceStatus{Source: w.Decoder.Source, Silent: true})
	}
	if current := w.session; current != nil && !current.answered {
		w.unanswered++
	}
	w.drop()
	w.nextDialAt = w.Now() + w.retryDelay
	w.retryDelay = min(max(minRetryDelay, 2*w.retryDelay), maxRetryDelay)
}

// handleLine handles an event, or a heartbeat with the number of the last event.
func (w *Watcher) handleLine(line []byte) {
	if len(line) == 0 {
		return
	}
	if last, ok := parseLastNumber(line); ok {
		if last > w.LastEvent && !w.skipping {
			w.disconnect(fmt.Errorf("event %d was missed", w.LastEvent+1))
		}
		w.markCaughtUp()
		return
	}
	number, events, err := w.Decoder.decodeLine(line)
	if err != nil {
		w.handleMalformed(number, err)
		return
	}
	switch {
	case number <= w.LastEvent:
	case number > w.LastEvent+1 && w.LastEvent > 0 && !w.skipping:
		w.disconnect(fmt.Errorf("event %d came after event %d", number, w.LastEvent))
	default:
		w.LastEvent = number
		w.skipping = false
		for _, event := range events {
			w.Publish(event)
		}
		w.markCaughtUp()
	}
}

// handleMalformed reconnects after an event that can't be decoded. If the event is malformed again, the watch itself
// has it in that form, and it is skipped. number is 0 if it can't be read either.
func (w *Watcher) handleMalformed(number int64, cause error) {
	next := w.LastEvent + 1
	if w.malformedEvent != next {
		w.malformedEvent = next
		w.Log("endpoint-list-bad-event", "error", cause, "after", w.LastEvent)
		w.disconnect(cause)
		return
	}
	w.Log("endpoint-list-event-skipped", "error", cause)
	w.skipping = true
	if number == next {
		w.LastEvent = number
	}
}

// markCaughtUp reports that the watch answers and ends a retry backoff, unless the connection was dropped because of
// the line just handled.
func (w *Watcher) markCaughtUp() {
	if w.session == nil {
		return
	}
	w.Publish(membership.SourceStatus{Source: w.Decoder.Source})
	w.retryDelay = 0
	if w.stale {
		w.stale = false
		w.Log("endpoint-list-resumed", "at", w.LastEvent)
	}
}

// session is a connection to the watch, or the dial of one. Data received on a session other than Watcher.session is
// ignored.
type session struct {
	watcher    *Watcher
	conn       *eventloop.Conn // nil while dialing
	receivedAt time.Duration   // when data was last received, or the connection opened
	answered   bool            // whether data has been received
}

// Opened requests the events after the last one handled.
func (s *session) Opened(conn *eventloop.Conn) {
	if s.watcher.session != s { // the watcher has given this dial up, as after SwitchTo
		conn.Close()
		return
	}
	s.conn = conn
	s.receivedAt = s.watcher.Now()
	conn.Send(requestLine(s.watcher.LastEvent))
}

// Closed makes the watcher dial again.
func (s *session) Closed(_ *eventloop.Conn, cause error) {
	if s.watcher.session == s {
		s.watcher.disconnect(fmt.Errorf("connection ended: %v", cause))
	}
}

// Received handles complete lines and leaves an incomplete one in the buffer.
func (s *session) Received(conn *eventloop.Conn) {
	watcher := s.watcher
	s.receivedAt = watcher.Now()
	s.answered = true
	if watcher.session == s {
		watcher.unanswered = 0
	}
	used := 0
	for watcher.session == s {
		length := bytes.IndexByte(conn.In[used:], '\n')
		if length < 0 {
			break
		}
		line := bytes.TrimSuffix(conn.In[used:used+length], []byte("\r"))
		used += length + 1
		watcher.handleLine(line)
	}
	if watcher.session != s { // ignore the rest
		used = len(conn.In)
	}
	conn.Consume(used)
	if len(conn.In) > maxLineBytes {
		watcher.disconnect(fmt.Errorf("received a line of over %d bytes", maxLineBytes))
	}
}

// requestLine returns the line that requests all events after a number.
func requestLine(after int64) []byte { return []byte("after " + strconv.FormatInt(after, 10) + "\n") }

// Package listwatch follows the endpoint list watch: a stream of numbered events, one JSON object a line, that bring
// lists and changes of endpoints, and purges. A line with the number of the last event alone comes each second.
//
// Invariants: events are published in the order of their numbers, each at most once; a gap in the numbers drops the
// connection, and the next one requests what came after the last event. Only the newest connection counts. Unreadable
// events are skipped only once they have come twice.
//
// Bounds: a line has at most maxLineBytes, a list at most maxEndpoints. A connection that says nothing for maxSilence
// is dropped, and the next dial comes at most maxRetryDelay after a failure. Where nothing came on the connections
// before, silence and dial may take up to four times as long.
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
	maxLineBytes = 1 << 20 // the complete list of a large fleet
	// maxSilence is how long a connection may say nothing: a line comes each second. What a watch that stopped would
	// have reported counts as reported 4 s later, and there is a dial and a second of draining to come.
	maxSilence    = 1600 * time.Millisecond
	dialTimeout   = time.Second
	minRetryDelay = 100 * time.Millisecond
	maxRetryDelay = time.Second
	// maxPatienceDoublings bounds how long a watch may take that has not answered on several connections.
	maxPatienceDoublings = 2
)

// Watcher keeps a connection to the endpoint list watch and resumes after the last event that it has. Its methods run
// on the event loop, and it has no goroutine of its own.
type Watcher struct {
	Loop      *eventloop.Loop
	Address   string // empty: there is none to connect to
	Decoder   Decoder
	LastEvent int64 // the number of the last event that was taken
	Publish   func(membership.SourceEvent)
	Now       func() time.Duration
	Log       func(event string, fields ...any)

	session        *session // nil: none, and the next dial is due at nextDialAt
	unanswered     int      // connections and dials in a row on which nothing came
	retryDelay     time.Duration
	nextDialAt     time.Duration
	malformedEvent int64 // the number after which a line could not be read
	skipping       bool  // that line has come again and was skipped: the next event may have any higher number
	stale          bool  // the loss of the watch was logged and published, and it has not caught up since
}

// Tick dials when there is no connection, and drops one that has gone quiet.
func (w *Watcher) Tick(now time.Duration) {
	if current := w.session; current != nil {
		if silence := now - current.receivedAt; current.conn != nil && silence > w.patience(maxSilence) {
			w.disconnect(fmt.Errorf("nothing came for %v", silence))
		}
		return
	}
	if w.Address != "" && now >= w.nextDialAt {
		w.dial()
	}
}

// patience is how long a connection is given for something that usually takes a time. One that answers later than that,
// as it is slow or crowded, would else be dropped just before it answers, each time anew.
func (w *Watcher) patience(usual time.Duration) time.Duration {
	return usual << min(w.unanswered, maxPatienceDoublings)
}

func (w *Watcher) dial() {
	dialed := &session{watcher: w}
	w.session = dialed
	w.Loop.Dial("tcp", w.Address, w.patience(dialTimeout), dialed, func(err error) {
		if w.session == dialed {
			w.disconnect(err)
		}
	})
}

// SwitchTo goes over to another address and requests there what came after the last event. The numbers go on.
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

// drop closes the connection. What it still brings does not count.
func (w *Watcher) drop() {
	if current := w.session; current != nil && current.conn != nil {
		current.conn.Close()
	}
	w.session = nil
}

// disconnect drops the connection, sets the time of the next dial, and reports the watch as silent.
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

// handleLine takes an event, or the number of the last one alone.
func (w *Watcher) handleLine(line []byte) {
	if len(line) == 0 {
		return
	}
	if last, ok := parseLastNumber(line); ok {
		if last > w.LastEvent && !w.skipping {
			w.disconnect(fmt.Errorf("event %d was missed", w.LastEvent+1))
		}
		w.caughtUp()
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
		w.caughtUp()
	}
}

// handleMalformed connects again for an event that can't be read. One that comes again so is what the watch has: the
// watcher goes on without it. number is 0 where not even that can be read.
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

// caughtUp notes that the watcher has all events, unless the connection was dropped for what came.
func (w *Watcher) caughtUp() {
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

// session is one connection to the watch, or the dial of one. What comes on any but the watcher's own is dropped.
type session struct {
	watcher    *Watcher
	conn       *eventloop.Conn // nil while it is dialed
	receivedAt time.Duration   // when something came last
	answered   bool            // something has come
}

// Opened requests what came after the last event.
func (s *session) Opened(conn *eventloop.Conn) {
	if s.watcher.session != s { // the dial of an address that is not followed any more
		conn.Close()
		return
	}
	s.conn = conn
	s.receivedAt = s.watcher.Now()
	conn.Send(request(s.watcher.LastEvent))
}

// Closed has the watch dialed again.
func (s *session) Closed(_ *eventloop.Conn, cause error) {
	if s.watcher.session == s {
		s.watcher.disconnect(fmt.Errorf("connection ended: %v", cause))
	}
}

// Received takes complete lines and leaves the rest.
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
	if watcher.session != s { // nothing more of it counts
		used = len(conn.In)
	}
	conn.Consume(used)
	if len(conn.In) > maxLineBytes {
		watcher.disconnect(fmt.Errorf("a line of over %d bytes", maxLineBytes))
	}
}

// request is the line that requests what came after an event.
func request(after int64) []byte { return []byte("after " + strconv.FormatInt(after, 10) + "\n") }

// Package shutdown decides how a proxy ends after the signal to do so: how long it goes on serving, what the
// clients that are still connected get, and when it may exit without losing anything. It does no I/O and reads no
// clock.
//
// Invariants:
//   - before the time is up it exits only when no request is open, all responses were taken by the system, nothing
//     is being deregistered, and no client has been connected for reconnectWindow;
//   - a request that came within excusedWindow, less signalMargin, is never failed before its own deadline;
//   - a later one is answered before the program may be killed, also where the program stood still when the signal
//     came; one that is left less than minTimeout is rejected at once, so that its connection can be closed.
//
// Bounds: once begun it exits at the latest LongestDeadline, excusedWindow and slowReaderGrace after the signal, or
// arrivalWindow and slowReaderGrace where that is later.
package shutdown

import "time"

const (
	// arrivalWindow is how long after the signal clients may arrive: they connect for 0.4 s, send requests on these
	// connections for 0.2 s more, and the rest is what a busy event loop may be late.
	arrivalWindow = 900 * time.Millisecond
	// excusedWindow is how long after the signal requests may arrive that are excused if they are open when the
	// platform kills the program; a later one has to be answered before.
	excusedWindow = 700 * time.Millisecond
	// signalMargin is how much sooner than excusedWindow says a request is taken for a later one: the platform counts
	// from when it sent the signal, and the program learns of that a moment later. Clients send nothing so late.
	signalMargin = 50 * time.Millisecond
	// maxKillDelay and LongestDeadline, the shorter of them, bound when the platform may kill the program: that and
	// excusedWindow after the signal.
	maxKillDelay = 3 * time.Second
	// responseMargin is taken off the time of a request after excusedWindow, so that its response has reached the
	// client when the program is killed.
	responseMargin = 100 * time.Millisecond
	// minTimeout is the least that such a request is forwarded with.
	minTimeout = 50 * time.Millisecond
	// reconnectWindow is how long no client must have been connected: one whose request crosses our close of its
	// connection comes again within 50 ms.
	reconnectWindow = 100 * time.Millisecond
	// slowReaderGrace is added to the longest deadline for clients that are slow to read.
	slowReaderGrace = time.Second
)

// Load is what the proxy still has to finish.
type Load struct {
	OpenRequests      int  // requests without a response
	ClientConnections int  // connections of clients
	UnsentBytes       int  // bytes of responses that the system has not taken
	Deregistering     bool // the registration or the peers have yet to be told
}

// Action is what to do now.
type Action int

// The actions.
const (
	KeepServing  Action = iota // nothing
	CloseIdle                  // close the connections of clients without an open request
	FailInFlight               // fail all open requests
	Exit                       // end the program
)

// Sequence is the shutdown of one proxy. The zero value has not begun.
type Sequence struct {
	LongestDeadline time.Duration // of all request classes
	begun           bool
	signalAt        time.Duration // when the signal was taken: clients arrive until then for certain
	sentAt          time.Duration // when it may have been sent at the earliest: the kill counts from then
	noClientSince   time.Duration // 0: a client is connected
}

// Begin notes the signal, and reports whether it is the first. Others change nothing. The signal may have been sent at
// sentAt already, where the program stood still since.
func (s *Sequence) Begin(now, sentAt time.Duration) bool {
	if s.begun {
		return false
	}
	s.begun = true
	s.signalAt = now
	s.sentAt = sentAt
	return true
}

// Begun reports whether the signal came.
func (s *Sequence) Begun() bool { return s.begun }

// TimeoutFor returns how long a request that arrives now may take, given the timeout that its client asks for. Not ok:
// the program may be killed before it could be answered, and it is to be rejected at once.
func (s *Sequence) TimeoutFor(now, timeout time.Duration) (allowed time.Duration, ok bool) {
	if !s.begun || now-s.sentAt < excusedWindow-signalMargin {
		return timeout, true
	}
	left := s.killAt() - responseMargin - now
	return min(timeout, left), left >= minTimeout
}

// killAt is when the platform may kill the program at the earliest.
func (s *Sequence) killAt() time.Duration {
	return s.sentAt + min(s.LongestDeadline, maxKillDelay) + excusedWindow
}

// Step returns what to do now.
func (s *Sequence) Step(now time.Duration, load Load) Action {
	if !s.begun {
		return KeepServing
	}
	s.observeClients(now, load.ClientConnections)
	elapsed := now - s.signalAt
	lastResponse := max(arrivalWindow, s.LongestDeadline+excusedWindow)
	switch {
	case elapsed >= lastResponse+slowReaderGrace:
		return Exit
	case elapsed >= lastResponse && load.OpenRequests > 0:
		return FailInFlight
	case elapsed < arrivalWindow && now < s.killAt()-responseMargin-minTimeout:
		return KeepServing
	case elapsed >= arrivalWindow && s.isDone(now, load):
		return Exit
	}
	return CloseIdle
}

func (s *Sequence) observeClients(now time.Duration, clients int) {
	switch {
	case clients > 0:
		s.noClientSince = 0
	case s.noClientSince == 0:
		s.noClientSince = max(1, now)
	}
}

// isDone reports whether an exit loses nothing.
func (s *Sequence) isDone(now time.Duration, load Load) bool {
	if load.OpenRequests != 0 || load.UnsentBytes != 0 || load.Deregistering {
		return false
	}
	return s.noClientSince > 0 && now-s.noClientSince >= reconnectWindow
}

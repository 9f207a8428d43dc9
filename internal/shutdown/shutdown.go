// Package shutdown decides how a proxy shuts down after the signal: how long it keeps serving, when it closes idle
// connections or fails open requests, and when the process may exit without losing anything. It does no I/O and reads
// no clock.
//
// Invariants:
//   - before its time limit (see Bounds), the process exits only when no request is open, the operating system has
//     taken all responses, deregistration is complete, and no client has been connected for reconnectWindow;
//   - a request that arrives within excusedWindow less signalMargin is never failed before its own deadline;
//   - a later request is answered before the platform may kill the process, even if the process stood still when the
//     signal was sent; if less than minTimeout is left, it is rejected at once, so that its connection can be closed.
//
// Bounds: the process exits at the latest LongestDeadline + excusedWindow + slowReaderGrace after it handled the
// signal, or arrivalWindow + slowReaderGrace after it, whichever is later.
package shutdown

import "time"

const (
	// arrivalWindow is how long after the signal new clients may arrive: they open connections for up to 400 ms and
	// send requests on them for another 200 ms; the rest allows for the delay of a busy event loop.
	arrivalWindow = 900 * time.Millisecond
	// excusedWindow is the time after the signal within which an arriving request may still be open when the platform
	// kills the process. A later request must be answered before the kill.
	excusedWindow = 700 * time.Millisecond
	// signalMargin shortens excusedWindow, because the platform counts from when it sent the signal, slightly before
	// the process receives it. Clients send no requests that late, so none loses time by it.
	signalMargin = 50 * time.Millisecond
	// maxKillDelay limits how long the platform waits before it kills the process: excusedWindow plus the shorter of
	// maxKillDelay and LongestDeadline after it sent the signal.
	maxKillDelay = 3 * time.Second
	// responseMargin is how long before the kill a request that arrives after excusedWindow must have its response, so
	// that the response reaches the client in time.
	responseMargin = 100 * time.Millisecond
	// minTimeout is the shortest timeout with which such a request is still forwarded.
	minTimeout = 50 * time.Millisecond
	// reconnectWindow is how long no client may have been connected before the process exits: a client whose request
	// crosses the proxy's close of its connection reconnects within 50 ms.
	reconnectWindow = 100 * time.Millisecond
	// slowReaderGrace is the extra time after the longest deadline for clients that read responses slowly.
	slowReaderGrace = time.Second
)

// Load is the work that the proxy still has to finish.
type Load struct {
	OpenRequests      int  // requests without a response
	ClientConnections int  // open connections of clients
	UnsentBytes       int  // bytes of responses that the operating system has not taken
	Deregistering     bool // the registry or the peers have not been told of the shutdown yet
}

// Action is what the proxy has to do now.
type Action int

// The actions.
const (
	KeepServing  Action = iota // nothing to do
	CloseIdle                  // close the connections of clients without an open request
	FailInFlight               // fail all open requests
	Exit                       // end the process
)

// Sequence is the state of the shutdown of one proxy. The zero value has not begun.
type Sequence struct {
	LongestDeadline time.Duration // of all request classes
	begun           bool
	signalAt        time.Duration // when the signal was handled; clients certainly arrive until then
	sentAt          time.Duration // when the signal was sent, at the earliest: the time until the kill counts from here
	noClientSince   time.Duration // 0 while a client is connected
}

// Begin records the shutdown signal and reports whether it is the first; later signals change nothing. The signal may
// have been sent as early as sentAt, if the process stood still between then and now.
func (s *Sequence) Begin(now, sentAt time.Duration) bool {
	if s.begun {
		return false
	}
	s.begun = true
	s.signalAt = now
	s.sentAt = sentAt
	return true
}

// Begun reports whether the signal has been recorded.
func (s *Sequence) Begun() bool { return s.begun }

// TimeoutFor returns the timeout for a request that arrives now and whose client asks for the given timeout. If ok is
// false, the platform may kill the process before the request can be answered: the caller must reject it at once.
func (s *Sequence) TimeoutFor(now, timeout time.Duration) (allowed time.Duration, ok bool) {
	if !s.begun || now-s.sentAt < excusedWindow-signalMargin {
		return timeout, true
	}
	left := s.killAt() - responseMargin - now
	return min(timeout, left), left >= minTimeout
}

// killAt returns the earliest time at which the platform may kill the process.
func (s *Sequence) killAt() time.Duration {
	return s.sentAt + min(s.LongestDeadline, maxKillDelay) + excusedWindow
}

// Step returns the action that is due for the present time and load.
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

// isDone reports whether the process can exit without losing anything.
func (s *Sequence) isDone(now time.Duration, load Load) bool {
	if load.OpenRequests != 0 || load.UnsentBytes != 0 || load.Deregistering {
		return false
	}
	return s.noClientSince > 0 && now-s.noClientSince >= reconnectWindow
}

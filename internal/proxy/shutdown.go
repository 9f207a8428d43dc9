package proxy

import (
	"time"

	"sloequay/internal/broker"
	"sloequay/internal/shutdown"
)

// beginShutdown starts the shutdown: the proxy reports that it is not ready, but keeps serving open and new requests.
// receivedAt is when the process received the signal, which may be long after the signal was sent.
func (s *server) beginShutdown(receivedAt time.Duration) {
	now := s.clock.Monotonic()
	sentAt := min(receivedAt, now-s.loop.Lag())
	if !s.shutdown.Begin(now, sentAt) {
		return
	}
	s.sources.beginShutdown() // first: deregistering makes clients turn to other proxies
	s.log.Event("draining", "open", s.openRequests())
	s.loop.RequestRound()
}

// stepShutdown carries out the next action of the shutdown sequence.
func (s *server) stepShutdown(now time.Duration) {
	load := shutdown.Load{
		OpenRequests:      s.openRequests(),
		ClientConnections: s.frontend.Clients() + s.loop.PendingAccepts() + s.loop.DrainingRelays(),
		UnsentBytes:       s.loop.UnsentBytes(),
		Deregistering:     !s.sources.shutdownDone(),
	}
	if s.dns != nil {
		load.ClientConnections += s.dns.Clients()
	}
	switch s.shutdown.Step(now, load) {
	case shutdown.CloseIdle:
		s.closeIdle()
	case shutdown.FailInFlight:
		for _, pool := range s.pools {
			pool.publish(broker.FailInFlight{})
		}
		s.loop.RequestRound()
	case shutdown.Exit:
		s.stopped = true
		s.log.Event("stopped", "open", load.OpenRequests, "clients", load.ClientConnections, "unsent", load.UnsentBytes)
		s.loop.Stop()
	}
}

// closeIdle closes the clients' connections that have no open request.
func (s *server) closeIdle() {
	s.frontend.CloseIdle()
	if s.dns != nil {
		s.dns.CloseIdle()
	}
}

package proxy

import (
	"time"

	"sloequay/internal/broker"
)

// drainInterval is the longest time between two rounds of a proxy that drains: a connection is closed in the round
// after its last response was written, and the next request may come soon.
const drainInterval = 10 * time.Millisecond

// round hands all events that were gathered to the brokers, and carries out what they decide. The loop calls it each
// time after it has read what was ready.
func (s *server) round() {
	now := s.clock.Monotonic()
	s.roundBeganAt = now
	s.rounds.Begin()
	s.followUnixClock(now)
	s.housekeep(now)
	s.logUpstreamStats(now)
	for _, pool := range s.pools {
		pool.connections.CheckLiveness(now)
	}
	s.runBrokers(now)
	if s.sources.fleet != nil {
		s.sources.fleet.step(now)
	}
	if s.shutdown.Begun() && !s.stopped {
		s.stepShutdown(now)
	}
	s.scheduleNextRound(now)
}

// runBrokers hands the gathered events to the brokers until there are none: effects may bring events of their own, and
// what ends in one pool may be retried in another.
func (s *server) runBrokers(roundBegan time.Duration) {
	for {
		for _, pool := range s.pools {
			pool.round(s)
		}
		s.flush(roundBegan)
		if !s.haveEvents() {
			return
		}
	}
}

func (s *server) haveEvents() bool {
	for _, pool := range s.pools {
		if len(pool.events) > 0 {
			return true
		}
	}
	return false
}

// flush writes the attempts of the round, unless they are deferred to the next one.
func (s *server) flush(roundBegan time.Duration) {
	if !s.rounds.MayFlush(s.clock.Monotonic() - roundBegan) {
		return
	}
	for _, pool := range s.pools {
		pool.connections.Flush()
	}
}

// deferWrites reports whether attempts that are about to be written are left to the next round after all, as the
// process stood still since the round gathered them.
func (s *server) deferWrites() bool {
	if s.rounds.MayFlush(s.clock.Monotonic() - s.roundBeganAt) {
		return false
	}
	s.loop.WakeAfter(0) // by the timer, as in scheduleNextRound, which did not know
	return true
}

// scheduleNextRound has the loop wake up for the next thing that is due by time.
func (s *server) scheduleNextRound(now time.Duration) {
	wake := s.lastHousekeeping + housekeepingInterval
	if s.rounds.Deferred() {
		wake = now // by the timer, so that the loop reads first: a round that is requested would come before that
	}
	if s.sources.fleet != nil {
		wake = min(wake, s.sources.fleet.steppedAt+fleetStepInterval)
	}
	if s.shutdown.Begun() {
		wake = min(wake, now+drainInterval)
	}
	for _, pool := range s.pools {
		if next := pool.broker.Next(); next > 0 {
			wake = min(wake, next)
		}
	}
	s.loop.WakeAfter(max(0, wake-s.clock.Monotonic()))
}

// applyEffect carries out what the broker of a pool has decided.
func (s *server) applyEffect(pool *pool, effect broker.Effect) {
	switch effect := effect.(type) {
	case broker.SendAttempt:
		pool.connections.Send(effect.Attempt)
	case broker.CancelAttempt:
		pool.connections.Cancel(effect)
	case broker.Respond:
		s.recordResult(effect.Request, effect.Response)
		effect.Request.Frontend.Respond(effect.Request, effect.Response)
	case broker.EndpointChanged:
		pool.connections.EndpointChanged(effect)
	case broker.RefetchList:
		s.sources.refetchList(effect.Source)
	case broker.LogEntry:
		s.log.Event(effect.Event, effect.Fields...)
	}
}

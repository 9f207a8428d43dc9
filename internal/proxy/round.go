package proxy

import (
	"time"

	"sloequay/internal/broker"
)

// drainInterval is the maximum time between two rounds while the proxy drains. A connection is closed in the round
// after its last response was written; a long wait would let the client's next request arrive before that.
const drainInterval = 10 * time.Millisecond

// round passes all queued events to the brokers and carries out the resulting effects. The loop calls it each time
// after it has read all connections that were ready.
func (s *server) round() {
	now := s.clock.Monotonic()
	s.roundBeganAt = now
	s.rounds.Begin()
	s.followUnixClock(now)
	s.housekeep(now)
	s.logStats(now)
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

// runBrokers passes the queued events to the brokers until there are none: effects may cause further events, and a
// request that ends in one pool may be retried in another.
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

// flush writes the attempts of the round, unless they are deferred to the next round.
func (s *server) flush(roundBegan time.Duration) {
	if !s.rounds.MayFlush(s.clock.Monotonic() - roundBegan) {
		return
	}
	for _, pool := range s.pools {
		pool.connections.Flush()
	}
}

// deferWrites reports whether attempts that are about to be written must be deferred to the next round after all,
// because the process has stood still since the round gathered them.
func (s *server) deferWrites() bool {
	if s.rounds.MayFlush(s.clock.Monotonic() - s.roundBeganAt) {
		return false
	}
	s.loop.WakeAfter(0) // by the timer, as in scheduleNextRound, which ran before this deferral
	return true
}

// scheduleNextRound sets the loop's timer to the time of the next scheduled task.
func (s *server) scheduleNextRound(now time.Duration) {
	wake := s.lastHousekeeping + housekeepingInterval
	if s.rounds.Deferred() {
		wake = now // by the timer, so that the loop reads first; a round by RequestRound would start before that
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

// applyEffect carries out an effect of a pool's broker.
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

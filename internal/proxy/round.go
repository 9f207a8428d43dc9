package proxy

import (
	"time"

	"sloequay/internal/broker"
	"sloequay/internal/upstream"
)

const (
	housekeepingInterval = 100 * time.Millisecond
	// statsInterval is the time between two log lines of what a pool has sent to its endpoints.
	statsInterval = 5 * time.Second
)

// round hands all events that were gathered to the brokers, and carries out what they decide. The loop calls it each
// time after it has read what was ready.
func (s *server) round() {
	now := s.clock.Monotonic()
	s.rounds.Begin()
	s.followUnixClock(now)
	if now-s.lastHousekeeping >= housekeepingInterval {
		s.lastHousekeeping = now
		s.housekeep(now)
	}
	if now-s.statsLoggedAt >= statsInterval {
		s.statsLoggedAt = now
		s.logUpstreamStats()
	}
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

// followUnixClock tells all that compare Unix times how far that clock is from the monotonic one.
func (s *server) followUnixClock(now time.Duration) {
	if step := s.unixClock.Read(now, s.clock.Unix()); step != 0 {
		s.log.Event("clock-stepped", "by", step)
		if s.authenticator != nil {
			s.authenticator.clockStepped()
		}
	}
	for _, pool := range s.pools {
		pool.broker.SetOffset(s.unixClock.Offset())
	}
	if s.authenticator != nil {
		s.authenticator.machine.SetOffset(s.unixClock.Offset())
	}
}

// housekeep does what is due from time to time.
func (s *server) housekeep(now time.Duration) {
	s.loop.RecountUnsent()
	s.sources.listWatch.Tick(now)
	for _, pool := range s.pools {
		pool.connections.Housekeep(now)
	}
	s.stepMigrations(now)
	s.frontend.Tick(now)
	s.resolver.Tick(now)
	if s.dns != nil {
		s.dns.Tick(now)
	}
	s.sources.tick(now)
	if s.authenticator != nil {
		s.authenticator.expire(now)
	}
	s.log.Tick(now)
}

func (s *server) logUpstreamStats() {
	for i, pool := range s.pools {
		if stats := pool.connections.TakeStats(); stats != (upstream.Stats{}) {
			s.log.Event("upstream-stats", append([]any{"pool", i}, stats.Fields()...)...)
		}
	}
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
	if !s.rounds.Flush(s.clock.Monotonic() - roundBegan) {
		return
	}
	for _, pool := range s.pools {
		pool.connections.Flush()
	}
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
		pool.connections.Cancel(effect.Attempt, effect.AwaitEnd)
	case broker.Respond:
		s.recordResult(effect.Request, effect.Response)
		effect.Request.Frontend.Respond(effect.Request, effect.Response)
	case broker.EndpointChanged:
		pool.connections.EndpointChanged(effect.Endpoint, effect.Restarted)
	case broker.RefetchList:
		s.sources.confirm(effect.Source)
	case broker.LogEntry:
		s.log.Event(effect.Event, effect.Fields...)
	}
}

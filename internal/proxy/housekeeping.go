package proxy

import (
	"time"

	"sloequay/internal/upstream"
)

const (
	housekeepingInterval = 100 * time.Millisecond
	// statsInterval is the interval at which the statistics of attempts to endpoints are logged.
	statsInterval = 5 * time.Second
)

// followUnixClock passes the offset between the Unix clock and the monotonic clock to all components that compare Unix
// times, and logs steps of the Unix clock.
func (s *server) followUnixClock(now time.Duration) {
	if step := s.unixClock.Observe(now, s.clock.Unix()); step != 0 {
		s.log.Event("clock-stepped", "by", step)
		if s.authenticator != nil {
			s.authenticator.clockStepped()
		}
	}
	for _, pool := range s.pools {
		pool.broker.SetOffset(s.unixClock.Offset())
	}
	if s.authenticator != nil {
		s.authenticator.stateMachine.SetClockOffset(s.unixClock.Offset())
	}
}

// housekeep runs the periodic tasks, every housekeepingInterval.
func (s *server) housekeep(now time.Duration) {
	if now-s.lastHousekeeping < housekeepingInterval {
		return
	}
	s.lastHousekeeping = now
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

// logUpstreamStats logs the statistics of each pool's attempts to endpoints, every statsInterval. Pools without any are
// skipped.
func (s *server) logUpstreamStats(now time.Duration) {
	if now-s.statsLoggedAt < statsInterval {
		return
	}
	s.statsLoggedAt = now
	for i, pool := range s.pools {
		if stats := pool.connections.TakeStats(); stats != (upstream.Stats{}) {
			s.log.Event("upstream-stats", append([]any{"pool", i}, stats.Fields()...)...)
		}
	}
}

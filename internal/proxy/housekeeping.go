package proxy

import (
	"time"

	"sloequay/internal/upstream"
)

const (
	housekeepingInterval = 100 * time.Millisecond
	// statsInterval is the time between two log lines of what a pool has sent to its endpoints.
	statsInterval = 5 * time.Second
)

// followUnixClock tells all that compare Unix times how far that clock is from the monotonic one.
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
		s.authenticator.machine.SetClockOffset(s.unixClock.Offset())
	}
}

// housekeep does what is due each housekeepingInterval.
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

// logUpstreamStats logs what each pool has sent to its endpoints, each statsInterval.
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

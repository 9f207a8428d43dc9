package proxy

import (
	"time"

	"sloequay/internal/frontend/rpc"
	"sloequay/internal/memory"
	"sloequay/internal/upstream"
)

const (
	housekeepingInterval = 100 * time.Millisecond
	// statsInterval is the interval at which statistics are logged.
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

// logMemoryStats logs what was rejected since the last call because memory is short, and what is held now, in bytes.
func (s *server) logMemoryStats() {
	stats := s.frontend.TakeMemoryStats()
	if stats == (rpc.MemoryStats{}) {
		return
	}
	fields := []any{"rejected", stats.Rejected, "discarded", stats.Discarded}
	for _, kind := range memory.Kinds() {
		fields = append(fields, kind.String(), s.memory.Reserved(kind))
	}
	s.log.Event("memory-short", fields...)
}

// logStats logs statistics every statsInterval.
func (s *server) logStats(now time.Duration) {
	if now-s.statsLoggedAt < statsInterval {
		return
	}
	s.statsLoggedAt = now
	s.logUpstreamStats()
	s.logMemoryStats()
}

// logUpstreamStats logs the statistics of each pool's attempts to endpoints. Pools without any are skipped.
func (s *server) logUpstreamStats() {
	for i, pool := range s.pools {
		if stats := pool.connections.TakeStats(); stats != (upstream.Stats{}) {
			s.log.Event("upstream-stats", append([]any{"pool", i}, stats.Fields()...)...)
		}
	}
}

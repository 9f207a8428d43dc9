package proxy

import (
	"time"

	"sloequay/internal/broker"
	"sloequay/internal/route"
)

// recordResult tells the migrations how a request has ended. What a budget rejects or the caller may not do is no
// pool's failure.
func (s *server) recordResult(request *broker.Request, response broker.Response) {
	if s.routes == nil || response.Kind == broker.ResponseDenied || response.Budget != "" {
		return
	}
	result := route.Success
	if response.Kind == broker.ResponseRejected || response.Kind == broker.ResponseFailed {
		result = route.Failure
	}
	if team := s.routes.RecordResult(s.clock.Monotonic(), request.Route, result); team != "" {
		s.logMigration(team)
	}
}

// stepMigrations has the migrations take the steps that are due.
func (s *server) stepMigrations(now time.Duration) {
	if s.routes == nil {
		return
	}
	for _, team := range s.routes.Step(now) {
		s.logMigration(team)
	}
}

func (s *server) logMigration(team string) {
	share, phase := s.routes.MigrationStatus(team)
	s.log.Event("team-migration", "team", team, "share", share, "phase", phase)
}

package proxy

import (
	"time"

	"sloequay/internal/broker"
	"sloequay/internal/route"
)

// recordResult reports the result of a request to the migrations. Requests that a budget rejects or that are denied to
// their caller do not count, because the pool did not fail them.
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

// stepMigrations advances the migrations whose next step is due.
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

package endpointset

import (
	"time"

	"sloequay/internal/policy/outlier"
)

// Usable says whether an endpoint may get ordinary work: it is ready, and not ejected or due for one trial.
func (e *Endpoint[A]) Usable(now time.Duration) bool {
	return e.State == Ready && e.Health.Available(now)
}

// Observe takes an outcome of an endpoint, against what is usual for its role.
func (s *Set[A]) Observe(endpoint *Endpoint[A], outcome outlier.Outcome) outlier.Verdict {
	return endpoint.Health.Observe(outcome, &s.baselines[endpoint.Role])
}

// RecordParentPace takes a fill by way of a parent that went on to the origin.
func (s *Set[A]) RecordParentPace(now time.Duration, parent *Endpoint[A], pace outlier.Pace) {
	s.parentPeers.Record(&parent.slowFills, now, pace)
}

// OthersSlowRate is the rate at which fills by way of the other parents are slow.
func (s *Set[A]) OthersSlowRate(now time.Duration, parent *Endpoint[A]) float64 {
	return s.parentPeers.OthersSlowRate(&parent.slowFills, now, len(s.Parents.Members()))
}

// Eject takes an endpoint out of ordinary work, but for trials.
func (s *Set[A]) Eject(now time.Duration, endpoint *Endpoint[A], cause outlier.Cause) {
	endpoint.Health.Eject(now, cause)
	s.SkipUntil(endpoint, endpoint.Health.RetryAt())
}

// Readmit takes an endpoint back into ordinary work.
func (s *Set[A]) Readmit(endpoint *Endpoint[A]) {
	endpoint.Health.Readmit()
	s.SkipUntil(endpoint, 0)
}

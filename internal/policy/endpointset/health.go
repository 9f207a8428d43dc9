package endpointset

import (
	"cmp"
	"slices"
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

// RecordParentFill takes a fill by way of a parent that went on to the origin.
func (s *Set[A]) RecordParentFill(now time.Duration, parent *Endpoint[A], pace outlier.Timeliness) {
	s.parentPeers.Record(&parent.slowFills, now, pace)
}

// OthersSlowRate is the rate at which fills by way of the other parents are slow.
func (s *Set[A]) OthersSlowRate(now time.Duration, parent *Endpoint[A]) float64 {
	return s.parentPeers.OthersSlowRate(&parent.slowFills, now, len(s.Parents.Members()))
}

// AddSilence adds the silence since an attempt in flight was sent, where its answer is expected in so many seconds.
func (s *Set[A]) AddSilence(now time.Duration, endpoint *Endpoint[A], sentAt time.Duration, seconds float64) {
	endpoint.Health.AddSilence(now, sentAt, seconds)
	if !endpoint.isSuspect {
		endpoint.isSuspect = true
		s.suspects = append(s.suspects, endpoint)
	}
}

// SilentCaches gives the caches of the proxy's zone that have been silent for too long, in the order of their
// ranking, and forgets the silence that was added to each. The slice is valid until the next call. Only those that
// silence was added to are looked at, and never all caches.
func (s *Set[A]) SilentCaches(now time.Duration) []*Endpoint[A] {
	s.silent = s.silent[:0]
	s.suspects = slices.DeleteFunc(s.suspects, func(endpoint *Endpoint[A]) bool {
		if endpoint.State == Gone || !s.IsLocalCache(endpoint) {
			return false
		}
		if endpoint.Health.Silent(now) {
			s.silent = append(s.silent, endpoint)
		}
		endpoint.Health.ClearSuspicion()
		endpoint.isSuspect = false
		return true
	})
	slices.SortFunc(s.silent, func(a, b *Endpoint[A]) int { return cmp.Compare(a.index, b.index) })
	return s.silent
}

// Eject takes an endpoint out of ordinary work, but for trials.
func (s *Set[A]) Eject(now time.Duration, endpoint *Endpoint[A], cause outlier.Cause) {
	endpoint.Health.Eject(now, cause)
	s.SkipUntil(endpoint, endpoint.Health.NextTrialAt())
}

// Readmit takes an endpoint back into ordinary work.
func (s *Set[A]) Readmit(endpoint *Endpoint[A]) {
	endpoint.Health.Readmit()
	s.SkipUntil(endpoint, 0)
}

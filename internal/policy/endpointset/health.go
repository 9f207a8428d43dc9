package endpointset

import (
	"cmp"
	"slices"
	"time"

	"sloequay/internal/policy/outlier"
)

// Usable reports whether the endpoint may get requests: it is ready, and either not ejected or due for a trial.
func (e *Endpoint[A]) Usable(now time.Duration) bool {
	return e.State == Ready && e.Health.Available(now)
}

// Observe records an outcome of an endpoint against the baseline of its role.
func (s *Set[A]) Observe(endpoint *Endpoint[A], outcome outlier.Outcome) outlier.Verdict {
	return endpoint.Health.Observe(outcome, &s.baselines[endpoint.Role])
}

// RecordParentFill records whether a fill through a parent that went on to the origin was in time.
func (s *Set[A]) RecordParentFill(now time.Duration, parent *Endpoint[A], timeliness outlier.Timeliness) {
	s.parentPeers.Record(&parent.peerGroupMember, now, timeliness)
}

// OthersSlowRate returns the rate at which fills through the other parents are slow.
func (s *Set[A]) OthersSlowRate(now time.Duration, parent *Endpoint[A]) float64 {
	return s.parentPeers.OthersSlowRate(&parent.peerGroupMember, now, len(s.Parents.Members()))
}

// AddSilence adds to an endpoint's suspicion the silence since an attempt in flight was sent. The attempt's response is
// expected within expectedSeconds.
func (s *Set[A]) AddSilence(now time.Duration, endpoint *Endpoint[A], sentAt time.Duration, expectedSeconds float64) {
	endpoint.Health.AddSilence(now, sentAt, expectedSeconds)
	if !endpoint.isSuspect {
		endpoint.isSuspect = true
		s.suspects = append(s.suspects, endpoint)
	}
}

// SilentCaches returns the caches of the proxy's zone that have been silent for too long, in the order of their
// ranking's members. It checks only the caches with added silence, not all, and clears their suspicion. The slice is
// valid until the next call.
func (s *Set[A]) SilentCaches(now time.Duration) []*Endpoint[A] {
	s.silentCaches = s.silentCaches[:0]
	s.suspects = slices.DeleteFunc(s.suspects, func(endpoint *Endpoint[A]) bool {
		if endpoint.State == Gone || !s.IsLocalCache(endpoint) {
			return false
		}
		if endpoint.Health.Silent(now) {
			s.silentCaches = append(s.silentCaches, endpoint)
		}
		endpoint.Health.ClearSuspicion()
		endpoint.isSuspect = false
		return true
	})
	slices.SortFunc(s.silentCaches, func(a, b *Endpoint[A]) int { return cmp.Compare(a.index, b.index) })
	return s.silentCaches
}

// Eject takes an endpoint out of use, except for trials.
func (s *Set[A]) Eject(now time.Duration, endpoint *Endpoint[A], cause outlier.Cause) {
	endpoint.Health.Eject(now, cause)
	s.SkipUntil(endpoint, endpoint.Health.NextTrialAt())
}

// Readmit puts an ejected endpoint back into use.
func (s *Set[A]) Readmit(endpoint *Endpoint[A]) {
	endpoint.Health.Readmit()
	s.SkipUntil(endpoint, 0)
}

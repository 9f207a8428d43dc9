package bootstrap

import (
	"slices"
	"time"

	"sloequay/internal/membership"
)

// MaxCandidates limits the candidates that are kept for a list.
const MaxCandidates = 4

// candidate is a completely fetched list that no quorum of peers advertises yet.
type candidate struct {
	*endpointList
	peer      string // that sent the content
	fetchedAt time.Duration
}

// hasUp reports whether the candidate has an endpoint that is up.
func (c *candidate) hasUp() bool {
	return slices.ContainsFunc(c.endpoints, func(e membership.Endpoint) bool { return e.State == membership.Up })
}

// addCandidate adds a candidate in place of the earlier one from the same peer. If there are MaxCandidates, the oldest
// one is dropped, but not that of the peer whose endpoints are in use as a hint.
func (l *listState) addCandidate(added candidate) {
	l.dropCandidate(added.peer)
	if len(l.candidates) >= MaxCandidates {
		oldest := slices.IndexFunc(l.candidates, func(c candidate) bool { return c.peer != l.hint.peer })
		l.candidates = slices.Delete(l.candidates, oldest, oldest+1)
	}
	l.candidates = append(l.candidates, added)
	l.hint.isOutdated = true
}

// dropCandidate drops the candidate from a peer.
func (l *listState) dropCandidate(peer string) {
	l.candidates = slices.DeleteFunc(l.candidates, func(c candidate) bool { return c.peer == peer })
}

// dropOldCandidates drops the candidates that are not newer than the current list.
func (l *listState) dropOldCandidates() {
	l.candidates = slices.DeleteFunc(l.candidates, func(c candidate) bool { return !l.isNewer(c.ListVersion) })
}

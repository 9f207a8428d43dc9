package bootstrap

import (
	"time"

	"sloequay/internal/membership"
)

// A proxy that starts while the service is silent may use a list without a quorum as a hint, by these rules:
//
//  1. Nothing is used before this proxy has listened for HintDelay to other peers.
//  2. If one peer alone has sent a list by then, its endpoints are used, and those that it adds later.
//  3. Once a second peer has sent another list, an endpoint is added only if a quorum describes it alike.
//  4. A hint adds only endpoints that are up, and removes none.
//
// A list without endpoints that are up does not count: it would serve no request.

// hint is the state of the endpoints that are in use for a list that is not in force yet.
type hint struct {
	listeningSince time.Duration // when the first candidate with an endpoint that is up was fetched; 0: none was
	isOutdated     bool          // the candidates have changed since the hint was last determined
	isInUse        bool          // endpoints have been published
	peer           string        // whose endpoints are used on its word alone; empty: of no peer
	isReady        bool          // the hint suffices for this proxy to be ready
	isContested    bool          // the log has an entry about contradicting lists
	published      map[membership.Endpoint]bool
}

// stepHint publishes the endpoints that the candidates allow and that are not published yet.
func (m *Machine) stepHint(index int, list *listState) {
	if !list.hint.isOutdated {
		return
	}
	voters := list.hintVoters()
	if len(voters) == 0 || !m.hasListened(list) {
		return
	}
	list.hint.isOutdated = false
	if len(voters) > 1 && !list.hint.isContested {
		list.hint.isContested = true
		m.log(HintsContradict, index, voters[len(voters)-1].peer)
	}
	usable := list.usableAsHint(voters)
	list.hint.isReady = list.hint.isReady || sufficesAsHint(usable, voters)
	m.publishHint(index, list, voters[0].Version, usable)
}

// hintVoters returns the candidates that count in the rules for hints.
func (l *listState) hintVoters() []*candidate {
	var voters []*candidate
	for i := range l.candidates {
		if l.candidates[i].hasUp() {
			voters = append(voters, &l.candidates[i])
		}
	}
	return voters
}

// hasListened reports whether this proxy has waited long enough for other peers' lists. It waits longer, up to
// MaxHintDelay, while a peer advertises a list that has not been fetched.
func (m *Machine) hasListened(l *listState) bool {
	if l.hint.isInUse {
		return true
	}
	if l.hint.listeningSince == 0 {
		l.hint.listeningSince = max(1, m.now)
	}
	listened := m.now - l.hint.listeningSince
	if listened < HintDelay {
		return false
	}
	return listened >= MaxHintDelay || !l.lacksAdvertisedContent()
}

// lacksAdvertisedContent reports whether a peer advertises a list whose content this proxy does not have.
func (l *listState) lacksAdvertisedContent() bool {
	for i := range l.advertisements {
		if version := l.advertisements[i].ListVersion; version.Sum != 0 && !l.hasContent(version) {
			return true
		}
	}
	return false
}

// usableAsHint returns the endpoints that may be used according to the voters, of which there is at least one.
func (l *listState) usableAsHint(voters []*candidate) []membership.Endpoint {
	if len(voters) > 1 {
		return agreedEndpoints(voters)
	}
	only := voters[0]
	if l.hint.isInUse && only.peer != l.hint.peer {
		return nil
	}
	l.hint.peer = only.peer
	return upEndpoints(only.endpoints)
}

// upEndpoints returns the endpoints that are up.
func upEndpoints(endpoints []membership.Endpoint) []membership.Endpoint {
	var up []membership.Endpoint
	for _, endpoint := range endpoints {
		if endpoint.State == membership.Up {
			up = append(up, endpoint)
		}
	}
	return up
}

// agreedEndpoints returns the endpoints that a quorum of voters describes alike and that are up for one of them. Their
// states are not compared, so that one peer cannot withhold an endpoint by calling it draining.
func agreedEndpoints(voters []*candidate) []membership.Endpoint {
	supporters := map[membership.Endpoint]int{} // by endpoint, each with the state Up
	for _, voter := range voters {
		for _, endpoint := range voter.endpoints {
			endpoint.State = membership.Up
			supporters[endpoint]++
		}
	}
	var agreed []membership.Endpoint
	for _, voter := range voters {
		for _, endpoint := range upEndpoints(voter.endpoints) {
			if supporters[endpoint] >= Quorum {
				agreed = append(agreed, endpoint)
			}
		}
	}
	return SortEndpoints(agreed)
}

// sufficesAsHint reports whether the usable endpoints are at least half of those that any voter reports as up.
// Otherwise one peer that names a single true endpoint would make this proxy ready to send everything there.
func sufficesAsHint(usable []membership.Endpoint, voters []*candidate) bool {
	for _, voter := range voters {
		if 2*len(usable) < len(upEndpoints(voter.endpoints)) {
			return false
		}
	}
	return len(usable) > 0
}

// publishHint publishes the usable endpoints, unless all of them are published already. A peer that names ever new
// endpoints is ignored from Config.MaxEndpoints on.
func (m *Machine) publishHint(list int, l *listState, version uint64, usable []membership.Endpoint) {
	if len(l.hint.published) >= m.config.MaxEndpoints {
		return
	}
	hasNew := false
	for _, endpoint := range usable {
		hasNew = hasNew || !l.hint.published[endpoint]
	}
	if !hasNew {
		return
	}
	if l.hint.published == nil {
		l.hint.published = map[membership.Endpoint]bool{}
	}
	for _, endpoint := range usable {
		l.hint.published[endpoint] = true
	}
	l.hint.isInUse = true
	m.addEffect(Adopt{List: list, Version: version, Endpoints: usable, Hint: true})
	m.log(HintUsed, list, l.hint.peer)
}

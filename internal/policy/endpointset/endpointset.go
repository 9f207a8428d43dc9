// Package endpointset keeps the endpoints of the endpoint list, with what one proxy knows about each, and ranks those
// that the proxy may send to.
//
// Invariants: an endpoint is in the ranking of its role, or is the origin, if and only if the list does not report it
// as gone; caches of other zones are in no ranking. A restarted endpoint keeps its attempts in flight and no other
// history. Equal calls give equal sets, in the order in which the list first named the endpoints.
//
// Bounds: the set holds the endpoints of the list, and those that a list reported as gone within the last minute or
// that still have attempts in flight. Applying a list takes time in proportion to all endpoints, every other call
// constant time. The package does no I/O and reads no clock.
package endpointset

import (
	"slices"
	"time"

	"sloequay/internal/policy/outlier"
	"sloequay/internal/policy/rendezvous"
)

const (
	forgetAfter   = time.Minute // time until a gone endpoint is removed
	defaultWeight = 8.0         // concurrent responses at full rate, if weights are not reported
)

// ID identifies an endpoint. It is opaque.
type ID uint64

// State is the state of an endpoint according to the list.
type State int

// The states of an endpoint in the list.
const (
	Gone State = iota
	Ready
	Draining
)

// Entry is the list's entry for one endpoint.
type Entry struct {
	ID        ID
	Zone      int
	Kind      int
	Cell      int
	State     State
	Weight    float64       // capacity of its link, in concurrent responses at full rate
	StartedAt time.Duration // its most recent start; 0: long ago
}

// ListKind says how to apply the entries of a list.
type ListKind int

// The kinds of lists.
const (
	ListDelta  ListKind = iota // only the entries that changed
	ListFull                   // the full list
	ListCached                 // the full list, from an earlier stored copy
	ListFailed                 // no entries: the list could not be fetched
)

// Role is the function of an endpoint in the fleet.
type Role int

// The roles.
const (
	Cache Role = iota
	Parent
	Origin
	roles
)

// Config holds the settings of a Set.
type Config struct {
	Zone          int   // of the proxy
	Proxies       int   // in all zones
	ZoneProxies   []int // by zone; Proxies applies to a zone beyond its end
	ParentKind    int   // Kind of the entries that are parents
	OriginKind    int   // Kind of the entries that are origins
	WeightsStable bool  // weights are reported, and do not vary from list to list
}

// Set holds the endpoints. A identifies an attempt in flight. A Set is not safe for concurrent use.
type Set[A comparable] struct {
	Caches  rendezvous.Ranking[*Endpoint[A]] // of the proxy's zone
	Parents rendezvous.Ranking[*Endpoint[A]]
	Origin  *Endpoint[A]

	cfg          Config
	byID         map[ID]*Endpoint[A]
	all          []*Endpoint[A] // in the order in which the list first named them
	linkCapacity float64

	baselines    [roles]outlier.Baseline
	parentPeers  outlier.PeerGroup // the parents, which share the origin
	suspects     []*Endpoint[A]    // those with silence added since their suspicion was cleared
	silentCaches []*Endpoint[A]    // result of the last SilentCaches, kept for its memory
}

// New returns an empty set.
func New[A comparable](cfg Config) *Set[A] {
	return &Set[A]{cfg: cfg, byID: map[ID]*Endpoint[A]{}, parentPeers: outlier.NewPeerGroup()}
}

// Get returns the endpoint with an id, or nil.
func (s *Set[A]) Get(id ID) *Endpoint[A] { return s.byID[id] }

// LocalCache returns the endpoint with an id if it is a cache of the proxy's zone and not gone, else nil.
func (s *Set[A]) LocalCache(id ID) *Endpoint[A] {
	endpoint := s.byID[id]
	if endpoint == nil || endpoint.State == Gone || !s.IsLocalCache(endpoint) {
		return nil
	}
	return endpoint
}

// All returns all endpoints of the set. The slice must not be changed.
func (s *Set[A]) All() []*Endpoint[A] { return s.all }

// LinkCapacity returns the proxy's share of the links of its zone's caches, in concurrent responses at full rate. It is
// the highest sum so far: the link into the zone stays when caches are lost, and does not grow with their replacements.
func (s *Set[A]) LinkCapacity() float64 { return s.linkCapacity }

// Apply applies a list, or changes to it. Endpoints that a full list does not name are gone.
func (s *Set[A]) Apply(now time.Duration, kind ListKind, entries []Entry) {
	if kind == ListFull || kind == ListCached {
		for _, endpoint := range s.all {
			endpoint.State = Gone
			endpoint.listedAt = now
		}
	}
	for _, entry := range entries {
		s.update(now, entry)
	}
	s.rebuildRankings()
	s.forgetGone(now)
}

func (s *Set[A]) update(now time.Duration, entry Entry) {
	endpoint := s.byID[entry.ID]
	if endpoint == nil {
		endpoint = newEndpoint[A]()
		s.byID[entry.ID] = endpoint
		s.all = append(s.all, endpoint)
	} else if entry.StartedAt != endpoint.StartedAt {
		endpoint.restart(now)
	}
	endpoint.Entry = entry
	endpoint.Role = s.roleOf(entry.Kind)
	endpoint.listedAt = now
}

func (s *Set[A]) roleOf(kind int) Role {
	switch kind {
	case s.cfg.OriginKind:
		return Origin
	case s.cfg.ParentKind:
		return Parent
	}
	return Cache
}

func (s *Set[A]) rebuildRankings() {
	s.Caches.Reset()
	s.Parents.Reset()
	s.Origin = nil
	linkCapacity := 0.0
	for _, endpoint := range s.all {
		if s.IsLocalCache(endpoint) && endpoint.State == Ready {
			linkCapacity += s.LinkShare(endpoint)
		}
		switch {
		case endpoint.State == Gone:
		case endpoint.Role == Origin:
			s.Origin = endpoint
		default:
			s.addToRanking(endpoint)
		}
	}
	s.linkCapacity = max(s.linkCapacity, linkCapacity)
}

// ranking returns the ranking that an endpoint belongs to, or nil.
func (s *Set[A]) ranking(endpoint *Endpoint[A]) *rendezvous.Ranking[*Endpoint[A]] {
	switch {
	case s.IsLocalCache(endpoint):
		return &s.Caches
	case endpoint.Role == Parent:
		return &s.Parents
	}
	return nil
}

func (s *Set[A]) addToRanking(endpoint *Endpoint[A]) {
	if ranking := s.ranking(endpoint); ranking != nil {
		endpoint.index = len(ranking.Members())
		ranking.Add(endpoint, uint64(endpoint.ID), s.responsesAtFullRate(endpoint))
	}
}

// forgetGone removes endpoints that are gone for longer than forgetAfter. If replacements have new ids, the set would
// otherwise grow without bound.
func (s *Set[A]) forgetGone(now time.Duration) {
	isExpired := func(endpoint *Endpoint[A]) bool {
		return endpoint.State == Gone && len(endpoint.inFlight) == 0 && now-endpoint.listedAt > forgetAfter
	}
	for _, endpoint := range s.all {
		if isExpired(endpoint) {
			delete(s.byID, endpoint.ID)
		}
	}
	s.all = slices.DeleteFunc(s.all, isExpired)
	s.suspects = slices.DeleteFunc(s.suspects, isExpired)
}

// SkipUntil makes the ranking skip an endpoint until a time, except where it is among the first two of an order.
func (s *Set[A]) SkipUntil(endpoint *Endpoint[A], until time.Duration) {
	if endpoint.State == Gone {
		return
	}
	if ranking := s.ranking(endpoint); ranking != nil {
		ranking.SkipUntil(endpoint.index, until)
	}
}

// Skipped reports whether an endpoint is in a ranking and is skipped there at the time now.
func (s *Set[A]) Skipped(endpoint *Endpoint[A], now time.Duration) bool {
	ranking := s.ranking(endpoint)
	return ranking != nil && ranking.Skipped(endpoint.index, now)
}

// IsLocalCache reports whether an endpoint is a cache of the proxy's zone.
func (s *Set[A]) IsLocalCache(endpoint *Endpoint[A]) bool {
	return endpoint.Role == Cache && endpoint.Zone == s.cfg.Zone
}

// responsesAtFullRate returns the capacity of an endpoint's link, in concurrent responses at full rate. It is
// defaultWeight if no stable weight is reported.
func (s *Set[A]) responsesAtFullRate(endpoint *Endpoint[A]) float64 {
	if !s.cfg.WeightsStable || endpoint.Weight <= 0 {
		return defaultWeight
	}
	return endpoint.Weight
}

// ProxiesOf returns the number of proxies that send to an endpoint: for a cache, those of its zone, else all.
func (s *Set[A]) ProxiesOf(endpoint *Endpoint[A]) int {
	if endpoint.Role == Cache && endpoint.Zone < len(s.cfg.ZoneProxies) {
		return max(1, s.cfg.ZoneProxies[endpoint.Zone])
	}
	return max(1, s.cfg.Proxies)
}

// LinkShare returns the proxy's share of an endpoint's link, in concurrent responses at full rate.
func (s *Set[A]) LinkShare(endpoint *Endpoint[A]) float64 {
	return s.responsesAtFullRate(endpoint) / float64(s.ProxiesOf(endpoint))
}

// Load returns the load of an endpoint with one more attempt: the attempts in flight as a multiple of its link's
// capacity, times its slowness. Each other proxy is assumed to have as many in flight as this one has on average.
func (s *Set[A]) Load(now time.Duration, endpoint *Endpoint[A]) float64 {
	endpoint.updateAverage(now)
	own := float64(len(endpoint.inFlight) + 1)
	others := endpoint.averageInFlight * float64(s.ProxiesOf(endpoint)-1)
	return (own + others) / s.responsesAtFullRate(endpoint) * endpoint.slowness
}

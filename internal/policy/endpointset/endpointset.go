// Package endpointset keeps the endpoints of the list, each with what one proxy knows of it, and ranks those that the
// proxy may send to.
//
// Invariants: an endpoint stands in the ranking of its role, or is the origin, if and only if the list does not say
// that it is gone; caches of other zones stand in none. A new process of an endpoint starts with nothing known but
// for what is in flight. Equal calls give equal sets, in the order in which the list named the endpoints first.
//
// Bounds: the endpoints of the list, and those that left it up to a minute ago or still have attempts in flight. A
// change of the list takes time in proportion to all endpoints, each other call constant time. The package does no
// I/O and reads no clock.
package endpointset

import (
	"slices"
	"time"

	"sloequay/internal/policy/outlier"
	"sloequay/internal/policy/rendezvous"
)

const (
	forgetAfter   = time.Minute // of an endpoint that is gone
	defaultWeight = 8.0         // answers at full pace, where weights are not reported
)

// ID names an endpoint. It carries no meaning.
type ID uint64

// State is what the list says of an endpoint.
type State int

// The states of an endpoint in the list.
const (
	Gone State = iota
	Ready
	Draining
)

// Entry is an endpoint in the list.
type Entry struct {
	ID        ID
	Zone      int
	Kind      int
	Cell      int
	State     State
	Weight    float64       // its link in answers at full pace
	StartedAt time.Duration // its most recent start; 0: long ago
}

// ListKind says how a list is to be read.
type ListKind int

// The kinds of lists.
const (
	ListDelta  ListKind = iota // changes
	ListFull                   // the whole list
	ListCached                 // the whole list, as it was stored earlier
	ListFailed                 // nothing: the list cannot be had
)

// Role is what an endpoint is for.
type Role int

// The roles.
const (
	Cache Role = iota
	Parent
	Origin
	roles
)

// Config is the settings of a Set.
type Config struct {
	Zone          int   // of the proxy
	Proxies       int   // in all zones
	ZoneProxies   []int // by zone; Proxies where a zone is not named
	ParentKind    int   // of entries
	OriginKind    int
	WeightsStable bool // weights are reported, and do not vary from list to list
}

// Set is the endpoints. A names an attempt in flight. A Set is not safe for concurrent use.
type Set[A comparable] struct {
	Caches  rendezvous.Ranking[*Endpoint[A]] // of the proxy's zone
	Parents rendezvous.Ranking[*Endpoint[A]]
	Origin  *Endpoint[A]

	cfg   Config
	byID  map[ID]*Endpoint[A]
	all   []*Endpoint[A] // in the order in which the list named them first
	links float64

	baselines   [roles]outlier.Baseline
	parentPeers outlier.PeerGroup // the parents, in front of the origin
	suspects    []*Endpoint[A]    // to which silence was added since it was cleared
	silent      []*Endpoint[A]    // what SilentCaches gave last
}

// New makes an empty set.
func New[A comparable](cfg Config) *Set[A] {
	return &Set[A]{cfg: cfg, byID: map[ID]*Endpoint[A]{}, parentPeers: outlier.NewPeerGroup()}
}

// Get gives an endpoint, or nil.
func (s *Set[A]) Get(id ID) *Endpoint[A] { return s.byID[id] }

// LocalCache gives an endpoint that is a cache of the proxy's zone and in the list, or nil.
func (s *Set[A]) LocalCache(id ID) *Endpoint[A] {
	endpoint := s.byID[id]
	if endpoint == nil || endpoint.State == Gone || !s.IsLocalCache(endpoint) {
		return nil
	}
	return endpoint
}

// All is all endpoints that are remembered. It must not be changed.
func (s *Set[A]) All() []*Endpoint[A] { return s.all }

// LinkCapacity returns the proxy's share of the links of its zone's caches, in concurrent responses at full rate. It is
// the highest sum so far: the link into the zone stays when caches are lost, and does not grow with their replacements.
func (s *Set[A]) LinkCapacity() float64 { return s.links }

// Apply takes a list, or changes to it: endpoints that a whole list does not name are gone.
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
	links := 0.0
	for _, endpoint := range s.all {
		if s.IsLocalCache(endpoint) && endpoint.State == Ready {
			links += s.LinkShare(endpoint)
		}
		switch {
		case endpoint.State == Gone:
		case endpoint.Role == Origin:
			s.Origin = endpoint
		default:
			s.rank(endpoint)
		}
	}
	s.links = max(s.links, links)
}

// ranking is where an endpoint stands, or nil.
func (s *Set[A]) ranking(endpoint *Endpoint[A]) *rendezvous.Ranking[*Endpoint[A]] {
	switch {
	case s.IsLocalCache(endpoint):
		return &s.Caches
	case endpoint.Role == Parent:
		return &s.Parents
	}
	return nil
}

func (s *Set[A]) rank(endpoint *Endpoint[A]) {
	if ranking := s.ranking(endpoint); ranking != nil {
		endpoint.index = len(ranking.Members())
		ranking.Add(endpoint, uint64(endpoint.ID), s.flows(endpoint))
	}
}

// forgetGone drops endpoints that are long gone: where each replacement has a new id they would be ever more.
func (s *Set[A]) forgetGone(now time.Duration) {
	isOld := func(endpoint *Endpoint[A]) bool {
		return endpoint.State == Gone && len(endpoint.inFlight) == 0 && now-endpoint.listedAt > forgetAfter
	}
	for _, endpoint := range s.all {
		if isOld(endpoint) {
			delete(s.byID, endpoint.ID)
		}
	}
	s.all = slices.DeleteFunc(s.all, isOld)
	s.suspects = slices.DeleteFunc(s.suspects, isOld)
}

// SkipUntil has the ranking skip an endpoint until a time, unless it is among the first two of an order.
func (s *Set[A]) SkipUntil(endpoint *Endpoint[A], until time.Duration) {
	if endpoint.State == Gone {
		return
	}
	if ranking := s.ranking(endpoint); ranking != nil {
		ranking.SkipUntil(endpoint.index, until)
	}
}

// Skipped reports whether an endpoint stands in a ranking and is skipped there at a time.
func (s *Set[A]) Skipped(endpoint *Endpoint[A], now time.Duration) bool {
	ranking := s.ranking(endpoint)
	return ranking != nil && ranking.Skipped(endpoint.index, now)
}

// IsLocalCache reports whether an endpoint is a cache of the proxy's zone.
func (s *Set[A]) IsLocalCache(endpoint *Endpoint[A]) bool {
	return endpoint.Role == Cache && endpoint.Zone == s.cfg.Zone
}

// flows is an endpoint's link in answers at full pace, as far as it is reported.
func (s *Set[A]) flows(endpoint *Endpoint[A]) float64 {
	if !s.cfg.WeightsStable || endpoint.Weight <= 0 {
		return defaultWeight
	}
	return endpoint.Weight
}

// ProxiesOf is the number of proxies that send to an endpoint: to a cache, those of its zone.
func (s *Set[A]) ProxiesOf(endpoint *Endpoint[A]) int {
	if endpoint.Role == Cache && endpoint.Zone < len(s.cfg.ZoneProxies) {
		return max(1, s.cfg.ZoneProxies[endpoint.Zone])
	}
	return max(1, s.cfg.Proxies)
}

// LinkShare is the proxy's part of an endpoint's link, in answers at full pace.
func (s *Set[A]) LinkShare(endpoint *Endpoint[A]) float64 {
	return s.flows(endpoint) / float64(s.ProxiesOf(endpoint))
}

// Load is what is in flight to an endpoint with one attempt more, in multiples of its link: other proxies count as
// this one does on average.
func (s *Set[A]) Load(now time.Duration, endpoint *Endpoint[A]) float64 {
	endpoint.updateAverage(now)
	own := float64(len(endpoint.inFlight) + 1)
	others := endpoint.averageInFlight * float64(s.ProxiesOf(endpoint)-1)
	return (own + others) / s.flows(endpoint) * endpoint.slowness
}

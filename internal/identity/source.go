package identity

import (
	"container/list"
	"net/netip"
)

// Source is the origin of callers: an IPv4 address, or an IPv6 /64 network, since one host can use any number of
// addresses in its network. All connections of a source share a budget, so that a client gains nothing by reconnecting.
type Source struct {
	budget     checkBudget
	rejections recentRejections // for lack of budget
}

// Sources is an LRU cache of sources.
//
// Invariant: there are at most maxSources sources; the least recently used one is evicted. Open connections keep their
// Source.
type Sources struct {
	maxSources int
	byPrefix   map[netip.Prefix]*list.Element
	recent     *list.List // of *knownSource, most recently used first
}

type knownSource struct {
	prefix netip.Prefix
	source *Source
}

// NewSources returns an empty cache for at most maxSources sources. Values below 1 count as 1.
func NewSources(maxSources int) *Sources {
	return &Sources{
		maxSources: max(1, maxSources),
		byPrefix:   map[netip.Prefix]*list.Element{},
		recent:     list.New(),
	}
}

// sourceBits is the prefix length in bits of an IPv6 source: a host chooses the rest of its address itself (RFC 4291,
// section 2.5.1).
const sourceBits = 64

// Of returns the source of an address, and adds it if it is not cached.
func (s *Sources) Of(address netip.Addr) *Source {
	prefix := sourcePrefix(address)
	if element := s.byPrefix[prefix]; element != nil {
		s.recent.MoveToFront(element)
		return element.Value.(*knownSource).source
	}
	added := &knownSource{prefix: prefix, source: &Source{}}
	s.byPrefix[prefix] = s.recent.PushFront(added)
	if s.recent.Len() > s.maxSources {
		oldest := s.recent.Back()
		delete(s.byPrefix, oldest.Value.(*knownSource).prefix)
		s.recent.Remove(oldest)
	}
	return added.source
}

// sourcePrefix returns the prefix that identifies the source of an address. All invalid addresses are one source.
func sourcePrefix(address netip.Addr) netip.Prefix {
	address = address.Unmap().WithZone("")
	bits := address.BitLen()
	if address.Is6() {
		bits = sourceBits
	}
	prefix, err := address.Prefix(bits)
	if err != nil {
		return netip.Prefix{}
	}
	return prefix
}

// Len returns the number of cached sources.
func (s *Sources) Len() int { return s.recent.Len() }

package identity

import (
	"container/list"
	"net/netip"
)

// Source is the origin of callers: an IPv4 address, or an IPv6 network, in which one host can have any number of
// addresses. All connections of a source share a budget, so that a client gains nothing by reconnecting.
type Source struct {
	budget     checkBudget
	rejections recentRejections // for want of a budget
}

// Sources remembers the most recently seen sources.
//
// Invariant: there are at most maxSources; the least recently seen one is evicted. Open connections keep their
// Source.
type Sources struct {
	maxSources int
	byPrefix   map[netip.Prefix]*list.Element
	recent     *list.List // of *knownSource, the last met first
}

type knownSource struct {
	prefix netip.Prefix
	source *Source
}

// NewSources returns an empty set for at most maxSources, and one at least.
func NewSources(maxSources int) *Sources {
	return &Sources{
		maxSources: max(1, maxSources),
		byPrefix:   map[netip.Prefix]*list.Element{},
		recent:     list.New(),
	}
}

// sourceBits is the part of an IPv6 address that tells sources apart: the rest is a host's own to choose (RFC 4291,
// 2.5.1).
const sourceBits = 64

// Of returns the source of an address.
func (s *Sources) Of(address netip.Addr) *Source {
	prefix := sourcePrefix(address)
	if element := s.byPrefix[prefix]; element != nil {
		s.recent.MoveToFront(element)
		return element.Value.(*knownSource).source
	}
	added := &knownSource{prefix: prefix, source: &Source{}}
	s.byPrefix[prefix] = s.recent.PushFront(added)
	if s.recent.Len() > s.maxSources {
		last := s.recent.Back()
		delete(s.byPrefix, last.Value.(*knownSource).prefix)
		s.recent.Remove(last)
	}
	return added.source
}

// sourcePrefix returns the addresses that are one source with an address. Those that are no address are one source.
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

// Len returns the number of sources that are remembered.
func (s *Sources) Len() int { return s.recent.Len() }

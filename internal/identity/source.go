package identity

import (
	"container/list"
	"net/netip"
	"time"
)

const (
	// heldMost is how many calls of a caller are turned away for want of a budget before what it sends is paced: read a
	// part at a time, when the front's own clock ticks, so that a flood costs the loop no rounds.
	heldMost = 32
	heldCap  = 4 * heldMost
	// heldFor is how long that is remembered after the last of them.
	heldFor = time.Second
)

// held counts calls that were turned away for want of a budget.
type held struct {
	n  int
	at time.Duration
}

func (h *held) add(now time.Duration) { h.n, h.at = min(h.now(now)+1, heldCap), now }

// now is the count as it stands. A caller's now may be a little older than the last call's: both are of one round.
func (h *held) now(now time.Duration) int {
	if now-h.at > heldFor {
		return 0
	}
	return h.n
}

// ease takes a call into account that was allowed.
func (h *held) ease() { h.n = max(0, h.n-1) }

// Source is where callers come from: an address, or a network of them where one host has as many as it likes. What new
// connections from there may cost is counted together, so that who connects anew gains nothing by it.
type Source struct {
	budget bucket
	bad    int
	held   held
}

// Sources remembers the sources that were met last.
//
// Invariant: it holds at most the number it was made for; the one that was met longest ago makes way. Connections that stand
// keep theirs.
type Sources struct {
	most   int
	by     map[netip.Prefix]*list.Element
	recent *list.List // of *met, the newest first
}

type met struct {
	prefix netip.Prefix
	source *Source
}

// NewSources makes an empty one that holds so many.
func NewSources(most int) *Sources {
	return &Sources{most: max(1, most), by: map[netip.Prefix]*list.Element{}, recent: list.New()}
}

// sourceBits is the part of an IPv6 address that tells sources apart: the rest is a host's own to choose (RFC 4291, 2.5.1).
const sourceBits = 64

// Of gives the source of an address.
func (s *Sources) Of(address netip.Addr) *Source {
	address = address.Unmap().WithZone("")
	bits := address.BitLen()
	if address.Is6() {
		bits = sourceBits
	}
	prefix, err := address.Prefix(bits)
	if err != nil {
		prefix = netip.Prefix{} // no address: one source for all of those
	}
	if e := s.by[prefix]; e != nil {
		s.recent.MoveToFront(e)
		return e.Value.(*met).source
	}
	m := &met{prefix, &Source{}}
	s.by[prefix] = s.recent.PushFront(m)
	if s.recent.Len() > s.most {
		last := s.recent.Back()
		delete(s.by, last.Value.(*met).prefix)
		s.recent.Remove(last)
	}
	return m.source
}

// Len is the number of sources remembered.
func (s *Sources) Len() int { return s.recent.Len() }

// Paced says whether what a caller sends is to be read a part at a time: too many of its calls were turned away for want of
// a budget, or, where nothing of it was admitted by a credential yet, too many of its source's.
func (c *Caller) Paced(now time.Duration) bool {
	if c.held.now(now) >= heldMost {
		return true
	}
	return !c.proven && c.Source != nil && c.Source.held.now(now) >= heldMost
}

// hold turns a call away for want of a budget.
func (g *Authenticator) hold(now time.Duration, c *Call, wait time.Duration) *Outcome {
	c.Caller.held.add(now)
	if s := c.Caller.Source; s != nil {
		s.held.add(now)
	}
	return g.busy(c, wait)
}

// afford charges one token that is more than a look-up to the caller's connection and to its source. Bad signatures lower
// both.
func (g *Authenticator) afford(now time.Duration, c *Caller) (time.Duration, bool) {
	if wait, ok := c.budget.take(now, g.cfg.ChecksPerConnection/float64(1+c.bad)); !ok {
		return wait, false
	}
	if s := c.Source; s != nil {
		return s.budget.take(now, g.cfg.ChecksPerSource/float64(1+s.bad))
	}
	return 0, true
}

// good and ill take into account how a signature of the caller's came out.
func (c *Caller) good() {
	c.bad /= 2
	if c.Source != nil {
		c.Source.bad /= 2
	}
}

func (c *Caller) ill() {
	c.bad = min(c.bad+1, badMost)
	if s := c.Source; s != nil {
		s.bad = min(s.bad+1, badMost)
	}
}

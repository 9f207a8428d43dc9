package upstream

// earlyOpenDivisor sets the load from which another connection is opened early: the maximum load divided by it.
const earlyOpenDivisor = 2

// candidate holds the facts about a connection that its choice depends on.
type candidate struct {
	isUp      bool // else it is still being dialed
	isRetired bool
	isUsable  bool // whether it takes attempts whose ids are free on it
	load      int  // attempts and checks that wait for it or are outstanding on it
}

// isBetterThan reports whether c is preferred to other: connections that are up come first, then the least loaded.
func (c candidate) isBetterThan(other candidate) bool {
	if c.isUp != other.isUp {
		return c.isUp
	}
	return c.load < other.load
}

// selection chooses among the connections to an endpoint, which are considered one after another.
//
// Invariants: the chosen connection is usable, the attempt's id is free on it, and no other such connection is better.
// Another connection is wanted if there is no such connection, or if the chosen one has at least half of its maximum
// load and none is being dialed. In the second case the connection is opened ahead of need: no attempt waits for it.
type selection struct {
	best      candidate
	bestIndex int
	isFound   bool
	isDialing bool // whether a connection that is not retired is being dialed
}

// consider takes the next candidate into account, and reports whether it is preferred to the one chosen so far. If so,
// the caller checks whether the attempt's id is free on it, and if it is, calls choose.
func (s *selection) consider(c candidate) (isPreferred bool) {
	s.isDialing = s.isDialing || !c.isUp && !c.isRetired
	return c.isUsable && (!s.isFound || c.isBetterThan(s.best))
}

// choose chooses a preferred candidate. The index is its position in the caller's list.
func (s *selection) choose(index int, c candidate) {
	s.best = c
	s.bestIndex = index
	s.isFound = true
}

// wantsAnother reports whether another connection is to be opened, given the maximum load of each.
func (s *selection) wantsAnother(maxLoad int) bool {
	if !s.isFound {
		return true
	}
	return s.best.load >= max(1, maxLoad/earlyOpenDivisor) && !s.isDialing
}

package upstream

// earlyOpenDivisor sets from which load on another connection is opened beside one: its maximum divided by this.
const earlyOpenDivisor = 2

// candidate is what the choice of a connection depends on.
type candidate struct {
	isUp      bool // and not still dialing
	isRetired bool
	isUsable  bool // it takes attempts, as far as their ids are free on it
	load      int  // attempts and checks that wait for it or are outstanding on it
}

// isBetterThan reports whether an attempt goes rather by c: by the least loaded of those that are up.
func (c candidate) isBetterThan(other candidate) bool {
	if c.isUp != other.isUp {
		return c.isUp
	}
	return c.load < other.load
}

// selection chooses among the connections to an endpoint, which are considered one after the other.
//
// Invariants: the chosen one is usable and the id is free on it, and no such one is better. Another connection is
// wanted where there is none such, or where the chosen one has half of its load and none is being dialed: no attempt
// waits for that one, it is opened ahead.
type selection struct {
	best      candidate
	bestIndex int
	isFound   bool
	isDialing bool // one that will take attempts
}

// consider takes the next candidate, and says whether it is preferred to the one chosen so far. The caller then looks
// whether the attempt's id is free on it, and if so chooses it.
func (s *selection) consider(c candidate) (isPreferred bool) {
	s.isDialing = s.isDialing || !c.isUp && !c.isRetired
	return c.isUsable && (!s.isFound || c.isBetterThan(s.best))
}

// choose chooses a candidate that is preferred. The index is its place in the caller's list.
func (s *selection) choose(index int, c candidate) {
	s.best = c
	s.bestIndex = index
	s.isFound = true
}

// wantsAnother reports whether one more connection is to be opened, where each may have a load of maxLoad.
func (s *selection) wantsAnother(maxLoad int) bool {
	if !s.isFound {
		return true
	}
	return s.best.load >= max(1, maxLoad/earlyOpenDivisor) && !s.isDialing
}

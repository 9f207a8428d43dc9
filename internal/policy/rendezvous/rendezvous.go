// Package rendezvous ranks weighted members for a key by rendezvous hashing (highest random weight), and computes only
// as much of the order as is read.
//
// The score of a member is weight / -ln(u), with u drawn from a hash of key and member. This is the logarithmic method
// of "Weighted Distributed Hash Tables" (Schindelhauer and Schomaker, SPAA 2005). Losing a member moves only its share
// of the keys.
//
// Invariants: the order is that of a stable sort of all members by decreasing score, without the members that are
// skipped beyond the first two positions; equal scores are in the order of Add.
//
// Bounds: at most maxScans scans over all members, each for the next few positions, and one sort when more are read.
// Nothing is allocated once an Order has been used with a set of that size. The package does no I/O and reads no clock.
package rendezvous

import (
	"cmp"
	"math"
	"slices"
)

const (
	// scanSize is the number of members that one scan finds. Most requests read only one or two.
	scanSize = 8
	// maxScans is the number of scans that an order makes before it sorts the remaining members.
	maxScans = 4
	// alwaysRanked is the number of first positions that skipped members keep, as these members cache the copies.
	alwaysRanked = 2
	// boundMargin loosens the bound by which a scan discards members, to allow for rounding on both sides.
	boundMargin = 1e-9
)

// Hash is a 64-bit finalizer (Stafford's variant 13 of the one in MurmurHash3, with the increment of SplitMix64).
func Hash(x uint64) uint64 {
	x += 0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// Draw maps a key to a uniformly distributed number in [0, 1).
func Draw(key uint64) float64 { return float64(Hash(key)>>11) / (1 << 53) }

// Set holds the members. The zero value is empty. Ids and weights are in separate slices, because the scan over them is
// the main cost of a request.
type Set struct {
	ids       []uint64
	weights   []float64
	skipUntil []int64
}

// Reset empties the set and keeps its memory.
func (s *Set) Reset() {
	s.ids = s.ids[:0]
	s.weights = s.weights[:0]
	s.skipUntil = s.skipUntil[:0]
}

// Add adds a member. The weight must be above 0. A member's index is its position in the order of Add.
func (s *Set) Add(id uint64, weight float64) {
	s.ids = append(s.ids, id)
	s.weights = append(s.weights, weight)
	s.skipUntil = append(s.skipUntil, 0)
}

// SkipUntil makes orders skip a member until a time, except where it is among the first two. A later call replaces an
// earlier one.
func (s *Set) SkipUntil(index int, until int64) { s.skipUntil[index] = until }

// Len returns the number of members.
func (s *Set) Len() int { return len(s.ids) }

// unit maps a hash to the open interval (0, 1).
func unit(hash uint64) float64 { return (float64(hash>>11) + 0.5) / (1 << 53) }

// Score returns the score of a member for a key.
func (s *Set) Score(index int, key uint64) float64 {
	return s.weights[index] / -math.Log(unit(Hash(key^s.ids[index])))
}

// scoredMember is a member with its score for the key.
type scoredMember struct {
	score float64
	index int32
}

func compareMembers(a, b scoredMember) int {
	return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(a.index, b.index))
}

// Order is the order of the members for one key: the first two, skipped or not, and then those that are not skipped. A
// member that has been found stays, even if it is skipped later. The zero value has no members; Begin sets set and key.
type Order struct {
	set           *Set
	key           uint64
	now           int64
	found         []scoredMember // the first members of the order, best first
	lastUnskipped scoredMember   // the last found member that is not skipped
	scans         int
	complete      bool // all members of the order are found
}

// Begin starts the order of a set for a key, without the members that are skipped at the time now. Members must not be
// added or removed while the order is in use. Nothing is computed until At is called.
func (o *Order) Begin(set *Set, key uint64, now int64) {
	o.set = set
	o.key = key
	o.now = now
	o.found = o.found[:0]
	o.scans = 0
	o.complete = false
}

// At returns the index of the member at a position, from 0, and whether there is one. The first positions are found by
// scans of the set for a few members each, the later ones by sorting the remaining members.
func (o *Order) At(position int) (index int, ok bool) {
	if o.set == nil || position >= o.set.Len() {
		return 0, false
	}
	for position >= len(o.found) && !o.complete {
		switch {
		case o.set.Len() <= scanSize:
			o.sortAll()
		case o.scans < maxScans && position < len(o.found)+scanSize:
			o.scan()
		default:
			o.sortRest()
		}
	}
	if position >= len(o.found) {
		return 0, false
	}
	return int(o.found[position].index), true
}

// topMembers holds the members with the highest scores in one scan, best first.
type topMembers struct {
	best     [scanSize]scoredMember
	length   int
	capacity int
	minScore float64 // score of the last one, once length is capacity
}

func (t *topMembers) add(member scoredMember) {
	if t.length == t.capacity {
		if compareMembers(member, t.best[t.length-1]) >= 0 {
			return
		}
		t.length--
	}
	position := t.length
	for ; position > 0 && compareMembers(member, t.best[position-1]) < 0; position-- {
		t.best[position] = t.best[position-1]
	}
	t.best[position] = member
	t.length++
	if t.length == t.capacity {
		t.minScore = t.best[t.length-1].score
	}
}

// scan finds the next few members in one pass. It takes a logarithm only for members that may be among them: since
// -ln(u) >= 1-u, a score is at most weight / (1-u).
func (o *Order) scan() {
	set, isFirstScan := o.set, o.scans == 0
	unskipped := topMembers{capacity: scanSize}
	skipped := topMembers{capacity: alwaysRanked}
	for i, id := range set.ids {
		target := &unskipped
		if set.skipUntil[i] > o.now {
			if !isFirstScan {
				continue
			}
			target = &skipped
		}
		u := unit(Hash(o.key ^ id))
		if target.length == target.capacity && set.weights[i] < target.minScore*(1-u)*(1-boundMargin) {
			continue
		}
		member := scoredMember{set.weights[i] / -math.Log(u), int32(i)}
		if isFirstScan || compareMembers(member, o.lastUnskipped) > 0 {
			target.add(member)
		}
	}
	o.merge(unskipped.best[:unskipped.length], skipped.best[:skipped.length])
	o.scans++
	o.complete = unskipped.length < scanSize
}

// merge appends the members that a scan found, with skipped members in the first alwaysRanked positions only.
func (o *Order) merge(unskipped, skipped []scoredMember) {
	for _, member := range unskipped {
		for len(skipped) > 0 && len(o.found) < alwaysRanked && compareMembers(skipped[0], member) < 0 {
			o.found = append(o.found, skipped[0])
			skipped = skipped[1:]
		}
		o.found = append(o.found, member)
		o.lastUnskipped = member
	}
	for len(skipped) > 0 && len(o.found) < alwaysRanked {
		o.found = append(o.found, skipped[0])
		skipped = skipped[1:]
	}
}

// sortRest sorts and appends the members that are neither skipped nor found yet.
func (o *Order) sortRest() {
	if o.scans == 0 {
		o.scan()
	}
	set, from := o.set, len(o.found)
	for i := range set.ids {
		if set.skipUntil[i] > o.now {
			continue
		}
		if member := (scoredMember{set.Score(i, o.key), int32(i)}); compareMembers(member, o.lastUnskipped) > 0 {
			o.found = append(o.found, member)
		}
	}
	slices.SortFunc(o.found[from:], compareMembers)
	o.complete = true
}

// sortAll finds the whole order of a small set by sorting all members.
func (o *Order) sortAll() {
	set := o.set
	o.complete = true
	for i := range set.ids {
		o.found = append(o.found, scoredMember{set.Score(i, o.key), int32(i)})
	}
	slices.SortFunc(o.found, compareMembers)
	ranked := o.found[:0]
	for i, member := range o.found {
		if i < alwaysRanked || set.skipUntil[member.index] <= o.now {
			ranked = append(ranked, member)
		}
	}
	o.found = ranked
}

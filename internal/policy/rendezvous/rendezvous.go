// Package rendezvous orders weighted members by highest random weight for a key, and computes only as much of the
// order as is read.
//
// The score of a member is weight / -ln(u), with u drawn from a hash of key and member: "Weighted Distributed Hash
// Tables" (Schindelhauer and Schomaker, SPAA 2005), the logarithmic method. The loss of a member moves its share of
// the keys only.
//
// Invariants: the order is the one that a stable sort of all members by falling score gives, less those that are
// skipped beyond the first two places; equal scores stand in the order of Add.
//
// Bounds: a walk over all members for each of the first few reads and one sort after them. Nothing allocates once an
// Order has been used with a set of its size. The package does no I/O and reads no clock.
package rendezvous

import (
	"cmp"
	"math"
	"slices"
)

const (
	// walkLength is how many members one walk finds. Most requests read one or two, and a later walk sorts all.
	walkLength = 8
	// maxWalks is how many walks an order makes for a few members each before it sorts the rest.
	maxWalks = 4
	// alwaysRanked is how many members stand in an order though they are skipped: they are who caches the copies.
	alwaysRanked = 2
	// boundMargin widens the bound by which a walk passes over members, for the rounding of both sides.
	boundMargin = 1e-9
)

// Hash is a 64-bit finaliser (Stafford's variant 13 of the one in MurmurHash3, with the increment of SplitMix64).
func Hash(x uint64) uint64 {
	x += 0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// Draw maps a key to an evenly spread number from 0 up to 1.
func Draw(key uint64) float64 { return float64(Hash(key)>>11) / (1 << 53) }

// Set is the members. The zero value is empty. Ids and weights lie in slices of their own, since a walk over them is
// what a request pays for.
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

// Add adds a member. The weight must be above 0. Members are known by their index, in the order of Add.
func (s *Set) Add(id uint64, weight float64) {
	s.ids = append(s.ids, id)
	s.weights = append(s.weights, weight)
	s.skipUntil = append(s.skipUntil, 0)
}

// SkipUntil has a member skipped until a time, unless it is among the first two. A later call replaces an earlier
// one.
func (s *Set) SkipUntil(index int, until int64) { s.skipUntil[index] = until }

// Len is the number of members.
func (s *Set) Len() int { return len(s.ids) }

// unit maps a hash to (0, 1), never reaching either end.
func unit(hash uint64) float64 { return (float64(hash>>11) + 0.5) / (1 << 53) }

// Score is the score of a member for a key.
func (s *Set) Score(index int, key uint64) float64 {
	return s.weights[index] / -math.Log(unit(Hash(key^s.ids[index])))
}

// scored is a member with its score for the key.
type scored struct {
	score float64
	index int32
}

func compare(a, b scored) int {
	return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(a.index, b.index))
}

// Order is the members' order for one key: the first two, skipped or not, and then those that are not skipped. What
// has been given stays, also if it is skipped meanwhile. The zero value has no members; Begin sets set and key.
type Order struct {
	set      *Set
	key      uint64
	now      int64
	found    []scored // best first: none yet, the first ones, or all
	last     scored   // the last of them that was not skipped
	walks    int
	complete bool // all are found
}

// Begin starts the order of a set for a key, at a time by which members are skipped or not. The set's members must
// not change while the order is in use. It costs nothing until At is called.
func (o *Order) Begin(set *Set, key uint64, now int64) {
	o.set = set
	o.key = key
	o.now = now
	o.found = o.found[:0]
	o.walks = 0
	o.complete = false
}

// At gives the index of the member in a place, from 0, and whether there is one. The first calls walk the set for a
// few members at a time; one beyond those sorts the rest.
func (o *Order) At(place int) (index int, ok bool) {
	if o.set == nil || place >= o.set.Len() {
		return 0, false
	}
	for place >= len(o.found) && !o.complete {
		switch {
		case o.set.Len() <= walkLength:
			o.sortAll()
		case o.walks < maxWalks && place < len(o.found)+walkLength:
			o.walk()
		default:
			o.sortRest()
		}
	}
	if place >= len(o.found) {
		return 0, false
	}
	return int(o.found[place].index), true
}

// leaders is the best few of a walk.
type leaders struct {
	best     [walkLength]scored
	length   int
	capacity int
	floor    float64 // score of the last one, once they are complete
}

func (l *leaders) offer(member scored) {
	if l.length == l.capacity {
		if compare(member, l.best[l.length-1]) >= 0 {
			return
		}
		l.length--
	}
	at := l.length
	for ; at > 0 && compare(member, l.best[at-1]) < 0; at-- {
		l.best[at] = l.best[at-1]
	}
	l.best[at] = member
	l.length++
	if l.length == l.capacity {
		l.floor = l.best[l.length-1].score
	}
}

// walk finds the next few members in one walk. A logarithm is taken only of what may be among them: -ln(u) >= 1-u, so
// a score is at most weight / (1-u).
func (o *Order) walk() {
	set, isFirst := o.set, o.walks == 0
	open := leaders{capacity: walkLength}
	skipped := leaders{capacity: alwaysRanked}
	for i, id := range set.ids {
		to := &open
		if set.skipUntil[i] > o.now {
			if !isFirst {
				continue
			}
			to = &skipped
		}
		u := unit(Hash(o.key ^ id))
		if to.length == to.capacity && set.weights[i] < to.floor*(1-u)*(1-boundMargin) {
			continue
		}
		member := scored{set.weights[i] / -math.Log(u), int32(i)}
		if isFirst || compare(member, o.last) > 0 {
			to.offer(member)
		}
	}
	o.merge(open.best[:open.length], skipped.best[:skipped.length])
	o.walks++
	o.complete = open.length < walkLength
}

// merge appends what a walk found, with skipped members in the first places only.
func (o *Order) merge(open, skipped []scored) {
	for _, member := range open {
		for len(skipped) > 0 && len(o.found) < alwaysRanked && compare(skipped[0], member) < 0 {
			o.found = append(o.found, skipped[0])
			skipped = skipped[1:]
		}
		o.found = append(o.found, member)
		o.last = member
	}
	for len(skipped) > 0 && len(o.found) < alwaysRanked {
		o.found = append(o.found, skipped[0])
		skipped = skipped[1:]
	}
}

// sortRest sorts the members that are not skipped and were not found.
func (o *Order) sortRest() {
	if o.walks == 0 {
		o.walk()
	}
	set, from := o.set, len(o.found)
	for i := range set.ids {
		if set.skipUntil[i] > o.now {
			continue
		}
		if member := (scored{set.Score(i, o.key), int32(i)}); compare(member, o.last) > 0 {
			o.found = append(o.found, member)
		}
	}
	slices.SortFunc(o.found[from:], compare)
	o.complete = true
}

// sortAll sorts a small set.
func (o *Order) sortAll() {
	set := o.set
	o.complete = true
	for i := range set.ids {
		o.found = append(o.found, scored{set.Score(i, o.key), int32(i)})
	}
	slices.SortFunc(o.found, compare)
	ranked := o.found[:0]
	for i, member := range o.found {
		if i < alwaysRanked || set.skipUntil[member.index] <= o.now {
			ranked = append(ranked, member)
		}
	}
	o.found = ranked
}

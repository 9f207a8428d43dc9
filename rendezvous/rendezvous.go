// Package rendezvous orders weighted members by highest random weight for a key, and computes only as much of the order
// as is looked at.
//
// The score of a member is weight / -ln(u), with u drawn from a hash of key and member: "Weighted Distributed Hash
// Tables" (Schindelhauer and Schomaker, SPAA 2005), the logarithmic method. The loss of a member moves its share only.
//
// Invariants: the order is the one that a stable sort of all members by falling score gives; equal scores stand in the
// order of Add. Nothing allocates once an Order has been used with a set of its size.
package rendezvous

import (
	"cmp"
	"math"
	"slices"
)

// Mix is a 64-bit finaliser (Stafford's variant 13 of the one in MurmurHash3, with the increment of SplitMix64).
func Mix(x uint64) uint64 {
	x += 0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// Set is the members. The zero value is empty. Ids and weights lie in rows of their own, since a walk over them is what a
// request pays for.
type Set struct {
	ids     []uint64
	weights []float64
	most    float64 // the largest weight
}

// Reset empties the set and keeps its memory.
func (s *Set) Reset() { s.ids, s.weights, s.most = s.ids[:0], s.weights[:0], 0 }

// Add adds a member. The weight must be above 0. Members are known by their index, in the order of Add.
func (s *Set) Add(id uint64, weight float64) {
	s.ids, s.weights, s.most = append(s.ids, id), append(s.weights, weight), max(s.most, weight)
}

// Len is the number of members.
func (s *Set) Len() int { return len(s.ids) }

// unit maps a hash to (0, 1), never reaching either end.
func unit(hash uint64) float64 { return (float64(hash>>11) + 0.5) / (1 << 53) }

// Score is the score of a member for a key.
func (s *Set) Score(i int, key uint64) float64 {
	return s.weights[i] / -math.Log(unit(Mix(key^s.ids[i])))
}

// head is how many members the first walk finds. Most requests look at one or two, and a second walk sorts all.
const head = 8

type ranked struct {
	score float64
	index int32
}

func compare(a, b ranked) int {
	return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(a.index, b.index))
}

// Order is the members' order for one key. The zero value has none; Begin sets set and key.
type Order struct {
	set   *Set
	key   uint64
	found []ranked // best first: none yet, the first ones, or all
}

// Begin asks for the order of a set for a key. The set must not change while the order is in use. It costs nothing
// until At is called.
func (o *Order) Begin(s *Set, key uint64) { o.set, o.key, o.found = s, key, o.found[:0] }

// At gives the index of the member in place n, from 0, and whether there is one. The first call walks the set once; one
// beyond the first few places sorts it.
func (o *Order) At(n int) (int, bool) {
	if o.set == nil || n >= o.set.Len() {
		return 0, false
	}
	if n >= len(o.found) {
		if n < head && o.set.Len() > head {
			o.first()
		} else {
			o.all()
		}
	}
	return int(o.found[n].index), true
}

// first finds the best few in one walk. A logarithm is taken only of what may be among them: -ln(u) >= 1-u, so a score
// is at most weight / (1-u).
func (o *Order) first() {
	s := o.set
	var best [head]ranked
	n, floor := 0, 0.0
	for i, id := range s.ids {
		u := unit(Mix(o.key ^ id))
		// The bound is taken a little wide, for the rounding of both sides.
		if n == head && s.weights[i] < floor*(1-u)*(1-1e-9) {
			continue
		}
		r := ranked{s.weights[i] / -math.Log(u), int32(i)}
		if n == head {
			if compare(r, best[head-1]) >= 0 {
				continue
			}
			n--
		}
		at := n
		for ; at > 0 && compare(r, best[at-1]) < 0; at-- {
			best[at] = best[at-1]
		}
		best[at] = r
		if n++; n == head {
			floor = best[head-1].score
		}
	}
	o.found = append(o.found[:0], best[:n]...)
}

// all sorts the whole set.
func (o *Order) all() {
	s := o.set
	o.found = slices.Grow(o.found[:0], s.Len())
	for i := range s.ids {
		o.found = append(o.found, ranked{s.Score(i, o.key), int32(i)})
	}
	slices.SortFunc(o.found, compare)
}

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

// Hash is a 64-bit finaliser (Stafford's variant 13 of the one in MurmurHash3, with the increment of SplitMix64).
func Hash(x uint64) uint64 {
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
	shut    []int64 // until when a member is passed over
	most    float64 // the largest weight
}

// Reset empties the set and keeps its memory.
func (s *Set) Reset() { s.ids, s.weights, s.shut, s.most = s.ids[:0], s.weights[:0], s.shut[:0], 0 }

// Add adds a member. The weight must be above 0. Members are known by their index, in the order of Add.
func (s *Set) Add(id uint64, weight float64) {
	s.ids, s.weights, s.most = append(s.ids, id), append(s.weights, weight), max(s.most, weight)
	s.shut = append(s.shut, 0)
}

// SkipUntil has a member passed over until a time, but where it is among the first two. A later call takes the place of an earlier
// one.
func (s *Set) SkipUntil(i int, until int64) { s.shut[i] = until }

// Len is the number of members.
func (s *Set) Len() int { return len(s.ids) }

// unit maps a hash to (0, 1), never reaching either end.
func unit(hash uint64) float64 { return (float64(hash>>11) + 0.5) / (1 << 53) }

// Score is the score of a member for a key.
func (s *Set) Score(i int, key uint64) float64 {
	return s.weights[i] / -math.Log(unit(Hash(key^s.ids[i])))
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

// Order is the members' order for one key: the first two whatever is shut, since they are who holds the copies, and then those
// that are not. What has been given stays, also if it is shut meanwhile. The zero value has none; Begin sets set and key.
type Order struct {
	set   *Set
	key   uint64
	now   int64
	found []ranked // best first: none yet, the first ones, or all
	tail  ranked   // the last of them that was not shut
	walks int
	whole bool // all are found
}

const (
	always = 2 // members that stand in an order though they are shut
	// walksMost is how many walks an order makes for a few members each before it sorts the rest.
	walksMost = 4
)

// Begin asks for the order of a set for a key, at a time by which members are shut or not. The set's members must not change
// while the order is in use. It costs nothing until At is called.
func (o *Order) Begin(s *Set, key uint64, now int64) {
	o.set, o.key, o.now, o.found, o.walks, o.whole = s, key, now, o.found[:0], 0, false
}

// At gives the index of the member in place n, from 0, and whether there is one. The first calls walk the set for a few
// members at a time; one beyond those sorts the rest.
func (o *Order) At(n int) (int, bool) {
	if o.set == nil || n >= o.set.Len() {
		return 0, false
	}
	for n >= len(o.found) && !o.whole {
		switch {
		case o.set.Len() <= head:
			o.all()
		case o.walks < walksMost && n < len(o.found)+head:
			o.walk()
		default:
			o.rest()
		}
	}
	if n >= len(o.found) {
		return 0, false
	}
	return int(o.found[n].index), true
}

// leaders is the best few of a walk.
type leaders struct {
	best  [head]ranked
	n     int
	most  int
	floor float64 // score of the last one, once there are most
}

func (l *leaders) offer(r ranked) {
	if l.n == l.most {
		if compare(r, l.best[l.n-1]) >= 0 {
			return
		}
		l.n--
	}
	at := l.n
	for ; at > 0 && compare(r, l.best[at-1]) < 0; at-- {
		l.best[at] = l.best[at-1]
	}
	l.best[at] = r
	if l.n++; l.n == l.most {
		l.floor = l.best[l.n-1].score
	}
}

// walk finds the next few in one walk. A logarithm is taken only of what may be among them: -ln(u) >= 1-u, so a score
// is at most weight / (1-u).
func (o *Order) walk() {
	s, first := o.set, o.walks == 0
	open, shut := leaders{most: head}, leaders{most: always}
	for i, id := range s.ids {
		to := &open
		if s.shut[i] > o.now {
			if !first {
				continue
			}
			to = &shut
		}
		u := unit(Hash(o.key ^ id))
		// The bound is taken a little wide, for the rounding of both sides.
		if to.n == to.most && s.weights[i] < to.floor*(1-u)*(1-1e-9) {
			continue
		}
		if r := (ranked{s.weights[i] / -math.Log(u), int32(i)}); first || compare(r, o.tail) > 0 {
			to.offer(r)
		}
	}
	k := 0
	for _, r := range open.best[:open.n] {
		for ; k < shut.n && len(o.found) < always && compare(shut.best[k], r) < 0; k++ {
			o.found = append(o.found, shut.best[k])
		}
		o.found, o.tail = append(o.found, r), r
	}
	for ; k < shut.n && len(o.found) < always; k++ {
		o.found = append(o.found, shut.best[k])
	}
	o.walks++
	o.whole = open.n < head
}

// rest sorts what is not shut and was not found.
func (o *Order) rest() {
	if o.walks == 0 {
		o.walk()
	}
	s, from := o.set, len(o.found)
	for i := range s.ids {
		if s.shut[i] > o.now {
			continue
		}
		if r := (ranked{s.Score(i, o.key), int32(i)}); compare(r, o.tail) > 0 {
			o.found = append(o.found, r)
		}
	}
	slices.SortFunc(o.found[from:], compare)
	o.whole = true
}

// all sorts a small set.
func (o *Order) all() {
	s := o.set
	o.whole = true
	for i := range s.ids {
		o.found = append(o.found, ranked{s.Score(i, o.key), int32(i)})
	}
	slices.SortFunc(o.found, compare)
	kept := o.found[:0]
	for i, r := range o.found {
		if i < always || s.shut[r.index] <= o.now {
			kept = append(kept, r)
		}
	}
	o.found = kept
}

package rendezvous

import (
	"iter"
	"time"
)

// Ranking is the members of a set in their order for one key, with one of them put first. It is computed as far as it
// is read. The zero value of M stands for "none". It is not safe for concurrent use.
type Ranking[M comparable] struct {
	members []M
	set     Set
	order   Order
	next    int // place in the order that was not read yet
	first   M
	ranked  []M // so far
}

// Reset empties the set and keeps its memory.
func (r *Ranking[M]) Reset() {
	clear(r.members)
	r.members = r.members[:0]
	r.set.Reset()
}

// Add adds a member with its id for the hash; the weight must be above 0.
func (r *Ranking[M]) Add(member M, id uint64, weight float64) {
	r.members = append(r.members, member)
	r.set.Add(id, weight)
}

// SkipUntil has the member that was added as the nth skipped until a time, unless it is among the first two of an
// order.
func (r *Ranking[M]) SkipUntil(n int, until time.Duration) { r.set.SkipUntil(n, int64(until)) }

// Skipped reports whether the member that was added as the nth is skipped at a time.
func (r *Ranking[M]) Skipped(n int, now time.Duration) bool { return r.set.skipUntil[n] > int64(now) }

// Members is all members in the order of Add. It must not be changed.
func (r *Ranking[M]) Members() []M { return r.members }

// OrderFor begins the order for a key at a time, in which first, where it is not the zero value, stands before all
// others; it must be a member. What an earlier call gave is void.
func (r *Ranking[M]) OrderFor(key uint64, first M, now time.Duration) *Ranking[M] {
	var none M
	r.order.Begin(&r.set, key, int64(now))
	r.next = 0
	r.first = first
	r.ranked = r.ranked[:0]
	if first != none {
		r.ranked = append(r.ranked, first)
	}
	return r
}

// At gives the member in a place, from 0, or the zero value.
func (r *Ranking[M]) At(place int) (member M) {
	for len(r.ranked) <= place {
		index, ok := r.order.At(r.next)
		if !ok {
			return member
		}
		r.next++
		if r.members[index] != r.first {
			r.ranked = append(r.ranked, r.members[index])
		}
	}
	return r.ranked[place]
}

// Swap has the members of two places that were read change places.
func (r *Ranking[M]) Swap(i, j int) { r.ranked[i], r.ranked[j] = r.ranked[j], r.ranked[i] }

// AllThen goes through the ranking, of which nil has no members, and one member more unless that is the zero value.
func (r *Ranking[M]) AllThen(last M) iter.Seq[M] {
	return func(yield func(M) bool) {
		var none M
		for i := 0; r != nil && r.At(i) != none; i++ {
			if !yield(r.At(i)) {
				return
			}
		}
		if last != none {
			yield(last)
		}
	}
}

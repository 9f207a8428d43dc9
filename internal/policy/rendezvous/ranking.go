package rendezvous

import (
	"iter"
	"time"
)

// Ranking is members of a set in their order for one key, with one of them put first. It is computed as far as it is
// looked at. The zero value of M stands for "none".
type Ranking[M comparable] struct {
	members []M
	set     Set
	order   Order
	next    int // place in the order that was not looked at yet
	first   M
	got     []M // so far
}

// Reset empties the set and keeps its memory.
func (r *Ranking[M]) Reset() {
	clear(r.members)
	r.members = r.members[:0]
	r.set.Reset()
}

// Add adds a member with its id for the hash; the weight must be above 0.
func (r *Ranking[M]) Add(m M, id uint64, weight float64) {
	r.members = append(r.members, m)
	r.set.Add(id, weight)
}

// SkipUntil has the member that was added as the nth passed over until a time, but where it is among the first two of an order.
func (r *Ranking[M]) SkipUntil(n int, until time.Duration) { r.set.SkipUntil(n, int64(until)) }

// Skipped says whether the member that was added as the nth is passed over at a time.
func (r *Ranking[M]) Skipped(n int, now time.Duration) bool { return r.set.shut[n] > int64(now) }

// Members is all members in the order of Add. It must not be changed.
func (r *Ranking[M]) Members() []M { return r.members }

// OrderFor asks for the order for a key at a time, in which first, where it is not the zero value, stands before all others. first
// must be a member. What an earlier Begin gave is void.
func (r *Ranking[M]) OrderFor(key uint64, first M, now time.Duration) *Ranking[M] {
	var none M
	r.order.Begin(&r.set, key, int64(now))
	if r.next, r.first, r.got = 0, first, r.got[:0]; first != none {
		r.got = append(r.got, first)
	}
	return r
}

// At gives the member in place i, or the zero value.
func (r *Ranking[M]) At(i int) (m M) {
	for len(r.got) <= i {
		n, ok := r.order.At(r.next)
		if !ok {
			return m
		}
		if r.next++; r.members[n] != r.first {
			r.got = append(r.got, r.members[n])
		}
	}
	return r.got[i]
}

// Swap has the members of two places that were looked at change places.
func (r *Ranking[M]) Swap(i, j int) { r.got[i], r.got[j] = r.got[j], r.got[i] }

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

package rendezvous

import (
	"iter"
	"time"
)

// Ranking holds members and ranks them for one key at a time, optionally with a preferred member first. It computes
// only as much of the order as is read. The zero value of M means "no member". It is not safe for concurrent use.
type Ranking[M comparable] struct {
	members      []M
	set          Set
	order        Order
	nextPosition int // next position to read from order
	preferred    M
	ranked       []M // members read so far
}

// Reset empties the set and keeps its memory.
func (r *Ranking[M]) Reset() {
	clear(r.members)
	r.members = r.members[:0]
	r.set.Reset()
}

// Add adds a member with its id for the hash. The weight must be above 0.
func (r *Ranking[M]) Add(member M, id uint64, weight float64) {
	r.members = append(r.members, member)
	r.set.Add(id, weight)
}

// SkipUntil makes orders skip the member at an index, in the order of Add, until a time, except where it is among the
// first two.
func (r *Ranking[M]) SkipUntil(index int, until time.Duration) { r.set.SkipUntil(index, int64(until)) }

// Skipped reports whether the member at an index, in the order of Add, is skipped at the time now.
func (r *Ranking[M]) Skipped(index int, now time.Duration) bool {
	return r.set.skipUntil[index] > int64(now)
}

// Members returns all members in the order of Add. The slice must not be changed.
func (r *Ranking[M]) Members() []M { return r.members }

// OrderFor starts the order for a key at the time now and returns r. If preferred is not the zero value, it must be a
// member and comes first. The order of an earlier call is no longer valid.
func (r *Ranking[M]) OrderFor(key uint64, preferred M, now time.Duration) *Ranking[M] {
	var none M
	r.order.Begin(&r.set, key, int64(now))
	r.nextPosition = 0
	r.preferred = preferred
	r.ranked = r.ranked[:0]
	if preferred != none {
		r.ranked = append(r.ranked, preferred)
	}
	return r
}

// At returns the member at a position, from 0, or the zero value if there is none.
func (r *Ranking[M]) At(position int) (member M) {
	for len(r.ranked) <= position {
		index, ok := r.order.At(r.nextPosition)
		if !ok {
			return member
		}
		r.nextPosition++
		if r.members[index] != r.preferred {
			r.ranked = append(r.ranked, r.members[index])
		}
	}
	return r.ranked[position]
}

// Swap exchanges the members at two positions, which must have been read.
func (r *Ranking[M]) Swap(i, j int) { r.ranked[i], r.ranked[j] = r.ranked[j], r.ranked[i] }

// AllThen iterates over the ranked members and then over last, unless last is the zero value. A nil ranking has no
// members.
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

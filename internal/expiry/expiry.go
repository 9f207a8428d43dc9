// Package expiry keeps a bounded set of keys, each until a time of its own.
//
// Invariants: a key that was put stays until DropBefore is called with a time after its own; a later Put moves the time
// of a key forward, never back.
//
// Bounds: a Set has at most its capacity of keys. Put and DropBefore take logarithmic time for each key that comes or
// goes, and DropBefore looks at no key whose first time is not reached; Until takes constant time.
package expiry

import (
	"container/heap"
	"time"
)

// Set is keys with the time until which each stays. It is not safe for concurrent use.
type Set[K comparable] struct {
	capacity int
	until    map[K]time.Duration
	queue    queue[K] // each key once, by the time that it was put with first or found with last
}

// New returns an empty set.
func New[K comparable](capacity int) *Set[K] {
	return &Set[K]{capacity: capacity, until: map[K]time.Duration{}}
}

// Put keeps a key until a time, if that is later than the time that it has already. It reports whether the key is in
// the set for that long; it is not where there is no place.
func (s *Set[K]) Put(key K, until time.Duration) bool {
	old, known := s.until[key]
	switch {
	case known && until <= old:
		return true
	case !known && len(s.until) >= s.capacity:
		return false
	case !known: // a known key keeps its place in the queue; DropBefore moves it
		heap.Push(&s.queue, item[K]{until, key})
	}
	s.until[key] = until
	return true
}

// Until returns the time of a key, and whether it is in the set.
func (s *Set[K]) Until(key K) (time.Duration, bool) {
	until, known := s.until[key]
	return until, known
}

// DropBefore drops the keys whose time is before another.
func (s *Set[K]) DropBefore(bound time.Duration) {
	for len(s.queue) > 0 && s.queue[0].until < bound {
		first := &s.queue[0]
		if until := s.until[first.key]; until > first.until { // it was put again meanwhile
			first.until = until
			heap.Fix(&s.queue, 0)
			continue
		}
		delete(s.until, first.key)
		heap.Pop(&s.queue)
	}
}

// Len returns the number of keys.
func (s *Set[K]) Len() int { return len(s.until) }

// item is a key in the queue.
type item[K comparable] struct {
	until time.Duration
	key   K
}

// queue is a heap with the earliest time at its root.
type queue[K comparable] []item[K]

// Len, Less, Swap, Push and Pop implement heap.Interface.
func (q queue[K]) Len() int           { return len(q) }
func (q queue[K]) Less(i, j int) bool { return q[i].until < q[j].until }
func (q queue[K]) Swap(i, j int)      { q[i], q[j] = q[j], q[i] }
func (q *queue[K]) Push(x any)        { *q = append(*q, x.(item[K])) }
func (q *queue[K]) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

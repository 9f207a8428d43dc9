// Package expiry provides a bounded set of keys, each with its own expiry time.
//
// Invariants: a key stays in the set until DropBefore is called with a time after its expiry time. Another Put of the
// key can move its expiry time forward, never back.
//
// Bounds: a Set holds at most its capacity of keys. Put and DropBefore take logarithmic time for each key that is added
// or removed, and DropBefore does not visit a key before the expiry time of its first Put. Until takes constant time.
package expiry

import (
	"container/heap"
	"time"
)

// Set holds keys with their expiry times. It is not safe for concurrent use.
type Set[K comparable] struct {
	capacity int
	until    map[K]time.Duration
	queue    queue[K] // each key once, by the time of its first Put or of its last move by DropBefore
}

// New returns an empty set that holds at most capacity keys.
func New[K comparable](capacity int) *Set[K] {
	return &Set[K]{capacity: capacity, until: map[K]time.Duration{}}
}

// Put adds a key that expires at until, or extends the expiry time of a key in the set if until is later. It returns
// false if the key is new and the set is full.
func (s *Set[K]) Put(key K, until time.Duration) bool {
	old, known := s.until[key]
	switch {
	case known && until <= old:
		return true
	case !known && len(s.until) >= s.capacity:
		return false
	case !known: // a known key keeps its place in the queue until DropBefore moves it
		heap.Push(&s.queue, item[K]{until, key})
	}
	s.until[key] = until
	return true
}

// Until returns the expiry time of a key, and whether the key is in the set.
func (s *Set[K]) Until(key K) (time.Duration, bool) {
	until, known := s.until[key]
	return until, known
}

// DropBefore removes the keys whose expiry time is before bound.
func (s *Set[K]) DropBefore(bound time.Duration) {
	for len(s.queue) > 0 && s.queue[0].until < bound {
		first := &s.queue[0]
		if until := s.until[first.key]; until > first.until { // extended by a later Put
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

// item is a key in the queue, with the time that orders it there.
type item[K comparable] struct {
	until time.Duration
	key   K
}

// queue is a binary heap, the earliest time first.
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

package digesttest

import (
	"container/heap"
	"iter"
	"time"
)

// EventQueue has the events of a simulation in the order of their times, and of their planning where times are equal.
type EventQueue[E any] struct {
	entries entries[E]
	planned int
}

// Schedule adds an event that is due at a time.
func (a *EventQueue[E]) Schedule(at time.Duration, event E) {
	a.planned++
	heap.Push(&a.entries, entry[E]{at, a.planned, event})
}

// Scheduled is how many events were planned so far, with those that are over.
func (a *EventQueue[E]) Scheduled() int { return a.planned }

// PopDue takes out all events that are due until a time, with their times, also those that are planned meanwhile.
func (a *EventQueue[E]) PopDue(until time.Duration) iter.Seq2[time.Duration, E] {
	return func(yield func(time.Duration, E) bool) {
		for len(a.entries) > 0 && a.entries[0].at <= until {
			next := heap.Pop(&a.entries).(entry[E])
			if !yield(next.at, next.event) {
				return
			}
		}
	}
}

// entry is an event that is due at a time. The serial makes the order of equal times definite.
type entry[E any] struct {
	at     time.Duration
	serial int
	event  E
}

// entries is a heap.
type entries[E any] []entry[E]

func (e entries[E]) Len() int { return len(e) }
func (e entries[E]) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].serial < e[j].serial
}
func (e entries[E]) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *entries[E]) Push(x any)   { *e = append(*e, x.(entry[E])) }
func (e *entries[E]) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

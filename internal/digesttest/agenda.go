package digesttest

import (
	"container/heap"
	"iter"
	"time"
)

// EventQueue holds the events of a simulation, ordered by their times. Events of equal times keep the order in which
// they were scheduled.
type EventQueue[E any] struct {
	entries   entries[E]
	scheduled int
}

// Schedule adds an event that is due at the given time.
func (q *EventQueue[E]) Schedule(at time.Duration, event E) {
	q.scheduled++
	heap.Push(&q.entries, entry[E]{at, q.scheduled, event})
}

// Scheduled returns how many events were scheduled so far, including those already popped.
func (q *EventQueue[E]) Scheduled() int { return q.scheduled }

// PopDue iterates over the events that are due by the given time, with their times, and removes them. Events that are
// scheduled during the iteration are included if they are due.
func (q *EventQueue[E]) PopDue(until time.Duration) iter.Seq2[time.Duration, E] {
	return func(yield func(time.Duration, E) bool) {
		for len(q.entries) > 0 && q.entries[0].at <= until {
			next := heap.Pop(&q.entries).(entry[E])
			if !yield(next.at, next.event) {
				return
			}
		}
	}
}

// entry is a scheduled event. The serial orders entries of equal times.
type entry[E any] struct {
	at     time.Duration
	serial int
	event  E
}

// entries implements heap.Interface.
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

package membership

import (
	"container/heap"
	"time"
)

// dueTime is a time at which Step must handle a source's report on an endpoint or, without a record, the source itself.
type dueTime struct {
	at       time.Duration
	sequence uint64 // order of insertion; breaks ties between equal times
	record   *endpointRecord
	source   int // index in Config.Sources
}

// dueTimes is a queue of due times, earliest first.
type dueTimes struct {
	heap     dueHeap
	sequence uint64
}

func (d *dueTimes) add(due dueTime) {
	d.sequence++
	due.sequence = d.sequence
	heap.Push(&d.heap, due)
}

// next returns the earliest time, or 0 if there is none.
func (d *dueTimes) next() time.Duration {
	if len(d.heap) == 0 {
		return 0
	}
	return d.heap[0].at
}

// pop removes and returns the earliest entry, if it is due by now.
func (d *dueTimes) pop(now time.Duration) (due dueTime, ok bool) {
	if len(d.heap) == 0 || d.heap[0].at > now {
		return dueTime{}, false
	}
	return heap.Pop(&d.heap).(dueTime), true
}

// dueHeap implements heap.Interface.
type dueHeap []dueTime

func (h dueHeap) Len() int { return len(h) }

func (h dueHeap) Less(i, j int) bool {
	if h[i].at != h[j].at {
		return h[i].at < h[j].at
	}
	return h[i].sequence < h[j].sequence
}

func (h dueHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

func (h *dueHeap) Push(x any) { *h = append(*h, x.(dueTime)) }

func (h *dueHeap) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}

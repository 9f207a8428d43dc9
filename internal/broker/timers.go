package broker

import (
	"slices"
	"time"

	"sloequay/internal/policy"
)

// minSweepSize is a number of timers below which a sweep is not worth its cost.
const minSweepSize = 1024

// timerKind is what a timer is about.
type timerKind uint8

const (
	policyTimer   timerKind = iota // a token of the policy
	attemptTimer                   // the deadline of an attempt
	halfTimeTimer                  // half of a request's time
	deadlineTimer                  // the deadline of a request
)

// timer is something that falls due at a time.
type timer struct {
	at      time.Duration
	kind    timerKind
	token   uint64   // of policyTimer
	attempt *Attempt // of attemptTimer
	request *Request // of halfTimeTimer and deadlineTimer
}

// stale reports whether what the timer is about has ended.
func (t timer) stale() bool {
	switch t.kind {
	case attemptTimer:
		return !t.attempt.Open()
	case halfTimeTimer, deadlineTimer:
		return t.request.state == requestEnded
	}
	return false
}

// timerQueue is a binary heap of timers, the earliest first. Its zero value is empty.
//
// The order in which timers of the same time come is that of container/heap, which this is the typed form of: decisions
// depend on it. Being typed it allocates nothing for a timer.
type timerQueue struct {
	heap    []timer
	sweepAt int // the number of timers at which the stale ones are dropped
}

// len is the number of timers, stale ones included.
func (q *timerQueue) len() int { return len(q.heap) }

// next is the time of the earliest timer, if there is one.
func (q *timerQueue) next() (time.Duration, bool) {
	if len(q.heap) == 0 {
		return 0, false
	}
	return q.heap[0].at, true
}

// push sets a timer. What has ended leaves its timers in the queue, and a client may name a time-out of ten minutes and
// cancel at once: kept until they are due they would grow with what clients send. They are swept out when the timers
// have doubled, so that a timer costs a constant number of looks.
func (q *timerQueue) push(t timer) {
	if len(q.heap) >= max(minSweepSize, q.sweepAt) {
		q.sweep()
	}
	q.heap = append(q.heap, t)
	q.up(len(q.heap) - 1)
}

// popDue removes the earliest timer if it is due.
func (q *timerQueue) popDue(now time.Duration) (timer, bool) {
	if len(q.heap) == 0 || q.heap[0].at > now {
		return timer{}, false
	}
	last := len(q.heap) - 1
	due := q.heap[0]
	q.heap[0] = q.heap[last]
	q.heap[last] = timer{}
	q.heap = q.heap[:last]
	q.down(0)
	return due, true
}

// sweep drops the stale timers.
func (q *timerQueue) sweep() {
	q.heap = slices.DeleteFunc(q.heap, timer.stale)
	for i := len(q.heap)/2 - 1; i >= 0; i-- {
		q.down(i)
	}
	q.sweepAt = 2 * len(q.heap)
}

// up moves a timer towards the root until its parent is no later.
func (q *timerQueue) up(child int) {
	for child > 0 {
		parent := (child - 1) / 2
		if q.heap[child].at >= q.heap[parent].at {
			return
		}
		q.heap[parent], q.heap[child] = q.heap[child], q.heap[parent]
		child = parent
	}
}

// down moves a timer towards the leaves until neither of its children is earlier.
func (q *timerQueue) down(parent int) {
	for {
		child := 2*parent + 1
		if child >= len(q.heap) {
			return
		}
		if right := child + 1; right < len(q.heap) && q.heap[right].at < q.heap[child].at {
			child = right
		}
		if q.heap[child].at >= q.heap[parent].at {
			return
		}
		q.heap[parent], q.heap[child] = q.heap[child], q.heap[parent]
		parent = child
	}
}

// fireTimers takes what is due, in the order of its times, also what is set meanwhile.
func (b *Broker) fireTimers() {
	for {
		due, ok := b.timers.popDue(b.now)
		if !ok {
			return
		}
		b.fire(due)
	}
}

// fire has a timer's event happen. The timer may be stale.
func (b *Broker) fire(due timer) {
	switch due.kind {
	case policyTimer:
		b.notify(policy.TimerEvent{Token: due.token})
	case attemptTimer:
		if due.attempt.Open() {
			b.timeOut(due.attempt)
		}
	case halfTimeTimer:
		b.passHalfTime(due.request)
	case deadlineTimer:
		b.passDeadline(due.request)
	}
}

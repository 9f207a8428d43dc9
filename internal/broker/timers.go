package broker

import (
	"slices"
	"time"

	"sloequay/internal/policy"
)

// minSweepSize is the number of timers below which a sweep is not worth its cost.
const minSweepSize = 1024

// timerKind says which event a timer triggers.
type timerKind uint8

const (
	policyTimer   timerKind = iota // a timer that the policy set, with its token
	attemptTimer                   // the deadline of an attempt
	halfTimeTimer                  // the half time of a request
	deadlineTimer                  // the deadline of a request
)

// timer is an event that is due at a time.
type timer struct {
	at      time.Duration
	kind    timerKind
	token   uint64   // of policyTimer
	attempt *Attempt // of attemptTimer
	request *Request // of halfTimeTimer and deadlineTimer
}

// stale reports whether the attempt or request of the timer has ended.
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
// It is a typed version of container/heap, which avoids an allocation per timer. Timers that are due at the same time
// must come in the same order as from container/heap, because decisions depend on that order.
type timerQueue struct {
	heap    []timer
	sweepAt int // number of timers at which push drops the stale ones
}

// len returns the number of timers, including stale ones.
func (q *timerQueue) len() int { return len(q.heap) }

// next returns the time of the earliest timer, if there is one.
func (q *timerQueue) next() (time.Duration, bool) {
	if len(q.heap) == 0 {
		return 0, false
	}
	return q.heap[0].at, true
}

// push adds a timer. Attempts and requests that end leave their timers in the queue, and a client may give a timeout of
// ten minutes and cancel at once: if stale timers stayed until due, clients could make the queue grow. So push drops
// them when the queue has doubled since the last sweep, at constant amortized cost per timer.
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

// fireTimers fires the due timers in the order of their times, including those that are set meanwhile.
func (b *Broker) fireTimers() {
	for {
		due, ok := b.timers.popDue(b.now)
		if !ok {
			return
		}
		b.fire(due)
	}
}

// fire handles the event of a due timer, which may be stale.
func (b *Broker) fire(due timer) {
	switch due.kind {
	case policyTimer:
		b.notify(policy.TimerEvent{Token: due.token})
	case attemptTimer:
		if due.attempt.Open() {
			b.timeOut(due.attempt)
		}
	case halfTimeTimer:
		b.handleHalfTime(due.request)
	case deadlineTimer:
		b.handleDeadline(due.request)
	}
}

package broker

import (
	"container/heap"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// modelTimers is a reference model of timerQueue on container/heap.
type modelTimers []timer

func (m modelTimers) Len() int           { return len(m) }
func (m modelTimers) Less(i, j int) bool { return m[i].at < m[j].at }
func (m modelTimers) Swap(i, j int)      { m[i], m[j] = m[j], m[i] }
func (m *modelTimers) Push(x any)        { *m = append(*m, x.(timer)) }
func (m *modelTimers) Pop() any {
	last := (*m)[len(*m)-1]
	*m = (*m)[:len(*m)-1]
	return last
}

// TestTimerQueueAgainstHeap checks that timers come in the same order as from container/heap, including those that are
// due at the same time.
func TestTimerQueueAgainstHeap(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var queue timerQueue
		var model modelTimers
		now := time.Duration(0)
		for token := range uint64(rapid.IntRange(1, 200).Draw(t, "steps")) {
			if rapid.IntRange(0, 2).Draw(t, "step") > 0 {
				set := timer{at: now + time.Duration(rapid.IntRange(0, 9).Draw(t, "after")), token: token}
				queue.push(set)
				heap.Push(&model, set)
				continue
			}
			now += time.Duration(rapid.IntRange(0, 3).Draw(t, "pass"))
			for len(model) > 0 && model[0].at <= now {
				want := heap.Pop(&model).(timer)
				if got, ok := queue.popDue(now); !ok || got != want {
					t.Fatalf("popDue(%v): got %+v, %v, want %+v, true", now, got, ok, want)
				}
			}
			if got, ok := queue.popDue(now); ok {
				t.Fatalf("popDue(%v): got %+v, want none", now, got)
			}
			next, ok := queue.next()
			if ok != (len(model) > 0) || ok && next != model[0].at || queue.len() != len(model) {
				t.Fatalf("at %v: got next %v, %v and %d timers, want %d timers", now, next, ok, queue.len(), len(model))
			}
		}
	})
}

// TestTimerQueueSweeps checks that the timers of ended requests and attempts are dropped and the others are kept.
func TestTimerQueueSweeps(t *testing.T) {
	var queue timerQueue
	ended := &Request{state: requestEnded}
	open := &Request{state: requestAdmitted}
	endedAttempt := &Attempt{Request: ended, state: attemptEnded}
	openAttempt := &Attempt{Request: open}
	const rounds = 10 * minSweepSize
	for i := range rounds {
		at := time.Duration(rounds - i)
		queue.push(timer{at: at, kind: deadlineTimer, request: ended})
		queue.push(timer{at: at, kind: halfTimeTimer, request: ended})
		queue.push(timer{at: at, kind: attemptTimer, attempt: endedAttempt})
		if queue.len() > minSweepSize {
			t.Fatalf("got %d timers after %d pushes, want at most minSweepSize", queue.len(), 3*(i+1))
		}
	}
	want := []timer{
		{at: 1, kind: deadlineTimer, request: open},
		{at: 2, kind: halfTimeTimer, request: open},
		{at: 3, kind: attemptTimer, attempt: openAttempt},
		{at: 4, kind: policyTimer, token: 7},
	}
	for _, set := range want {
		queue.push(set)
	}
	queue.sweep()
	for _, set := range want {
		if got, ok := queue.popDue(rounds); !ok || got != set {
			t.Errorf("popDue: got %+v, %v, want %+v, true", got, ok, set)
		}
	}
	if queue.len() != 0 {
		t.Errorf("got %d timers left, want 0", queue.len())
	}
}

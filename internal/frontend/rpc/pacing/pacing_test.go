package pacing

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// plainConnection is a rate-limited connection as the plain model knows it.
type plainConnection struct {
	unread     int // messages
	queuedAt   time.Duration
	connection *Connection[int]
}

// plainModel is the plainest way to pace: a list of those that wait, in order.
type plainModel struct {
	connections []*plainConnection
	waiting     []int // places in connections, the longest waiting first
}

// handle hands the queue one message after the other until it admits no more, as a frontend does. It returns how many
// were admitted.
func (m *plainModel) handle(now time.Duration, queue *Queue[int], owner int) int {
	admitted := 0
	plain := m.connections[owner]
	for plain.unread > 0 && queue.Admit(now, plain.connection) {
		plain.unread--
		admitted++
	}
	if plain.unread > 0 && !slices.Contains(m.waiting, owner) {
		m.waiting = append(m.waiting, owner)
		plain.queuedAt = now
	}
	return admitted
}

// TestQueue: over random messages and rounds, each connection gets its turns in order and no more than its part, and
// those that wait too long are timed out, and none else.
func TestQueue(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limits := Limits{
			MessagesPerConnection: rapid.IntRange(1, 4).Draw(t, "messages per connection"),
			MessagesPerRound:      rapid.IntRange(1, 10).Draw(t, "messages per round"),
			MaxWait:               2 * time.Second,
		}
		queue := NewQueue[int](limits)
		model := &plainModel{}
		for owner := range 6 {
			connection := &Connection[int]{Owner: owner}
			model.connections = append(model.connections, &plainConnection{connection: connection})
		}
		now := time.Second
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 400).Draw(t, "milliseconds")) * time.Millisecond
			owner := rapid.IntRange(0, len(model.connections)-1).Draw(t, "connection")
			switch rapid.SampledFrom([]string{"send", "send", "end", "round"}).Draw(t, "what") {
			case "send":
				model.connections[owner].unread += rapid.IntRange(1, 9).Draw(t, "messages")
				if admitted := model.handle(now, queue, owner); admitted > 0 {
					t.Fatalf("%d messages were admitted outside a turn", admitted)
				}
			case "end":
				queue.Remove(model.connections[owner].connection)
				model.waiting = slices.DeleteFunc(model.waiting, func(waiting int) bool { return waiting == owner })
				model.connections[owner].unread = 0
			case "round":
				checkTimedOut(t, now, queue, model)
				checkRound(t, now, queue, model, limits)
			}
			if queue.Len() != len(model.waiting) {
				t.Fatalf("%d connections wait, want %v", queue.Len(), model.waiting)
			}
		}
	})
}

// checkTimedOut compares who is timed out with those of the model that wait too long, and ends them.
func checkTimedOut(t *rapid.T, now time.Duration, queue *Queue[int], model *plainModel) {
	for _, owner := range slices.Clone(model.waiting) {
		plain := model.connections[owner]
		timedOut, waited := queue.TimedOut(now)
		if now-plain.queuedAt <= queue.limits.MaxWait {
			if timedOut != nil {
				t.Fatalf("connection %d is timed out after %v", timedOut.Owner, waited)
			}
			return
		}
		if timedOut != plain.connection || waited != now-plain.queuedAt {
			want := now - plain.queuedAt
			t.Fatalf("%v is timed out after %v, want connection %d after %v", timedOut, waited, owner, want)
		}
		queue.Remove(timedOut)
		plain.unread = 0
		model.waiting = model.waiting[1:]
	}
}

// checkRound plays a round, and compares its turns with the model's.
func checkRound(t *rapid.T, now time.Duration, queue *Queue[int], model *plainModel, limits Limits) {
	expected := slices.Clone(model.waiting)
	handled, left := 0, limits.MessagesPerRound
	queue.StartRound()
	for turn := queue.Next(); turn != nil; turn = queue.Next() {
		if len(expected) == 0 || left == 0 || turn.Owner != expected[0] {
			t.Fatalf("connection %d has a turn with %d messages left, want one of %v", turn.Owner, left, expected)
		}
		expected = expected[1:]
		model.waiting = model.waiting[1:]
		want := min(model.connections[turn.Owner].unread, limits.MessagesPerConnection, left)
		if admitted := model.handle(now, queue, turn.Owner); admitted != want {
			t.Fatalf("%d messages of connection %d were admitted, want %d", admitted, turn.Owner, want)
		}
		left -= want
		handled += want
	}
	if len(expected) > 0 && left > 0 {
		t.Fatalf("the round ended with %d messages left, before %v had their turns", left, expected)
	}
	if handled > limits.MessagesPerRound {
		t.Fatalf("%d messages in a round, want at most %d", handled, limits.MessagesPerRound)
	}
}

// TestEarliestArrival: what is handled later than it came counts from when the first of what waited may have come.
func TestEarliestArrival(t *testing.T) {
	connection := &Connection[int]{}
	for i, step := range []struct {
		readAt time.Duration
		unread bool // messages are left unread
		want   time.Duration
	}{{10, false, 10}, {20, true, 20}, {30, true, 20}, {40, false, 20}, {50, true, 50}, {45, false, 45}} {
		got := connection.EarliestArrival(step.readAt)
		if got != step.want {
			t.Errorf("step %d: %v, want %v", i, got, step.want)
		}
		if step.unread {
			connection.MarkUnread(got)
		} else {
			connection.MarkAllRead()
		}
	}
}

// TestOpenLimit: over random requests, none is admitted beyond the limit or without memory, and the connection is
// closed with the first request beyond those that may be rejected in one read.
func TestOpenLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := OpenLimit{
			MaxOpen:   rapid.IntRange(1, 4).Draw(t, "open"),
			MaxExcess: rapid.IntRange(0, 4).Draw(t, "excess"),
		}
		rejected := 0
		for range rapid.IntRange(1, 40).Draw(t, "requests") {
			if rapid.IntRange(0, 9).Draw(t, "read") == 0 {
				limit.StartRead()
				rejected = 0
			}
			load := Load{
				Open:        rapid.IntRange(0, limit.MaxOpen+1).Draw(t, "load"),
				MemoryShort: rapid.IntRange(0, 4).Draw(t, "memory") == 0,
			}
			want := Admit
			if load.Open >= limit.MaxOpen || load.MemoryShort {
				want = Reject
				rejected++
			}
			if rejected > limit.MaxExcess && want == Reject {
				want = Close
			}
			if got := limit.Decide(load); got != want || limit.Excess() != rejected {
				t.Fatalf("%+v: %v with %d rejected, want %v with %d", load, got, limit.Excess(), want, rejected)
			}
		}
	})
}

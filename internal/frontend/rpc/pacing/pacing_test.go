package pacing

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// modelConnection is a rate-limited connection in the reference model.
type modelConnection struct {
	unread   int // number of messages
	queuedAt time.Duration
	tested   *Connection[int]
}

// queueModel is the reference model of Queue: a list of the waiting connections, in order.
type queueModel struct {
	connections []*modelConnection
	waiting     []int // indexes in connections, the longest waiting first
}

// handle asks the queue to admit a connection's messages one after the other until it refuses one, as a frontend does.
// It returns how many were admitted.
func (m *queueModel) handle(now time.Duration, queue *Queue[int], owner int) int {
	admitted := 0
	connection := m.connections[owner]
	for connection.unread > 0 && queue.Admit(now, connection.tested) {
		connection.unread--
		admitted++
	}
	if connection.unread > 0 && !slices.Contains(m.waiting, owner) {
		m.waiting = append(m.waiting, owner)
		connection.queuedAt = now
	}
	return admitted
}

// TestQueue checks over random messages and rounds that connections get their turns in order and within the limits, and
// that exactly those that wait too long are timed out.
func TestQueue(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limits := Limits{
			MessagesPerConnection: rapid.IntRange(1, 4).Draw(t, "messages per connection"),
			MessagesPerRound:      rapid.IntRange(1, 10).Draw(t, "messages per round"),
			MaxWait:               2 * time.Second,
		}
		queue := NewQueue[int](limits)
		model := &queueModel{}
		for owner := range 6 {
			connection := &Connection[int]{Owner: owner}
			model.connections = append(model.connections, &modelConnection{tested: connection})
		}
		now := time.Second
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 400).Draw(t, "milliseconds")) * time.Millisecond
			owner := rapid.IntRange(0, len(model.connections)-1).Draw(t, "connection")
			switch rapid.SampledFrom([]string{"send", "send", "end", "round"}).Draw(t, "what") {
			case "send":
				model.connections[owner].unread += rapid.IntRange(1, 9).Draw(t, "messages")
				if admitted := model.handle(now, queue, owner); admitted > 0 {
					t.Fatalf("got %d messages admitted outside a turn, want none", admitted)
				}
			case "end":
				queue.Remove(model.connections[owner].tested)
				model.waiting = slices.DeleteFunc(model.waiting, func(waiting int) bool { return waiting == owner })
				model.connections[owner].unread = 0
			case "round":
				checkTimedOut(t, now, queue, model)
				checkRound(t, now, queue, model, limits)
			}
			if queue.Len() != len(model.waiting) {
				t.Fatalf("got %d connections waiting, want connections %v", queue.Len(), model.waiting)
			}
		}
	})
}

// checkTimedOut checks that the timed-out connections are those that have waited too long in the model, and removes
// them.
func checkTimedOut(t *rapid.T, now time.Duration, queue *Queue[int], model *queueModel) {
	for _, owner := range slices.Clone(model.waiting) {
		connection := model.connections[owner]
		timedOut, waited := queue.TimedOut(now)
		if now-connection.queuedAt <= queue.limits.MaxWait {
			if timedOut != nil {
				t.Fatalf("connection %d timed out after %v, want no timeout", timedOut.Owner, waited)
			}
			return
		}
		if timedOut != connection.tested || waited != now-connection.queuedAt {
			want := now - connection.queuedAt
			t.Fatalf("got %v timed out after %v, want connection %d after %v", timedOut, waited, owner, want)
		}
		queue.Remove(timedOut)
		connection.unread = 0
		model.waiting = model.waiting[1:]
	}
}

// checkRound runs a round and compares its turns with those of the model.
func checkRound(t *rapid.T, now time.Duration, queue *Queue[int], model *queueModel, limits Limits) {
	expected := slices.Clone(model.waiting)
	handled, left := 0, limits.MessagesPerRound
	queue.StartRound()
	for turn := queue.Next(); turn != nil; turn = queue.Next() {
		if len(expected) == 0 || left == 0 || turn.Owner != expected[0] {
			t.Fatalf("connection %d got a turn with %d messages left, want the first of connections %v",
				turn.Owner, left, expected)
		}
		expected = expected[1:]
		model.waiting = model.waiting[1:]
		want := min(model.connections[turn.Owner].unread, limits.MessagesPerConnection, left)
		if admitted := model.handle(now, queue, turn.Owner); admitted != want {
			t.Fatalf("got %d messages of connection %d admitted, want %d", admitted, turn.Owner, want)
		}
		left -= want
		handled += want
	}
	if len(expected) > 0 && left > 0 {
		t.Fatalf("round ended with %d messages left, before connections %v had their turns", left, expected)
	}
	if handled > limits.MessagesPerRound {
		t.Fatalf("got %d messages handled in a round, want at most %d", handled, limits.MessagesPerRound)
	}
}

// TestExpired checks that exactly the waiting connections whose message has to be rejected are expired, in their order.
func TestExpired(t *testing.T) {
	queue := NewQueue[int](Limits{MaxWait: 2 * time.Second})
	var connections []*Connection[int]
	for owner, at := range []time.Duration{30, 10, 20, 40} {
		connection := &Connection[int]{Owner: owner}
		connection.RejectAt(at)
		connections = append(connections, connection)
		queue.Admit(1, connection)
	}
	queue.Remove(connections[1])
	for now, want := range map[time.Duration][]int{19: nil, 20: {2}, 35: {0, 2}, 40: {0, 2, 3}} {
		var got []int
		for _, expired := range queue.Expired(now) {
			got = append(got, expired.Owner)
		}
		if !slices.Equal(got, want) {
			t.Errorf("at %d: got connections %v expired, want %v", now, got, want)
		}
	}
}

// TestEarliestArrival checks that messages which were left unread count as having arrived when the first of them may
// have arrived.
func TestEarliestArrival(t *testing.T) {
	connection := &Connection[int]{}
	for i, step := range []struct {
		readAt time.Duration
		unread bool // messages are left unread
		want   time.Duration
	}{{10, false, 10}, {20, true, 20}, {30, true, 20}, {40, false, 20}, {50, true, 50}, {45, false, 45}} {
		got := connection.EarliestArrival(step.readAt)
		if got != step.want {
			t.Errorf("step %d: got earliest arrival %v, want %v", i, got, step.want)
		}
		if step.unread {
			connection.MarkUnread(got)
		} else {
			connection.MarkAllRead()
		}
	}
}

// TestOpenLimit checks over random requests that none is admitted beyond the limit or while memory is short, and that
// the connection is closed at the first request beyond those that may be rejected in one read.
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
				t.Fatalf("decision under %+v: got %v with %d rejected, want %v with %d",
					load, got, limit.Excess(), want, rejected)
			}
		}
	})
}

// waitingMessage is a request or the cancellation of one, in clientModel.
type waitingMessage struct {
	request        int // its number
	isCancellation bool
}

// clientModel is a client that keeps the protocol, and its rate-limited connection.
type clientModel struct {
	limit        OpenLimit
	sent         int
	openToClient []int // requests that were neither answered nor canceled, as the client sees it
	open         []int // requests that the proxy has handled and not answered
	waiting      []waitingMessage
}

// count counts the waiting messages as a frontend does.
func (m *clientModel) count() (counted Waiting) {
	for _, message := range m.waiting[:min(len(m.waiting), m.limit.MaxWaiting())] {
		counted.Messages++
		if !message.isCancellation {
			counted.Requests++
		}
	}
	return counted
}

// handleOldest handles the message that has waited longest. A request is opened in a turn, and rejected otherwise.
func (m *clientModel) handleOldest(inTurn bool) {
	oldest := m.waiting[0]
	m.waiting = m.waiting[1:]
	isSame := func(request int) bool { return request == oldest.request }
	switch {
	case oldest.isCancellation:
		m.open = slices.DeleteFunc(m.open, isSame)
	case inTurn && len(m.open) < m.limit.MaxOpen:
		m.open = append(m.open, oldest.request)
	default:
		m.openToClient = slices.DeleteFunc(m.openToClient, isSame)
	}
}

// TestConformingClientMayWait checks over random requests, cancellations, answers and turns that a client with at most
// MaxOpen requests open, as it sees it, is not closed while it waits, and that no more requests wait than may be.
func TestConformingClientMayWait(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		model := &clientModel{limit: OpenLimit{
			MaxOpen:   rapid.IntRange(1, 4).Draw(t, "open"),
			MaxExcess: rapid.IntRange(0, 4).Draw(t, "excess"),
		}}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			what := rapid.SampledFrom([]string{"request", "request", "cancel", "answer", "turn"}).Draw(t, "what")
			switch {
			case what == "request" && len(model.openToClient) < model.limit.MaxOpen:
				model.sent++
				model.openToClient = append(model.openToClient, model.sent)
				model.waiting = append(model.waiting, waitingMessage{request: model.sent})
			case what == "cancel" && len(model.openToClient) > 0:
				canceled := waitingMessage{request: model.openToClient[0], isCancellation: true}
				model.openToClient = model.openToClient[1:]
				model.waiting = append(model.waiting, canceled)
			case what == "answer" && len(model.open) > 0:
				answered := model.open[0]
				model.open = model.open[1:]
				model.openToClient = slices.DeleteFunc(model.openToClient, func(r int) bool { return r == answered })
			case what == "turn" && len(model.waiting) > 0:
				model.limit.StartWait()
				model.handleOldest(true)
			}
			for !model.limit.MayWait(len(model.open), model.count()) {
				if model.limit.CountWaiting(len(model.open), model.count()) == Close || model.limit.Overrun() > 0 {
					t.Fatalf("%d counted as too many: %+v", model.limit.Overrun(), model)
				}
				model.handleOldest(false)
			}
			if requests := model.count().Requests; len(model.open)+requests > model.limit.MaxOpen {
				t.Fatalf("got %d requests waiting beside %d open, want at most %d in all", requests, len(model.open),
					model.limit.MaxOpen)
			}
		}
	})
}

// TestOverrunCloses checks that a client that goes on sending requests while it waits and cancels none, or cancels more
// than it can have open, is closed after MaxExcess of them, but that a turn gives it as many again.
func TestOverrunCloses(t *testing.T) {
	limit := OpenLimit{MaxOpen: 4, MaxExcess: 3}
	for _, tooMany := range []Waiting{{Messages: 5, Requests: 5}, {Messages: 6, Requests: 0}} {
		for round := range 2 {
			limit.StartWait()
			for range limit.MaxExcess {
				if limit.CountWaiting(1, tooMany) == Close {
					t.Fatalf("%+v, round %d: closed after %d too many, want it open", tooMany, round, limit.Overrun())
				}
			}
		}
		if limit.CountWaiting(1, tooMany) != Close {
			t.Errorf("%+v: open after %d too many, want it closed", tooMany, limit.Overrun())
		}
	}
}

// TestUnreadAnswers checks over random answers, cancellations and reads that a client that keeps the protocol is not
// taken for one that ignores its answers, and that one which cancels nothing and reads nothing is.
func TestUnreadAnswers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		unread := UnreadAnswers{Max: rapid.IntRange(1, 4).Draw(t, "open"), MaxInAll: 1000}
		queued, taken := uint64(0), uint64(0)
		var ends []uint64 // the offsets of the ends of the answers to requests that are open to the client
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			switch rapid.SampledFrom([]string{"answer", "answer", "cancel", "read"}).Draw(t, "what") {
			case "answer":
				if len(ends) < unread.Max {
					unread.AnswerQueued(queued, taken)
					queued += uint64(rapid.IntRange(1, 20).Draw(t, "bytes"))
					ends = append(ends, queued)
				}
			case "cancel":
				if len(ends) > 0 {
					unread.RequestCanceled()
					ends = ends[1:]
				}
			case "read":
				taken = rapid.Uint64Range(taken, queued).Draw(t, "taken")
				ends = slices.DeleteFunc(ends, func(end uint64) bool { return end <= taken })
			}
			if unread.AreIgnored(taken) {
				t.Fatalf("answers count as ignored at %d of %d bytes, with answers up to %v: %+v", taken, queued, ends,
					unread)
			}
		}
		for range unread.Max + 1 {
			unread.AnswerQueued(queued, taken)
			queued++
		}
		if !unread.AreIgnored(taken) && unread.Count() > unread.Max && unread.canceled == 0 {
			t.Fatalf("%d answers unread at %d of %d bytes do not count as ignored", unread.Count(), taken, queued)
		}
	})
}

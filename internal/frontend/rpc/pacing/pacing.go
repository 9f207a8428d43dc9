// Package pacing decides how fast the messages of rate-limited connections are handled, and which messages are rejected
// because there are too many.
//
// A connection is rate-limited while identity rejects its requests for lack of budget. Its messages are then handled in
// turns, a few at a time, so that a flood does not delay other clients. A round of turns is one tick of the frontend,
// not a round of the event loop. A Queue holds the connections that wait for a turn. An OpenLimit limits the open
// requests of any connection, rate-limited or not.
//
// Invariants:
//
//   - In a round, a connection has at most one turn. At most Limits.MessagesPerConnection of its messages are handled
//     in the turn, and at most Limits.MessagesPerRound messages of all connections in the round.
//   - Connections get their turns in the order in which they began to wait. A connection that still has messages after
//     its turn goes to the end of the queue.
//   - A connection is timed out if and only if it has waited longer than Limits.MaxWait. Its messages are then
//     rejected. It is expired if one of them has to be rejected earlier.
//   - A connection is in the queue at most once.
//
// Bounds: one list element for each waiting connection. The package does no I/O and reads no clock. It is not safe for
// concurrent use.
package pacing

import (
	"container/list"
	"time"
)

// Limits bounds how much of rate-limited connections is handled, and how long messages may wait. OpenLimit bounds how
// much may wait.
type Limits struct {
	MessagesPerConnection int           // handled in one turn
	MessagesPerRound      int           // handled in one round, of all connections
	MaxWait               time.Duration // for a turn; the messages of a connection that waits longer must be rejected
}

// Queue holds the rate-limited connections with unhandled messages, the longest waiting first.
type Queue[Owner any] struct {
	limits  Limits
	waiting list.List // of *Connection[Owner]

	// The state of the current round.
	current      *Connection[Owner] // whose turn it is; nil: none
	turnsLeft    int
	messagesLeft int
}

// NewQueue returns an empty queue.
func NewQueue[Owner any](limits Limits) *Queue[Owner] {
	return &Queue[Owner]{limits: limits}
}

// Connection is the pacing state of one connection.
type Connection[Owner any] struct {
	Owner Owner // the frontend's object for the connection

	element     *list.Element // in Queue.waiting; nil: the connection does not wait for a turn
	queuedAt    time.Duration // when the connection began to wait for its turn
	rejectAt    time.Duration // when a message that waits must be rejected
	allowance   int           // messages that may still be handled in the current turn
	unreadSince time.Duration // the earliest arrival of the oldest unread message; 0: none is unread
}

// Admit reports whether the next message of a rate-limited connection may be handled now. If not, the connection
// is queued for a turn.
func (q *Queue[Owner]) Admit(now time.Duration, connection *Connection[Owner]) bool {
	if connection.allowance > 0 {
		connection.allowance--
		return true
	}
	if connection.element == nil {
		connection.element = q.waiting.PushBack(connection)
		connection.queuedAt = now
	}
	return false
}

// Remove removes a connection from the queue, if it is in it.
func (q *Queue[Owner]) Remove(connection *Connection[Owner]) {
	if connection.element != nil {
		q.waiting.Remove(connection.element)
		connection.element = nil
	}
}

// Len returns the number of waiting connections.
func (q *Queue[Owner]) Len() int { return q.waiting.Len() }

// TimedOut returns the connection that has waited longest, and for how long, if that is longer than Limits.MaxWait.
// Otherwise it returns nil. The caller must reject its messages and remove the connection.
func (q *Queue[Owner]) TimedOut(now time.Duration) (timedOut *Connection[Owner], waited time.Duration) {
	longest := q.first()
	if longest == nil || now-longest.queuedAt <= q.limits.MaxWait {
		return nil, 0
	}
	return longest, now - longest.queuedAt
}

// Expired returns the waiting connections with a message that must be rejected now, the longest waiting first.
func (q *Queue[Owner]) Expired(now time.Duration) (expired []*Connection[Owner]) {
	for element := q.waiting.Front(); element != nil; element = element.Next() {
		if connection := element.Value.(*Connection[Owner]); now >= connection.rejectAt {
			expired = append(expired, connection)
		}
	}
	return expired
}

// StartRound begins a round, in which each connection that is waiting now gets one turn until the round's messages are
// used up.
func (q *Queue[Owner]) StartRound() {
	q.turnsLeft = q.waiting.Len()
	q.messagesLeft = q.limits.MessagesPerRound
}

// Next ends the current turn and returns the connection whose turn is next, or nil at the end of the round.
func (q *Queue[Owner]) Next() *Connection[Owner] {
	q.endTurn()
	next := q.first()
	if next == nil || q.turnsLeft == 0 || q.messagesLeft == 0 {
		return nil
	}
	q.Remove(next)
	q.turnsLeft--
	next.allowance = min(q.limits.MessagesPerConnection, q.messagesLeft)
	q.messagesLeft -= next.allowance
	q.current = next
	return next
}

// endTurn ends the current turn and returns its unused messages to the round.
func (q *Queue[Owner]) endTurn() {
	if q.current == nil {
		return
	}
	q.messagesLeft += q.current.allowance
	q.current.allowance = 0
	q.current = nil
}

// first returns the connection that has waited longest, or nil if none is waiting.
func (q *Queue[Owner]) first() *Connection[Owner] {
	element := q.waiting.Front()
	if element == nil {
		return nil
	}
	return element.Value.(*Connection[Owner])
}

// RejectAt sets the time at which the first of the waiting messages must be rejected unless it was handled before.
func (c *Connection[Owner]) RejectAt(at time.Duration) { c.rejectAt = at }

// IsWaiting reports whether the connection waits for a turn.
func (c *Connection[Owner]) IsWaiting() bool { return c.element != nil }

// EarliestArrival returns the earliest time at which the next messages may have arrived, given that new bytes arrived
// at readAt. While older messages are unread, it is the time of the oldest, because message boundaries are not known
// yet.
func (c *Connection[Owner]) EarliestArrival(readAt time.Duration) time.Duration {
	if c.unreadSince != 0 {
		return min(readAt, c.unreadSince)
	}
	return readAt
}

// MarkUnread records that messages are left unread, the first of which may have arrived as early as arrival.
func (c *Connection[Owner]) MarkUnread(arrival time.Duration) {
	if c.unreadSince == 0 {
		c.unreadSince = arrival
	}
}

// MarkAllRead records that no complete messages are left unread.
func (c *Connection[Owner]) MarkAllRead() { c.unreadSince = 0 }

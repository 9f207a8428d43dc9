// Package pacing decides how fast the messages of rate-limited connections are handled, and which connections send
// too much and are closed.
//
// A connection is rate-limited while identity rejects its requests for want of a budget. Its messages are then
// handled in rounds of turns, a few at a time, so that a flood delays nobody else. A round here is one tick of the
// frontend, not one of the event loop. A Queue holds the connections that wait for a turn; an OpenLimit decides about
// the requests of any connection by how many are open.
//
// Invariants:
//
//   - In a round a connection has at most one turn, in which at most Limits.MessagesPerConnection of its messages are
//     handled, and at most Limits.MessagesPerRound of all connections' together.
//   - Turns are in the order in which connections began to wait; one that still has messages after its turn waits
//     anew.
//   - A connection that waits longer than Limits.MaxWait is timed out, and no other.
//   - A connection stands in the queue at most once.
//
// Bounds: one list element for each connection that waits. The package does no I/O and asks no clock. It is not safe
// for concurrent use.
package pacing

import (
	"container/list"
	"time"
)

// Limits bounds what rate-limited connections may send.
type Limits struct {
	MessagesPerConnection int           // that are handled in one turn
	MessagesPerRound      int           // that are handled in one round, of all connections
	MaxWait               time.Duration // for a turn: a connection that waits longer is to be closed
	MaxUnreadBytes        int           // of one connection: with more that wait, it is to be closed
}

// Queue is the rate-limited connections with messages that wait, the longest waiting first.
type Queue[Owner any] struct {
	limits  Limits
	waiting list.List // of *Connection[Owner]

	// The round that StartRound began.
	current      *Connection[Owner] // whose turn it is; nil: nobody's
	turnsLeft    int
	messagesLeft int
}

// NewQueue returns an empty queue.
func NewQueue[Owner any](limits Limits) *Queue[Owner] {
	return &Queue[Owner]{limits: limits}
}

// Connection is what the queue knows of one connection.
type Connection[Owner any] struct {
	Owner Owner // whose the connection is

	element     *list.Element // in Queue.waiting; nil: it does not wait for a turn
	queuedAt    time.Duration // when it began to wait for its turn
	allowance   int           // messages that may still be handled in its turn
	unreadSince time.Duration // since when messages of it have waited without a break; 0: none wait
}

// Admit reports whether the next message of a rate-limited connection may be handled now. If not, the connection
// waits for its turn.
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

// Remove takes a connection that has ended out of the queue.
func (q *Queue[Owner]) Remove(connection *Connection[Owner]) {
	if connection.element != nil {
		q.waiting.Remove(connection.element)
		connection.element = nil
	}
}

// Len returns the number of connections that wait for a turn.
func (q *Queue[Owner]) Len() int { return q.waiting.Len() }

// TimedOut returns the connection that has waited longest, and for how long, if that is longer than it may wait; nil:
// none has. The caller closes and removes it.
func (q *Queue[Owner]) TimedOut(now time.Duration) (timedOut *Connection[Owner], waited time.Duration) {
	longest := q.first()
	if longest == nil || now-longest.queuedAt <= q.limits.MaxWait {
		return nil, 0
	}
	return longest, now - longest.queuedAt
}

// TooMuchUnread reports whether a connection with so many unread bytes must be closed.
func (q *Queue[Owner]) TooMuchUnread(bytes int) bool { return bytes > q.limits.MaxUnreadBytes }

// StartRound begins a round, in which each connection that waits now gets one turn while messages are left.
func (q *Queue[Owner]) StartRound() {
	q.turnsLeft = q.waiting.Len()
	q.messagesLeft = q.limits.MessagesPerRound
}

// Next ends the current turn and returns the connection that has the next one, or nil at the end of the round.
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

// endTurn returns the unused part of the last turn to the round.
func (q *Queue[Owner]) endTurn() {
	if q.current == nil {
		return
	}
	q.messagesLeft += q.current.allowance
	q.current.allowance = 0
	q.current = nil
}

// first returns the connection that has waited longest; nil: none waits.
func (q *Queue[Owner]) first() *Connection[Owner] {
	element := q.waiting.Front()
	if element == nil {
		return nil
	}
	return element.Value.(*Connection[Owner])
}

// EarliestArrival returns the earliest time at which the next messages may have arrived, given that new bytes arrived
// at readAt. While older messages are unread it is the time of the oldest, since message boundaries are not known
// yet.
func (c *Connection[Owner]) EarliestArrival(readAt time.Duration) time.Duration {
	if c.unreadSince != 0 {
		return min(readAt, c.unreadSince)
	}
	return readAt
}

// MarkUnread records that messages are left unread, the first of which may have arrived at arrival.
func (c *Connection[Owner]) MarkUnread(arrival time.Duration) {
	if c.unreadSince == 0 {
		c.unreadSince = arrival
	}
}

// MarkAllRead records that no complete message is left unread.
func (c *Connection[Owner]) MarkAllRead() { c.unreadSince = 0 }

// Package connlimit limits the number of client connections of one frontend. It decides which client is evicted, and
// when.
//
// A client is in one of four states:
//
//   - new: it has not sent a complete message yet;
//   - busy: it has an open request;
//   - flushing: it has no open request, but the operating system has not accepted all of its responses;
//   - idle: none of these.
//
// A client is evicted only for these reasons:
//
//   - The limit is reached and another client connects. The oldest new client is evicted if it has been connected for
//     firstMessageGrace; otherwise the client that has been idle longest; otherwise the oldest new client. If no
//     client is new or idle, none is evicted and the connecting client is not admitted.
//   - It is new and has not sent a complete message within MessageTimeout.
//   - It has not completed a message within MessageTimeout of beginning it, and is neither busy nor flushing.
//   - It has been idle for longer than the limiter's idle timeout.
//   - It is flushing, and the operating system has not accepted any more of its responses for longer than the idle
//     timeout.
//   - CloseIdle is called, and it is idle and has not begun a message.
//
// Invariants: a busy client is never evicted, and a flushing one only for the reason given above; there are never
// more clients than the configured maximum; each client is in at most one queue.
//
// A limiter does no I/O and reads no clock: the frontend passes in the time, reports what it has read, and closes a
// connection when the client's evict function is called. A limiter is not safe for concurrent use.
package connlimit

import (
	"container/list"
	"time"
)

const (
	// MessageTimeout is how long a client may take to send its first message, and to complete one that it has begun.
	// It is below the 3 s within which the protocol requires that a misbehaving client is rejected, gets an error or is
	// disconnected.
	MessageTimeout = 2 * time.Second
	// firstMessageGrace is how long after connecting a new client is not evicted while there are idle ones to evict.
	firstMessageGrace = 250 * time.Millisecond
)

// Limiter limits the client connections of one frontend.
type Limiter struct {
	maxClients  int
	idleTimeout time.Duration
	count       int
	fresh       *list.List // of *Client in state new, the longest connected first
	idle        *list.List // of *Client in state idle, the longest idle first

	partialMessages map[*Client]bool // clients with an incomplete message
	flushing        map[*Client]bool // clients in state flushing
	evicted         Evicted          // since the last Tick
}

// New returns a limiter that admits at most maxClients connections and evicts those that are idle for longer than
// idleTimeout.
func New(maxClients int, idleTimeout time.Duration) *Limiter {
	return &Limiter{
		maxClients:      maxClients,
		idleTimeout:     idleTimeout,
		fresh:           list.New(),
		idle:            list.New(),
		partialMessages: map[*Client]bool{},
		flushing:        map[*Client]bool{},
	}
}

// Admit registers a new connection. If the limit is reached, it evicts another one first, or returns nil if none may
// be evicted.
//
// To evict the client, the limiter calls evict, which must close the connection and call Remove. unsent must return
// how many bytes of the client's responses the operating system has not accepted yet. Neither may block.
func (l *Limiter) Admit(now time.Duration, evict func(), unsent func() int) *Client {
	if l.count >= l.maxClients && !l.evictOne(now) {
		return nil
	}
	l.count++
	client := &Client{limiter: l, evict: evict, unsent: unsent}
	client.requeue(now)
	return client
}

// Len returns the number of connections.
func (l *Limiter) Len() int { return l.count }

// evictOne evicts a client to make room for a connecting one, and reports whether there was one to evict.
func (l *Limiter) evictOne(now time.Duration) bool {
	if l.idle.Len() == 0 {
		l.updateFlushing(now)
	}
	victim := first(l.fresh)
	if victim == nil || now-victim.since < firstMessageGrace {
		if longestIdle := first(l.idle); longestIdle != nil {
			victim = longestIdle
		}
	}
	if victim == nil {
		return false
	}
	victim.evict()
	return true
}

// Evicted counts the clients that were evicted although they lose something by it.
type Evicted struct {
	Unfinished int // for an incomplete message that was not their first
	Stalled    int // flushing ones, which had stopped reading their responses
}

// Tick evicts the clients whose timeout has expired. It returns how many were evicted since the last Tick although they
// lost something by it. The frontend calls it periodically.
func (l *Limiter) Tick(now time.Duration) Evicted {
	for client := first(l.fresh); client != nil && now-client.since > MessageTimeout; client = first(l.fresh) {
		client.evict()
	}
	for client := first(l.idle); client != nil && now-client.since > l.idleTimeout; client = first(l.idle) {
		client.evict()
	}
	for client := range l.partialMessages {
		// A busy or flushing client is not evicted: it must get the responses to its earlier messages first.
		if now-client.partialSince > MessageTimeout && !client.busy && !l.flushing[client] {
			l.evicted.Unfinished++
			client.evict()
		}
	}
	l.updateFlushing(now)
	evicted := l.evicted
	l.evicted = Evicted{}
	return evicted
}

// updateFlushing checks how much flushing clients still have unsent: those with nothing unsent become idle, and those
// without progress for longer than the idle timeout are evicted.
func (l *Limiter) updateFlushing(now time.Duration) {
	for client := range l.flushing {
		switch unsent := client.unsent(); {
		case unsent == 0:
			delete(l.flushing, client)
			client.requeue(now)
		case unsent < client.lastUnsent:
			client.lastUnsent = unsent
			client.since = now
		case now-client.since > l.idleTimeout:
			l.evicted.Stalled++
			client.evict()
		}
	}
}

// CloseIdle evicts all idle clients that have not begun a message: they lose nothing. It first updates the flushing
// clients, because some may have become idle since the last Tick.
func (l *Limiter) CloseIdle(now time.Duration) {
	l.updateFlushing(now)
	for element := l.idle.Front(); element != nil; {
		client := element.Value.(*Client)
		element = element.Next()
		if !l.partialMessages[client] {
			client.evict()
		}
	}
}

// first returns the first client of a queue, or nil if the queue is empty.
func first(queue *list.List) *Client {
	element := queue.Front()
	if element == nil {
		return nil
	}
	return element.Value.(*Client)
}

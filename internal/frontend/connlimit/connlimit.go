// Package connlimit keeps the clients of a front within its descriptors and its patience: who has said nothing yet, who
// has sent a part of a message, who is idle, and who makes way when a new one comes.
package connlimit

import (
	"container/list"
	"time"
)

const (
	// MessageTimeout is how long a client may take for its first message and for the rest of one that it has begun. A bad
	// client is owed a refusal, an error or a close within 3 s.
	MessageTimeout = 2 * time.Second
	// firstWithin is how long a new client stays for certain while there are idle ones.
	firstWithin = 250 * time.Millisecond
)

// Limiter is all clients of one front. Clients that connect by hundreds and say nothing, or ask once and stay, must not
// keep others out: when all places are taken one of those makes way.
//
// Invariant: who has something open is never bidden to leave; who has not taken all of its answers is only when it takes nothing for as
// long as an idle one may stay.
type Limiter struct {
	most    int
	patient time.Duration // with idle clients
	count   int
	fresh   *list.List // guests without a whole message yet, the oldest first
	idle    *list.List // guests with nothing open and nothing unsent, the longest idle first
	halves  map[*Client]bool
	owed    map[*Client]bool // guests whose answers are on their way
}

// Client is one client's connection.
type Client struct {
	lobby  *Limiter
	bid    func()     // bids it leave: closes the connection
	unsent func() int // bytes of its answers that the system has not taken
	left   int        // of them when it was last looked at
	since  time.Duration
	half   time.Duration // when the message that is not whole was begun
	asked  bool          // it has sent a whole message
	busy   bool
	gone   bool
	queue  *list.List // that it is in: fresh, idle or, when it is busy, none
	ticket *list.Element
}

// New makes a lobby with a number of places. A guest with nothing open is bidden to leave after patient.
func New(most int, patient time.Duration) *Limiter {
	return &Limiter{most: most, patient: patient, fresh: list.New(), idle: list.New(), halves: map[*Client]bool{},
		owed: map[*Client]bool{}}
}

// Admit gives a client a place, or nil where all guests are busy. bid must close the connection and call Leave; unsent says how
// many bytes of its answers the system has not taken.
func (l *Limiter) Admit(now time.Duration, bid func(), unsent func() int) *Client {
	if l.count >= l.most && !l.makeWay(now) {
		return nil
	}
	l.count++
	g := &Client{lobby: l, bid: bid, unsent: unsent}
	g.settle(now)
	return g
}

// Len is the number of guests.
func (l *Limiter) Len() int { return l.count }

func (l *Limiter) makeWay(now time.Duration) bool {
	if l.idle.Len() == 0 {
		l.recount(now)
	}
	victim := l.fresh.Front()
	if victim == nil || now-victim.Value.(*Client).since < firstWithin {
		if longest := l.idle.Front(); longest != nil {
			victim = longest
		}
	}
	if victim == nil {
		return false
	}
	victim.Value.(*Client).bid()
	return true
}

// Tick bids those leave whose time is over, and counts those that did not end a message.
func (l *Limiter) Tick(now time.Duration) (halves int) {
	for e := l.fresh.Front(); e != nil && now-e.Value.(*Client).since > MessageTimeout; e = l.fresh.Front() {
		e.Value.(*Client).bid()
	}
	for e := l.idle.Front(); e != nil && now-e.Value.(*Client).since > l.patient; e = l.idle.Front() {
		e.Value.(*Client).bid()
	}
	for g := range l.halves { // one that has something open stays: what it sent before the half was whole
		if now-g.half > MessageTimeout && !g.busy && !l.owed[g] {
			halves++
			g.bid()
		}
	}
	l.recount(now)
	return halves
}

// recount looks which guests have taken their answers meanwhile.
func (l *Limiter) recount(now time.Duration) {
	for g := range l.owed {
		switch left := g.unsent(); {
		case left == 0:
			delete(l.owed, g)
			g.settle(now)
		case left < g.left:
			g.left, g.since = left, now
		case now-g.since > l.patient:
			g.bid() // it takes nothing of what it asked for
		}
	}
}

// CloseIdle bids all leave that are idle and have not begun a message: nothing is lost with them.
func (l *Limiter) CloseIdle() {
	for e := l.idle.Front(); e != nil; {
		g := e.Value.(*Client)
		e = e.Next()
		if !l.halves[g] {
			g.bid()
		}
	}
}

// Received notes what has been read: whether messages came whole, and whether a part of one is left over.
func (g *Client) Received(now time.Duration, whole, half bool) {
	if g.gone {
		return
	}
	if whole {
		g.asked = true
		g.settle(now)
	}
	if !half {
		delete(g.lobby.halves, g)
	} else if whole || !g.lobby.halves[g] {
		g.half = now
		g.lobby.halves[g] = true
	}
}

// Busy says whether something is open for the guest. Where nothing is any more its last answers are still on their way.
func (g *Client) Busy(now time.Duration, busy bool) {
	if g.gone {
		return
	}
	if g.busy = busy; busy {
		delete(g.lobby.owed, g)
	} else if g.left = g.unsent(); g.left > 0 {
		g.lobby.owed[g] = true
	}
	g.settle(now)
}

// settle puts the guest last into the queue that it belongs to.
func (g *Client) settle(now time.Duration) {
	if g.queue != nil {
		g.queue.Remove(g.ticket)
	}
	g.since = now
	switch g.queue = g.lobby.idle; {
	case g.gone || g.busy || g.lobby.owed[g]:
		g.queue = nil
		return
	case !g.asked:
		g.queue = g.lobby.fresh
	}
	g.ticket = g.queue.PushBack(g)
}

// Remove gives the place free. It may be called more than once.
func (g *Client) Remove() {
	if g.gone {
		return
	}
	g.gone = true
	g.lobby.count--
	delete(g.lobby.halves, g)
	delete(g.lobby.owed, g)
	g.settle(0)
}

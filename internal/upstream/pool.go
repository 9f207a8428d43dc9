// Package upstream sends attempts to caches, parents and the origin, and takes their responses: lines of words, many
// requests on a connection, responses in any order.
//
// A Pool has the connections to each endpoint, by the endpoint's id and not by its address. What is to be done with a
// connection is decided apart from its I/O: which one an attempt goes by in selection, whether it lives in package
// liveness, what a failed dial means in classifyDial, and which ids may be used on it in idHistory.
package upstream

import (
	"net"
	"net/netip"
	"slices"
	"time"

	"sloequay/internal/broker"
	"sloequay/internal/eventloop"
	"sloequay/internal/policy"
)

// Pool is all connections to endpoints. Its owner sets the exported fields, all but Stats, before the first call. All
// methods run on the loop, and none blocks.
type Pool struct {
	Loop *eventloop.Loop
	Now  func() time.Duration // the monotonic clock
	Log  func(event string, fields ...any)
	// Emit takes each AttemptEnded. It is called in the midst of the pool's work and must not call the pool.
	Emit func(broker.Event)
	// MaySend is asked just before an attempt is written, and says how old a copy may be.
	MaySend func(*broker.Attempt, time.Duration) (maxAge time.Duration, ok bool)
	// Resolve looks up a name and calls done on the loop, later.
	Resolve func(name string, done func(netip.Addr, error))
	// DeferWrites is asked right before attempts are put on a connection, and says whether they wait for another round.
	DeferWrites    func() bool
	AddressBlocked func(address string) bool // whether an address that a name server gave may not be used
	// SecureDialer gives the function that dials an endpoint where that is not by plain TCP. The function runs beside
	// the loop and ends in its own time. A nil SecureDialer, or a nil function, stands for plain TCP.
	SecureDialer func(*broker.Endpoint) func(address string) (net.Conn, error)

	Classes        []policy.Class
	DialTimeout    time.Duration
	IdleTimeout    time.Duration // after which endpoints close an idle connection; 0: never
	Streams        int           // attempts and checks at once on a connection
	MaxConnections int           // descriptors
	ChecksAllowed  bool          // whether endpoints may be asked if a connection lives
	CancelAllowed  bool          // whether they may be told that an attempt is given up
	FlowKBps       float64       // kilobytes a second of one response; 0: not known

	Stats Stats // since TakeStats

	endpoints         map[policy.EndpointID]*endpointConnections
	flushQueue        []*connection // those that are up and have attempts to be written
	connections       int           // up or being dialed
	checksSent        int           // numbers their ids
	livenessSteppedAt time.Duration // when CheckLiveness last looked
}

// Send has an attempt written after the next Flush, or once a connection is up. Its end is an AttemptEnded.
func (p *Pool) Send(attempt *broker.Attempt) {
	connection := p.connectionFor(attempt)
	if connection == nil {
		p.Log("upstream-connection-limit", "endpoint", attempt.Endpoint.Name)
		p.Emit(broker.AttemptEnded{Attempt: attempt, End: broker.NoConnectionCapacity})
		return
	}
	connection.waiting = append(connection.waiting, attempt)
	if connection.state == stateUp {
		connection.queueFlush()
	}
}

// connectionFor chooses the connection for an attempt, and dials one if need be; nil: there is no room for it.
func (p *Pool) connectionFor(attempt *broker.Attempt) *connection {
	group := p.connectionsOf(attempt.Endpoint)
	best, wantsAnother := group.choose(attempt.Request.ID)
	if !wantsAnother || !p.makeRoom() {
		return best
	}
	dialed := p.dial(group)
	if best == nil {
		return dialed
	}
	return best
}

// connectionsOf gives an endpoint's connections.
func (p *Pool) connectionsOf(endpoint *broker.Endpoint) *endpointConnections {
	if p.endpoints == nil {
		p.endpoints = map[policy.EndpointID]*endpointConnections{}
	}
	group := p.endpoints[endpoint.ID]
	if group == nil {
		group = &endpointConnections{pool: p}
		p.endpoints[endpoint.ID] = group
	}
	group.endpoint = endpoint
	return group
}

// makeRoom says whether one more connection may be opened. The one that has been idle longest makes way for it. A dial
// counts twice, as it holds two descriptors until its connection is up.
func (p *Pool) makeRoom() bool {
	if p.connections+p.Loop.PendingDials() < p.MaxConnections {
		return true
	}
	var idle *connection
	for _, group := range p.endpoints {
		for _, connection := range group.connections {
			isCandidate := connection.isIdle() && !connection.isRetired
			if isCandidate && (idle == nil || connection.lastUsedAt < idle.lastUsedAt) {
				idle = connection
			}
		}
	}
	if idle != nil {
		idle.retire()
	}
	return idle != nil
}

// Flush has the attempts written that wait for connections which are up. It is called once what the round brought is
// known. They are composed right before the loop writes to the sockets, see connection.Compose: an attempt whose client
// leaves, or whose endpoint drains, until then is not sent.
func (p *Pool) Flush() {
	queue := p.flushQueue
	p.flushQueue = nil
	for _, connection := range queue {
		connection.isFlushQueued = false
		if connection.state == stateClosed {
			connection.flush() // which ends what waits for it
			continue
		}
		connection.isFlushing = true
		connection.conn.RequestWrite()
	}
}

// Cancel gives up an attempt that may be in flight. With AwaitEnd its AttemptEnded comes when the endpoint is known to
// have read that: it may read it later than another one reads the next attempt, or never.
//
// Where attempts can't be canceled, it stays on its connection until the time is up that the endpoint was told. What
// comes for it ends nothing any more.
func (p *Pool) Cancel(effect broker.CancelAttempt) {
	if group := p.endpoints[effect.Attempt.Endpoint.ID]; group != nil {
		connection := group.find(effect.Attempt)
		if connection != nil && connection.cancel(effect) == endFollows {
			return
		}
	}
	if effect.AwaitEnd {
		p.Emit(broker.AttemptEnded{Attempt: effect.Attempt, End: broker.Canceled})
	}
}

// EndpointChanged follows the list. A process that has started anew, or an endpoint that is at another address, can't
// answer what was sent before; nor can one that is gone. A new endpoint may be at its address: that one has its own
// connections.
func (p *Pool) EndpointChanged(effect broker.EndpointChanged) {
	endpoint := effect.Endpoint
	group := p.endpoints[endpoint.ID]
	if group == nil {
		return
	}
	for _, connection := range slices.Clone(group.connections) {
		isVoid := effect.Restarted && connection.predates(endpoint)
		switch {
		case connection.state == stateUp && (isVoid || endpoint.State == policy.Gone):
			connection.endWaiting(broker.Blocked)
			connection.endOutstanding(broker.ConnectionReset)
			connection.retire()
		case isVoid || endpoint.State != policy.Ready:
			connection.endWaiting(broker.Blocked) // what waits for a dial goes elsewhere now
			connection.retire()
		}
	}
}

// Housekeep closes what is idle and forgets ids that were given up long ago. It is called some times a second.
func (p *Pool) Housekeep(now time.Duration) {
	for id, group := range p.endpoints {
		for _, connection := range slices.Clone(group.connections) {
			connection.housekeep(now)
		}
		if group.endpoint.State == policy.Gone && len(group.connections) == 0 {
			delete(p.endpoints, id)
		}
	}
}

// Sizes is how much a pool has. All of it comes back to what it was once nothing is asked any more.
type Sizes struct {
	Endpoints     int // that were sent to, and are not gone
	Connections   int // up or being dialed
	Open          int // attempts and checks that wait or are outstanding
	RememberedIDs int // ids that are remembered, see idHistory
}

// Sizes tells what the pool has, by a walk over all connections: for operators, and for tests that nothing grows.
func (p *Pool) Sizes() Sizes {
	sizes := Sizes{Endpoints: len(p.endpoints), Connections: p.connections}
	for _, group := range p.endpoints {
		for _, connection := range group.connections {
			sizes.Open += connection.load()
			sizes.RememberedIDs += len(connection.history.entries)
		}
	}
	return sizes
}

// Package upstream sends attempts to caches, parents and the origin, and receives their responses. The protocol is
// line-based; many requests share a connection, and responses may arrive in any order.
//
// A Pool keeps the connections to each endpoint by the endpoint's id, not by its address. Decisions about connections
// are separate from their I/O: selection chooses the connection for an attempt, package liveness decides whether a
// connection is alive, classifyDial interprets a failed dial, and idHistory tells which request ids are free.
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

// Pool holds the connections to all endpoints. Its owner must set the exported fields, except Stats, before the first
// call. All methods must be called on the loop, and none blocks.
type Pool struct {
	Loop *eventloop.Loop
	Now  func() time.Duration // the monotonic clock
	Log  func(event string, fields ...any)
	// Emit receives each AttemptEnded. The pool calls it while its state is changing, so Emit must not call the pool.
	Emit func(broker.Event)
	// MaySend reports, just before an attempt is written, whether it may still be sent, and the maximum age of a cached
	// copy that may serve it (0: the limit of its class).
	MaySend func(*broker.Attempt, time.Duration) (maxAge time.Duration, ok bool)
	// Resolve looks up the address of a host name. It calls done on the loop, after it has returned.
	Resolve func(name string, done func(netip.Addr, error))
	// DeferWrites reports, right before attempts are written to a connection, whether they must wait for another round.
	DeferWrites    func() bool
	AddressBlocked func(address string) bool // whether an address from the name server must not be used
	// SecureDialer returns the function that dials an endpoint if it is not dialed by plain TCP. That function runs on
	// another goroutine and must apply its own timeout. A nil SecureDialer, or a nil function, means plain TCP.
	SecureDialer func(*broker.Endpoint) func(address string) (net.Conn, error)

	Classes        []policy.Class
	DialTimeout    time.Duration
	IdleTimeout    time.Duration // after which endpoints close an idle connection; 0: never
	Streams        int           // load (attempts and checks) at which a connection takes no more attempts
	MaxConnections int           // limit on descriptors: a connection takes one, a dial two
	ChecksAllowed  bool          // whether endpoints answer liveness checks
	CancelAllowed  bool          // whether endpoints accept cancellations
	FlowKBps       float64       // transfer rate of one response, in kilobytes per second; 0: unknown

	Stats Stats // since the last TakeStats

	endpoints          map[policy.EndpointID]*endpointConnections
	flushQueue         []*connection // connections with waiting attempts to write, or to end if closed
	connections        int           // up or being dialed
	checksSent         int           // for the numbers in their ids
	lastLivenessStepAt time.Duration // when CheckLiveness last checked the connections
}

// Send queues an attempt to be written after the next Flush, or once a connection is up. Emit reports how it ends.
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

// connectionFor returns the connection for an attempt, and dials another one if needed. It returns nil if no usable
// connection exists and the connection limit allows no further one.
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

// connectionsOf returns the connections to an endpoint.
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

// makeRoom reports whether one more connection may be opened. At the limit it retires the connection that has been
// idle longest. A dial counts twice because it may hold two descriptors until its connection is up.
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

// Flush requests the writes of attempts that wait on established connections. It must be called once the round's events
// have been handled. The attempts are encoded only right before the loop writes to the sockets, in connection.Compose:
// an attempt whose client leaves or whose endpoint drains before then is not sent.
func (p *Pool) Flush() {
	queue := p.flushQueue
	p.flushQueue = nil
	for _, connection := range queue {
		connection.isFlushQueued = false
		if connection.state == stateClosed {
			connection.flush() // ends the waiting attempts
			continue
		}
		connection.isFlushing = true
		connection.conn.RequestWrite()
	}
}

// Cancel cancels an attempt that may be in flight. With AwaitEnd an AttemptEnded follows. If endpoints answer checks,
// it follows only once the endpoint is known to have read the cancellation. Otherwise another endpoint could read the
// next attempt before this one reads the cancellation, if it ever does.
//
// If endpoints accept no cancellations, the attempt stays on its connection until its deadline, which the endpoint was
// told. A later response to it has no effect because the attempt has ended.
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

// EndpointChanged applies a change of the endpoint list. An endpoint that restarted, moved to another address or is
// gone can't respond to what was sent before. Another endpoint that takes over its address has its own connections.
func (p *Pool) EndpointChanged(effect broker.EndpointChanged) {
	endpoint := effect.Endpoint
	group := p.endpoints[endpoint.ID]
	if group == nil {
		return
	}
	for _, connection := range slices.Clone(group.connections) {
		isStale := effect.Restarted && connection.predates(endpoint)
		switch {
		case connection.state == stateUp && (isStale || endpoint.State == policy.Gone):
			connection.endWaiting(broker.Blocked)
			connection.endOutstanding(broker.ConnectionReset)
			connection.retire()
		case isStale || endpoint.State != policy.Ready:
			connection.endWaiting(broker.Blocked) // attempts that wait for a dial are placed elsewhere
			connection.retire()
		}
	}
}

// Housekeep closes idle connections, and drops expired ids and endpoints that are gone. It must be called several
// times a second.
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

// Sizes holds the numbers of entries that a pool keeps. They return to their idle values once requests stop.
type Sizes struct {
	Endpoints     int // that attempts were sent to, and that are not gone
	Connections   int // up or being dialed
	Open          int // attempts that wait, and attempts and checks that are outstanding
	RememberedIDs int // see idHistory
}

// Sizes counts the pool's entries by walking over all connections: for operators, and for tests that nothing leaks.
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

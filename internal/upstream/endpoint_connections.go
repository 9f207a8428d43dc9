package upstream

import (
	"slices"

	"sloequay/internal/broker"
)

// endpointConnections holds the connections to one endpoint that are not closed.
type endpointConnections struct {
	pool        *Pool
	endpoint    *broker.Endpoint
	connections []*connection
}

// choose returns the best connection for a request with the given id, or nil if none is usable, and reports whether
// another connection is to be opened.
func (g *endpointConnections) choose(id string) (best *connection, wantsAnother bool) {
	now := g.pool.Now()
	var choice selection
	for i, connection := range g.connections {
		c := connection.candidate(now)
		if choice.consider(c) && connection.isIDFree(id) {
			choice.choose(i, c)
		}
	}
	if choice.isFound {
		best = g.connections[choice.bestIndex]
	}
	return best, choice.wantsAnother(g.pool.Streams)
}

// find returns the connection that an attempt waits for or is outstanding on, or nil if there is none.
func (g *endpointConnections) find(attempt *broker.Attempt) *connection {
	for _, connection := range g.connections {
		if connection.holds(attempt) {
			return connection
		}
	}
	return nil
}

// remove removes a closed connection.
func (g *endpointConnections) remove(closed *connection) {
	g.connections = slices.DeleteFunc(g.connections, func(other *connection) bool { return other == closed })
}

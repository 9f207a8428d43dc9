package upstream

import (
	"slices"

	"sloequay/internal/broker"
)

// endpointConnections is one endpoint with the connections to it that are not closed.
type endpointConnections struct {
	pool        *Pool
	endpoint    *broker.Endpoint
	connections []*connection
}

// choose gives the connection that suits a request with an id best, if there is one, and says whether another one is
// to be opened.
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

// find gives the connection that an attempt waits for or is outstanding on; nil: there is none.
func (g *endpointConnections) find(attempt *broker.Attempt) *connection {
	for _, connection := range g.connections {
		if connection.holds(attempt) {
			return connection
		}
	}
	return nil
}

// remove takes a connection out that has closed.
func (g *endpointConnections) remove(closed *connection) {
	g.connections = slices.DeleteFunc(g.connections, func(other *connection) bool { return other == closed })
}

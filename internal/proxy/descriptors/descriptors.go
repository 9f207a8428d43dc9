// Package descriptors splits the file descriptors that a proxy may open between its clients, by protocol, and its
// endpoints. It keeps no state.
//
// Invariants:
//   - the clients of all protocols together get half of the descriptors;
//   - if the total is at least twice reservedDescriptors, the descriptors of clients and endpoints and
//     reservedDescriptors add up to the total.
//
// Bounds: with fewer descriptors, none are left for endpoints; each pool may still open one connection.
package descriptors

const (
	// reservedDescriptors is the number of descriptors for everything but clients and endpoints: listeners, epoll, the
	// endpoint list watch, the standard streams, and accepted connections that are being handed to the event loop.
	reservedDescriptors = 28
	// clientDivisor divides the total: the quotient is for clients. Usually clients use at most a third of the total;
	// the rest of their part is for clients that stay connected.
	clientDivisor = 2
	// protocolDivisor divides the clients' descriptors to get the limit for DNS, and then the rest of them to get the
	// maximum number of TLS connections.
	protocolDivisor = 4
	// tlsExtraDescriptors is the number of descriptors of a client's TLS connection in addition to the one that the RPC
	// server counts: the socket pair that connects it to the event loop.
	tlsExtraDescriptors = 2
	// upstreamTLSDescriptors is the number of descriptors of a TLS connection to an endpoint: its own and the socket
	// pair that connects it to the event loop.
	upstreamTLSDescriptors = 3
)

// Demand describes what the descriptors are needed for.
type Demand struct {
	Total             int  // number of descriptors that the process may open
	DNS               bool // whether the proxy has a DNS server
	MaxTLSConnections int  // configured limit for clients' TLS connections; 0: no TLS listener
}

// Split holds the limits that result: numbers of connections for clients, and of descriptors for endpoints.
type Split struct {
	RPC       int // clients' RPC connections, including those over TLS
	DNS       int // clients' TCP connections to the DNS server
	TLS       int // clients' TLS connections
	Endpoints int // descriptors for connections to endpoints
}

// Plan splits the descriptors according to the demand.
func Plan(demand Demand) Split {
	clients := demand.Total / clientDivisor
	split := Split{Endpoints: demand.Total - clients - reservedDescriptors}
	if demand.DNS {
		split.DNS = clients / protocolDivisor
		clients -= split.DNS
	}
	if demand.MaxTLSConnections > 0 {
		split.TLS = min(demand.MaxTLSConnections, clients/protocolDivisor)
		clients -= tlsExtraDescriptors * split.TLS
	}
	split.RPC = clients
	return split
}

// MaxConnections returns how many connections a pool may open to its endpoints if it gets the given share of the
// descriptors for endpoints. It returns at least one.
func (s Split) MaxConnections(share float64, security Security) int {
	connections := max(1, int(float64(s.Endpoints)*share))
	if security == TLS {
		connections = max(1, connections/upstreamTLSDescriptors)
	}
	return connections
}

// Security is the transport security of connections to endpoints.
type Security int

// The kinds of transport security.
const (
	Plain Security = iota // TCP without TLS
	TLS
)

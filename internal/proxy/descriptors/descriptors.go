// Package descriptors splits the file descriptors that a proxy may have between its clients, by protocol, and its
// endpoints. It is one function without state.
//
// Invariants:
//   - clients of all protocols together have half of the descriptors;
//   - where there are more than twice ownDescriptors, all that clients and endpoints may take, and ownDescriptors, are
//     the descriptors that there are.
//
// Bounds: with fewer descriptors nothing is left to endpoints; each pool of them may have one connection even so.
package descriptors

const (
	// ownDescriptors is what a proxy needs beside clients and endpoints: listeners, epoll, the endpoint list watch,
	// standard streams, and connections that were accepted and are being handed to the loop.
	ownDescriptors = 28
	// clientDivisor is the part of all that is for clients. Usually a third is used at most; the rest is for those
	// that stay connected.
	clientDivisor = 2
	// protocolDivisor is the part of the clients' that DNS may take, and of what is left then that TLS may take.
	protocolDivisor = 4
	// tlsExtra is what a client's connection by TLS takes beside the one that the RPC server counts: the pair that
	// joins it to the loop.
	tlsExtra = 2
	// upstreamTLSDescriptors is what a connection to an endpoint by TLS takes: its own, and the pair that joins it to
	// the loop.
	upstreamTLSDescriptors = 3
)

// Demand is who shares the descriptors.
type Demand struct {
	Total             int  // that the process may have
	DNS               bool // there is a DNS server
	MaxTLSConnections int  // the most that the settings allow of clients by TLS; 0: there is no such listener
}

// Split is the result: connections that each may have.
type Split struct {
	RPC       int // clients by RPC, those by TLS among them
	DNS       int // clients of the DNS server by TCP
	TLS       int // clients by TLS
	Endpoints int // descriptors for the connections to endpoints
}

// Plan splits the descriptors.
func Plan(demand Demand) Split {
	clients := demand.Total / clientDivisor
	split := Split{Endpoints: demand.Total - clients - ownDescriptors}
	if demand.DNS {
		split.DNS = clients / protocolDivisor
		clients -= split.DNS
	}
	if demand.MaxTLSConnections > 0 {
		split.TLS = min(demand.MaxTLSConnections, clients/protocolDivisor)
		clients -= tlsExtra * split.TLS
	}
	split.RPC = clients
	return split
}

// MaxConnections returns how many connections to endpoints a pool may have that gets a share of their descriptors, one
// at least.
func (s Split) MaxConnections(share float64, security Security) int {
	connections := max(1, int(float64(s.Endpoints)*share))
	if security == TLS {
		connections = max(1, connections/upstreamTLSDescriptors)
	}
	return connections
}

// Security is how connections to endpoints are secured.
type Security int

// The ways to connect to endpoints.
const (
	Plain Security = iota
	TLS
)

package drill

import (
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"time"
)

// linkFaults are the faults of one direction between two nodes. The zero value has no faults.
type linkFaults struct {
	cut            bool          // bytes do not arrive, and neither side is told
	refuse         bool          // new connections are reset as soon as they are made
	delay          time.Duration // of each segment
	jitter         time.Duration // the maximum of a random time added to delay
	loss           float64       // share of segments lost; TCP resends them after retransmissionTimeout, UDP never
	duplicate      float64       // share of datagrams delivered twice
	reorder        float64       // share of datagrams delivered after later ones
	bytesPerSecond float64       // 0: unlimited
}

// linkRule sets faults for all pairs between two sets of nodes. Of several matching rules the latest applies.
type linkRule struct {
	from, to nodeSet
	faults   linkFaults
}

// network simulates the links between the nodes of a drill. It identifies nodes by their IP addresses, so each process
// binds its own address when it dials. A connection passes the network at the listening side, where listen and the
// relays see who dials.
//
// It runs over healthy loopback sockets, so there are faults that it can't reproduce: a dial over a cut link succeeds
// and then receives nothing, where it would time out on a real network; and a refused connection is established and
// then reset.
type network struct {
	mu        sync.Mutex
	names     map[netip.Addr]string
	rules     []*linkRule
	cache     map[[2]string]linkFaults // effective faults by pair; cleared when the rules change
	conns     map[*linkedConn]bool
	rng       *rand.Rand
	startedAt time.Time // of the drill

	onConnection func(to string)              // called when a node has accepted a connection
	onPeerBytes  func(from string, count int) // called with the bytes that a proxy sends to peers
}

// newNetwork returns a network without nodes.
func newNetwork(seed uint64, onConnection func(to string), onPeerBytes func(from string, count int)) *network {
	return &network{
		names:        map[netip.Addr]string{},
		cache:        map[[2]string]linkFaults{},
		conns:        map[*linkedConn]bool{},
		rng:          rand.New(rand.NewPCG(seed, 1)),
		onConnection: onConnection,
		onPeerBytes:  onPeerBytes,
	}
}

// join registers the name of the node that has an address.
func (n *network) join(address, node string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.names[netip.MustParseAddr(address)] = node
}

// nodeOf returns the name of the node that has an address.
func (n *network) nodeOf(address net.Addr) string { return n.nodeAt(address.String()) }

// nodeAt returns the name of the node that has an address, given as host:port.
func (n *network) nodeAt(address string) string {
	parsed, err := netip.ParseAddrPort(address)
	if err != nil {
		return unknownNode
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if node := n.names[parsed.Addr().Unmap()]; node != "" {
		return node
	}
	return unknownNode
}

// unknownNode is the name for an address that has not been registered.
const unknownNode = "?"

// setFaults puts faults in force, and returns the function that removes them.
func (n *network) setFaults(from, to nodeSet, faults linkFaults) (remove func()) {
	rule := &linkRule{from, to, faults}
	n.mu.Lock()
	n.rules = append(n.rules, rule)
	clear(n.cache)
	n.mu.Unlock()
	return func() { n.removeRule(rule) }
}

func (n *network) removeRule(rule *linkRule) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for i := range n.rules {
		if n.rules[i] == rule {
			n.rules = append(n.rules[:i:i], n.rules[i+1:]...)
			break
		}
	}
	clear(n.cache)
}

// faults returns the faults in force from one node to another.
func (n *network) faults(from, to string) linkFaults {
	n.mu.Lock()
	defer n.mu.Unlock()
	key := [2]string{from, to}
	faults, known := n.cache[key]
	if !known {
		for _, rule := range n.rules {
			if (rule.from == nil || rule.from[from]) && (rule.to == nil || rule.to[to]) {
				faults = rule.faults
			}
		}
		n.cache[key] = faults
	}
	return faults
}

// resetConnections resets the established connections between two sets of nodes, whichever side dialed.
func (n *network) resetConnections(from, to nodeSet) {
	n.mu.Lock()
	var matching []*linkedConn
	for conn := range n.conns {
		if from[conn.from] && to[conn.to] || from[conn.to] && to[conn.from] {
			matching = append(matching, conn)
		}
	}
	n.mu.Unlock()
	for _, conn := range matching {
		resetConn(conn.Conn)
		_ = conn.Close()
	}
}

// resetConn closes a connection with a reset.
func resetConn(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}

// drawBool returns true with the given probability.
func (n *network) drawBool(probability float64) bool {
	if probability <= 0 {
		return false
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.rng.Float64() < probability
}

// drawDelay returns the random delay of a segment.
func (n *network) drawDelay(faults linkFaults) time.Duration {
	delay := faults.delay
	if faults.jitter > 0 {
		n.mu.Lock()
		delay += time.Duration(n.rng.Int64N(int64(faults.jitter)))
		n.mu.Unlock()
	}
	return delay
}

// listen listens for a node that runs in this process. The accepted connections are subject to the links' faults.
func (n *network) listen(node, address string) (net.Listener, error) {
	inner, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	return &linkedListener{inner, n, node}, nil
}

// dial connects a node of this process to a node with a listener of its own.
func (n *network) dial(from, to, address string) (net.Conn, error) {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return nil, err
	}
	return n.wrap(conn, to, from), nil
}

func (n *network) wrap(conn net.Conn, from, to string) *linkedConn {
	linked := &linkedConn{Conn: conn, network: n, from: from, to: to, closed: make(chan struct{})}
	n.mu.Lock()
	n.conns[linked] = true
	n.mu.Unlock()
	return linked
}

// linkedListener accepts the connections of a node.
type linkedListener struct {
	net.Listener
	network *network
	node    string
}

// Accept returns the next connection that the links do not refuse.
func (l *linkedListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		from := l.network.nodeOf(conn.RemoteAddr())
		l.network.onConnection(l.node)
		if l.network.faults(from, l.node).refuse {
			resetConn(conn)
			continue
		}
		return l.network.wrap(conn, from, l.node), nil
	}
}

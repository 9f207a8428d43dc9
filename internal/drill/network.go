package drill

import (
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"time"
)

// linkFaults is how bytes travel from one end to another: one direction of one pair. The zero value is sound.
type linkFaults struct {
	cut            bool          // nothing arrives, and nothing says so
	refuse         bool          // new connections are reset as soon as they are made
	delay          time.Duration // of each segment
	jitter         time.Duration // at random, beyond delay
	loss           float64       // share of segments lost: of TCP they come again after retransmission, of UDP never
	duplicate      float64       // share of datagrams that come twice
	reorder        float64       // share of datagrams that come behind the next ones
	bytesPerSecond float64       // 0: any
}

// linkRule has faults for all pairs between two sets of ends. Later rules go first.
type linkRule struct {
	from, to nodeSet
	faults   linkFaults
}

// network is all links between the ends of a drill. Ends are known by their IP address, so each process binds its own
// when it dials. A connection passes the network at the listening side: listen and relay see who dials.
//
// What it can't play, as it runs over sound loopback sockets: a dial over a cut link succeeds and then hears nothing,
// where on a real network it would time out; a refusal is a reset right after the connection was made.
type network struct {
	mu        sync.Mutex
	names     map[netip.Addr]string
	rules     []*linkRule
	cache     map[[2]string]linkFaults // cleared when a rule comes or goes
	conns     map[*linkedConn]bool
	rng       *rand.Rand
	startedAt time.Time // of the drill

	onConnection func(to string)              // an end has accepted one
	onPeerBytes  func(from string, count int) // what a proxy sends to others
}

// newNetwork makes one without ends.
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

// join gives an address its end's name.
func (n *network) join(address, node string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.names[netip.MustParseAddr(address)] = node
}

// nodeOf names the end that an address is of.
func (n *network) nodeOf(address net.Addr) string { return n.nodeAt(address.String()) }

// nodeAt names the end that an address, as text, is of.
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

// unknownNode stands for an address that has not joined.
const unknownNode = "?"

// setFaults puts faults in force, and returns what lifts them.
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

// faults gives the faults in force from one end to another.
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

// resetConnections resets the connections that stand between two sets of ends, whoever dialed.
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

// resetConn closes a connection by a reset.
func resetConn(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}

// drawBool draws whether something of a probability drawBool.
func (n *network) drawBool(probability float64) bool {
	if probability <= 0 {
		return false
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.rng.Float64() < probability
}

// drawDelay draws how much later a segment arrives.
func (n *network) drawDelay(faults linkFaults) time.Duration {
	delay := faults.delay
	if faults.jitter > 0 {
		n.mu.Lock()
		delay += time.Duration(n.rng.Int64N(int64(faults.jitter)))
		n.mu.Unlock()
	}
	return delay
}

// listen listens for an end that lives in this process. The connections that it accepts have the links' faults.
func (n *network) listen(node, address string) (net.Listener, error) {
	inner, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	return &linkedListener{inner, n, node}, nil
}

// dial connects an end of this process to one that listens by itself.
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

// linkedListener accepts connections for an end.
type linkedListener struct {
	net.Listener
	network *network
	node    string
}

// Accept gives the next connection that the links let in.
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

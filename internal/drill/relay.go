package drill

import (
	"net"
	"sync"
	"time"
)

const (
	// reorderLag is how much later a reordered datagram arrives, in addition to twice the link's delay.
	reorderLag       = 20 * time.Millisecond
	maxDatagram      = 64 << 10 // bytes
	portAttempts     = 20       // at finding a port that is free for both TCP and UDP
	relayDialTimeout = time.Second
)

// relay stands in front of a node that runs as its own process: the other nodes are given the relay's address, which
// has TCP and UDP on one port. It can tell both nodes of each connection or datagram because every node binds its own
// address.
type relay struct {
	network *network
	node    string
	target  string // host:port on which the node listens
	ip      net.IP // the address that the relay dials from
	tcp     net.Listener
	udp     net.PacketConn
	out     *net.UDPConn // to the node
	done    chan struct{}
	once    sync.Once
}

// newRelay starts a relay on a free port of an IP address, for a node that listens at target.
func (n *network) newRelay(node, ip, target string) (*relay, error) {
	tcp, udp, err := listenBoth(ip)
	if err != nil {
		return nil, err
	}
	targetUDP, err := net.ResolveUDPAddr("udp", target)
	if err != nil {
		return nil, err
	}
	own := net.ParseIP(ip)
	out, err := net.DialUDP("udp", &net.UDPAddr{IP: own}, targetUDP)
	if err != nil {
		return nil, err
	}
	r := &relay{
		network: n,
		node:    node,
		target:  target,
		ip:      own,
		tcp:     tcp,
		udp:     udp,
		out:     out,
		done:    make(chan struct{}),
	}
	go r.relayStreams()
	go r.relayDatagrams()
	return r, nil
}

// address returns the address on which the relay listens.
func (r *relay) address() string { return r.tcp.Addr().String() }

// close stops the relay.
func (r *relay) close() {
	r.once.Do(func() {
		close(r.done)
		_ = r.tcp.Close()
		_ = r.udp.Close()
		_ = r.out.Close()
	})
}

func (r *relay) relayStreams() {
	listener := &linkedListener{r.tcp, r.network, r.node}
	for {
		inbound, err := listener.Accept()
		if err != nil {
			return
		}
		go r.relayStream(inbound)
	}
}

// relayStream connects an accepted connection to the node, and copies in both directions until either side ends.
func (r *relay) relayStream(inbound net.Conn) {
	dialer := net.Dialer{Timeout: relayDialTimeout, LocalAddr: &net.TCPAddr{IP: r.ip}}
	outbound, err := dialer.Dial("tcp", r.target)
	if err != nil {
		_ = inbound.Close()
		return
	}
	var both sync.WaitGroup
	both.Add(2)
	go func() {
		defer both.Done()
		r.copyStream(outbound, inbound, remoteNode(inbound))
	}()
	go func() {
		defer both.Done()
		r.copyStream(inbound, outbound, r.node)
	}()
	both.Wait()
}

// copyStream copies what sender sends until either connection ends, and closes both.
func (r *relay) copyStream(to, from net.Conn, sender string) {
	defer to.Close()
	defer from.Close()
	buffer := make([]byte, maxSegment)
	for {
		count, err := from.Read(buffer)
		if count > 0 {
			r.network.onPeerBytes(sender, count)
			if _, err := to.Write(buffer[:count]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

func (r *relay) relayDatagrams() {
	buffer := make([]byte, maxDatagram)
	for {
		count, from, err := r.udp.ReadFrom(buffer)
		if err != nil {
			return
		}
		sender := r.network.nodeOf(from)
		r.network.onPeerBytes(sender, count)
		r.relayDatagram(sender, buffer[:count])
	}
}

// relayDatagram forwards a datagram subject to the link's faults.
func (r *relay) relayDatagram(sender string, datagram []byte) {
	faults := r.network.faults(sender, r.node)
	if faults.cut || faults.refuse || r.network.drawBool(faults.loss) {
		return
	}
	copies := 1
	if r.network.drawBool(faults.duplicate) {
		copies = 2
	}
	delay := r.network.drawDelay(faults)
	if r.network.drawBool(faults.reorder) {
		delay += 2*faults.delay + reorderLag
	}
	data := append([]byte(nil), datagram...)
	for range copies {
		if delay == 0 {
			_, _ = r.out.Write(data)
			continue
		}
		time.AfterFunc(delay, func() {
			select {
			case <-r.done:
			default:
				_, _ = r.out.Write(data)
			}
		})
	}
}

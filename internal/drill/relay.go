package drill

import (
	"errors"
	"net"
	"sync"
	"time"
)

// Relay stands before an end that is a process of its own: who wants to speak to it is told the relay's address, by TCP and
// UDP on one port. It sees both ends of what passes, since everyone binds its own address.
type Relay struct {
	fabric *Fabric
	end    string
	to     string // host:port, where the end listens
	from   net.IP // the address that the relay dials from
	tcp    net.Listener
	udp    net.PacketConn
	far    *net.UDPConn
	done   chan struct{}
	once   sync.Once
}

// NewRelay starts one at an address with a free port, for an end that listens at to.
func (f *Fabric) NewRelay(end, address, to string) (*Relay, error) {
	for range 20 { // the port must be free for both
		tcp, err := net.Listen("tcp", net.JoinHostPort(address, "0"))
		if err != nil {
			return nil, err
		}
		udp, err := net.ListenPacket("udp", tcp.Addr().String())
		if err != nil {
			_ = tcp.Close()
			continue
		}
		target, err := net.ResolveUDPAddr("udp", to)
		if err != nil {
			return nil, err
		}
		far, err := net.DialUDP("udp", &net.UDPAddr{IP: net.ParseIP(address)}, target)
		if err != nil {
			return nil, err
		}
		r := &Relay{fabric: f, end: end, to: to, from: net.ParseIP(address), tcp: tcp, udp: udp, far: far, done: make(chan struct{})}
		go r.streams()
		go r.datagrams()
		return r, nil
	}
	return nil, errors.New("no port is free for both TCP and UDP")
}

// Address is where the relay listens.
func (r *Relay) Address() string { return r.tcp.Addr().String() }

// Close ends it.
func (r *Relay) Close() {
	r.once.Do(func() {
		close(r.done)
		_, _, _ = r.tcp.Close(), r.udp.Close(), r.far.Close()
	})
}

func (r *Relay) streams() {
	ln := &listener{r.tcp, r.fabric, r.end}
	for {
		near, err := ln.Accept()
		if err != nil {
			return
		}
		go func() {
			dialer := net.Dialer{Timeout: time.Second, LocalAddr: &net.TCPAddr{IP: r.from}}
			far, err := dialer.Dial("tcp", r.to)
			if err != nil {
				_ = near.Close()
				return
			}
			var both sync.WaitGroup
			both.Add(2)
			go func() { defer both.Done(); r.pump(far, near, near.(*linked).Source()) }()
			go func() { defer both.Done(); r.pump(near, far, r.end) }()
			both.Wait()
		}()
	}
}

// pump copies what an end sends until either side ends, and ends both.
func (r *Relay) pump(to, from net.Conn, sender string) {
	defer to.Close()
	defer from.Close()
	buffer := make([]byte, pieceMost)
	for {
		n, err := from.Read(buffer)
		if n > 0 {
			r.fabric.passed(sender, n)
			if _, err := to.Write(buffer[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

func (r *Relay) datagrams() {
	buffer := make([]byte, 64<<10)
	for {
		n, from, err := r.udp.ReadFrom(buffer)
		if err != nil {
			return
		}
		sender := r.fabric.who(from)
		r.fabric.passed(sender, n)
		l := r.fabric.link(sender, r.end)
		if l.Cut || l.Refuse || r.fabric.chance(l.Loss) {
			continue
		}
		times := 1
		if r.fabric.chance(l.Twice) {
			times = 2
		}
		late := r.fabric.late(l)
		if r.fabric.chance(l.Swap) {
			late += 2*l.Delay + 20*time.Millisecond
		}
		data := append([]byte(nil), buffer[:n]...)
		for range times {
			if late == 0 {
				_, _ = r.far.Write(data)
				continue
			}
			time.AfterFunc(late, func() {
				select {
				case <-r.done:
				default:
					_, _ = r.far.Write(data)
				}
			})
		}
	}
}

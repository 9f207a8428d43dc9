package eventloop

import (
	"context"
	"fmt"
	"net"
	"net/netip"
	"os"
	"time"

	"github.com/panjf2000/gnet/v2"
	"golang.org/x/sys/unix"

	"sloequay/internal/eventloop/socket"
)

// OnBoot runs before the loop does; the first connection enrolled brings its handle. gnet calls it.
func (l *Loop) OnBoot(engine gnet.Engine) gnet.Action {
	l.engine.Store(&engine)
	l.onceBooted.Do(func() { // a start that failed for a moment is tried again, by another engine
		go func() {
			if err := socket.RetryLocalErrors(l.learnGnetLoop); err != nil {
				fmt.Fprintln(os.Stderr, "event loop:", err)
				os.Exit(1)
			}
		}()
	})
	return gnet.None
}

// learnGnetLoop learns the EventLoop, which gnet gives out only with a connection, and starts the work on it. The
// connection is a UDP socket connected to an address of the program's own, over which nothing is sent: the platform
// allows TCP and UDP over IPv4 alone (a socket pair of the Unix family is refused there, and getsockname on it fails),
// and a connected UDP socket needs no peer to come up. It is closed on the loop once the loop is known; OnOpen and
// OnTraffic leave it alone, as gnet opens it on some systems and not on others.
func (l *Loop) learnGnetLoop() error {
	conn, err := net.Dial("udp4", l.handleAddress)
	if err != nil {
		return fmt.Errorf("handle: %w", err)
	}
	ctx := gnet.NewNetConnContext(gnet.NewContext(context.Background(), handleMark{}), conn)
	for {
		result, err := l.engine.Load().Register(ctx)
		if err != nil { // the loop is not there yet
			time.Sleep(time.Millisecond)
			continue
		}
		registered := <-result
		_ = conn.Close() // gnet holds a duplicate
		if registered.Err != nil {
			return fmt.Errorf("handle: %w", registered.Err)
		}
		gnetLoop, sock := registered.Conn.EventLoop(), registered.Conn
		return gnetLoop.Execute(context.Background(), gnet.RunnableFunc(func(context.Context) error {
			_ = sock.Close()
			l.gnetLoop = gnetLoop
			l.start()
			return nil
		}))
	}
}

// handleMark is the context of the handle's connection, which gnet may or may not open.
type handleMark struct{}

// addressForHandle is an IPv4 address of the program's own to point the handle's socket at: the first listener's, with
// an unspecified host taken as loopback.
func addressForHandle(listeners []Listener) string {
	for _, listener := range listeners {
		address, err := netip.ParseAddrPort(listener.Address)
		if err != nil || !address.Addr().Unmap().Is4() {
			continue
		}
		host := address.Addr().Unmap()
		if host.IsUnspecified() {
			host = netip.AddrFrom4([4]byte{127, 0, 0, 1})
		}
		return netip.AddrPortFrom(host, address.Port()).String()
	}
	return "127.0.0.1:9"
}

// unusedAddress is an address for datagrams on the same host, at a port that the system picks. What comes there is
// dropped.
func unusedAddress(address string) string {
	host, _, _ := net.SplitHostPort(address)
	return net.JoinHostPort(host, "0")
}

// checkVacant fails if somebody else has an address for datagrams. It binds to it for a moment.
func checkVacant(listenAddress string) error {
	address, err := netip.ParseAddrPort(listenAddress)
	if err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	family := unix.AF_INET6
	var to unix.Sockaddr = &unix.SockaddrInet6{Port: int(address.Port()), Addr: address.Addr().As16()}
	if ip := address.Addr().Unmap(); ip.Is4() {
		family = unix.AF_INET
		to = &unix.SockaddrInet4{Port: int(address.Port()), Addr: ip.As4()}
	}
	fd, err := unix.Socket(family, unix.SOCK_DGRAM|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	defer unix.Close(fd)
	if err = unix.Bind(fd, to); err != nil {
		return fmt.Errorf("listen: udp %s: %w", listenAddress, err)
	}
	return nil
}

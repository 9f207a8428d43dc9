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

// OnBoot obtains the event loop in the background, as gnet calls OnBoot before the loop runs.
func (l *Loop) OnBoot(engine gnet.Engine) gnet.Action {
	l.engine.Store(&engine)
	l.bootOnce.Do(func() { // Run retries a start that failed temporarily, with another engine
		go func() {
			if err := socket.RetryLocalErrors(l.obtainGnetLoop); err != nil {
				fmt.Fprintln(os.Stderr, "event loop:", err)
				os.Exit(1)
			}
		}()
	})
	return gnet.None
}

// obtainGnetLoop obtains gnet's EventLoop, which is available only from a connection, and calls start on it. The
// connection is a UDP socket connected to an address of this program, over which nothing is sent: the platform allows
// only TCP and UDP over IPv4 (it refuses a Unix socket pair, and getsockname on it fails), and a UDP socket connects
// without a peer. It is closed on the loop once the loop is known. OnOpen and OnTraffic ignore it, as gnet calls OnOpen
// for it on some systems only.
func (l *Loop) obtainGnetLoop() error {
	conn, err := net.Dial("udp4", l.startupAddress)
	if err != nil {
		return fmt.Errorf("startup connection: %w", err)
	}
	ctx := gnet.NewNetConnContext(gnet.NewContext(context.Background(), startupMarker{}), conn)
	for {
		result, err := l.engine.Load().Register(ctx)
		if err != nil { // the loop does not run yet
			time.Sleep(time.Millisecond)
			continue
		}
		registered := <-result
		_ = conn.Close() // gnet holds a duplicate
		if registered.Err != nil {
			return fmt.Errorf("startup connection: %w", registered.Err)
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

// startupMarker is the context of the connection that obtainGnetLoop uses.
type startupMarker struct{}

// startupConnAddress returns the IPv4 address that obtainGnetLoop connects to: the first one of a listener, with
// loopback in place of an unspecified host. Without one it is the discard port of loopback.
func startupConnAddress(listeners []Listener) string {
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

// ephemeralAddress returns a UDP address on the same host, at a port that the system picks. Datagrams that arrive there
// are dropped.
func ephemeralAddress(address string) string {
	host, _, _ := net.SplitHostPort(address)
	return net.JoinHostPort(host, "0")
}

// checkAddressFree fails if a UDP address is already in use. It binds a socket to the address and closes it.
func checkAddressFree(listenAddress string) error {
	address, err := netip.ParseAddrPort(listenAddress)
	if err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	family := unix.AF_INET6
	var sockaddr unix.Sockaddr = &unix.SockaddrInet6{Port: int(address.Port()), Addr: address.Addr().As16()}
	if ip := address.Addr().Unmap(); ip.Is4() {
		family = unix.AF_INET
		sockaddr = &unix.SockaddrInet4{Port: int(address.Port()), Addr: ip.As4()}
	}
	fd, err := unix.Socket(family, unix.SOCK_DGRAM|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	defer unix.Close(fd)
	if err = unix.Bind(fd, sockaddr); err != nil {
		return fmt.Errorf("listen: udp %s: %w", listenAddress, err)
	}
	return nil
}

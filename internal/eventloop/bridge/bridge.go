// Package bridge connects a connection that supports only blocking calls, such as a TLS connection, to the event loop.
// A Relay copies between the connection and one end of a socket pair, on two goroutines; the loop serves the other end
// like any connection. Copying stops while the kernel's socket buffers to a slow side are full, so no memory grows
// here.
//
// Bytes that the loop has written to the pair have not reached the remote side yet. They stay pending until the remote
// connection accepts them, so that the loop treats them like bytes that a TCP socket has not accepted.
//
// Invariants:
//   - a byte is pending from when the loop has written it until the remote connection has accepted it, or the relay has
//     ended and it can't be sent any more;
//   - once the loop has closed its end, the relay ends: after the remote connection has accepted all pending bytes and
//     the end of the stream, or when it accepts nothing more for the drain timeout;
//   - after Abort no further byte is sent.
package bridge

import (
	"errors"
	"net"
	"os"
	"sync/atomic"
	"syscall"
)

// Totals counts what several relays still have to send. All methods may be called by any goroutine.
type Totals struct {
	pending  atomic.Int64
	draining atomic.Int64
}

// Pending returns the number of bytes that are pending in all relays, including those that are draining.
func (t *Totals) Pending() int { return int(max(0, t.pending.Load())) }

// Draining returns the number of relays that the loop has closed and that have not ended yet.
func (t *Totals) Draining() int { return int(t.draining.Load()) }

// LoopEnd is the loop's end of a relay's socket pair.
type LoopEnd struct {
	*net.UnixConn
	Relay *Relay
}

// Pair returns two connected sockets. It uses two descriptors.
func Pair() (first, second *net.UnixConn, err error) {
	fds, err := syscall.Socketpair(syscall.AF_UNIX, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		return nil, nil, err
	}
	var conns [2]*net.UnixConn
	for i, fd := range fds {
		conn, err2 := unixConn(fd)
		conns[i] = conn
		err = errors.Join(err, err2)
	}
	if err != nil {
		for _, conn := range conns {
			if conn != nil {
				_ = conn.Close()
			}
		}
		return nil, nil, err
	}
	return conns[0], conns[1], nil
}

// unixConn returns a connection for a socket, and takes over its descriptor.
func unixConn(fd int) (*net.UnixConn, error) {
	file := os.NewFile(uintptr(fd), "bridge")
	defer file.Close()
	conn, err := net.FileConn(file)
	if err != nil {
		return nil, err
	}
	return conn.(*net.UnixConn), nil
}

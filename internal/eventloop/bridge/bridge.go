// Package bridge connects a connection that supports only blocking calls, such as a TLS connection, to the event loop.
// It uses a socket pair, one end of which the loop serves like any connection, and two goroutines that copy. Copying
// stops while the kernel's socket buffers to a slow side are full, so no memory grows here.
package bridge

import (
	"errors"
	"io"
	"net"
	"os"
	"syscall"
)

// Pair returns two connected sockets: copyEnd for Copy, loopEnd for the loop. It uses two descriptors.
func Pair() (copyEnd, loopEnd net.Conn, err error) {
	fds, err := syscall.Socketpair(syscall.AF_UNIX, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		return nil, nil, err
	}
	var conns [2]net.Conn
	for i, fd := range fds {
		f := os.NewFile(uintptr(fd), "bridge")
		c, err2 := net.FileConn(f)
		_ = f.Close()
		conns[i], err = c, errors.Join(err, err2)
	}
	if err != nil {
		for _, c := range conns {
			if c != nil {
				_ = c.Close()
			}
		}
		return nil, nil, err
	}
	return conns[0], conns[1], nil
}

// Copy copies bytes in both directions between remote and copyEnd of a pair until either ends, and closes both. It
// blocks until its goroutine has ended too.
func Copy(remote, copyEnd net.Conn) {
	done := make(chan struct{})
	go func() {
		_, _ = io.Copy(remote, copyEnd) // from the loop
		_ = remote.Close()
		close(done)
	}()
	_, _ = io.Copy(copyEnd, remote)
	_ = copyEnd.Close()
	<-done
}

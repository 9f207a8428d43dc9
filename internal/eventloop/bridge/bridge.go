// Package bridge joins a connection that can only be used by blocking, such as one by TLS, to the event loop: a pair of
// sockets, of which the loop serves one like any connection, and two goroutines that copy. Each side that is slow
// holds up the other by the kernel's own buffers, so nothing grows here.
package bridge

import (
	"errors"
	"io"
	"net"
	"os"
	"syscall"
)

// Pair makes two connected sockets: ours for Copy, theirs for the loop. It takes two descriptors.
func Pair() (ours, theirs net.Conn, err error) {
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

// Copy moves bytes both ways between far and our end of a pair until either ends, and closes both. It blocks until
// its goroutine has ended too.
func Copy(far, ours net.Conn) {
	done := make(chan struct{})
	go func() {
		_, _ = io.Copy(far, ours) // what the loop sends
		_ = far.Close()
		close(done)
	}()
	_, _ = io.Copy(ours, far)
	_ = ours.Close()
	<-done
}

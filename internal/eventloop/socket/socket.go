// Package socket accepts TCP connections without losing one if the system temporarily lacks the memory to watch
// it with epoll.
//
// net.Listener registers each accepted connection with Go's poller, and closes it if epoll refuses. Here Accept returns
// a socket that is not registered. The caller may retry the registration as often as necessary, each time with a new
// duplicate of the socket.
package socket

import (
	"context"
	"errors"
	"fmt"
	"net"
	"os"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// errNotWatched is the error of Listen if Go's poller could not watch the listening socket.
var errNotWatched = fmt.Errorf("the listening socket could not be watched: %w", unix.ENOMEM)

// maxReserved is how many additional descriptors a socket may use while epoll refuses to remove watches.
const maxReserved = 4

// errStaleWatches is the error of a socket that would need more than maxReserved additional descriptors, because epoll
// refused to remove the watches of its duplicates.
var errStaleWatches = errors.New("too many watches of the connection could not be ended")

// ErrPeerReset is returned by Socket.Conn if the peer reset the connection before it was taken over.
var ErrPeerReset = errors.New("the peer has reset the connection")

// Listener accepts connections on a TCP address.
type Listener struct {
	address net.Addr
	file    *os.File // the listening socket
	raw     syscall.RawConn
}

// Listen listens on an address, ip:port. It returns the errors of the system calls, or one that wraps ENOMEM if the
// listening socket could not be watched.
func Listen(address string) (*Listener, error) {
	var config net.ListenConfig
	tcpListener, err := config.Listen(context.Background(), "tcp", address)
	if err != nil {
		return nil, err
	}
	defer tcpListener.Close() // file is a duplicate, which keeps listening
	file, err := tcpListener.(*net.TCPListener).File()
	if err != nil {
		return nil, err
	}
	if errors.Is(file.SetDeadline(time.Time{}), os.ErrNoDeadline) { // the file is not registered with the poller
		_ = file.Close()
		return nil, errNotWatched
	}
	raw, err := file.SyscallConn()
	if err != nil {
		_ = file.Close()
		return nil, err
	}
	return &Listener{address: tcpListener.Addr(), file: file, raw: raw}, nil
}

// Address returns the address of the listener, with the port that the system picked if none was given.
func (l *Listener) Address() net.Addr { return l.address }

// Accept waits for the next connection and returns its socket, which the caller must close. Its errors are those of
// accept(2), or an error that the listener was closed.
func (l *Listener) Accept() (*Socket, error) {
	var acceptedFD int
	var acceptErr error
	waitErr := l.raw.Read(func(listenerFD uintptr) (isDone bool) {
		// SOCK_NONBLOCK is not set, or os.NewFile would register the socket with Go's poller. Conn sets it.
		acceptedFD, _, acceptErr = unix.Accept4(int(listenerFD), unix.SOCK_CLOEXEC)
		return acceptErr != unix.EAGAIN
	})
	if waitErr != nil {
		return nil, waitErr
	}
	if acceptErr != nil {
		return nil, os.NewSyscallError("accept4", acceptErr)
	}
	return New(os.NewFile(uintptr(acceptedFD), "accepted")), nil
}

// Close closes the listener, and unblocks a waiting Accept.
func (l *Listener) Close() error { return l.file.Close() }

// Socket is an open connection whose duplicates are watched, while the socket itself need not be. It is not safe for
// concurrent use.
type Socket struct {
	file     *os.File
	reserved []*os.File // duplicates that keep their descriptor numbers from being reused: see Conn
}

// New returns a Socket that takes ownership of file.
func New(file *os.File) *Socket { return &Socket{file: file} }

// Close closes the socket. Connections returned by Conn stay open.
func (s *Socket) Close() error {
	errs := []error{s.file.Close()}
	for _, file := range s.reserved {
		errs = append(errs, file.Close())
	}
	return errors.Join(errs...)
}

// Conn returns a connection made from a duplicate of the socket and watched by Go's poller. After an error for which
// IsLocalError returns true the caller may call Conn again. ErrPeerReset and errStaleWatches are permanent.
func (s *Socket) Conn() (net.Conn, error) {
	conn, err := net.FileConn(s.file)
	for errors.Is(err, unix.EEXIST) {
		// An earlier duplicate had the same descriptor number, and epoll refused to remove its watch, which lasts as
		// long as the socket. Another duplicate keeps that number from being reused.
		if err = s.reserveDescriptor(); err == nil {
			conn, err = net.FileConn(s.file)
		}
	}
	if err != nil {
		return nil, err
	}
	if conn.RemoteAddr() == nil {
		return nil, errors.Join(ErrPeerReset, conn.Close())
	}
	if tcp, isTCP := conn.(*net.TCPConn); isTCP {
		_ = tcp.SetKeepAlive(false) // idle connections are closed long before a keepalive
	}
	return conn, nil
}

// reserveDescriptor duplicates the socket to the lowest free descriptor number.
func (s *Socket) reserveDescriptor() error {
	if len(s.reserved) == maxReserved {
		return errStaleWatches
	}
	duplicate, err := unix.FcntlInt(s.file.Fd(), unix.F_DUPFD_CLOEXEC, 0)
	if err != nil {
		return os.NewSyscallError("fcntl", err)
	}
	s.reserved = append(s.reserved, os.NewFile(uintptr(duplicate), "occupied"))
	return nil
}

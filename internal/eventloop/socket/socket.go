// Package socket accepts TCP connections without losing one that the system has no memory to watch for a moment.
//
// net.Listener registers what it accepts with Go's poller, and closes the connection where epoll refuses that. Here a
// connection comes as a socket that nothing watches yet; whoever takes it may ask for a watch as often as it takes,
// each time by a duplicate of its own.
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

// errNotWatched says that Go's poller could not watch the listening socket.
var errNotWatched = fmt.Errorf("the listening socket could not be watched: %w", unix.ENOMEM)

// maxOccupied is how many further descriptors a socket may take while the system refuses to end watches.
const maxOccupied = 4

// errWatchesRemain says that the system has refused to end more watches of a socket than it may take descriptors for.
var errWatchesRemain = errors.New("too many watches of the connection could not be ended")

// ErrPeerReset says that the peer has reset the connection before anybody took it.
var ErrPeerReset = errors.New("the peer has left")

// Listener is a TCP address on which connections are accepted.
type Listener struct {
	address net.Addr
	file    *os.File // the listening socket
	raw     syscall.RawConn
}

// Listen opens an address, ip:port. Its errors are those of the system calls, and one that wraps ENOMEM where the
// listening socket could not be watched.
func Listen(address string) (*Listener, error) {
	var config net.ListenConfig
	listening, err := config.Listen(context.Background(), "tcp", address)
	if err != nil {
		return nil, err
	}
	defer listening.Close() // file is a duplicate, which goes on listening
	file, err := listening.(*net.TCPListener).File()
	if err != nil {
		return nil, err
	}
	if errors.Is(file.SetDeadline(time.Time{}), os.ErrNoDeadline) { // so says a file that the poller does not know
		_ = file.Close()
		return nil, errNotWatched
	}
	raw, err := file.SyscallConn()
	if err != nil {
		_ = file.Close()
		return nil, err
	}
	return &Listener{address: listening.Addr(), file: file, raw: raw}, nil
}

// Address is where it listens, with the port that the system has picked where none was named.
func (l *Listener) Address() net.Addr { return l.address }

// Accept waits for the next connection, and gives its socket, which is the caller's to close. Its errors are those of
// accept(2), or that the listener was closed.
func (l *Listener) Accept() (*Socket, error) {
	var descriptor int
	var acceptErr error
	waitErr := l.raw.Read(func(listening uintptr) (isDone bool) {
		// Not SOCK_NONBLOCK, or os.NewFile would ask Go's poller for a watch. Conn sets it.
		descriptor, _, acceptErr = unix.Accept4(int(listening), unix.SOCK_CLOEXEC)
		return acceptErr != unix.EAGAIN
	})
	if waitErr != nil {
		return nil, waitErr
	}
	if acceptErr != nil {
		return nil, os.NewSyscallError("accept4", acceptErr)
	}
	return New(os.NewFile(uintptr(descriptor), "accepted")), nil
}

// Close ends the listener, and an Accept that waits.
func (l *Listener) Close() error { return l.file.Close() }

// Socket is an open connection of which duplicates are watched and the socket itself need not be. It is not safe for
// concurrent use.
type Socket struct {
	file     *os.File
	occupied []*os.File // duplicates that keep their numbers from others: see Conn
}

// New makes a Socket of a file, which is its own from then on.
func New(file *os.File) *Socket { return &Socket{file: file} }

// Close closes the socket. Connections that were made of it stay.
func (s *Socket) Close() error {
	errs := []error{s.file.Close()}
	for _, file := range s.occupied {
		errs = append(errs, file.Close())
	}
	return errors.Join(errs...)
}

// Conn makes a connection of a duplicate of the socket, which Go's poller watches. Where that fails, the socket can be
// tried again, for an error that IsLocalError. Others are ErrPeerReset, and that too many watches remain.
func (s *Socket) Conn() (net.Conn, error) {
	conn, err := net.FileConn(s.file)
	for errors.Is(err, unix.EEXIST) {
		// An earlier duplicate had the same number, and epoll has refused to end its watch, which lasts as long as the
		// socket. A further duplicate keeps that number from being given again.
		if err = s.occupyNumber(); err == nil {
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
		_ = tcp.SetKeepAlive(false) // who says nothing is closed long before
	}
	return conn, nil
}

// occupyNumber duplicates the socket into the lowest number that is free.
func (s *Socket) occupyNumber() error {
	if len(s.occupied) == maxOccupied {
		return errWatchesRemain
	}
	duplicate, err := unix.FcntlInt(s.file.Fd(), unix.F_DUPFD_CLOEXEC, 0)
	if err != nil {
		return os.NewSyscallError("fcntl", err)
	}
	s.occupied = append(s.occupied, os.NewFile(uintptr(duplicate), "occupied"))
	return nil
}

package eventloop

import (
	"context"
	"errors"
	"fmt"
	"net"
	"os"
	"time"

	"github.com/panjf2000/gnet/v2"
	"golang.org/x/sys/unix"

	"sloequay/internal/eventloop/socket"
)

const (
	minWatchPause = 5 * time.Millisecond // after a watch that was refused
	maxWatchPause = 100 * time.Millisecond
)

// errNotOpened is how a connection ends that epoll refused, for want of memory or of watches.
var errNotOpened = fmt.Errorf("the event loop could not watch the connection: %w", unix.ENOMEM)

// errLoopEnded is how a connection ends that the loop no longer takes.
var errLoopEnded = errors.New("the event loop has ended")

// errNotDuplicable is the error of Adopt for a connection that has no descriptor to duplicate.
var errNotDuplicable = errors.New("the connection has no descriptor of its own")

// Adopt takes over a connection that was made elsewhere. It blocks and must not be called on the loop. With an error
// the handler is told nothing.
func (l *Loop) Adopt(conn net.Conn, handler Handler) error {
	duplicable, ok := conn.(interface{ File() (*os.File, error) })
	if !ok {
		return errors.Join(errNotDuplicable, conn.Close())
	}
	var file *os.File
	err := socket.RetryLocalErrors(func() (err error) {
		file, err = duplicable.File()
		return err
	})
	_ = conn.Close()
	if err != nil {
		return err
	}
	unwatched := socket.New(file)
	defer unwatched.Close()
	return l.enrollSocket(&Conn{handler: handler, loop: l, origin: adoptedConn}, unwatched, nil)
}

// enrollSocket has the loop take over a socket, and waits until that is done. Both Go's poller and gnet close the
// duplicate that they can't watch, so the socket itself is held by the caller until then, and is tried again after a
// pause that grows: nothing that its peer has sent is lost. It gives up when stop is closed or the loop has ended, and
// for an error that does not pass.
func (l *Loop) enrollSocket(c *Conn, unwatched *socket.Socket, stop <-chan struct{}) error {
	pause := minWatchPause
	for {
		conn, err := unwatched.Conn()
		if err == nil {
			err = l.enroll(c, conn, stop)
		}
		if err == nil || !socket.IsLocalError(err) {
			return err
		}
		l.acceptFailed(fmt.Errorf("tried again in %v: %w", pause, err))
		select {
		case <-time.After(pause):
		case <-stop:
			return err
		}
		pause = min(2*pause, maxWatchPause)
	}
}

// enroll has the loop take over a connection, and waits until that is done or stop is closed. With an error the
// connection is closed, or dropped with the loop.
func (l *Loop) enroll(c *Conn, conn net.Conn, stop <-chan struct{}) error {
	result, err := l.gnetLoop.Enroll(gnet.NewContext(context.Background(), c), conn)
	if err != nil { // the loop has ended
		_ = conn.Close()
		return err
	}
	select {
	case enrolled := <-result:
		if enrolled.Err != nil {
			return enrolled.Err
		}
	case <-stop:
		return errLoopEnded
	}
	if !c.isOpened { // OnOpen came before the result, if it came
		return errNotOpened
	}
	return nil
}

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

	"sloequay/internal/eventloop/bridge"
	"sloequay/internal/eventloop/socket"
)

const (
	minWatchPause = 5 * time.Millisecond // after epoll refused a connection
	maxWatchPause = 100 * time.Millisecond
)

// errNotOpened is the error of a connection that epoll refused for lack of memory or watches.
var errNotOpened = fmt.Errorf("the event loop could not watch the connection: %w", unix.ENOMEM)

// errLoopEnded is the error of a connection that was not taken over before the loop ended.
var errLoopEnded = errors.New("the event loop has ended")

// errNotDuplicable is the error of Adopt for a connection that has no descriptor to duplicate.
var errNotDuplicable = errors.New("the connection does not expose its file descriptor")

// Adopt takes over a connection that was made elsewhere, which may be a bridge.LoopEnd. It blocks and must not be
// called on the loop. If it returns an error, the handler is not called.
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
	adopted := &Conn{handler: handler, loop: l, origin: adoptedConn}
	if end, ok := conn.(*bridge.LoopEnd); ok {
		adopted.setRelay(end.Relay)
	}
	return l.enrollSocket(adopted, unwatched, nil)
}

// setRelay sets the relay of a connection that the loop is about to take over.
func (c *Conn) setRelay(relay *bridge.Relay) {
	c.relay = relay
	relay.Attach(&c.loop.relays)
}

// enrollSocket hands a socket to the loop, and waits until the loop has taken it over. Go's poller and gnet both close
// a duplicate that epoll refuses. So the caller keeps the socket itself open meanwhile, and enrollSocket retries with
// growing pauses: no bytes from the peer are lost. It gives up when stop is closed, when the loop has ended, or after
// an error that is not temporary.
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
		l.reportAcceptError(fmt.Errorf("retrying in %v: %w", pause, err))
		select {
		case <-time.After(pause):
		case <-stop:
			return err
		}
		pause = min(2*pause, maxWatchPause)
	}
}

// enroll hands a connection to the loop, and waits until the loop has taken it over or stop is closed. If it returns an
// error the connection is closed, or dropped with the loop.
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
	if !c.isOpened { // gnet calls OnOpen, if at all, before it sends the result
		return errNotOpened
	}
	return nil
}

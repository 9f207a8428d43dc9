package eventloop

import (
	"context"
	"fmt"
	"net"
	"time"

	"github.com/panjf2000/gnet/v2"
	"golang.org/x/sys/unix"
)

// errNotOpened is the end of a dial whose connection epoll refused, for want of memory or of watches.
var errNotOpened = fmt.Errorf("the event loop could not watch the connection: %w", unix.ENOMEM)

// PendingDials is the number of dials under way, each of which may hold two descriptors.
func (l *Loop) PendingDials() int { return l.pendingDials }

// Dial connects beside the loop. Either handler.Opened follows or failed, both on the loop.
func (l *Loop) Dial(network, address string, timeout time.Duration, handler Handler, failed func(error)) {
	dialer := net.Dialer{Timeout: timeout}
	if l.Bind != nil {
		dialer.LocalAddr = l.Bind
	}
	l.DialBy(func() (net.Conn, error) { return dialer.Dial(network, address) }, handler, failed)
}

// DialBy is Dial by a function that runs beside the loop, may block, and must end in its own time.
func (l *Loop) DialBy(dial func() (net.Conn, error), handler Handler, failed func(error)) {
	l.pendingDials++
	go func() {
		err := l.connect(dial, &Conn{handler: handler, loop: l, origin: dialedConn})
		if err == nil {
			return
		}
		l.Post(func() {
			l.pendingDials--
			failed(err)
			l.RequestRound()
		})
	}()
}

// connect dials and hands the connection to the loop. It blocks.
func (l *Loop) connect(dial func() (net.Conn, error), dialed *Conn) error {
	conn, err := dial()
	if err != nil {
		return err
	}
	return l.enroll(dialed, conn)
}

// Adopt takes over a connection that was made elsewhere. It blocks and must not be called on the loop. With an error
// the handler is told nothing.
func (l *Loop) Adopt(conn net.Conn, handler Handler) error {
	return l.enroll(&Conn{handler: handler, loop: l, origin: adoptedConn}, conn)
}

// enroll has the loop take over a connection, and waits until that is done.
func (l *Loop) enroll(c *Conn, conn net.Conn) error {
	result, err := l.gnetLoop.Enroll(gnet.NewContext(context.Background(), c), conn)
	if err != nil {
		_ = conn.Close()
		return err
	}
	if err := (<-result).Err; err != nil {
		return err
	}
	if !c.isOpened { // OnOpen came before the result, if it came
		return errNotOpened
	}
	return nil
}

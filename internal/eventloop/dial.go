package eventloop

import (
	"net"
	"time"

	"sloequay/internal/eventloop/bridge"
)

// PendingDials returns the number of dials in progress. Each may hold two descriptors.
func (l *Loop) PendingDials() int { return l.pendingDials }

// Dial connects on its own goroutine. Then either handler.Opened or onError is called on the loop.
func (l *Loop) Dial(network, address string, timeout time.Duration, handler Handler, onError func(error)) {
	dialer := net.Dialer{Timeout: timeout}
	if l.Bind != nil {
		dialer.LocalAddr = l.Bind
	}
	l.DialWith(func() (net.Conn, error) { return dialer.Dial(network, address) }, handler, onError)
}

// DialWith is like Dial, with a function that makes the connection on its own goroutine, and may return a
// bridge.LoopEnd. dial may block, and must enforce its own timeout.
func (l *Loop) DialWith(dial func() (net.Conn, error), handler Handler, onError func(error)) {
	l.pendingDials++
	go func() {
		err := l.dialAndEnroll(dial, &Conn{handler: handler, loop: l, origin: dialedConn})
		if err == nil {
			return
		}
		l.Post(func() {
			l.pendingDials--
			onError(err)
			l.RequestRound()
		})
	}()
}

// dialAndEnroll dials and enrolls the connection on the loop. It blocks. If epoll refuses the connection the dial has
// failed, as nothing has been sent on it.
func (l *Loop) dialAndEnroll(dial func() (net.Conn, error), dialed *Conn) error {
	conn, err := dial()
	if err != nil {
		return err
	}
	if end, ok := conn.(*bridge.LoopEnd); ok {
		dialed.setRelay(end.Relay)
		conn = end.UnixConn // gnet takes no other type
	}
	return l.enroll(dialed, conn, nil)
}

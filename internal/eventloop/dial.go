package eventloop

import (
	"net"
	"time"
)

// PendingDials is the number of dials under way, each of which may hold two descriptors.
func (l *Loop) PendingDials() int { return l.pendingDials }

// Dial connects beside the loop. Either handler.Opened follows or failed, both on the loop.
func (l *Loop) Dial(network, address string, timeout time.Duration, handler Handler, failed func(error)) {
	dialer := net.Dialer{Timeout: timeout}
	if l.Bind != nil {
		dialer.LocalAddr = l.Bind
	}
	l.DialWith(func() (net.Conn, error) { return dialer.Dial(network, address) }, handler, failed)
}

// DialWith is Dial by a function that runs beside the loop, may block, and must end in its own time.
func (l *Loop) DialWith(dial func() (net.Conn, error), handler Handler, failed func(error)) {
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

// connect dials and hands the connection to the loop. It blocks. A connection that can't be watched is a failed dial:
// nothing has been sent on it.
func (l *Loop) connect(dial func() (net.Conn, error), dialed *Conn) error {
	conn, err := dial()
	if err != nil {
		return err
	}
	return l.enroll(dialed, conn, nil)
}

package eventloop

import (
	"context"
	"errors"
	"net"
	"time"

	"github.com/panjf2000/gnet/v2"
)

const (
	// maxPendingAccepts is how many accepted connections an address may have that the loop has not taken yet. Each has
	// two descriptors: gnet duplicates what it takes.
	maxPendingAccepts = 4
	minAcceptPause    = 5 * time.Millisecond // after an accept that failed
	maxAcceptPause    = 100 * time.Millisecond
	// minAcceptWait is how long an accept takes at the least that found no connection waiting.
	minAcceptWait = time.Millisecond
)

// acceptor accepts the connections of one address on a goroutine beside the loop and hands them to it. gnet's own
// listener ends the loop, and with it all connections, when accept fails with ENFILE, ENOBUFS or another error that
// passes.
//
// Invariant: a connection that was accepted counts as pending until its handler knows of it or it was closed.
type acceptor struct {
	loop     *Loop
	accept   func(remote net.Addr) Handler
	listener net.Listener
	places   chan struct{} // taken by each connection that the loop has not taken yet
	emptyAt  time.Time     // when no connection waited to be accepted, as far as is known
}

// listen opens the address. Errors that pass are waited out.
func listen(address string) (net.Listener, error) {
	var listener net.Listener
	config := net.ListenConfig{KeepAlive: -1} // a client that says nothing is closed long before
	err := retryLocal(func() (err error) {
		listener, err = config.Listen(context.Background(), "tcp", address)
		return err
	})
	return listener, err
}

// run accepts until the listener is closed.
func (a *acceptor) run() {
	pause := time.Duration(0)
	a.emptyAt = time.Now()
	for {
		a.places <- struct{}{}
		called := time.Now()
		conn, err := a.listener.Accept()
		returned := time.Now()
		if pause == 0 && returned.Sub(called) >= minAcceptWait { // after an error a connection waits all along
			a.emptyAt = returned
		}
		switch {
		case errors.Is(err, net.ErrClosed):
			return
		case err != nil: // whatever it is: there is no other way to get clients
			<-a.places
			pause = min(max(minAcceptPause, 2*pause), maxAcceptPause)
			a.loop.acceptFailed(err)
			time.Sleep(pause)
		default:
			pause = 0
			a.hand(conn)
		}
	}
}

// hand gives a connection to the loop.
func (a *acceptor) hand(conn net.Conn) {
	l := a.loop
	l.accepts.Add(1)
	accepted := &Conn{loop: l, accept: a.accept, waitedSince: a.emptyAt}
	result, err := l.events.Enroll(gnet.NewContext(context.Background(), accepted), conn)
	if err != nil { // the loop has ended
		_ = conn.Close()
		l.accepts.Add(-1)
		<-a.places
		return
	}
	go func() {
		taken := <-result
		<-a.places
		if taken.Err == nil && !accepted.opened { // OnOpen came before the result, if it came
			taken.Err = errNotOpened
		}
		if taken.Err != nil {
			l.accepts.Add(-1)
			l.acceptFailed(taken.Err)
		}
	}()
}

// acceptFailed reports a connection that could not be accepted.
func (l *Loop) acceptFailed(err error) {
	if l.AcceptFailed != nil {
		l.Post(func() { l.AcceptFailed(err) })
	}
}

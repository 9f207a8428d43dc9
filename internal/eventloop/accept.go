package eventloop

import (
	"net"
	"sync"
	"time"

	"sloequay/internal/eventloop/socket"
)

const (
	// maxPendingAccepts is how many accepted connections an address may have that the loop has not taken yet. Each has
	// up to three descriptors: its own, that of Go's poller and that of gnet (see also socket.Socket).
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
	loop       *Loop
	accept     func(remote net.Addr) Handler
	listener   *socket.Listener
	places     chan struct{} // taken by each connection that the loop has not taken yet
	emptySince time.Time     // when no connection waited to be accepted, as far as is known
	closed     chan struct{}
	goroutines sync.WaitGroup
}

// newAcceptor opens an address. Errors that pass are waited out.
func newAcceptor(l *Loop, listener Listener) (*acceptor, error) {
	a := &acceptor{
		loop:   l,
		accept: listener.Accept,
		places: make(chan struct{}, maxPendingAccepts),
		closed: make(chan struct{}),
	}
	err := socket.RetryLocalErrors(func() (err error) {
		a.listener, err = socket.Listen(listener.Address)
		return err
	})
	return a, err
}

// start begins to accept. It must be called on the loop, once.
func (a *acceptor) start() { a.goroutines.Go(a.run) }

// close ends the goroutines, and waits for them. What was accepted and not taken by the loop is dropped with it.
func (a *acceptor) close() {
	close(a.closed)
	_ = a.listener.Close()
	a.goroutines.Wait()
}

// run accepts until the acceptor is closed.
func (a *acceptor) run() {
	pause := time.Duration(0)
	a.emptySince = time.Now()
	for a.takePlace() {
		called := time.Now()
		accepted, err := a.listener.Accept()
		returned := time.Now()
		if pause == 0 && returned.Sub(called) >= minAcceptWait { // after an error a connection waits all along
			a.emptySince = returned
		}
		switch {
		case err != nil && a.isClosed():
			return
		case err != nil: // whatever it is: there is no other way to get clients
			<-a.places
			pause = min(max(minAcceptPause, 2*pause), maxAcceptPause)
			a.loop.acceptFailed(err)
			a.sleep(pause)
		default:
			pause = 0
			a.hand(accepted)
		}
	}
}

// takePlace waits until one more connection may be accepted; false: the acceptor was closed.
func (a *acceptor) takePlace() bool {
	select {
	case a.places <- struct{}{}:
		return true
	case <-a.closed:
		return false
	}
}

// sleep waits, unless the acceptor is closed.
func (a *acceptor) sleep(pause time.Duration) {
	select {
	case <-time.After(pause):
	case <-a.closed:
	}
}

// isClosed reports whether close was called.
func (a *acceptor) isClosed() bool {
	select {
	case <-a.closed:
		return true
	default:
		return false
	}
}

// hand gives a connection to the loop, beside the acceptor.
func (a *acceptor) hand(accepted *socket.Socket) {
	conn := &Conn{loop: a.loop, origin: acceptedConn, accept: a.accept, acceptableSince: a.emptySince}
	a.loop.pendingAccepts.Add(1)
	a.goroutines.Go(func() { a.awaitTaken(conn, accepted) })
}

// awaitTaken frees the place of a connection once the loop has taken it, or has ended.
func (a *acceptor) awaitTaken(conn *Conn, accepted *socket.Socket) {
	err := a.loop.enrollSocket(conn, accepted, a.closed)
	_ = accepted.Close()
	<-a.places
	if err != nil {
		a.loop.pendingAccepts.Add(-1)
		a.loop.acceptFailed(err)
	}
}

// acceptFailed reports a connection that could not be accepted. It may be called beside the loop.
func (l *Loop) acceptFailed(err error) {
	if l.OnAcceptError != nil {
		l.Post(func() { l.OnAcceptError(err) })
	}
}

// PendingAccepts is the number of connections that were accepted and that no handler knows of yet.
func (l *Loop) PendingAccepts() int { return int(l.pendingAccepts.Load()) }

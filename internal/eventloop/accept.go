package eventloop

import (
	"net"
	"sync"
	"time"

	"sloequay/internal/eventloop/socket"
)

const (
	// maxPendingAccepts is how many accepted connections per listener may wait to be taken over by the loop. Each
	// uses up to three descriptors: its own, a duplicate for Go's poller and one for gnet (see also socket.Socket).
	maxPendingAccepts = 4
	minAcceptPause    = 5 * time.Millisecond // after a failed accept
	maxAcceptPause    = 100 * time.Millisecond
	// minAcceptWait is the duration from which an accept is known to have found the accept queue empty.
	minAcceptWait = time.Millisecond
)

// acceptor accepts the connections of one listener on its own goroutine and hands them to the loop. gnet's own listener
// would end the loop, and with it all connections, when accept fails with ENFILE, ENOBUFS or another temporary error.
//
// Invariant: an accepted connection counts as pending until it has a handler or is closed.
type acceptor struct {
	loop         *Loop
	accept       func(remote net.Addr) Handler
	listener     *socket.Listener
	slots        chan struct{} // each connection that the loop has not taken over yet holds one
	queueEmptyAt time.Time     // the last time at which the accept queue was known to be empty
	closed       chan struct{}
	goroutines   sync.WaitGroup
}

// newAcceptor opens the address of a listener. It retries after temporary errors.
func newAcceptor(l *Loop, listener Listener) (*acceptor, error) {
	a := &acceptor{
		loop:   l,
		accept: listener.Accept,
		slots:  make(chan struct{}, maxPendingAccepts),
		closed: make(chan struct{}),
	}
	err := socket.RetryLocalErrors(func() (err error) {
		a.listener, err = socket.Listen(listener.Address)
		return err
	})
	return a, err
}

// start starts accepting. It must be called once, on the loop.
func (a *acceptor) start() { a.goroutines.Go(a.run) }

// close stops the goroutines and waits for them. Accepted connections that the loop has not taken over are dropped.
func (a *acceptor) close() {
	close(a.closed)
	_ = a.listener.Close()
	a.goroutines.Wait()
}

// run accepts connections until the acceptor is closed.
func (a *acceptor) run() {
	pause := time.Duration(0)
	a.queueEmptyAt = time.Now()
	for a.acquireSlot() {
		called := time.Now()
		accepted, err := a.listener.Accept()
		returned := time.Now()
		if pause == 0 && returned.Sub(called) >= minAcceptWait { // after an error a connection may have waited
			a.queueEmptyAt = returned
		}
		switch {
		case err != nil && a.isClosed():
			return
		case err != nil: // retry after any error, as clients have no other way in
			<-a.slots
			pause = min(max(minAcceptPause, 2*pause), maxAcceptPause)
			a.loop.reportAcceptError(err)
			a.sleep(pause)
		default:
			pause = 0
			a.startHandOver(accepted)
		}
	}
}

// acquireSlot waits until another connection may be accepted. It returns false if the acceptor was closed.
func (a *acceptor) acquireSlot() bool {
	select {
	case a.slots <- struct{}{}:
		return true
	case <-a.closed:
		return false
	}
}

// sleep waits for the pause, or until the acceptor is closed.
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

// startHandOver hands a connection over to the loop on another goroutine.
func (a *acceptor) startHandOver(accepted *socket.Socket) {
	conn := &Conn{loop: a.loop, origin: acceptedConn, accept: a.accept, waitingSince: a.queueEmptyAt}
	a.loop.pendingAccepts.Add(1)
	a.goroutines.Go(func() { a.finishHandOver(conn, accepted) })
}

// finishHandOver waits until the loop has taken over the connection, refused it or ended, and releases the slot.
func (a *acceptor) finishHandOver(conn *Conn, accepted *socket.Socket) {
	err := a.loop.enrollSocket(conn, accepted, a.closed)
	_ = accepted.Close()
	<-a.slots
	if err != nil {
		a.loop.pendingAccepts.Add(-1)
		a.loop.reportAcceptError(err)
	}
}

// reportAcceptError calls OnAcceptError on the loop. It may be called from any goroutine.
func (l *Loop) reportAcceptError(err error) {
	if l.OnAcceptError != nil {
		l.Post(func() { l.OnAcceptError(err) })
	}
}

// PendingAccepts returns the number of accepted connections that have no handler yet.
func (l *Loop) PendingAccepts() int { return int(l.pendingAccepts.Load()) }

package bridge

import (
	"errors"
	"io"
	"net"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	copyBufferBytes = 32 << 10
	// drainPoll is how often a relay that ends looks whether the system has sent the last bytes.
	drainPoll = 2 * time.Millisecond
)

// Relay copies between a remote connection and the loop's end of a socket pair.
type Relay struct {
	remote       net.Conn
	copyEnd      *net.UnixConn
	drainTimeout time.Duration

	mu           sync.Mutex
	totals       *Totals // nil: the loop has not taken the connection over yet
	pending      int     // negative for a moment if bytes are accepted before the loop has reported them
	isLoopClosed bool
	isEnded      bool
}

// New returns a relay for a connection, and the end of its socket pair for the loop. Once the loop has closed that end,
// the relay gives up on a remote side that accepts nothing for drainTimeout. The caller must call Run or Close.
func New(remote net.Conn, drainTimeout time.Duration) (*Relay, *LoopEnd, error) {
	copyEnd, loopEnd, err := Pair()
	if err != nil {
		return nil, nil, err
	}
	relay := &Relay{remote: remote, copyEnd: copyEnd, drainTimeout: drainTimeout}
	return relay, &LoopEnd{UnixConn: loopEnd, Relay: relay}, nil
}

// Run copies in both directions until the relay ends. It closes the remote connection and blocks until both directions
// have ended.
func (r *Relay) Run() {
	done := make(chan struct{})
	go func() {
		defer close(done)
		r.copyToLoop()
	}()
	if r.copyToRemote() == nil {
		r.finish()
	}
	r.end()
	<-done
}

// Close closes both connections. It is called in place of Run if the loop does not take the connection over.
func (r *Relay) Close() { r.end() }

// Attach makes totals count the relay. The loop calls it before it writes.
func (r *Relay) Attach(totals *Totals) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.totals = totals
}

// Wrote records that the loop has written n bytes to its end.
func (r *Relay) Wrote(n int) { r.addPending(n) }

// Pending returns the number of bytes that the loop has written and the remote connection has not accepted.
func (r *Relay) Pending() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return max(0, r.pending)
}

// Unsent returns the number of bytes that the remote connection has accepted and the system has not sent yet, for lack
// of room at the remote side. It is 0 if that is not known.
func (r *Relay) Unsent() int {
	raw := rawConn(r.remote)
	if raw == nil {
		return 0
	}
	unsent := 0
	err := raw.Control(func(fd uintptr) {
		if n, err := unix.IoctlGetInt(int(fd), unix.SIOCOUTQNSD); err == nil {
			unsent = n
		}
	})
	if err != nil {
		return 0
	}
	return unsent
}

// LoopClosed records that the loop has closed its end. What is pending is sent within the drain timeout.
func (r *Relay) LoopClosed() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.isLoopClosed || r.isEnded {
		return
	}
	r.isLoopClosed = true
	if r.totals != nil {
		r.totals.draining.Add(1)
	}
	_ = r.remote.SetWriteDeadline(time.Now().Add(r.drainTimeout)) // also ends a write that is blocked now
}

// Abort drops the pending bytes and those that the system has not sent, and ends the connection with a reset.
func (r *Relay) Abort() {
	underlying := underlyingConn(r.remote)
	if tcp, ok := underlying.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = underlying.Close()
}

// copyToLoop copies what the remote side sends, until it ends or the loop has closed its end. It then goes on reading
// until the remote connection ends: closing a TCP socket with unread input would reset the connection, and so drop
// bytes that were accepted for the remote side.
func (r *Relay) copyToLoop() {
	_, _ = io.Copy(r.copyEnd, r.remote)
	_ = r.copyEnd.CloseWrite() // the loop learns that nothing more comes, and can still be read from
	_, _ = io.Copy(io.Discard, r.remote)
}

// copyToRemote sends what the loop writes, until the loop closes its end. It returns an error if the remote connection
// fails or does not accept the bytes in time.
func (r *Relay) copyToRemote() error {
	buffer := make([]byte, copyBufferBytes)
	for {
		n, err := r.copyEnd.Read(buffer)
		if n > 0 {
			if err := r.deliver(buffer[:n]); err != nil {
				return err
			}
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
	}
}

// deliver writes bytes to the remote connection.
func (r *Relay) deliver(data []byte) error {
	r.mu.Lock()
	if r.isLoopClosed { // extends the deadline, as the remote side has accepted the bytes before these
		_ = r.remote.SetWriteDeadline(time.Now().Add(r.drainTimeout))
	}
	r.mu.Unlock()
	n, err := r.remote.Write(data)
	r.addPending(-n)
	return err
}

// finish tells the remote side that nothing more comes, and waits until the system has sent everything or the drain
// timeout has passed without progress.
func (r *Relay) finish() {
	_ = r.remote.SetWriteDeadline(time.Now().Add(r.drainTimeout))
	if closer, ok := r.remote.(interface{ CloseWrite() error }); ok {
		_ = closer.CloseWrite()
	}
	lastUnsent := r.Unsent()
	for progressAt := time.Now(); lastUnsent > 0 && time.Since(progressAt) < r.drainTimeout; time.Sleep(drainPoll) {
		unsent := r.Unsent()
		if unsent < lastUnsent {
			progressAt = time.Now()
		}
		lastUnsent = unsent
	}
}

// end closes both connections, and drops what can't be sent any more.
func (r *Relay) end() {
	_ = r.copyEnd.Close()
	_ = r.remote.Close()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.isEnded = true
	if r.totals == nil {
		return
	}
	r.totals.pending.Add(int64(-r.pending))
	r.pending = 0
	if r.isLoopClosed {
		r.totals.draining.Add(-1)
	}
}

func (r *Relay) addPending(n int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.isEnded {
		return
	}
	r.pending += n
	if r.totals != nil {
		r.totals.pending.Add(int64(n))
	}
}

// underlyingConn returns the connection that carries a TLS connection, or the connection itself.
func underlyingConn(conn net.Conn) net.Conn {
	if wrapper, ok := conn.(interface{ NetConn() net.Conn }); ok {
		return wrapper.NetConn()
	}
	return conn
}

// rawConn returns access to the socket of a connection, or nil if it has none.
func rawConn(conn net.Conn) syscall.RawConn {
	withSocket, ok := underlyingConn(conn).(syscall.Conn)
	if !ok {
		return nil
	}
	raw, err := withSocket.SyscallConn()
	if err != nil {
		return nil
	}
	return raw
}

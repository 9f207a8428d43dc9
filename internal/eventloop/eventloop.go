// Package eventloop runs everything on one gnet event loop: it owns the connections, ends each round once all that was
// ready has been read, and writes to each connection once a round. It knows no protocol.
//
// What gnet 2.9.7 does, as far as this package rests on it:
//   - With SO_REUSEPORT and one event loop, reading, writing and datagrams all run on that loop. Without it a second
//     loop is started, and UDP is not possible.
//   - Its listeners end the loop when accept fails, so that connections are accepted beside it (acceptor).
//   - OnTick runs on a goroutine of its own, so the ticker is not used. Wake-ups are timers that post a task.
//   - EventLoop.Execute queues a task behind an eventfd. epoll returns it with whatever else is ready and runs it
//     after those, so a task posted from a callback comes after all that could be read: it ends the round.
//   - EventLoop.Enroll takes a connection made elsewhere, duplicates its descriptor and opens it on the loop. Dials
//     run on goroutines and meet the loop only there. Register would dial without a time-out. Where epoll refuses the
//     descriptor Enroll gives no error: the connection is closed and never opened.
package eventloop

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/netip"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/panjf2000/gnet/v2"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"golang.org/x/sys/unix"
)

// Handler is one side of a connection. All methods run on the loop.
type Handler interface {
	// Opened says that the connection is up.
	Opened(c *Conn)
	// Received says that c.In has grown. What is used is taken off with c.Used; c.In is not valid afterwards.
	Received(c *Conn)
	// Closed says that the connection is gone; it comes exactly once.
	Closed(c *Conn, err error)
}

// PacketHandler takes the datagrams of one socket. Answers go back with reply, at once or later; it must be called on
// the loop. The packet is valid during the call only.
type PacketHandler func(packet []byte, from net.Addr, reply func([]byte))

// Listener is an address to listen on: exactly one of Accept and Packet is set.
type Listener struct {
	Network, Address string
	Accept           func(remote net.Addr) Handler // nil: close the new connection at once
	Packet           PacketHandler
}

// Loop is the one event loop. All methods but Post must be called on it.
type Loop struct {
	gnet.BuiltinEventEngine
	Memory int // bytes that the program may use, of which the bounds below are parts
	// Bind is the address that dials come from; nil: the system's choice.
	Bind *net.TCPAddr
	// AcceptFailed is told of connections that could not be accepted, on the loop; nil: nobody is.
	AcceptFailed func(error)
	engine       atomic.Pointer[gnet.Engine]
	handleOnce   sync.Once
	events       gnet.EventLoop
	packets      map[string]PacketHandler // by local address
	accepts      atomic.Int64             // see PendingAccepts
	handleTo     string                   // see handle
	dirty        []*Conn
	owing        []*Conn // whose peers had not taken all by their last write
	pending      bool    // the end of a round is posted
	timer        *time.Timer
	start        func()
	endRound     func()
	started      chan struct{}
	dials        int
	outbound     int // see Outbound
	inbound      int // bytes of messages that are not whole yet
	rounds       int // since
	since        time.Time
	busy         bool
	last         time.Time     // when the last round was ended
	wait         time.Duration // after that one was asked for
	// stoodStill is the last standstill that was longer than heldUp.
	stoodStill standstill
	steps      int      // of catching up, see behind
	quiet      int      // the last of them, with few events
	heard      int      // openings, reads and ends since the last of them
	kept       []byte   // see Keep
	spare      [][]byte // empty buffers for what goes out
}

// standstill is a time in which the loop did not run. The zero value is none.
type standstill struct{ from, until time.Time }

// Conn is a connection on the loop.
type Conn struct {
	In      []byte // received and not used yet; valid while Received runs
	rest    []byte // what Received left
	handler Handler
	sock    gnet.Conn
	loop    *Loop
	out     []byte
	queued  uint64 // bytes that were left for it, ever
	counted int    // of Loop.outbound
	dirty   bool
	owing   bool
	adopted bool
	accept  func(remote net.Addr) Handler // of a connection that was accepted: gives its handler
	opened  bool                          // OnOpen has seen it
	// waitedSince is since when an accepted connection may have waited to be accepted.
	waitedSince time.Time
	wasRead     bool // the handler was given something
	later       bool
	closing     bool
	closed      bool
}

const (
	// What has come and is not whole, of all peers together: beyond, connections with large beginnings are closed. What
	// waits for one peer that does not read: beyond, it is closed.
	inboundPart = 6
	peerPart    = 10
	peerMost    = 6 << 20
	keepBuffer  = 64 << 10 // larger buffers are not kept when empty
	keptMost    = 4 << 20

	// A loop with more rounds in the window than this is busy. With rests it can make some 130.
	busyWindow = 50 * time.Millisecond
	busyRounds = 80
	restFor    = 300 * time.Microsecond

	spareMost = 32
	spareSize = 1 << 20

	// A loop whose round comes later than it was asked for by heldUp stood still: the machine did, or the core was taken by others. What
	// came meanwhile is read first: until stepQuiet steps on end bring fewer events than gnet takes at once at the least (32), in stepMost
	// steps at most. One is not enough: a loop that is held up just there takes the end of the step before it looks what is ready.
	heldUp    = 100 * time.Millisecond
	stepFor   = time.Millisecond
	stepFew   = 16
	stepQuiet = 3
	stepMost  = 20
	// acceptedWithin is how long after a standstill a connection may be accepted that was made in it.
	acceptedWithin = 250 * time.Millisecond
)

// errNotOpened is the end of a dial whose connection epoll refused, for want of memory or of watches.
var errNotOpened = fmt.Errorf("the event loop could not watch the connection: %w", unix.ENOMEM)

// ErrOverflow is the end of a connection whose peer does not read.
var ErrOverflow = errors.New("the peer does not read its answers")

// Run opens the listeners and runs the loop until Stop. start runs on the loop before anything is read; endRound at
// the end of every round.
func Run(listeners []Listener, start func(*Loop), endRound func()) error {
	l := &Loop{packets: map[string]PacketHandler{}, endRound: endRound, started: make(chan struct{})}
	l.handleTo = handleAddress(listeners)
	var addresses []string
	var acceptors []*acceptor
	for _, ln := range listeners {
		if ln.Packet == nil {
			listener, err := listen(ln.Address)
			if err != nil {
				return fmt.Errorf("listen: %w", err)
			}
			defer listener.Close()
			acceptors = append(acceptors, &acceptor{loop: l, accept: ln.Accept, listener: listener,
				places: make(chan struct{}, maxPendingAccepts)})
			continue
		}
		// SO_REUSEPORT, which gnet sets, would let a second program share the address unnoticed.
		if err := retryLocal(func() error { return vacant(ln.Address) }); err != nil {
			return err
		}
		l.packets[ln.Address] = ln.Packet
		addresses = append(addresses, ln.Network+"://"+ln.Address)
	}
	l.start = func() {
		start(l)
		for _, a := range acceptors {
			go a.run()
		}
	}
	if len(addresses) == 0 { // gnet gives no handle to an engine without a listener
		addresses = append(addresses, "udp://"+unusedAddress(l.handleTo))
	}
	logger := zap.New(zapcore.NewCore(zapcore.NewConsoleEncoder(zap.NewProductionEncoderConfig()),
		zapcore.Lock(os.Stderr), zapcore.ErrorLevel)).Sugar()
	err := retryLocal(func() error {
		return gnet.Rotate(l, addresses, gnet.WithReusePort(true), gnet.WithReuseAddr(true), gnet.WithNumEventLoop(1),
			gnet.WithLogger(logger))
	})
	if err != nil {
		return fmt.Errorf("event loop: %w", err)
	}
	return nil
}

// vacant says whether nobody else has an address for datagrams, by binding to it for a moment.
func vacant(of string) error {
	address, err := netip.ParseAddrPort(of)
	if err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	family := unix.AF_INET6
	var to unix.Sockaddr = &unix.SockaddrInet6{Port: int(address.Port()), Addr: address.Addr().As16()}
	if ip := address.Addr().Unmap(); ip.Is4() {
		family, to = unix.AF_INET, &unix.SockaddrInet4{Port: int(address.Port()), Addr: ip.As4()}
	}
	fd, err := unix.Socket(family, unix.SOCK_DGRAM|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	defer unix.Close(fd)
	if err = unix.Bind(fd, to); err != nil {
		return fmt.Errorf("listen: udp %s: %w", of, err)
	}
	return nil
}

// OnBoot runs before the loop does; the first connection enrolled brings its handle.
func (l *Loop) OnBoot(engine gnet.Engine) gnet.Action {
	l.engine.Store(&engine)
	l.handleOnce.Do(func() { // a start that failed for a moment is tried again, by another engine
		go func() {
			if err := retryLocal(l.handle); err != nil {
				fmt.Fprintln(os.Stderr, "event loop:", err)
				os.Exit(1)
			}
		}()
	})
	return gnet.None
}

// handle learns the EventLoop, which gnet gives out only with a connection, and starts the work on it. The connection is
// a UDP socket connected to the doorman's own address, over which nothing is sent: the platform allows TCP and UDP over
// IPv4 alone (a socket pair of the Unix family is refused there, and getsockname on it fails), and a connected UDP socket
// needs no peer to come up. It is closed on the loop once the loop is known; OnOpen and OnTraffic leave it alone, as gnet
// opens it on some systems and not on others.
func (l *Loop) handle() error {
	conn, err := net.Dial("udp4", l.handleTo)
	if err != nil {
		return fmt.Errorf("handle: %w", err)
	}
	ctx := gnet.NewNetConnContext(gnet.NewContext(context.Background(), handleMark{}), conn)
	for {
		result, err := l.engine.Load().Register(ctx)
		if err != nil { // the loop is not there yet
			time.Sleep(time.Millisecond)
			continue
		}
		r := <-result
		_ = conn.Close() // gnet holds a duplicate
		if r.Err != nil {
			return fmt.Errorf("handle: %w", r.Err)
		}
		events, sock := r.Conn.EventLoop(), r.Conn
		return events.Execute(context.Background(), gnet.RunnableFunc(func(context.Context) error {
			_ = sock.Close()
			l.events = events
			l.start()
			return nil
		}))
	}
}

// handleMark is the context of the handle's connection, which gnet may or may not open.
type handleMark struct{}

// handleAddress is an IPv4 address of the doorman's own to point the handle's socket at: the first listener's, with an
// unspecified host taken as loopback.
func handleAddress(listeners []Listener) string {
	for _, ln := range listeners {
		if ap, err := netip.ParseAddrPort(ln.Address); err == nil && ap.Addr().Unmap().Is4() {
			host := ap.Addr().Unmap()
			if host.IsUnspecified() {
				host = netip.AddrFrom4([4]byte{127, 0, 0, 1})
			}
			return netip.AddrPortFrom(host, ap.Port()).String()
		}
	}
	return "127.0.0.1:9"
}

// unusedAddress is an address for datagrams on the same host, at a port that the system picks. What comes there is
// dropped.
func unusedAddress(address string) string {
	host, _, _ := net.SplitHostPort(address)
	return net.JoinHostPort(host, "0")
}

// Post runs a task on the loop, at the end of what is ready. It may be called from any goroutine once start has run.
func (l *Loop) Post(task func()) {
	_ = l.events.Execute(context.Background(), gnet.RunnableFunc(func(context.Context) error {
		task()
		return nil
	}))
}

// RequestRound asks for the end of the round.
func (l *Loop) RequestRound() {
	if l.pending {
		return
	}
	l.pending = true
	l.Post(l.finish)
}

func (l *Loop) finish() {
	now := time.Now()
	if l.behind(now) {
		time.AfterFunc(stepFor, func() { l.Post(l.finish) }) // beside the loop, or it would run before anything more is read
		return
	}
	if !l.last.IsZero() && now.Sub(l.last) > l.wait+heldUp {
		l.stoodStill = standstill{from: l.last, until: now}
	}
	l.pending, l.last, l.wait, l.steps, l.heard, l.quiet = false, now, 0, 0, 0, 0
	l.endRound()
	l.flush()
	if l.kept = l.kept[:0]; cap(l.kept) > keptMost {
		l.kept = nil
	}
	l.rest()
}

// ReadLag is how much earlier than now bytes may have come that are read now: next to nothing while the loop reads as it
// should, and the time since the last round where it stood still meanwhile.
//
// What comes first on an accepted connection may be as old as the connection: it was accepted late where accept had
// failed, or where the program stood still.
func (c *Conn) ReadLag() time.Duration {
	l := c.loop
	if l == nil || l.last.IsZero() {
		return 0
	}
	now := time.Now()
	lag := now.Sub(l.last)
	if lag <= l.wait+heldUp {
		lag = 0
	}
	if c.accept == nil || c.wasRead {
		return lag
	}
	if waited := now.Sub(c.waitedSince); waited > heldUp {
		lag = max(lag, waited)
	}
	if now.Sub(l.stoodStill.until) < acceptedWithin {
		lag = max(lag, now.Sub(l.stoodStill.from))
	}
	return lag
}

// behind says whether the round has to wait for what came while the loop stood still. epoll tells of 32 sockets or some more at once, and
// of the end of a connection only once its bytes were read. So the first round after a standstill of 0.4 s sent on the requests of clients
// that had left, as their ends stood unread behind them; and it could have followed an old list.
func (l *Loop) behind(now time.Time) bool {
	if l.last.IsZero() || now.Sub(l.last) <= l.wait+heldUp {
		return false
	}
	if l.quiet++; l.steps == 0 || l.heard >= stepFew {
		l.quiet = 0
	}
	if l.steps == stepMost || l.quiet == stepQuiet {
		return false
	}
	l.steps++
	l.heard = 0
	return true
}

// rest has a busy loop sleep for a moment after a round, so that the next one takes in more. Three doormen that shared a
// core at 2,900 requests a second each made 20,000 rounds a second for one event or two, filled the core with that, and
// requests waited up to 55 ms in their sockets. Go's own sleep lasts a millisecond at least, so this is the system's.
func (l *Loop) rest() {
	now := time.Now()
	if l.rounds++; now.Sub(l.since) >= busyWindow {
		l.busy = l.rounds > busyRounds
		l.rounds, l.since = 0, now
	}
	if l.busy {
		pause := unix.NsecToTimespec(int64(restFor))
		_ = unix.Nanosleep(&pause, nil)
	}
}

// CopyForRound copies bytes that are needed until the end of this round and no longer. At full load the bodies of answers, made
// anew each, had the collector run eight times a second; while it runs, each change of the module's tables costs a
// write barrier a row, and requests waited 30 ms and more.
func (l *Loop) CopyForRound(b []byte) []byte {
	start := len(l.kept)
	l.kept = append(l.kept, b...) // what was handed out before stays where it is when this grows
	return l.kept[start:len(l.kept):len(l.kept)]
}

// flush writes to each connection once what the round left for it.
func (l *Loop) flush() {
	for i := 0; i < len(l.dirty); i++ { // closing one may leave something for another
		c := l.dirty[i]
		c.dirty = false
		c.write()
	}
	l.dirty = l.dirty[:0]
}

// WakeAfter asks for a round after a time. A later call takes the place of an earlier one.
func (l *Loop) WakeAfter(d time.Duration) {
	l.wait = d
	if l.timer == nil {
		l.timer = time.AfterFunc(d, func() { l.Post(l.RequestRound) })
		return
	}
	l.timer.Reset(d)
}

// Stop ends Run.
func (l *Loop) Stop() {
	go func() { _ = l.engine.Load().Stop(context.Background()) }()
}

// PendingAccepts is the number of connections that were accepted and that no handler knows of yet.
func (l *Loop) PendingAccepts() int { return int(l.accepts.Load()) }

// PendingDials is the number of dials under way, each of which may hold two descriptors.
func (l *Loop) PendingDials() int { return l.dials }

// UnsentBytes is the number of bytes that wait for peers to read, those of this round that are not written yet among them. What
// peers took since the last write to them counts until Recount.
func (l *Loop) UnsentBytes() int { return l.outbound }

// RecountUnsent looks how much peers have taken that had not taken all: gnet does not tell. Without it the bytes of a slow reader
// counted until its next answer or its end, and the doorman held its memory for short.
func (l *Loop) RecountUnsent() {
	owing := l.owing[:0]
	for _, c := range l.owing {
		if c.count(); c.counted > 0 {
			owing = append(owing, c)
		} else {
			c.owing = false
		}
	}
	clear(l.owing[len(owing):])
	l.owing = owing
}

// count takes over how much the connection's peer has not taken.
func (c *Conn) count() {
	waits := c.Unsent()
	c.loop.outbound += waits - c.counted
	c.counted = waits
}

// Dial connects without blocking the loop. Either handler.Opened follows or failed.
func (l *Loop) Dial(network, address string, limit time.Duration, handler Handler, failed func(error)) {
	dialer := net.Dialer{Timeout: limit}
	if l.Bind != nil {
		dialer.LocalAddr = l.Bind
	}
	l.DialBy(func() (net.Conn, error) { return dialer.Dial(network, address) }, handler, failed)
}

// DialBy is Dial by a function that runs beside the loop and must end in its own time.
func (l *Loop) DialBy(dial func() (net.Conn, error), handler Handler, failed func(error)) {
	l.dials++
	fail := func(err error) {
		l.Post(func() {
			l.dials--
			failed(err)
			l.RequestRound()
		})
	}
	go func() {
		conn, err := dial()
		if err != nil {
			fail(err)
			return
		}
		dialed := &Conn{handler: handler, loop: l}
		result, err := l.events.Enroll(gnet.NewContext(context.Background(), dialed), conn)
		if err == nil {
			err = (<-result).Err
		} else {
			_ = conn.Close()
		}
		if err != nil {
			fail(err)
		} else if !dialed.opened { // OnOpen came before the result, if it came
			fail(errNotOpened)
		}
	}()
}

// Adopt takes over a connection that was made elsewhere. It must not be called on the loop. With an error the handler
// hears nothing.
func (l *Loop) Adopt(conn net.Conn, handler Handler) error {
	adopted := &Conn{handler: handler, loop: l, adopted: true}
	ctx := gnet.NewContext(context.Background(), adopted)
	result, err := l.events.Enroll(ctx, conn)
	if err != nil {
		_ = conn.Close()
		return err
	}
	if err := (<-result).Err; err != nil {
		return err
	}
	if !adopted.opened { // OnOpen came before the result, if it came
		return errNotOpened
	}
	return nil
}

// OnOpen gives a new connection its handler.
func (l *Loop) OnOpen(sock gnet.Conn) ([]byte, gnet.Action) {
	if _, ok := sock.Context().(handleMark); ok {
		return nil, gnet.None // handle closes it
	}
	l.heard++
	c, made := sock.Context().(*Conn)
	if !made {
		return nil, gnet.Close
	}
	c.opened = true
	switch {
	case c.accept != nil:
		l.accepts.Add(-1)
		if c.handler = c.accept(sock.RemoteAddr()); c.handler == nil {
			sock.SetContext(nil)
			return nil, gnet.Close
		}
	case !c.adopted:
		l.dials--
	}
	c.sock = sock
	c.handler.Opened(c)
	l.RequestRound()
	return nil, gnet.None
}

// OnTraffic collects what has come.
func (l *Loop) OnTraffic(sock gnet.Conn) gnet.Action {
	c, ok := sock.Context().(*Conn)
	if _, handle := sock.Context().(handleMark); handle {
		return gnet.None
	} else if !ok {
		return l.packet(sock)
	}
	data, err := sock.Next(-1)
	if l.heard++; err != nil || c.closing {
		return gnet.None
	}
	if len(c.rest) > 0 {
		l.inbound += len(data)
		c.rest = append(c.rest, data...)
		data = c.rest
	}
	c.deliver(data) // often gnet's own buffer, so that what comes whole is not copied
	if l.inbound > l.Memory/inboundPart && len(c.rest) > keepBuffer {
		c.closing = true
		return gnet.Close // Closed follows: what was open here ends with the connection
	}
	return gnet.None
}

// deliver gives the handler what has come, and keeps what it leaves.
func (c *Conn) deliver(data []byte) {
	l := c.loop
	c.In, c.later = data, false
	c.handler.Received(c)
	c.wasRead = true
	l.inbound -= len(c.rest)
	c.rest = append(c.rest[:0], c.In...)
	l.inbound += len(c.rest)
	if c.In = nil; len(c.rest) == 0 && cap(c.rest) > keepBuffer {
		c.rest = nil
	}
	if !c.later {
		l.RequestRound()
	}
}

// DeferRead says, while Received runs, that nothing was done and no round is needed: the handler asks Again when it will go on.
func (c *Conn) DeferRead() { c.later = true }

// ReadAgain has the handler look once more at what it left.
func (c *Conn) ReadAgain() {
	if !c.closing && len(c.rest) > 0 {
		c.deliver(c.rest)
	}
}

func (l *Loop) packet(sock gnet.Conn) gnet.Action {
	take, ok := l.packets[sock.LocalAddr().String()]
	if !ok || l.events == nil {
		return gnet.None
	}
	data, err := sock.Next(-1)
	if err != nil {
		return gnet.None
	}
	// gnet sends datagrams from AsyncWrite at once, also after the event that brought sock.
	take(data, sock.RemoteAddr(), func(answer []byte) { _ = sock.AsyncWrite(answer, nil) })
	l.RequestRound()
	return gnet.None
}

// OnClose tells the handler of the end.
func (l *Loop) OnClose(sock gnet.Conn, err error) gnet.Action {
	c, ok := sock.Context().(*Conn)
	if !ok {
		return gnet.None
	}
	l.heard++
	c.closed, c.closing = true, true
	l.outbound -= c.counted
	l.inbound -= len(c.rest)
	c.counted, c.rest = 0, nil
	c.handler.Closed(c, err)
	l.RequestRound()
	return gnet.None
}

// Consume takes n bytes off the front of In.
func (c *Conn) Consume(n int) {
	c.In = c.In[n:]
}

// Send leaves bytes to be written at the end of the round. It copies them.
func (c *Conn) Send(parts ...[]byte) {
	if c.closing {
		return
	}
	if n := len(c.loop.spare); c.out == nil && n > 0 {
		c.out, c.loop.spare = c.loop.spare[n-1], c.loop.spare[:n-1]
	}
	for _, p := range parts {
		c.out = append(c.out, p...)
		c.queued += uint64(len(p))
		c.counted += len(p)
		c.loop.outbound += len(p)
	}
	c.mark()
}

// Queued is how many bytes were left for the connection so far.
func (c *Conn) Queued() uint64 { return c.queued }

// Written is how many of them may have gone out, also after the end of the connection: gnet tries to write what it still holds then, and
// a peer that has closed its own side alone reads that. It is right up to the handler's Closed. What lies beyond it was never written.
func (c *Conn) Written() uint64 { return c.queued - uint64(len(c.out)) }

// Flushed is how many of them the system has taken.
func (c *Conn) Flushed() uint64 { return c.queued - uint64(c.Unsent()) }

func (c *Conn) mark() {
	if !c.dirty {
		c.dirty = true
		c.loop.dirty = append(c.loop.dirty, c)
		c.loop.RequestRound()
	}
}

// Close closes the connection at the end of the round, once what is left for it was written as far as it takes it.
func (c *Conn) Close() {
	if !c.closing {
		c.closing = true
		c.mark()
	}
}

// CloseNow closes the connection at once and not at the end of the round: what is read on it until then would have no
// answer. It must not be called while a handler of this connection runs.
func (c *Conn) CloseNow() {
	c.closing = true
	c.write()
}

// Abort is Close for a peer that does not read: what the system holds for it is dropped, or it would be read whenever the peer goes on,
// long after it was given up.
func (c *Conn) Abort() {
	if !c.closed {
		_ = c.sock.SetLinger(0)
		c.out = nil
		c.Close()
	}
}

func (c *Conn) write() {
	if c.closed {
		return
	}
	if len(c.out) > 0 {
		// A failed write closes the connection, and Closed says so.
		_, _ = c.sock.Write(c.out)
		if l := c.loop; len(l.spare) < spareMost && cap(c.out) <= spareSize {
			l.spare = append(l.spare, c.out[:0])
		}
		c.out = nil
	}
	if c.closed {
		return
	}
	c.count()
	if c.counted > 0 && !c.owing {
		c.owing = true
		c.loop.owing = append(c.loop.owing, c)
	}
	if c.counted > min(c.loop.Memory/peerPart, peerMost) {
		c.closing = true
	}
	if c.closing {
		_ = c.sock.EventLoop().Close(c.sock)
	}
}

// Unsent is the number of bytes that the peer has not taken yet.
func (c *Conn) Unsent() int {
	if c.closed {
		return 0
	}
	return len(c.out) + c.sock.OutboundBuffered()
}

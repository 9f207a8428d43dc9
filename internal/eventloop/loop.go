package eventloop

import (
	"context"
	"fmt"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/panjf2000/gnet/v2"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"sloequay/internal/eventloop/bridge"
	"sloequay/internal/eventloop/socket"
	"sloequay/internal/eventloop/standstill"
	"sloequay/internal/memory"
)

// Loop is the event loop. All methods except Post, Adopt and Stop must be called on the loop; only Adopt blocks.
//
// These goroutines run outside the loop: for each acceptor, one that accepts and one per connection that the loop has
// not taken over yet, which Run ends and waits for; one per dial, which ends by the timeout of the dial and which Run
// does not wait for; one at the start; and one for Stop. Timers post to the loop.
type Loop struct {
	gnet.BuiltinEventEngine
	// Memory accounts for the bytes that the loop holds for its peers. Run's start sets it.
	Memory *memory.Account
	// Bind is the local address of dials; nil: the system chooses.
	Bind *net.TCPAddr
	// OnAcceptError is called on the loop for each connection that could not be accepted; nil: errors are ignored.
	OnAcceptError func(error)
	// OnExcessInput is called on the loop for each connection that is closed for the bytes that its handler left
	// unconsumed while the memory account is exceeded; nil: these are not reported.
	OnExcessInput func(remote net.Addr, bytes int)

	engine         atomic.Pointer[gnet.Engine]
	gnetLoop       gnet.EventLoop // set before start runs
	bootOnce       sync.Once
	startupAddress string // see obtainGnetLoop
	start          func()
	packetHandlers map[string]PacketHandler // by local address
	pendingAccepts atomic.Int64             // accepted connections that have no handler yet
	pendingDials   int

	endRound         func()
	isRoundRequested bool // finishRound is posted or postponed
	wakeTimer        *time.Timer
	standstill       standstill.Detector
	pacer            roundPacer

	toWrite         []*Conn // connections to be written or closed at the end of the round
	slowReaders     []*Conn // connections with bytes that the system did not accept yet
	unsentBytes     int     // bytes that were not written to sockets yet
	relays          bridge.Totals
	unconsumedBytes int // received and not consumed by handlers, of all connections
	roundBuffer     roundBuffer
	spareBuffers    spareBuffers

	writeRetryTimer *time.Timer
	writeRetryAt    time.Time // when the timer fires; zero: it is not running
}

// Run opens the listeners and runs the loop until Stop is called. It calls start on the loop before anything is read,
// and endRound at the end of each round. Run blocks; after it has returned, nothing is accepted.
func Run(listeners []Listener, start func(*Loop), endRound func()) error {
	loop := &Loop{packetHandlers: map[string]PacketHandler{}, endRound: endRound}
	loop.startupAddress = startupConnAddress(listeners)
	var addresses []string
	var acceptors []*acceptor
	for _, listener := range listeners {
		if listener.Packet == nil {
			acceptor, err := newAcceptor(loop, listener)
			if err != nil {
				return fmt.Errorf("listen: %w", err)
			}
			defer acceptor.close()
			acceptors = append(acceptors, acceptor)
			continue
		}
		// gnet sets SO_REUSEPORT, with which a second program could share the address unnoticed.
		if err := socket.RetryLocalErrors(func() error { return checkAddressFree(listener.Address) }); err != nil {
			return err
		}
		loop.packetHandlers[listener.Address] = listener.Packet
		addresses = append(addresses, listener.Network+"://"+listener.Address)
	}
	loop.start = func() {
		start(loop)
		loop.spareBuffers = newSpareBuffers(loop.Memory)
		loop.roundBuffer = newRoundBuffer(loop.Memory)
		for _, acceptor := range acceptors {
			acceptor.start()
		}
	}
	if len(addresses) == 0 { // gnet provides no event loop for an engine without listeners
		addresses = append(addresses, "udp://"+ephemeralAddress(loop.startupAddress))
	}
	err := socket.RetryLocalErrors(func() error {
		return gnet.Rotate(loop, addresses, gnet.WithReusePort(true), gnet.WithReuseAddr(true),
			gnet.WithNumEventLoop(1), gnet.WithLogger(newErrorLogger()))
	})
	if err != nil {
		return fmt.Errorf("event loop: %w", err)
	}
	return nil
}

// newErrorLogger returns a logger for gnet that writes errors to stderr.
func newErrorLogger() *zap.SugaredLogger {
	encoder := zapcore.NewConsoleEncoder(zap.NewProductionEncoderConfig())
	return zap.New(zapcore.NewCore(encoder, zapcore.Lock(os.Stderr), zapcore.ErrorLevel)).Sugar()
}

// Stop makes Run return. It may be called from any goroutine once Run has called start, and does not wait.
func (l *Loop) Stop() {
	go func() { _ = l.engine.Load().Stop(context.Background()) }()
}

// Post queues a task that the loop runs after the events that are ready. It may be called from any goroutine once Run
// has called start, and does not wait. The task must not block, and must call RequestRound if it needs a round.
func (l *Loop) Post(task func()) {
	_ = l.gnetLoop.Execute(context.Background(), gnet.RunnableFunc(func(context.Context) error {
		task()
		return nil
	}))
}

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

	"sloequay/internal/eventloop/socket"
	"sloequay/internal/eventloop/standstill"
)

// Loop is the one event loop. All methods but Post, Adopt and Stop must be called on it; none but Adopt blocks.
//
// Beside it run: the goroutines of each acceptor, one that accepts and one for each connection that the loop has not
// taken yet, which Run ends and waits for; that of each dial, which ends by the dial's own time-out and is not waited
// for; that of the start; and that of Stop. Timers post to the loop.
type Loop struct {
	gnet.BuiltinEventEngine
	MemoryLimit int // bytes that the program may use, of which the bounds below are parts; set by Run's start
	// Bind is the address that dials come from; nil: the system's choice.
	Bind *net.TCPAddr
	// OnAcceptError is told of connections that could not be accepted, on the loop; nil: nobody is.
	OnAcceptError func(error)

	engine         atomic.Pointer[gnet.Engine]
	gnetLoop       gnet.EventLoop // set before start runs
	onceBooted     sync.Once
	handleAddress  string // see learnGnetLoop
	start          func()
	packetHandlers map[string]PacketHandler // by local address
	pendingAccepts atomic.Int64             // connections accepted that no handler knows of
	pendingDials   int

	endRound         func()
	isRoundRequested bool // its end is posted
	wakeTimer        *time.Timer
	standstill       standstill.Detector
	pacer            roundPacer

	toWrite      []*Conn // what the round left something for, or closes
	slowReaders  []*Conn // whose peers had not taken all by their last write
	unsentBytes  int     // see UnsentBytes
	partialBytes int     // received, and not consumed by handlers
	roundBuffer  []byte  // see CopyForRound
	spareBuffers [][]byte

	writeRetryTimer *time.Timer
	writeRetryAt    time.Time // when it ends; zero: it does not run
}

// Run opens the listeners and runs the loop until Stop. start runs on the loop before anything is read; endRound at
// the end of every round. Run blocks; once it returns, nothing is accepted any more.
func Run(listeners []Listener, start func(*Loop), endRound func()) error {
	loop := &Loop{packetHandlers: map[string]PacketHandler{}, endRound: endRound}
	loop.handleAddress = addressForHandle(listeners)
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
		// SO_REUSEPORT, which gnet sets, would let a second program share the address unnoticed.
		if err := socket.RetryLocalErrors(func() error { return checkVacant(listener.Address) }); err != nil {
			return err
		}
		loop.packetHandlers[listener.Address] = listener.Packet
		addresses = append(addresses, listener.Network+"://"+listener.Address)
	}
	loop.start = func() {
		start(loop)
		for _, acceptor := range acceptors {
			acceptor.start()
		}
	}
	if len(addresses) == 0 { // gnet gives no handle to an engine without a listener
		addresses = append(addresses, "udp://"+unusedAddress(loop.handleAddress))
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

// newErrorLogger is for what gnet says of errors.
func newErrorLogger() *zap.SugaredLogger {
	encoder := zapcore.NewConsoleEncoder(zap.NewProductionEncoderConfig())
	return zap.New(zapcore.NewCore(encoder, zapcore.Lock(os.Stderr), zapcore.ErrorLevel)).Sugar()
}

// Stop ends Run. It may be called from any goroutine once Run's start has run, and does not wait.
func (l *Loop) Stop() {
	go func() { _ = l.engine.Load().Stop(context.Background()) }()
}

// Post runs a task on the loop, at the end of what is ready. It may be called from any goroutine once Run's start has
// run, and does not wait. The task must not block, and asks for a round itself if it needs one.
func (l *Loop) Post(task func()) {
	_ = l.gnetLoop.Execute(context.Background(), gnet.RunnableFunc(func(context.Context) error {
		task()
		return nil
	}))
}

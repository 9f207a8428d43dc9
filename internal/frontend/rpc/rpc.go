// Package rpc is the frontend for the platform's own protocol, MessagePack-RPC over TCP. It turns frames into requests
// to the broker, and the broker's responses into frames. Package pacing decides when the messages of a rate-limited
// connection are handled, and package connlimit which connections are closed.
//
// The protocol's names of methods, fields and errors appear only in protocol.go.
package rpc

import (
	"net"
	"time"

	"sloequay/internal/broker"
	"sloequay/internal/eventloop"
	"sloequay/internal/frontend/connlimit"
	"sloequay/internal/frontend/rpc/answersize"
	"sloequay/internal/frontend/rpc/pacing"
	"sloequay/internal/identity"
	"sloequay/internal/invariant"
	"sloequay/internal/memory"
	"sloequay/internal/policy"
	"sloequay/internal/retryafter"
)

// Config configures a Server. All functions are called on the event loop and must not block.
type Config struct {
	Classes        []policy.Class
	MaxConnections int
	Emit           func(broker.Event)
	Now            func() time.Duration // the monotonic clock
	Ready          func() bool          // whether new clients are wanted
	Memory         *memory.Account      // charged for requests, their answers and what clients have not read
	Log            func(event string, fields ...any)

	// RetryAfter computes the Retry-After advice for rejected clients, and decides whether any may be sent.
	RetryAfter retryafter.Advisor

	// Monitor records violations of the frontend's invariants at run time; nil: none are recorded.
	Monitor *invariant.Monitor
}

// Server handles all client connections. All methods must be called on the event loop.
type Server struct {
	Config

	// Source returns identity's state for the host that a client connects from. Nil: identity is disabled.
	Source func(remote string) *identity.Source

	classIndex map[string]int // index in Config.Classes, by name
	clients    *connlimit.Limiter
	pacedQueue *pacing.Queue[*connection]

	answerSizes []answersize.Estimator // by index in Config.Classes
	memoryStats MemoryStats
}

// New returns a server with no connections.
func New(config Config) *Server {
	server := &Server{
		Config:      config,
		classIndex:  map[string]int{},
		clients:     connlimit.New(config.MaxConnections, idleTimeout),
		pacedQueue:  pacing.NewQueue[*connection](pacingLimits),
		answerSizes: make([]answersize.Estimator, len(config.Classes)),
	}
	for i := range config.Classes {
		server.classIndex[config.Classes[i].Name] = i
	}
	return server
}

// Clients returns the number of connections.
func (s *Server) Clients() int { return s.clients.Len() }

// Accept returns the handler of a new connection, or nil if the connection limit is reached.
func (s *Server) Accept(remote net.Addr) eventloop.Handler {
	return s.AcceptFrom(remote, identity.Caller{Frontend: "rpc"})
}

// AcceptFrom is like Accept, for a caller that is already partly identified, such as by a TLS certificate.
func (s *Server) AcceptFrom(remote net.Addr, caller identity.Caller) eventloop.Handler {
	if s.Source != nil {
		if caller.Remote == "" {
			caller.Remote, _, _ = net.SplitHostPort(remote.String())
		}
		caller.Source = s.Source(caller.Remote)
	}
	c := newConnection(s, caller)
	c.client = s.clients.Admit(s.Now(), c.evict, c.unsent)
	if c.client == nil {
		s.Log("client-connection-limit", "front", "rpc", "from", remote)
		return nil
	}
	return c
}

// Abandon releases a handler from Accept whose connection was never opened.
func Abandon(handler eventloop.Handler) {
	if c, ok := handler.(*connection); ok {
		c.close()
	}
}

// CloseIdle closes the idle connections: those with no open request, no unsent response and no incomplete message.
func (s *Server) CloseIdle() { s.clients.CloseIdle(s.Now()) }

// Tick closes the connections whose timeout has expired, and handles or rejects some messages of rate-limited ones. It
// must be called periodically.
func (s *Server) Tick(now time.Duration) {
	evicted := s.clients.Tick(now)
	if evicted.Unfinished > 0 {
		s.Log("client-message-timeout", "front", "rpc", "connections", evicted.Unfinished)
	}
	if evicted.Stalled > 0 {
		s.Log("client-not-reading", "front", "rpc", "connections", evicted.Stalled)
	}
	s.rejectTimedOut(now)
	s.pacedQueue.StartRound()
	for turn := s.pacedQueue.Next(); turn != nil; turn = s.pacedQueue.Next() {
		turn.Owner.conn.Redeliver()
	}
}

// rejectTimedOut rejects the requests of rate-limited connections that could not be handled in time.
func (s *Server) rejectTimedOut(now time.Duration) {
	for {
		timedOut, waited := s.pacedQueue.TimedOut(now)
		if timedOut == nil {
			break
		}
		c := timedOut.Owner
		rejected := c.rejectWaiting()
		s.Log("client-rate-limited", "from", c.caller.Remote, "waited", waited, "rejected", rejected)
	}
	for _, expired := range s.pacedQueue.Expired(now) {
		c := expired.Owner
		rejected := c.rejectExpired()
		s.Log("client-rate-limited", "from", c.caller.Remote, "expired", rejected)
	}
}

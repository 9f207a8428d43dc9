// Package dns is the frontend for clients that can only ask a name server where to go. A query is a request like any
// other: it goes through quotas, broker and policy, and its answer names the endpoint that served it.
//
// query.go reads queries, name.go their names; flight.go joins queries for the same result; response.go writes
// answers; stream.go is DNS over TCP.
package dns

import (
	"time"

	"github.com/miekg/dns"

	"sloequay/internal/broker"
	"sloequay/internal/frontend/connlimit"
	"sloequay/internal/identity"
	"sloequay/internal/identity/tsig"
	"sloequay/internal/policy"
	"sloequay/internal/retryafter"
)

const (
	maxFlights = 4096 // requests that are open or remembered
	maxJoined  = 256  // queries that wait for one request, or that are open on one TCP connection

	minUDPBytes = dns.MinMsgSize // of an answer that any client takes
	maxUDPBytes = 1232           // of an answer: what passes unfragmented nearly everywhere

	tcpIdleTimeout = 10 * time.Second
)

// Options configures a Server. All functions are called on the event loop and must not block.
type Options struct {
	Config         *Config
	Classes        []policy.Class
	Emit           func(broker.Event)
	Now            func() time.Duration // the monotonic clock
	PacketLag      func() time.Duration // how much earlier than now a datagram may have come that is read now
	Unix           func() time.Duration // the Unix clock, which signatures go by
	Log            func(event string, fields ...any)
	EndpointByName func(host string) *broker.Endpoint // of the endpoint list; nil: unknown
	MaxConnections int                                // by TCP
	Seed           uint64                             // of the ids of requests
	Keys           func() *tsig.Keys                  // by which queries are signed; nil: none
	Skew           time.Duration                      // of the callers' clocks

	// RetryAfter says how long rejected clients are asked to stay away, and whether they may be told at all.
	RetryAfter retryafter.Advisor
}

// Server answers the queries of one zone. All methods must be called on the event loop.
type Server struct {
	Options

	byKey     map[string]*flight          // keyed ones, open or finished within their window
	byRequest map[*broker.Request]*flight // open ones
	pending   map[string]*pendingQuery    // by pendingQuery.transaction: a retransmitted query is answered once
	clients   *connlimit.Limiter          // of TCP connections
	requests  uint64                      // that were made so far
	unsigned  identity.Caller             // of queries without a signature
}

// New returns a server with no queries.
func New(options Options) *Server {
	return &Server{
		Options:   options,
		byKey:     map[string]*flight{},
		byRequest: map[*broker.Request]*flight{},
		pending:   map[string]*pendingQuery{},
		clients:   connlimit.New(options.MaxConnections, tcpIdleTimeout),
		unsigned:  identity.Caller{Frontend: "dns"},
	}
}

// Clients returns the number of TCP connections.
func (s *Server) Clients() int { return s.clients.Len() }

// CloseIdle closes the idle TCP connections: no query is open, no answer is unsent and no message is incomplete.
func (s *Server) CloseIdle() { s.clients.CloseIdle(s.Now()) }

// Tick drops expired results and closes the TCP connections whose time-out has passed. It must be called
// periodically.
func (s *Server) Tick(now time.Duration) {
	for key, joined := range s.byKey {
		if joined.final != nil && now >= joined.keepUntil {
			delete(s.byKey, key)
		}
	}
	if unfinished := s.clients.Tick(now); unfinished > 0 {
		s.Log("client-message-timeout", "front", "dns", "connections", unfinished)
	}
}

// classIndex returns the place of a class in Classes; -1: there is none.
func (s *Server) classIndex(name string) int {
	for i := range s.Classes {
		if s.Classes[i].Name == name {
			return i
		}
	}
	return -1
}

// timeout returns how long a query of a class may wait.
func (s *Server) timeout(class int) time.Duration {
	if deadline := s.Classes[class].Deadline; deadline > 0 {
		return min(s.Config.Timeout, deadline)
	}
	return s.Config.Timeout
}

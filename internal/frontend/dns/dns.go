// Package dns is the frontend for clients that can only use DNS to find an endpoint. A query is a request like any
// other: it goes through quotas, broker and policy, and its answer names the endpoint that served it.
//
// query.go parses queries and name.go their names, flight.go coalesces queries for the same result, response.go writes
// answers, and stream.go handles DNS over TCP.
package dns

import (
	"time"

	"github.com/miekg/dns"

	"sloequay/internal/broker"
	"sloequay/internal/frontend/connlimit"
	"sloequay/internal/identity"
	"sloequay/internal/identity/tsig"
	"sloequay/internal/memory"
	"sloequay/internal/policy"
	"sloequay/internal/retryafter"
)

const (
	maxFlights        = 4096 // open requests plus keyed ones that are open or whose results are kept
	maxWaitingQueries = 256  // per request and per TCP connection, and the queries in one read of it
	// maxUnreadBytes is how many bytes of answers the system may not have accepted for a client by TCP that goes on
	// sending.
	maxUnreadBytes = 64 << 10

	// maxQueryBytes is the size of the largest query that is parsed. Queries are shorter than 1 KiB, signed ones too.
	maxQueryBytes = 4096
	// queryMemoryBytes and flightMemoryBytes are the memory that a waiting query takes, and a flight besides its
	// queries.
	queryMemoryBytes  = 2 << 10
	flightMemoryBytes = 3 << 10

	minUDPBytes = dns.MinMsgSize // size of an answer that every client accepts
	maxUDPBytes = 1232           // size of an answer that nearly all networks carry without fragmentation

	tcpIdleTimeout = 10 * time.Second
)

// Options configures a Server. All functions are called on the event loop and must not block.
type Options struct {
	Config         *Config
	Classes        []policy.Class
	Emit           func(broker.Event)
	Now            func() time.Duration // the monotonic clock
	PacketLag      func() time.Duration // how long ago a datagram that is read now may have arrived
	UnixTime       func() time.Duration // for the times of signatures
	Log            func(event string, fields ...any)
	EndpointByName func(host string) *broker.Endpoint // looks up the endpoint list; nil: unknown
	MaxConnections int                                // over TCP
	Memory         *memory.Account                    // charged for what waits for an answer
	Seed           uint64                             // for request ids
	Keys           func() *tsig.Keys                  // that queries may be signed with; nil: none
	MaxClockSkew   time.Duration                      // of clients' clocks, either way

	// RetryAfter computes the Retry-After advice for rejected clients, and decides whether any may be sent.
	RetryAfter retryafter.Advisor
}

// Server answers the queries of one zone. All methods must be called on the event loop.
type Server struct {
	Options

	byKey          map[string]*flight          // keyed ones, while open or until their keepUntil
	byRequest      map[*broker.Request]*flight // all open ones
	pending        map[string]*pendingQuery    // by transaction, so that a retransmitted query is answered once
	clients        *connlimit.Limiter          // limits the TCP connections
	requestCount   uint64                      // requests submitted so far
	unsignedCaller identity.Caller             // the caller of queries without a signature
}

// New returns a server with no open queries.
func New(options Options) *Server {
	return &Server{
		Options:        options,
		byKey:          map[string]*flight{},
		byRequest:      map[*broker.Request]*flight{},
		pending:        map[string]*pendingQuery{},
		clients:        connlimit.New(options.MaxConnections, tcpIdleTimeout),
		unsignedCaller: identity.Caller{Frontend: "dns"},
	}
}

// Clients returns the number of TCP connections.
func (s *Server) Clients() int { return s.clients.Len() }

// CloseIdle closes the idle TCP connections: those with no open query, no unsent answer and no incomplete message.
func (s *Server) CloseIdle() { s.clients.CloseIdle(s.Now()) }

// Tick removes expired results and closes the TCP connections whose timeout has expired. It must be called
// periodically.
func (s *Server) Tick(now time.Duration) {
	for key, keyed := range s.byKey {
		if keyed.final != nil && now >= keyed.keepUntil {
			s.forget(key)
		}
	}
	evicted := s.clients.Tick(now)
	if evicted.Unfinished > 0 {
		s.Log("client-message-timeout", "front", "dns", "connections", evicted.Unfinished)
	}
	if evicted.Stalled > 0 {
		s.Log("client-not-reading", "front", "dns", "connections", evicted.Stalled)
	}
}

// classIndex returns the index of a class in Classes, or -1 if there is no class of that name.
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

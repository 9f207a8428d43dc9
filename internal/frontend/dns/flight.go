package dns

import (
	"fmt"
	"time"

	"github.com/miekg/dns"

	"sloequay/internal/broker"
	"sloequay/internal/identity"
	"sloequay/internal/memory"
	"sloequay/internal/policy"
)

const (
	// minResubmitTime is the least time that must be left until a flight's deadline for its request to be resubmitted.
	minResubmitTime = 50 * time.Millisecond
	// signedTimeMargin is how far the time of a signed query may be off, in addition to the skew of clocks.
	signedTimeMargin = time.Second
)

// flight is one request with all queries that wait for its response.
type flight struct {
	target    target
	caller    *identity.Caller
	class     int
	key       string // in Server.byKey; empty: the request is not keyed
	request   *broker.Request
	deadline  time.Duration // of the first query
	waiting   []*pendingQuery
	final     *broker.Response // nil: the request is open
	keepUntil time.Duration    // until when the final response is returned for further queries
	memory    memory.Charge    // for all but the waiting queries
}

// join adds a query to the flight with the same key, or opens a new flight for it.
func (s *Server) join(query *pendingQuery, requested target, class int) {
	now := s.Now()
	caller := &s.unsignedCaller
	if query.signed != nil {
		caller = query.signed.Caller()
	}
	key := ""
	if s.Classes[class].Idempotency != policy.Idempotent {
		// The key, not the client's address, identifies the same request, because retries come from other ports.
		// Subjects never share a flight: the second one must be rejected, and must not learn the result of the first.
		key = caller.Subject + " " + requested.team + " " + requested.class + " " + requested.key
		existing := s.byKey[key]
		if existing != nil && (existing.final == nil || now < existing.keepUntil) {
			s.joinExisting(query, existing, requested)
			return
		}
	}
	if len(s.byRequest)+len(s.byKey) >= maxFlights || !s.admits(flightMemoryBytes+queryMemoryBytes) {
		s.sendOverloaded(query)
		return
	}
	deadline := query.receivedAt + s.timeout(class)
	newFlight := &flight{target: requested, class: class, key: key, caller: caller, deadline: deadline}
	newFlight.memory = s.Memory.NewCharge(memory.Queries, flightMemoryBytes)
	if key != "" {
		s.forget(key)
		s.byKey[key] = newFlight
	}
	s.addWaiting(query, newFlight)
	s.submit(newFlight, query.receivedAt)
}

// joinExisting answers a query with the result of the flight with the same key, or adds it to the queries that wait for
// that result.
func (s *Server) joinExisting(query *pendingQuery, existing *flight, requested target) {
	switch {
	case existing.target.object != requested.object || existing.target.part != requested.part:
		s.sendStatus(query, status{rcode: dns.RcodeFormatError, text: "this key was used for another object"})
	case existing.final != nil:
		s.answer(query, existing.final)
	case len(existing.waiting) < maxWaitingQueries && s.admits(queryMemoryBytes):
		s.addWaiting(query, existing)
	default:
		s.sendOverloaded(query)
	}
}

// admits reports whether the memory account admits more waiting queries. They are all one owner there, as one client
// can send them from many addresses.
func (s *Server) admits(bytes int) bool {
	return s.Memory.Admits(memory.Need{Bytes: s.Memory.Reserved(memory.Queries)}, memory.Need{Bytes: bytes})
}

// forget removes the kept result of a key, if there is one.
func (s *Server) forget(key string) {
	if cached := s.byKey[key]; cached != nil {
		cached.memory.Release()
		delete(s.byKey, key)
	}
}

func (s *Server) addWaiting(query *pendingQuery, inFlight *flight) {
	query.memory = s.Memory.NewCharge(memory.Queries, queryMemoryBytes)
	inFlight.waiting = append(inFlight.waiting, query)
	s.pending[query.transaction] = query
}

// submit creates the broker's request for a flight and emits it. The request's timeout starts at receivedAt.
func (s *Server) submit(inFlight *flight, receivedAt time.Duration) {
	s.requestCount++
	requested := &inFlight.target
	inFlight.request = &broker.Request{
		Frontend:   s,
		ID:         fmt.Sprintf("%016x", s.Seed+s.requestCount),
		Class:      inFlight.class,
		Team:       requested.team,
		Object:     requested.object,
		ObjectName: requested.objectName,
		Part:       requested.part,
		Group:      requested.group,
		Key:        requested.key,
		Caller:     inFlight.caller,
		Zone:       s.Config.Zone,
		ReceivedAt: receivedAt,
		Timeout:    inFlight.deadline - receivedAt,

		IgnoresBody: true,
	}
	s.byRequest[inFlight.request] = inFlight
	s.Emit(broker.RequestReceived{Request: inFlight.request})
}

// Respond answers all queries that wait for a request. The broker calls it once for each request that was not
// canceled.
func (s *Server) Respond(request *broker.Request, response broker.Response) {
	ended := s.byRequest[request]
	if ended == nil {
		return
	}
	delete(s.byRequest, request)
	now := s.Now()
	served := response.Kind == broker.ResponseServed || response.Kind == broker.ResponseNotModified
	if served && response.Endpoint.State != policy.Ready && ended.key == "" && ended.deadline-now > minResubmitTime {
		// The endpoint that served the request is no longer ready. The request is idempotent, so it is resubmitted.
		s.submit(ended, now)
		return
	}
	response.Body = nil
	ended.final = &response
	if ended.key != "" {
		ended.keepUntil = now + s.resultLifetime(ended)
	}
	for _, query := range ended.waiting {
		delete(s.pending, query.transaction)
		query.memory.Release()
		s.answer(query, ended.final)
	}
	ended.waiting = nil
	if ended.key == "" {
		ended.memory.Release()
	}
}

// resultLifetime returns how long the final response to a keyed request is returned for further queries.
func (s *Server) resultLifetime(ended *flight) time.Duration {
	switch ended.final.Kind {
	case broker.ResponseRejected:
		// A rejection promises that a retry is harmless, so it is repeated only until its Retry-After has passed.
		return ended.final.RetryAfter
	case broker.ResponseDenied:
		return 0 // nothing was attempted for this key
	}
	lifetime := s.Classes[ended.class].DedupWindow
	if ended.caller.Subject != "" {
		// Whoever has seen a signed query can replay it while its signed time is accepted. The replay must get this
		// result instead of causing another request.
		lifetime = max(lifetime, 2*(s.MaxClockSkew+signedTimeMargin))
	}
	return lifetime
}

// cancel cancels a request that no query waits for.
func (s *Server) cancel(request *broker.Request) {
	s.byRequest[request].memory.Release()
	delete(s.byRequest, request)
	request.Canceled = true
	s.Emit(broker.RequestCanceled{Request: request})
}

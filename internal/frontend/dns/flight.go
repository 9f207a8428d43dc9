package dns

import (
	"fmt"
	"time"

	"github.com/miekg/dns"

	"sloequay/internal/broker"
	"sloequay/internal/identity"
	"sloequay/internal/policy"
)

const (
	// minResubmitTime is what must be left of a query's time for its request to be made again.
	minResubmitTime = 50 * time.Millisecond
	// signedTimeMargin is what the time of a signed query may be off beside the skew of clocks.
	signedTimeMargin = time.Second
)

// flight is one request with all queries that wait for its response.
type flight struct {
	target    target
	caller    *identity.Caller
	class     int
	key       string // in Server.byKey; empty: it is not keyed
	request   *broker.Request
	deadline  time.Duration // when the first query's time is over
	waiting   []*pendingQuery
	final     *broker.Response // nil: it is open
	keepUntil time.Duration    // until when the final response is given again
}

// join adds a query to the request with the same key, or makes a new request for it.
func (s *Server) join(query *pendingQuery, requested target, class int) {
	now := s.Now()
	caller := &s.unsigned
	if query.signed != nil {
		caller = query.signed.Caller()
	}
	key := ""
	if s.Classes[class].Idempotency != policy.Idempotent {
		// The key and not the address of the client says what is the same request: retries come from other ports.
		// Two subjects never share one: the second is to be rejected, and not told what came of the first.
		key = caller.Subject + " " + requested.team + " " + requested.class + " " + requested.key
		known := s.byKey[key]
		if known != nil && (known.final == nil || now < known.keepUntil) {
			s.joinKnown(query, known, requested)
			return
		}
	}
	if len(s.byRequest)+len(s.byKey) >= maxFlights {
		s.sendOverloaded(query)
		return
	}
	deadline := query.receivedAt + s.timeout(class)
	opened := &flight{target: requested, class: class, key: key, caller: caller, deadline: deadline}
	if key != "" {
		s.byKey[key] = opened
	}
	s.wait(query, opened)
	s.submit(opened, query.receivedAt)
}

// joinKnown answers a query by the result of a request with the same key, or adds it to those that wait for the
// result.
func (s *Server) joinKnown(query *pendingQuery, known *flight, requested target) {
	switch {
	case known.target.object != requested.object || known.target.part != requested.part:
		s.sendStatus(query, status{rcode: dns.RcodeFormatError, text: "this key was used for another object"})
	case known.final != nil:
		s.answer(query, known.final)
	case len(known.waiting) < maxJoined:
		s.wait(query, known)
	default:
		s.sendOverloaded(query)
	}
}

func (s *Server) wait(query *pendingQuery, joined *flight) {
	joined.waiting = append(joined.waiting, query)
	s.pending[query.transaction] = query
}

// submit makes the broker's request for a flight, which counts from receivedAt, and emits it.
func (s *Server) submit(opened *flight, receivedAt time.Duration) {
	s.requests++
	requested := &opened.target
	opened.request = &broker.Request{
		Frontend:   s,
		ID:         fmt.Sprintf("%016x", s.Seed+s.requests),
		Class:      opened.class,
		Team:       requested.team,
		Object:     requested.object,
		ObjectName: requested.objectName,
		Part:       requested.part,
		Group:      requested.group,
		Key:        requested.key,
		Caller:     opened.caller,
		Zone:       s.Config.Zone,
		ReceivedAt: receivedAt,
		Timeout:    opened.deadline - receivedAt,
	}
	s.byRequest[opened.request] = opened
	s.Emit(broker.RequestReceived{Request: opened.request})
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
		// The endpoint that served it began to drain meanwhile. The request is idempotent: it is made again.
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
		s.answer(query, ended.final)
	}
	ended.waiting = nil
}

// resultLifetime returns how long the final response of a keyed request is given again.
func (s *Server) resultLifetime(ended *flight) time.Duration {
	switch ended.final.Kind {
	case broker.ResponseRejected:
		// A rejection promises that a retry is harmless, so it is repeated until its Retry-After only.
		return ended.final.RetryAfter
	case broker.ResponseDenied:
		return 0 // nothing was attempted by this key
	}
	lifetime := s.Classes[ended.class].DedupWindow
	if ended.caller.Subject != "" {
		// A signed query may be sent again by whoever saw it, as long as its time will do: it must find this result.
		lifetime = max(lifetime, 2*(s.MaxClockSkew+signedTimeMargin))
	}
	return lifetime
}

// cancel withdraws a request that no query waits for.
func (s *Server) cancel(request *broker.Request) {
	delete(s.byRequest, request)
	request.Canceled = true
	s.Emit(broker.RequestCanceled{Request: request})
}

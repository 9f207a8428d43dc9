package proxy

import (
	"slices"

	"sloequay/internal/broker"
	"sloequay/internal/membership"
)

// admit handles an event from a frontend. A request is rejected if too little time is left before the platform kills
// the process, and authenticated if identity is on; all else is published.
func (s *server) admit(event broker.Event) {
	received, isRequest := event.(broker.RequestReceived)
	if !isRequest {
		s.publish(event)
		return
	}
	request := received.Request
	timeout, ok := s.shutdown.TimeoutFor(s.clock.Monotonic(), request.Timeout)
	if !ok {
		control := &s.plan.platform.Policy
		retryAfter := control.RetryAfter(&control.Classes[request.Class])
		request.Frontend.Respond(request, broker.Response{Kind: broker.ResponseRejected, RetryAfter: retryAfter})
		return
	}
	request.Timeout = timeout
	if s.authenticator != nil {
		s.authenticator.authenticate(request)
		return
	}
	s.publish(event)
}

// publish passes an event about endpoints, purges or an admitted request on to the pools that it concerns.
func (s *server) publish(event broker.Event) {
	if s.routes == nil {
		s.pools[0].publish(event)
		return
	}
	s.dispatch(event)
}

// dispatch passes an event on to the pools that it concerns. In lists and deltas, a pool sees only its own endpoints:
// the others are absent or gone, even those that were in the pool before.
func (s *server) dispatch(event broker.Event) {
	switch event := event.(type) {
	case broker.RequestReceived:
		request := event.Request
		class := s.plan.platform.Policy.Classes[request.Class].Name
		request.Route = s.routes.Choose(request.Team, class, request.Zone, request.Object)
		request.Service = request.Route.Service
		s.pools[request.Route.Pool].publish(event)
	case broker.RequestCanceled:
		s.pools[event.Request.Route.Pool].publish(event)
	case broker.EndpointList:
		for i, pool := range s.pools {
			pool.publish(s.listForPool(i, event))
		}
	case broker.EndpointDelta:
		for i, pool := range s.pools {
			pool.publish(s.deltaForPool(i, event))
		}
	default: // events that concern all pools: purges, and sources that become silent or answer again
		for _, pool := range s.pools {
			pool.publish(event)
		}
	}
}

// listForPool returns a copy of the list with only the endpoints of a pool.
func (s *server) listForPool(pool int, event broker.EndpointList) broker.EndpointList {
	all := event.List.Endpoints
	event.List.Endpoints = nil
	for _, endpoint := range all {
		if s.routes.Contains(pool, endpoint.ID, endpoint.Zone, endpoint.Kind) {
			event.List.Endpoints = append(event.List.Endpoints, endpoint)
		}
	}
	return event
}

// deltaForPool returns a copy of the delta in which the endpoints outside a pool are gone.
func (s *server) deltaForPool(pool int, event broker.EndpointDelta) broker.EndpointDelta {
	event.Endpoints = slices.Clone(event.Endpoints)
	for i := range event.Endpoints {
		endpoint := &event.Endpoints[i]
		if !s.routes.Contains(pool, endpoint.ID, endpoint.Zone, endpoint.Kind) {
			endpoint.State = membership.Gone
		}
	}
	return event
}

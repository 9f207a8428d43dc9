package proxy

import (
	"slices"

	"sloequay/internal/broker"
	"sloequay/internal/membership"
)

// admit takes the events of a front end. A request is authenticated first, where identity is on.
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

// publish passes an event of a source of endpoints or purges, or of an admitted request, on to the pools.
func (s *server) publish(event broker.Event) {
	if s.routes == nil {
		s.pools[0].publish(event)
		return
	}
	s.dispatch(event)
}

// dispatch gives each pool what concerns it. An endpoint that is not a pool's is gone for it, also one that was its.
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
			pool.publish(s.listOfPool(i, event))
		}
	case broker.EndpointDelta:
		for i, pool := range s.pools {
			pool.publish(s.deltaOfPool(i, event))
		}
	default: // purges, and sources that report or are silent
		for _, pool := range s.pools {
			pool.publish(event)
		}
	}
}

// listOfPool returns a list without the endpoints that are not a pool's.
func (s *server) listOfPool(pool int, event broker.EndpointList) broker.EndpointList {
	all := event.List.Endpoints
	event.List.Endpoints = nil
	for _, endpoint := range all {
		if s.routes.Contains(pool, endpoint.ID, endpoint.Zone, endpoint.Kind) {
			event.List.Endpoints = append(event.List.Endpoints, endpoint)
		}
	}
	return event
}

// deltaOfPool returns changes in which the endpoints that are not a pool's are gone.
func (s *server) deltaOfPool(pool int, event broker.EndpointDelta) broker.EndpointDelta {
	event.Endpoints = slices.Clone(event.Endpoints)
	for i := range event.Endpoints {
		endpoint := &event.Endpoints[i]
		if !s.routes.Contains(pool, endpoint.ID, endpoint.Zone, endpoint.Kind) {
			endpoint.State = membership.Gone
		}
	}
	return event
}

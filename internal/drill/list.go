package drill

import "time"

// listService tells the proxies which endpoints there are.
type listService interface {
	// endpointChanged publishes the current state of an endpoint.
	endpointChanged(e *endpoint)
	// addEndpoints publishes count additional endpoints that share one address.
	addEndpoints(count int, address string)
	setFault(fault listFault)
	// proxySettings returns what a proxy needs to find the service: keys of its configuration, and lines of its
	// settings.
	proxySettings() (configuration map[string]any, settings string)
	close()
}

// listFaultKind is the kind of fault of a list service.
type listFaultKind string

// The kinds of faults, by their names in plans.
const (
	listIsHealthy     listFaultKind = "well"
	listHangs         listFaultKind = "hang"
	listRefuses       listFaultKind = "refuse"
	listIsEmpty       listFaultKind = "empty"
	listIsStale       listFaultKind = "old"  // catalogue only
	listIsRateLimited listFaultKind = "rate" // catalogue only
)

// listFault is a fault of a list service, with its parameters.
type listFault struct {
	kind listFaultKind
	age  time.Duration // of the stale list
	rate float64       // calls per second that the rate-limited service answers
}

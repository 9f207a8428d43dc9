package drill

import "time"

// listService tells the proxies which endpoints there are.
type listService interface {
	// endpointChanged tells what has changed of an endpoint.
	endpointChanged(e *endpoint)
	// addEndpoints names so many more endpoints, all at one address.
	addEndpoints(count int, address string)
	setFault(fault listFault)
	// proxySettings gives what a proxy needs to find the service: keys of its configuration, and lines of its settings.
	proxySettings() (configuration map[string]any, settings string)
	close()
}

// listFaultKind is how a list service fails.
type listFaultKind string

// The kinds, as plans write them.
const (
	listIsWell    listFaultKind = "well"
	listHangs     listFaultKind = "hang"
	listRefuses   listFaultKind = "refuse"
	listIsEmpty   listFaultKind = "empty"
	listIsStale   listFaultKind = "old"  // the catalogue alone
	listIsLimited listFaultKind = "rate" // the catalogue alone
)

// listFault is a way in which a list service fails.
type listFault struct {
	kind listFaultKind
	age  time.Duration // of a stale list
	rate float64       // calls a second that are answered when it is limited
}

package broker

import (
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"sloequay/internal/membership"
	"sloequay/internal/policy"
)

// searchByName and searchAddressBlocked are reference implementations that search all endpoints.
func searchByName(broker *Broker, name string) *Endpoint {
	for _, endpoint := range broker.endpoints.byID {
		if strings.EqualFold(endpoint.Name, name) {
			return endpoint
		}
	}
	return nil
}

func searchAddressBlocked(broker *Broker, address string) bool {
	blocked := false
	for _, endpoint := range broker.endpoints.byID {
		if endpoint.Address != address {
			continue
		}
		if endpoint.usable() {
			return false
		}
		isRecentlyGone := broker.now-endpoint.changedAt < departedRetention
		blocked = blocked || endpoint.State == policy.Draining || isRecentlyGone
	}
	return blocked
}

// TestEndpointIndexAgainstLinearSearch compares the endpoint index with linear searches under random changes of the
// list, in which endpoints move, depart, return, and take over addresses. It also checks that the index keeps nothing
// of endpoints that have been gone for longer than departedRetention.
func TestEndpointIndexAgainstLinearSearch(t *testing.T) {
	names := []string{"c1", "C2", "c3", "c4", "c5", "c6"}
	addresses := []string{"10.0.0.1:1", "10.0.0.2:1", "c3.example:1", "10.0.0.3:1"}
	rapid.Check(t, func(rt *rapid.T) {
		broker := newBroker(t)
		now := 1000 * time.Second
		for range rapid.IntRange(1, 40).Draw(rt, "steps") {
			now += time.Duration(rapid.IntRange(0, 30000).Draw(rt, "ms")) * time.Millisecond
			broker.Round(now, []Event{drawList(rt, names, addresses)})
			for _, name := range names {
				name = strings.ToUpper(name)
				if got, want := broker.EndpointByName(name), searchByName(broker, name); got != want {
					rt.Fatalf("EndpointByName(%s): got %v, want %v", name, got, want)
				}
			}
			for _, address := range addresses {
				got, want := broker.AddressBlocked(address), searchAddressBlocked(broker, address)
				if got != want {
					rt.Fatalf("AddressBlocked(%s): got %v, want %v", address, got, want)
				}
			}
		}
		last := EndpointDelta{Endpoints: []membership.Endpoint{testEndpoint("last", "10.0.0.9:1", membership.Up)}}
		broker.Round(now, []Event{EndpointList{}})
		broker.Round(now+2*departedRetention, []Event{last})
		broker.Round(now+2*departedRetention, []Event{EndpointList{}})
		broker.Round(now+4*departedRetention, []Event{last})
		broker.Round(now+4*departedRetention, []Event{EndpointList{}})
		index := &broker.endpoints
		entries := len(index.byID) + len(index.ids) + len(index.byName) + len(index.byAddress) + len(index.departures)
		if entries != 5 {
			rt.Fatalf("got %d index entries, want the 5 of the last endpoint", entries)
		}
	})
}

// drawList draws a complete list or a delta.
func drawList(t *rapid.T, names, addresses []string) Event {
	states := []membership.State{membership.Gone, membership.Draining, membership.Up}
	var endpoints []membership.Endpoint
	for _, name := range names {
		if rapid.IntRange(0, 2).Draw(t, "reported") == 0 {
			state := rapid.SampledFrom(states).Draw(t, "state")
			address := rapid.SampledFrom(addresses).Draw(t, "address")
			endpoints = append(endpoints, testEndpoint(name, address, state))
		}
	}
	if rapid.IntRange(0, 4).Draw(t, "complete") == 0 {
		return EndpointList{List: membership.List{Endpoints: endpoints}}
	}
	return EndpointDelta{Endpoints: endpoints}
}

package broker

import (
	"fmt"
	"testing"
	"time"

	"sloequay/internal/membership"
	"sloequay/internal/policy"
)

func testConfig() policy.Config {
	return policy.Config{
		Instances:        1,
		Zone:             1,
		ParentKind:       1,
		OriginKind:       2,
		FlowKBps:         9500,
		WeightsReported:  true,
		DirectFetch:      true,
		MaxAttempts:      6,
		MayCancel:        true,
		MaxRetryAfter:    time.Second,
		PurgePropagation: 6 * time.Second,
		Classes: []policy.Class{
			{Name: "lookup", LatencyObjective: 250 * time.Millisecond, Deadline: 3 * time.Second, PriorityWeight: 1},
		},
	}
}

// newBroker returns a broker with one source of endpoints, whose membership table forgets gone endpoints at once.
func newBroker(t testing.TB) *Broker {
	t.Helper()
	return newBrokerWithMembers(t, membership.Config{
		Sources:      make([]membership.Source, 1),
		TombstoneTTL: time.Millisecond,
	})
}

// consulSource is the index of the second source of a broker with two.
const consulSource = 1

// newTwoSourceBroker returns a broker with two sources, which suspects a list that lost 30% of its endpoints.
func newTwoSourceBroker(t testing.TB) *Broker {
	t.Helper()
	return newBrokerWithMembers(t, membership.Config{
		MaxLossShare: 0.3,
		MinLoss:      2,
		Sources: []membership.Source{
			{Name: "bulletin"},
			consulSource: {Name: "consul:cache", ConfirmLosses: true, FirstSeenIsStart: true},
		},
	})
}

func newBrokerWithMembers(t testing.TB, members membership.Config) *Broker {
	t.Helper()
	broker, err := New(testConfig(), 1, 1000, nil, membership.New(members))
	if err != nil {
		t.Fatal(err)
	}
	return broker
}

func testEndpoint(name, address string, state membership.State) membership.Endpoint {
	return membership.Endpoint{ID: name, Address: address, Zone: 1, State: state, Weight: 8}
}

// manyEndpoints returns n endpoints that are up, in 20 zones.
func manyEndpoints(n int) []membership.Endpoint {
	endpoints := make([]membership.Endpoint, n)
	for i := range endpoints {
		endpoints[i] = membership.Endpoint{
			ID:          fmt.Sprintf("cache-%06d", i),
			Address:     fmt.Sprintf("10.%d.%d.%d:1", i>>16, i>>8&255, i&255),
			Zone:        i % 20,
			Weight:      8,
			State:       membership.Up,
			Incarnation: uint64(i),
		}
	}
	return endpoints
}

// consulList returns the event for a complete list from the second source.
func consulList(endpoints []membership.Endpoint) EndpointList {
	return EndpointList{Source: consulSource, List: membership.List{Endpoints: endpoints}}
}

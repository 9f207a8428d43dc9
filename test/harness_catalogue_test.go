package test

import (
	"fmt"
	"maps"
	"net"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"sloequay/internal/emulator/consul"
)

// catalogueInstance returns the catalogue registration of an endpoint at an address.
func (bed *testbed) catalogueInstance(id, address string) consul.Instance {
	bed.t.Helper()
	service, class, site := placement(id)
	host, port, err := net.SplitHostPort(address)
	if err != nil {
		bed.t.Fatal(err)
	}
	portNumber, err := strconv.Atoi(port)
	if err != nil {
		bed.t.Fatal(err)
	}
	return consul.Instance{Node: "node-" + id, NodeAddress: "127.0.0.1", Service: service, ID: id, Address: host,
		Port: portNumber, Meta: map[string]string{"site": site, "class": class},
		Weights: consul.Weights{Passing: 4, Warning: 1}}
}

// newCatalogueTestbed returns a testbed with the endpoints of newTestbed and those in extraIDs. The list service lists
// none of them: the program can learn of them only from a catalogue.
func newCatalogueTestbed(t *testing.T, respond func(*receivedRequest), extraIDs ...string) *testbed {
	t.Helper()
	bed := newTestbed(t, respond, "c1", "c2", "p1", "o1")
	for _, id := range extraIDs {
		bed.addEndpoint(id)
	}
	return bed
}

// enableCatalogue registers the testbed's endpoints in an emulated catalogue with the given number of agents, and
// configures the program to watch it. extra is added to the catalogue block of the settings.
func (bed *testbed) enableCatalogue(agents int, extra string) (*consul.Cluster, []*consul.Agent) {
	bed.t.Helper()
	cluster := consul.NewCluster()
	for _, id := range slices.Sorted(maps.Keys(bed.listeners)) {
		cluster.Put(bed.catalogueInstance(id, bed.endpointAddress(id)))
	}
	var all []*consul.Agent
	var block strings.Builder
	block.WriteString("catalogue {\n")
	for i := range agents {
		agent, err := cluster.NewAgent(fmt.Sprint("agent", i))
		if err != nil {
			bed.t.Fatal(err)
		}
		bed.t.Cleanup(agent.Close)
		all = append(all, agent)
		fmt.Fprintf(&block, "agent %s\n", agent.Address())
	}
	block.WriteString("service cache {\n}\nservice trunk {\n}\nservice archive {\n}\n" + extra + "\n}")
	bed.addSettings(block.String())
	return cluster, all
}

// usesEndpoint returns a predicate that reports whether an attempt was sent to the endpoint or names it as the source
// of a fill.
func usesEndpoint(id string) func(*receivedRequest) bool {
	return func(attempt *receivedRequest) bool {
		return attempt.Word == "ASK" && (attempt.Endpoint == id || attempt.Fields["via"] == id)
	}
}

// usesSince returns the attempts after since that were sent to the endpoint or named it as the source of a fill.
func (bed *testbed) usesSince(id string, since time.Time) []*receivedRequest {
	uses := usesEndpoint(id)
	return bed.received(func(attempt *receivedRequest) bool { return uses(attempt) && attempt.At.After(since) })
}

// waitInUse waits until an attempt made after the call uses the endpoint.
func (bed *testbed) waitInUse(id string) {
	bed.t.Helper()
	from := time.Now()
	bed.waitUntil(id+" is in use", func() bool { return len(bed.usesSince(id, from)) > 0 })
}

// waitUnused waits until the endpoint has not been used for 400 ms, and fails the test if its last use came more than
// maxDelay after since, the time of the change that takes it out of use.
func (bed *testbed) waitUnused(id string, since time.Time, maxDelay time.Duration) {
	bed.t.Helper()
	last := func() time.Time {
		uses := bed.received(usesEndpoint(id))
		if len(uses) == 0 {
			return since
		}
		return uses[len(uses)-1].At
	}
	deadline := time.Now().Add(waitLimit)
	for time.Since(last()) < 400*time.Millisecond || time.Since(since) < maxDelay+300*time.Millisecond {
		if time.Now().After(deadline) {
			bed.t.Fatalf("endpoint %s is still in use %v after the change", id, time.Since(since))
		}
		time.Sleep(5 * time.Millisecond)
	}
	if lastUse := last().Sub(since); lastUse > maxDelay {
		bed.t.Errorf("endpoint %s was last used %v after the change, want at most %v", id, lastUse, maxDelay)
	}
}

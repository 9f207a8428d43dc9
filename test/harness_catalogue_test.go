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

// catalogueInstance is an endpoint as a catalogue has it, at an address.
func (bed *testbed) catalogueInstance(id, address string) consul.Instance {
	bed.t.Helper()
	service, class, site := placement(id)
	host, port, err := net.SplitHostPort(address)
	if err != nil {
		bed.t.Fatal(err)
	}
	number, err := strconv.Atoi(port)
	if err != nil {
		bed.t.Fatal(err)
	}
	return consul.Instance{Node: "node-" + id, NodeAddress: "127.0.0.1", Service: service, ID: id, Address: host,
		Port: number, Meta: map[string]string{"site": site, "class": class},
		Weights: consul.Weights{Passing: 4, Warning: 1}}
}

// newCatalogueTestbed has the endpoints of newTestbed and further ones, of which the list service has none: they are
// for a catalogue to tell.
func newCatalogueTestbed(t *testing.T, respond func(*receivedRequest), further ...string) *testbed {
	t.Helper()
	bed := newTestbed(t, respond, "c1", "c2", "p1", "o1")
	for _, id := range further {
		bed.addEndpoint(id)
	}
	return bed
}

// enableCatalogue has an emulated catalogue with some agents tell the testbed's endpoints, and the program follow it.
// extra goes into the block of the settings.
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

// usesEndpoint fits an attempt that was sent to an endpoint, or names it as the source to fill from.
func usesEndpoint(id string) func(*receivedRequest) bool {
	return func(attempt *receivedRequest) bool {
		return attempt.Word == "ASK" && (attempt.Endpoint == id || attempt.Fields["via"] == id)
	}
}

// usesSince gives the attempts that were sent to an endpoint, or named it as the source, after a moment.
func (bed *testbed) usesSince(id string, since time.Time) []*receivedRequest {
	uses := usesEndpoint(id)
	return bed.received(func(attempt *receivedRequest) bool { return uses(attempt) && attempt.At.After(since) })
}

// waitInUse waits until an endpoint is used from now on.
func (bed *testbed) waitInUse(id string) {
	bed.t.Helper()
	from := time.Now()
	bed.waitUntil(id+" is in use", func() bool { return len(bed.usesSince(id, from)) > 0 })
}

// waitUnused waits until an endpoint was not used for a while, and fails if it was later than within after since.
func (bed *testbed) waitUnused(id string, since time.Time, within time.Duration) {
	bed.t.Helper()
	last := func() time.Time {
		uses := bed.received(usesEndpoint(id))
		if len(uses) == 0 {
			return since
		}
		return uses[len(uses)-1].At
	}
	deadline := time.Now().Add(waitLimit)
	for time.Since(last()) < 400*time.Millisecond || time.Since(since) < within+300*time.Millisecond {
		if time.Now().After(deadline) {
			bed.t.Fatalf("%s is in use still, %v after it was marked", id, time.Since(since))
		}
		time.Sleep(5 * time.Millisecond)
	}
	if lastUse := last().Sub(since); lastUse > within {
		bed.t.Errorf("%s was used %v after it was marked, want at most %v", id, lastUse, within)
	}
}

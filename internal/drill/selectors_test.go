package drill

import (
	"fmt"
	"testing"
)

// newTestCluster returns a cluster of ten proxies in two zones, a cache in each zone and the origin. Nothing is
// started.
func newTestCluster() *Cluster {
	c := &Cluster{seed: 1, endpoints: map[string]*endpoint{}, Record: newRecord(NewPlan())}
	for n := range 10 {
		c.proxies = append(c.proxies, &proxy{number: n, name: fmt.Sprint("d", n), zone: 1 + n%2})
	}
	for _, id := range []string{"c1-1", "c2-1"} {
		e := &endpoint{id: id, zone: "p" + id[1:2]}
		c.endpoints[id] = e
		c.endpointOrder = append(c.endpointOrder, e)
	}
	c.endpointOrder = append(c.endpointOrder, &endpoint{id: "o1", zone: "hub"})
	return c
}

// TestSelectors checks how many nodes each selector selects, and that invalid selectors are rejected.
func TestSelectors(t *testing.T) {
	c := newTestCluster()
	for text, want := range map[string]int{"doormans": 10, "doormans:0.3": 3, "doorman:9": 1, "plaza:1": 6, "hub": 1,
		"boxes": 3, "box:c1-1": 1, "list": 1, "clients": 1, "plaza:1+list": 7} {
		got, err := c.selectNodes(text)
		if err != nil || len(got) != want {
			t.Errorf("%s: got %d nodes, error %v, want %d nodes", text, len(got), err, want)
		}
	}
	for _, text := range []string{"doorman:10", "doormans:2", "box:x", "everyone", ""} {
		if got, err := c.selectNodes(text); err == nil {
			t.Errorf("%s: got %v, want an error", text, got)
		}
	}
}

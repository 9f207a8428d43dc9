package test

import (
	"fmt"
	"net"
	"slices"
	"time"

	"sloequay/internal/emulator/consul"
)

// services are where the stand-in boxes are registered.
func catalogueService(id string) (name, class, site string) {
	switch id[0] {
	case 'p':
		return "trunk", "parent", "hub"
	case 'o':
		return "archive", "origin", "hub"
	}
	return "cache", "std", "edge"
}

func (w *testbed) catalogueInstance(id, address string) consul.Instance {
	_, class, site := catalogueService(id)
	host, port, _ := net.SplitHostPort(address)
	var number int
	_, _ = fmt.Sscan(port, &number)
	name, _, _ := catalogueService(id)
	return consul.Instance{Node: "node-" + id, NodeAddress: "127.0.0.1", Service: name, ID: id, Address: host, Port: number,
		Meta: map[string]string{"site": site, "class": class}, Weights: consul.Weights{Passing: 4, Warning: 1}}
}

// enableCatalogue has the world's boxes in a stand-in catalogue with some agents, and the program follow it; further boxes are
// made. extra goes into the block.
func (w *testbed) enableCatalogue(agents int, extra string, further ...string) (*consul.Cluster, []*consul.Agent) {
	w.t.Helper()
	c := consul.NewCluster()
	for _, id := range further {
		ln, err := w.endpoints.Add(id, "127.0.0.1:0")
		if err != nil {
			w.t.Fatal(err)
		}
		w.listeners[id] = ln
	}
	ids := make([]string, 0, len(w.listeners))
	for id := range w.listeners {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	for _, id := range ids {
		c.Put(w.catalogueInstance(id, w.listeners[id].Addr().String()))
	}
	var all []*consul.Agent
	text := "catalogue {\n"
	for i := range agents {
		a, err := c.NewAgent(fmt.Sprint("agent", i))
		if err != nil {
			w.t.Fatal(err)
		}
		w.t.Cleanup(a.Close)
		all = append(all, a)
		text += "agent " + a.Address() + "\n"
	}
	w.addSettings(text + "service cache {\n}\nservice trunk {\n}\nservice archive {\n}\n" + extra + "\n}")
	return c, all
}

// sentOrSourced says whether a line is a send to a box, or one that names it as the source.
func sentOrSourced(id string) func(*receivedRequest) bool {
	return func(a *receivedRequest) bool { return a.Word == "ASK" && (a.Endpoint == id || a.Fields["via"] == id) }
}

// waitInUse waits until a box is in use.
func (w *testbed) waitInUse(id string) {
	w.t.Helper()
	from := time.Now()
	w.waitUntil(id+" is in use", func() bool {
		return len(w.received(func(a *receivedRequest) bool { return sentOrSourced(id)(a) && a.At.After(from) })) > 0
	})
}

// waitUnused waits until nothing was sent to a box for a while, and fails if anything was later than within after since.
func (w *testbed) waitUnused(id string, since time.Time, within time.Duration) {
	w.t.Helper()
	last := func() time.Time {
		lines := w.received(sentOrSourced(id))
		if len(lines) == 0 {
			return since
		}
		return lines[len(lines)-1].At
	}
	end := time.Now().Add(waitLimit)
	for time.Since(last()) < 400*time.Millisecond || time.Since(since) < within+300*time.Millisecond {
		if time.Now().After(end) {
			w.t.Fatalf("%s is in use still, %v after it was marked", id, time.Since(since))
		}
		time.Sleep(5 * time.Millisecond)
	}
	if late := last().Sub(since); late > within {
		w.t.Errorf("%s was used %v after it was marked, want at most %v", id, late, within)
	}
}

package bootstrap

import (
	"fmt"
	"testing"
	"time"

	"sloequay/internal/membership"
)

// TestFaultsDoNotBlock checks that no proxy waits for its peers without a bound, and that all have the list at the end.
func TestFaultsDoNotBlock(t *testing.T) {
	for _, c := range []struct {
		name string
		run  func(sim *simulation)
	}{
		{"peers are in view, but every message is lost", func(sim *simulation) {
			sim.loss = 1
			sim.startAll()
			sim.runUntil(3 * time.Second)
			for _, n := range sim.nodes {
				if !n.Ready() {
					sim.t.Errorf("%s is not ready after 3 s, want it ready", n.name)
				}
			}
		}},
		{"only the messages of one poller arrive: the service confirms its list", func(sim *simulation) {
			sim.startAll()
			sim.runUntil(5 * time.Second)
			poller := ""
			for _, n := range sim.nodes {
				if n.polling && n.name != "d005" {
					poller = n.name
				}
			}
			sim.nodes[5].config.Pollers = 0 // so that d005 is never elected to poll
			sim.runUntil(8 * time.Second)
			// The others stay in the view of d005, but it receives messages from only one of them.
			sim.isCut = func(from, to *node) bool { return to.name == "d005" && from.name != poller }
			sim.changeList(func() { sim.endpoints[0].State = membership.Draining })
			sim.runUntil(sim.now + 2*time.Second)
		}},
		{"the pollers are cut off from the service: others poll", func(sim *simulation) {
			sim.startAll()
			sim.runUntil(5 * time.Second)
			for _, n := range sim.nodes {
				n.cutOff = n.polling
			}
			sim.changeList(func() { sim.endpoints[0].State = membership.Draining })
			sim.runUntil(sim.now + 4*PollerIncreaseInterval)
		}},
		{"all pollers are killed at once", func(sim *simulation) {
			sim.startAll()
			sim.runUntil(5 * time.Second)
			for _, n := range sim.nodes {
				if n.polling {
					sim.kill(n)
				}
			}
			sim.changeList(func() { sim.endpoints[0].State = membership.Draining })
			sim.runUntil(sim.now + 3*time.Second)
		}},
		{"a complete zone restarts during an outage of the service", func(sim *simulation) {
			for i, n := range sim.nodes {
				n.zone = fmt.Sprint("z", i%2)
			}
			sim.startAll()
			sim.runUntil(5 * time.Second)
			sim.serviceUp = false
			for _, n := range sim.nodes {
				if n.zone == "z0" {
					sim.kill(n)
				}
			}
			sim.runUntil(7 * time.Second)
			for _, n := range sim.nodes {
				if !n.alive {
					sim.start(n)
				}
			}
			sim.runUntil(9 * time.Second)
		}},
		{"proxies that are not members advertise lists", func(sim *simulation) {
			sim.startAll()
			sim.runUntil(5 * time.Second)
			empty := VersionOf(0, 1<<40, nil)
			for _, n := range sim.nodes {
				for _, from := range []string{"x1", "x2", "x3"} {
					sim.handle(n, func() []Effect {
						digest := []Advertisement{{ListVersion: empty}}
						return n.MessageReceived(sim.now, Message{From: from, Digest: digest})
					})
				}
				if len(n.lists[0].advertisements) > len(sim.nodes) {
					sim.t.Errorf("%s keeps advertisements of proxies that are not members", n.name)
				}
				for _, advertisement := range n.lists[0].advertisements {
					if advertisement.Version == 1<<40 {
						sim.t.Errorf("%s keeps the list advertised by proxies that are not members", n.name)
					}
				}
			}
		}},
		{"a list of 3000 endpoints in parts, while a fifth of the messages is lost", func(sim *simulation) {
			sim.loss = 0.2
			sim.changeList(func() {
				for i := range 3000 {
					sim.endpoints = append(sim.endpoints, membership.Endpoint{
						ID: fmt.Sprint("x", i), Address: "10.1.0.1", State: membership.Up,
					})
				}
			})
			sim.startAll()
			sim.runUntil(20 * time.Second)
		}},
		{"a change is fetched as a delta", func(sim *simulation) {
			sim.startAll()
			sim.runUntil(5 * time.Second)
			sim.changeList(func() {
				sim.endpoints[1].State = membership.Draining
				sim.endpoints = sim.endpoints[:19]
			})
			endpointsSent := 0
			for _, n := range sim.nodes {
				n.tamper = func(m Message) Message { // counts endpoints and changes nothing
					if m.Part != nil {
						endpointsSent += len(m.Part.Endpoints)
					}
					return m
				}
			}
			sim.runUntil(sim.now + time.Second)
			for _, n := range sim.nodes {
				n.tamper = nil
			}
			if endpointsSent > 0 {
				sim.t.Errorf("got %d endpoints sent in parts for a change of two endpoints, want 0", endpointsSent)
			}
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			sim := newSimulation(t, 5, 12, 1, true)
			c.run(sim)
			if sim.loss < 1 {
				sim.checkAgreement("at the end", len(sim.nodes))
			}
		})
	}
}

// TestContentWithWrongChecksumIsDropped checks that content that does not match the advertised checksum, or is
// malformed, is dropped and its sender distrusted.
func TestContentWithWrongChecksumIsDropped(t *testing.T) {
	advertised := VersionOf(0, 3, []membership.Endpoint{{ID: "a", Address: "1"}})
	for _, part := range []Part{
		{ListVersion: advertised, Number: 0, Total: 1},
		{ListVersion: advertised, Number: 0, Total: 1 << 30},
		{ListVersion: advertised, Number: 5, Total: 2},
	} {
		n := New(0, Config{Name: "a", Zone: "z", PeersEnabled: true, ListCount: 1, FleetSize: 3})
		n.PeersChanged(0, []Peer{{"b", "z"}, {"c", "z"}})
		n.MessageReceived(1, Message{From: "b", Digest: []Advertisement{{ListVersion: advertised}}})
		rejected := false
		for _, effect := range n.MessageReceived(2, Message{From: "b", Part: &part}) {
			entry, isEntry := effect.(LogEntry)
			rejected = rejected || isEntry && entry.Event == ChecksumMismatch && entry.Peer == "b"
		}
		if !rejected || n.distrustedUntil["b"] == 0 || len(n.lists[0].advertisements) > 0 {
			t.Errorf("%+v was accepted, want it rejected and its sender distrusted", part)
		}
	}
}

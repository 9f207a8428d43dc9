package bootstrap_test

import (
	"fmt"
	"testing"
	"time"

	"sloequay/internal/bootstrap"
	"sloequay/internal/membership"
)

// newMachineInZone returns a machine in a zone of the given size that has a list of 1000 endpoints from the service. It
// also returns the proxies of the zone, the machine itself first, and the endpoints.
func newMachineInZone(size int) (*bootstrap.Machine, []bootstrap.Peer, []membership.Endpoint) {
	var endpoints []membership.Endpoint
	for i := range 1000 {
		endpoints = append(endpoints, membership.Endpoint{ID: fmt.Sprintf("c%04d", i), Address: "10.0.0.1:80"})
	}
	var peers []bootstrap.Peer
	for i := range size {
		peers = append(peers, bootstrap.Peer{Name: fmt.Sprintf("p%03d", i), Zone: "z"})
	}
	m := bootstrap.New(0, bootstrap.Config{
		Name: "p000", Incarnation: 1, Zone: "z", PeersEnabled: true, ListCount: 1, FleetSize: size,
	})
	m.PeersChanged(0, peers)
	m.ListFromService(time.Second, 0, 1, endpoints)
	return m, peers, endpoints
}

// BenchmarkStep steps a machine in a zone of 100 proxies that holds the maximum number of advertisements.
func BenchmarkStep(b *testing.B) {
	m, peers, _ := newMachineInZone(100)
	current, _ := m.Version(0)
	now := time.Second
	for i := 0; b.Loop(); i++ {
		if i%20 == 0 {
			for _, peer := range peers[1:17] {
				m.MessageReceived(now, bootstrap.Message{
					From: peer.Name, Incarnation: 1, Digest: []bootstrap.Advertisement{{ListVersion: current}},
				})
			}
		}
		now += 50 * time.Millisecond
		m.Step(now)
	}
}

// BenchmarkHeartbeatReceived handles the heartbeats of 12 pollers in a zone of 300 proxies.
func BenchmarkHeartbeatReceived(b *testing.B) {
	m, peers, _ := newMachineInZone(300)
	current, _ := m.Version(0)
	now := time.Second
	for i := 0; b.Loop(); i++ {
		now += time.Millisecond
		m.MessageReceived(now, bootstrap.Message{
			From: peers[1+i%12].Name, Incarnation: 1, Digest: []bootstrap.Advertisement{{ListVersion: current}},
		})
	}
}

// BenchmarkDelta serves a change of one endpoint of 1000 as a delta.
func BenchmarkDelta(b *testing.B) {
	m, peers, endpoints := newMachineInZone(100)
	base, _ := m.Version(0)
	endpoints[500].Weight++
	m.ListFromService(time.Second, 0, 2, endpoints)
	current, _ := m.Version(0)
	now := time.Second
	for b.Loop() {
		now += time.Millisecond
		m.MessageReceived(now, bootstrap.Message{
			From: peers[1].Name, Incarnation: 1,
			Fetch: &bootstrap.Fetch{ListVersion: current, HaveSum: base.Sum},
		})
	}
}

// BenchmarkListFromService handles a list of 1000 endpoints of which one has changed.
func BenchmarkListFromService(b *testing.B) {
	m, _, endpoints := newMachineInZone(100)
	now := time.Second
	for i := 0; b.Loop(); i++ {
		now += time.Millisecond
		endpoints[i%1000].Weight++
		m.ListFromService(now, 0, uint64(i+2), endpoints)
	}
}

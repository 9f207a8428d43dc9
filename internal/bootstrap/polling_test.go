package bootstrap

import (
	"fmt"
	"testing"
	"time"

	"sloequay/internal/membership"
)

// TestListChangeElectsNoPollers guards against a change of the list that makes more proxies poll. Between receiving the
// advertisement of a new version and its content, a proxy took the service to have been silent since its own last poll.
func TestListChangeElectsNoPollers(t *testing.T) {
	for _, own := range []string{"a", "b", "c", "d", "e", "f", "g", "h"} {
		machine := New(0, Config{Name: own, Zone: "z", PeersEnabled: true, ListCount: 1, FleetSize: 8, Pollers: 3})
		var peers []Peer
		for _, name := range []string{"a", "b", "c", "d", "e", "f", "g", "h"} {
			if name != own {
				peers = append(peers, Peer{name, "z"})
			}
		}
		machine.PeersChanged(0, peers)
		if machine.rank() < machine.config.Pollers {
			continue // it polls in any case
		}
		endpoints := []membership.Endpoint{{ID: "x", Address: "127.0.0.1:1"}}
		now := time.Duration(0)
		advertise := func(version uint64) (polls bool) {
			for _, peer := range peers[:3] {
				listed := VersionOf(0, version, endpoints)
				digest := []Advertisement{{ListVersion: listed, LastSeen: 10 * time.Millisecond}}
				for _, effect := range machine.MessageReceived(now, Message{From: peer.Name, Digest: digest}) {
					poll, isPoll := effect.(SetPolling)
					polls = polls || isPoll && poll.On
				}
			}
			return polls
		}
		machine.ListFromService(now, 0, 1, endpoints)
		for ; now < 20*time.Second; now += time.Second {
			if advertise(1) {
				t.Fatalf("%s started to poll at %v, want no poll: pollers are in view", own, now)
			}
		}
		endpoints = append(endpoints, membership.Endpoint{ID: "y", Address: "127.0.0.1:2"})
		if advertise(2) {
			t.Errorf("%s started to poll on a new version, want no poll: the service was seen 10 ms before", own)
		}
	}
}

// TestServiceSilenceElectsPollers checks that more proxies poll while no poller has seen the service.
func TestServiceSilenceElectsPollers(t *testing.T) {
	machine := New(0, Config{Name: "own", Zone: "z", PeersEnabled: true, ListCount: 1, FleetSize: 8, Pollers: 3})
	var peers []Peer
	for i := range 7 {
		peers = append(peers, Peer{fmt.Sprint("p", i), "z"})
	}
	machine.PeersChanged(0, peers)
	endpoints := []membership.Endpoint{{ID: "x", Address: "127.0.0.1:1"}}
	machine.ListFromService(0, 0, 1, endpoints)
	limit := 0
	for now := time.Duration(0); now <= 2*PollerIncreaseInterval; now += time.Second {
		for _, peer := range peers[:3] {
			digest := []Advertisement{{ListVersion: VersionOf(0, 1, endpoints), LastSeen: now}}
			machine.MessageReceived(now, Message{From: peer.Name, Digest: digest})
		}
		limit, _ = machine.pollerLimit()
	}
	if limit != 9 {
		t.Errorf("got a limit of %d pollers after %v of silence, want 9", limit, 2*PollerIncreaseInterval)
	}
}

// TestProxyPollsWithoutQuorumOfPollers guards against a drain that reaches a proxy late: two of three pollers did not
// have the proxy in their views and sent it no heartbeats, so that a change lacked a quorum there for up to 10 s.
func TestProxyPollsWithoutQuorumOfPollers(t *testing.T) {
	machine := New(0, Config{Name: "own", Zone: "z", PeersEnabled: true, ListCount: 1, FleetSize: 8, Pollers: 3})
	var peers []Peer
	for i := range 7 {
		peers = append(peers, Peer{fmt.Sprint("p", i), "z"})
	}
	machine.PeersChanged(0, peers)
	if machine.rank() < machine.config.Pollers {
		t.Fatal("the proxy is elected, want one that follows")
	}
	endpoints := []membership.Endpoint{{ID: "x", Address: "127.0.0.1:1"}}
	machine.ListFromService(0, 0, 1, endpoints)
	digest := []Advertisement{{ListVersion: VersionOf(0, 1, endpoints), LastSeen: 10 * time.Millisecond}}
	for now := time.Duration(0); now < 20*time.Second; now += 50 * time.Millisecond {
		pollersInView := 1
		if now >= 10*time.Second {
			pollersInView = Quorum
		}
		if now%HeartbeatInterval == 0 {
			for _, peer := range peers[:pollersInView] {
				machine.MessageReceived(now, Message{From: peer.Name, Digest: digest})
			}
		}
		machine.Step(now)
		hasReacted := now%(10*time.Second) >= PollGracePeriod+100*time.Millisecond
		if want := pollersInView < Quorum; hasReacted && machine.polling != want {
			t.Fatalf("at %v with %d pollers in view: polling %v, want %v", now, pollersInView, machine.polling, want)
		}
	}
}

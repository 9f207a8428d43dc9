package bootstrap

import (
	"testing"
	"time"

	"sloequay/internal/membership"
)

// hoardingPeer advertises a list of two parts and sends the first one again and again.
type hoardingPeer struct{ list ListVersion }

func newHoardingPeer() hoardingPeer {
	return hoardingPeer{VersionOf(0, forgedVersion, []membership.Endpoint{testEndpoint("f1"), testEndpoint("f2")})}
}

// send makes the machine receive the advertisement and the first part.
func (p hoardingPeer) send(h *hintHarness) {
	h.handle(h.MessageReceived(h.now, Message{From: "byzantine", Digest: []Advertisement{{ListVersion: p.list}}}))
	part := &Part{ListVersion: p.list, Total: 2, Endpoints: []membership.Endpoint{testEndpoint("f1")}}
	h.handle(h.MessageReceived(h.now, Message{From: "byzantine", Part: part}))
}

// TestUnfinishedFetchHoldsBackNoList guards against a drain or a death that proxies learn of late: a peer that sent one
// part of its list again and again kept them from fetching the list that others advertise.
func TestUnfinishedFetchHoldsBackNoList(t *testing.T) {
	h := newHintHarness("byzantine", "honest1", "honest2", "honest3")
	h.handle(h.ListFromService(h.now, 0, 1, []membership.Endpoint{testEndpoint("t1")}))
	hoarder := newHoardingPeer()
	for range 20 {
		hoarder.send(h)
		h.wait(busyTick)
	}
	changedAt := h.now
	for _, peer := range []string{"honest1", "honest2"} {
		hoarder.send(h)
		h.advertise(peer, 2, drainingEndpoint("t1"))
	}
	for {
		if version, _ := h.Version(0); version.Version == 2 {
			break
		}
		if h.now-changedAt > time.Second {
			t.Fatal("the list of two peers is not in force 1 s after they advertised it")
		}
		hoarder.send(h)
		h.wait(busyTick)
	}
}

// TestUnfinishedFetchHoldsBackNoHint guards against a restarted proxy that is not ready by an honest peer's list, as
// another peer advertises more often and never completes what it sends.
func TestUnfinishedFetchHoldsBackNoHint(t *testing.T) {
	h := newHintHarness("byzantine", "honest")
	hoarder := newHoardingPeer()
	for h.now < 4*time.Second && !h.Ready() {
		for range int(HeartbeatInterval / busyTick) {
			hoarder.send(h)
			h.wait(busyTick)
		}
		h.advertise("honest", 3, testEndpoint("t1"))
	}
	h.check(t, true, "t1")
}

// TestEndlessFetchEnds guards against a peer that holds back the lists of others by a list of very many parts, of which
// it sends a new one just in time.
func TestEndlessFetchEnds(t *testing.T) {
	h := newHintHarness("byzantine", "honest")
	const parts = 1000
	endless := ListVersion{Version: forgedVersion, Sum: 1}
	h.handle(h.MessageReceived(h.now, Message{From: "byzantine", Digest: []Advertisement{{ListVersion: endless}}}))
	h.advertise("honest", 3, testEndpoint("t1"))
	for number := 0; number < parts && h.state().fetch != nil && h.state().fetch.peer == "byzantine"; number++ {
		part := &Part{ListVersion: endless, Number: number, Total: parts}
		h.handle(h.MessageReceived(h.now, Message{From: "byzantine", Part: part}))
		h.wait(FetchTimeout - busyTick)
	}
	if h.now > MaxFetchDuration+FetchTimeout {
		t.Errorf("the fetch ended after %v, want at most %v", h.now, MaxFetchDuration+FetchTimeout)
	}
}

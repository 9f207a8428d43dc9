package bootstrap

import (
	"testing"
	"time"

	"sloequay/internal/membership"
)

// TestEachRefutedPeerIsDistrusted checks that one list from the service leads to distrust of both peers that advertised
// other content for its version, and not of the peer that advertised the right content.
func TestEachRefutedPeerIsDistrusted(t *testing.T) {
	machine := New(0, Config{Name: "a", Zone: "z", PeersEnabled: true, ListCount: 1, FleetSize: 4})
	machine.PeersChanged(0, []Peer{{"b", "z"}, {"c", "z"}, {"d", "z"}})
	endpoints := []membership.Endpoint{{ID: "x", Address: "127.0.0.1:1"}}
	right := VersionOf(0, 3, endpoints)
	wrong := right
	wrong.Sum++
	advertise := func(peer string, version ListVersion) {
		machine.MessageReceived(time.Second, Message{From: peer, Digest: []Advertisement{{ListVersion: version}}})
	}
	advertise("b", wrong)
	advertise("c", wrong)
	advertise("d", right)

	machine.ListFromService(2*time.Second, 0, 3, endpoints)

	for peer, want := range map[string]bool{"b": true, "c": true, "d": false} {
		if got := machine.distrustedUntil[peer] > machine.now; got != want {
			t.Errorf("peer %s: got distrusted %v, want %v", peer, got, want)
		}
	}
}

package peer_test

import (
	"fmt"
	"testing"

	"sloequay/internal/peer"
)

// BenchmarkAcceptMessage looks up a sender's key and accepts a message number, with 300 members in the view.
func BenchmarkAcceptMessage(b *testing.B) {
	view := peer.NewView("self", 2000)
	var names []string
	for i := range 300 {
		names = append(names, fmt.Sprintf("p%03d", i))
		view.Observe(peer.Member{Name: names[i], Incarnation: 1, Key: "key"})
	}
	for i := 0; b.Loop(); i++ {
		name := names[i%300]
		if _, known := view.Key(name, 1); !known || !view.AcceptMessage(name, 1, uint64(1+i/300)) {
			b.Fatal(name, i)
		}
	}
}

// BenchmarkMembers lists 300 members.
func BenchmarkMembers(b *testing.B) {
	view := peer.NewView("self", 2000)
	for i := range 300 {
		view.Observe(peer.Member{Name: fmt.Sprintf("p%03d", i), Incarnation: 1, Key: "key"})
	}
	for b.Loop() {
		view.Members()
	}
}

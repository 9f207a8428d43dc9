package proxy

import (
	"fmt"
	"testing"
	"time"

	"sloequay/internal/membership"
)

// TestListSuspectedByAnyPool guards against passing a suspected list on to peers because only the first pool is
// consulted, while the list lacks endpoints of another pool.
func TestListSuspectedByAnyPool(t *testing.T) {
	newTable := func() *membership.Table {
		return membership.New(membership.Config{
			MaxLossShare: 0.3, MinLoss: 2,
			Sources: []membership.Source{{Name: "consul:cache", ConfirmLosses: true}},
		})
	}
	listOf := func(count int) membership.List {
		list := membership.List{Version: uint64(100 - count)}
		for i := range count {
			list.Endpoints = append(list.Endpoints, membership.Endpoint{
				ID: fmt.Sprint("c", i), Address: fmt.Sprintf("10.0.0.%d:1", i+1), State: membership.Up,
			})
		}
		return list
	}
	for suspecting := range 2 {
		s := &server{pools: []*pool{{members: newTable()}, {members: newTable()}}}
		for _, pool := range s.pools {
			pool.members.ReplaceList(time.Second, 0, listOf(10))
		}
		if s.isSuspected(0) {
			t.Fatal("first lists: got suspected, want accepted")
		}
		s.pools[suspecting].members.ReplaceList(2*time.Second, 0, listOf(1))
		if !s.isSuspected(0) {
			t.Errorf("list that lacks nine of ten endpoints of pool %d: got accepted, want suspected", suspecting)
		}
	}
}

package drill

import (
	"net/netip"
	"testing"
)

// TestHostAddresses checks that all nodes of the largest possible plan have valid and distinct addresses.
func TestHostAddresses(t *testing.T) {
	c := &Cluster{subnet: "127.80"}
	seen := map[netip.Addr]bool{}
	add := func(firstSubnet, count int) {
		for number := range count {
			address, err := netip.ParseAddr(c.hostAddress(firstSubnet, number))
			if err != nil || seen[address] {
				t.Fatalf("node %d from subnet %d on: got address %v, error %v, want a valid unused one",
					number, firstSubnet, address, err)
			}
			seen[address] = true
		}
	}
	add(firstProxySubnet, 1000)
	add(firstRelaySubnet, 1000)
	add(firstEndpointSubnet, 16*64+16+1)
	add(byzantineSubnet, 16)
	add(byzantineRelaySubnet, 16)
	add(listSubnet, 1)
	add(clientsSubnet, 1)
}

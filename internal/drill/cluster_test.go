package drill

import (
	"net/netip"
	"testing"
)

// TestHostAddresses: the ends of the largest plan have valid addresses, each its own.
func TestHostAddresses(t *testing.T) {
	c := &Cluster{subnet: "127.80"}
	seen := map[netip.Addr]bool{}
	add := func(firstSubnet, count int) {
		for number := range count {
			address, err := netip.ParseAddr(c.hostAddress(firstSubnet, number))
			if err != nil || seen[address] {
				t.Fatalf("end %d from subnet %d on has the address %v, %v", number, firstSubnet, address, err)
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

package descriptors

import (
	"testing"

	"pgregory.net/rapid"
)

func TestPlan(t *testing.T) {
	for _, c := range []struct {
		demand Demand
		want   Split
	}{
		{Demand{Total: 1024}, Split{RPC: 512, Endpoints: 484}},
		{Demand{Total: 1024, DNS: true}, Split{RPC: 384, DNS: 128, Endpoints: 484}},
		{Demand{Total: 1024, MaxTLSConnections: 64}, Split{RPC: 384, TLS: 64, Endpoints: 484}},
		{Demand{Total: 1024, MaxTLSConnections: 100_000}, Split{RPC: 256, TLS: 128, Endpoints: 484}},
		{Demand{Total: 1024, DNS: true, MaxTLSConnections: 100_000},
			Split{RPC: 192, DNS: 128, TLS: 96, Endpoints: 484}},
		{Demand{Total: 32, DNS: true, MaxTLSConnections: 64}, Split{RPC: 6, DNS: 4, TLS: 3, Endpoints: -12}},
		{Demand{Total: 33}, Split{RPC: 16, Endpoints: -11}},
	} {
		if got := Plan(c.demand); got != c.want {
			t.Errorf("Plan(%+v): got %+v, want %+v", c.demand, got, c.want)
		}
	}
}

func TestMaxConnections(t *testing.T) {
	for _, c := range []struct {
		endpoints int
		share     float64
		security  Security
		want      int
	}{
		{488, 1, Plain, 488},
		{488, 0.25, Plain, 122},
		{488, 1, TLS, 162},
		{488, 0.001, Plain, 1},
		{488, 0.005, TLS, 1},
		{-8, 1, Plain, 1},
		{-8, 1, TLS, 1},
	} {
		split := Split{Endpoints: c.endpoints}
		if got := split.MaxConnections(c.share, c.security); got != c.want {
			t.Errorf("MaxConnections for share %g of %d descriptors, security %d: got %d, want %d",
				c.share, c.endpoints, c.security, got, c.want)
		}
	}
}

// TestPlanNeverExceedsTheTotal checks that the descriptors of all parts add up to the total, and that no part is
// negative or exceeds its configured limit.
func TestPlanNeverExceedsTheTotal(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		demand := Demand{
			Total:             rapid.IntRange(2*reservedDescriptors, 1<<20).Draw(t, "total"),
			DNS:               rapid.Bool().Draw(t, "dns"),
			MaxTLSConnections: rapid.IntRange(0, 100_000).Draw(t, "tls"),
		}
		split := Plan(demand)
		used := split.RPC + split.DNS + tlsExtraDescriptors*split.TLS + split.Endpoints + reservedDescriptors
		if used != demand.Total {
			t.Fatalf("%+v: got %d descriptors in use, want %d", split, used, demand.Total)
		}
		if min(split.RPC, split.DNS, split.TLS, split.Endpoints) < 0 || split.TLS > demand.MaxTLSConnections {
			t.Fatalf("got %+v for %+v, want no part negative and TLS within its limit", split, demand)
		}
	})
}

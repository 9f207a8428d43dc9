package proxy

import (
	"testing"
	"time"

	"sloequay/internal/membership/consul"
	"sloequay/internal/peer/transport"
	"sloequay/internal/platformconfig"
	"sloequay/internal/policy"
	"sloequay/internal/proxy/readiness"
)

// TestStartupWaitsForTheFleet guards against a proxy that reports ready without endpoints before its polling window has
// ended, because it uses the platform's number of instances while the block `peers` gives a larger fleet.
func TestStartupWaitsForTheFleet(t *testing.T) {
	const fleet = 400
	plan := &Plan{
		platform: &platformconfig.Settings{Policy: policy.Config{Instances: 8}},
		settings: &Settings{Catalogue: &consul.Config{}, Peers: &transport.Config{FleetSize: fleet}},
	}
	startup := newStartup(plan)
	reference := readiness.NewStartup(fleet)
	for uptime := time.Second; uptime < 20*time.Second; uptime += 100 * time.Millisecond {
		got, want := startup.Observe(uptime, readiness.Sources{}), reference.Observe(uptime, readiness.Sources{})
		if got != want {
			t.Fatalf("startup complete at %v: got %v, want %v as in a fleet of %d", uptime, got, want, fleet)
		}
	}
}

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

// TestStartupWaitsForTheFleet guards against a proxy that says ready, without endpoints, before its polling window has
// ended: the block for peers may name a fleet that is larger than the platform's instances.
func TestStartupWaitsForTheFleet(t *testing.T) {
	const fleet = 400
	plan := &Plan{
		platform: &platformconfig.Settings{Policy: policy.Config{Instances: 8}},
		settings: &Settings{Catalogue: &consul.Config{}, Peers: &transport.Config{Fleet: fleet}},
	}
	startup := newStartup(plan)
	of := readiness.NewStartup(fleet)
	for uptime := time.Second; uptime < 20*time.Second; uptime += 100 * time.Millisecond {
		got, want := startup.Observe(uptime, readiness.Sources{}), of.Observe(uptime, readiness.Sources{})
		if got != want {
			t.Fatalf("at %v complete %v, want %v as in a fleet of %d", uptime, got, want, fleet)
		}
	}
}

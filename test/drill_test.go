package test

import (
	"flag"
	"fmt"
	"path/filepath"
	"testing"

	"sloequay/internal/drill"
)

var (
	drillSeeds   = flag.Int("drill-seeds", 1, "number of seeds to run each shipped plan with, and of random plans")
	drillProxies = flag.Int("drill-doormans", 0, "number of proxies in a drill; 0: as the plan says")
)

// maxConcurrentDrills limits the drills that run at the same time: each runs about ten processes, and its invariants
// have time limits.
const maxConcurrentDrills = 4

// drillSlots is a semaphore in which each running drill holds a slot.
var drillSlots = make(chan bool, maxConcurrentDrills)

// runDrill runs a plan in parallel with other drills, and fails the test unless all invariants of the plan hold.
func runDrill(t *testing.T, plan *drill.Plan, seed uint64) {
	t.Helper()
	t.Parallel()
	drillSlots <- true
	defer func() { <-drillSlots }()
	if *drillProxies > 0 {
		plan.Proxies = *drillProxies
	}
	result, err := drill.Run(plan, programPath, t.TempDir(), seed, nil)
	if err != nil {
		t.Fatal(err)
	}
	reportChecks(t, seed, result)
}

// reportChecks logs the results of a drill's checks, and fails the test unless all of them held.
func reportChecks(t *testing.T, seed uint64, result *drill.Result) {
	t.Helper()
	for _, check := range result.Checks {
		if check.OK {
			t.Logf("invariant holds: %s: %s", check.Invariant.Line, check.Details)
		} else {
			t.Errorf("seed %d: invariant does not hold: %s: %s", seed, check.Invariant.Line, check.Details)
		}
	}
}

// TestDrills runs the shipped plans with processes of the program.
func TestDrills(t *testing.T) {
	paths, err := filepath.Glob("../deploy/drill/*.conf")
	if err != nil || len(paths) < 10 {
		t.Fatalf("got %d plans, error %v, want at least 10", len(paths), err)
	}
	for _, path := range paths {
		for seed := range uint64(*drillSeeds) {
			t.Run(fmt.Sprintf("%s, seed %d", filepath.Base(path), seed+1), func(t *testing.T) {
				plan, err := drill.Load(path)
				if err != nil {
					t.Fatal(err)
				}
				runDrill(t, plan, seed+1)
			})
		}
	}
}

// TestRandomDrills runs randomly drawn plans.
func TestRandomDrills(t *testing.T) {
	for seed := range uint64(*drillSeeds) {
		t.Run(fmt.Sprint("seed ", seed+1), func(t *testing.T) {
			plan, err := drill.Draw(seed + 1)
			if err != nil {
				t.Fatal(err)
			}
			runDrill(t, plan, seed+1)
		})
	}
}

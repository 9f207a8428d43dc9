package test

import (
	"flag"
	"fmt"
	"path/filepath"
	"testing"

	"sloequay/internal/drill"
)

var (
	drillSeeds   = flag.Int("drill-seeds", 1, "seeds that each shipped plan is played with, and drawn plans")
	drillProxies = flag.Int("drill-doormans", 0, "processes of a drill; 0: as the plan says")
)

// maxConcurrentDrills bounds the drills that run together: each is some ten processes, and what they hold has times.
const maxConcurrentDrills = 4

// drillSlots is taken by each drill that runs.
var drillSlots = make(chan bool, maxConcurrentDrills)

// runDrill plays a plan beside other drills, and fails unless all that it says must hold does.
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

// reportChecks tells what a drill's checks found, and fails the test where one did not hold.
func reportChecks(t *testing.T, seed uint64, result *drill.Result) {
	t.Helper()
	for _, check := range result.Checks {
		if check.OK {
			t.Logf("held: %s: %s", check.Invariant.Line, check.Found)
		} else {
			t.Errorf("seed %d, did not hold: %s: %s", seed, check.Invariant.Line, check.Found)
		}
	}
}

// TestDrills plays the plans that ship, by processes of the program.
func TestDrills(t *testing.T) {
	paths, err := filepath.Glob("../deploy/drill/*.conf")
	if err != nil || len(paths) < 10 {
		t.Fatalf("%d plans: %v, want at least 10", len(paths), err)
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

// TestRandomDrills plays plans drawn by lot.
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

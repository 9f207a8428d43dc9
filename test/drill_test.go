package test

import (
	"flag"
	"path/filepath"
	"testing"

	"sloequay/internal/drill"
)

var (
	drillSeeds   = flag.Int("drill-seeds", 1, "seeds that each shipped plan is played with, and drawn plans")
	drillProxies = flag.Int("drill-doormans", 0, "processes of a drill; 0: as the plan says")
)

// drillsAtOnce bounds the drills that run together: each is some ten processes, and what they hold has times.
const drillsAtOnce = 6

var drillSlots = make(chan bool, drillsAtOnce)

func playDrill(t *testing.T, p *drill.Plan, seed uint64) {
	t.Helper()
	t.Parallel()
	drillSlots <- true
	defer func() { <-drillSlots }()
	if *drillProxies > 0 {
		p.Proxies = *drillProxies
	}
	r, err := drill.Run(p, program, t.TempDir(), seed, nil)
	if err != nil {
		t.Fatal(err)
	}
	for _, v := range r.Checks {
		if v.OK {
			t.Logf("held: %s: %s", v.Invariant.Line, v.Found)
		} else {
			t.Errorf("seed %d, did not hold: %s: %s", seed, v.Invariant.Line, v.Found)
		}
	}
}

// TestDrills plays the plans that ship, by processes of the program.
func TestDrills(t *testing.T) {
	plans, err := filepath.Glob("../deploy/drill/*.conf")
	if err != nil || len(plans) < 10 {
		t.Fatalf("%d plans: %v", len(plans), err)
	}
	for _, path := range plans {
		for seed := range uint64(*drillSeeds) {
			t.Run(filepath.Base(path), func(t *testing.T) {
				p, err := drill.Load(path)
				if err != nil {
					t.Fatal(err)
				}
				playDrill(t, p, seed+1)
			})
		}
	}
}

// TestDrawnDrills plays plans drawn by lot.
func TestDrawnDrills(t *testing.T) {
	for seed := range uint64(*drillSeeds) {
		t.Run("drawn", func(t *testing.T) {
			p, err := drill.Draw(seed + 1)
			if err != nil {
				t.Fatal(err)
			}
			playDrill(t, p, seed+1)
		})
	}
}

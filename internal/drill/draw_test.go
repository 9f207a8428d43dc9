package drill

import (
	"fmt"
	"hash/fnv"
	"strings"
	"testing"
)

// TestDrawnPlans checks that every seed gives a plan that can be parsed, and the same plan each time.
func TestDrawnPlans(t *testing.T) {
	seen := map[string]bool{}
	for seed := range uint64(200) {
		p, err := Draw(seed)
		if err != nil {
			t.Fatal(err)
		}
		if again, _ := Draw(seed); again.Text != p.Text {
			t.Fatalf("seed %d: got two different plans, want the same", seed)
		}
		seen[p.Text[strings.Index(p.Text, "\n"):]] = true
	}
	if len(seen) < 190 {
		t.Errorf("200 seeds: got %d different plans, want at least 190", len(seen))
	}
	for seed := range uint64(200) {
		p, err := DrawSoak(seed, 12*sec)
		if err != nil {
			t.Fatal(err)
		}
		if again, _ := DrawSoak(seed, 12*sec); again.Text != p.Text {
			t.Fatalf("seed %d: got two different soak plans, want the same", seed)
		}
	}
}

// TestDrawnRestarts checks that every seed gives a plan of restarts that can be parsed, and the same plan each time.
func TestDrawnRestarts(t *testing.T) {
	for seed := range uint64(200) {
		plan, err := DrawRestarts(seed, 14*sec)
		if err != nil {
			t.Fatal(err)
		}
		if again, _ := DrawRestarts(seed, 14*sec); again.Text != plan.Text {
			t.Fatalf("seed %d: got two different plans of restarts, want the same", seed)
		}
		if !strings.Contains(plan.Text, "finish doorman:") {
			t.Errorf("seed %d: got a plan without a restart, want at least one:\n%s", seed, plan.Text)
		}
	}
}

// TestDrawsAreStable checks that seeds still give the plans that they have always given, so that a recorded seed
// reproduces its plan.
func TestDrawsAreStable(t *testing.T) {
	plans, soaks := fnv.New64a(), fnv.New64a()
	for seed := range uint64(200) {
		plan, err := Draw(seed)
		if err != nil {
			t.Fatal(err)
		}
		soak, err := DrawSoak(seed, 12*sec)
		if err != nil {
			t.Fatal(err)
		}
		fmt.Fprint(plans, plan.Text)
		fmt.Fprint(soaks, soak.Text)
	}
	if got, want := plans.Sum64(), uint64(0xfe2d38dde6e51609); got != want {
		t.Errorf("checksum of the drawn plans: got %#x, want %#x", got, want)
	}
	if got, want := soaks.Sum64(), uint64(0x0bca0405425626ce); got != want {
		t.Errorf("checksum of the drawn soak plans: got %#x, want %#x", got, want)
	}
}

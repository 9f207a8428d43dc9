package route

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"
)

const start = 1_800_000_000 * time.Second

// TestPosition checks that positions are evenly distributed, and differ between teams.
func TestPosition(t *testing.T) {
	const objects = 100_000
	var tenths [10]int
	nearby := 0
	for object := range uint64(objects) {
		position := Position("lanes", object)
		tenths[int(position*10)]++
		if math.Abs(position-Position("lane", object)) < 0.01 {
			nearby++
		}
	}
	for i, count := range tenths {
		if count < objects/10-500 || count > objects/10+500 {
			t.Errorf("objects in tenth %d of positions: got %d of %d, want a tenth, +/-500", i, count, objects)
		}
	}
	if nearby > objects/40 {
		t.Errorf("objects with close positions in two teams: got %d of %d, want at most 1 in 40", nearby, objects)
	}
}

// record records a result with a migration, and reports whether the share has changed.
func record(m *Migration, now time.Duration, inNew, failed bool) bool {
	result := Success
	if failed {
		result = Failure
	}
	if inNew {
		return m.RecordNewPool(now, result)
	}
	m.RecordOldPool(result)
	return false
}

// failureShares holds the failure shares of the pools by the time since the start.
type failureShares struct{ oldPool, newPool func(time.Duration) float64 }

// simulate records a result every 2 ms, and returns how often the share has changed.
func simulate(m *Migration, random *rand.Rand, duration time.Duration, shares failureShares) (changes int) {
	for now := start; now < start+duration; now += 2 * time.Millisecond {
		if m.Step(now) {
			changes++
		}
		inNew := m.InNewPool(random.Float64())
		share := shares.oldPool(now - start)
		if inNew {
			share = shares.newPool(now - start)
		}
		if record(m, now, inNew, random.Float64() < share) {
			changes++
		}
	}
	return changes
}

func constantShare(share float64) func(time.Duration) float64 {
	return func(time.Duration) float64 { return share }
}

// TestMigrations simulates migrations to healthy and faulty pools, and checks how they end.
func TestMigrations(t *testing.T) {
	config := MigrationConfig{Hold: 10 * time.Second, MinResults: 20, Tolerance: 0.02}
	onlyUnderLoad := func(at time.Duration) float64 { return 0.5 * math.Min(1, at.Seconds()/40) }
	forAWhile := func(at time.Duration) float64 {
		if at > 15*time.Second && at < 25*time.Second {
			return 0.5
		}
		return 0
	}
	for _, test := range []struct {
		name       string
		shares     failureShares
		phase      Phase
		maxChanges int // of the share
	}{
		{"healthy pool", failureShares{constantShare(0.01), constantShare(0.01)}, Completed, 4},
		{"both pools fail equally", failureShares{constantShare(0.3), constantShare(0.3)}, Completed, 4},
		{"all requests fail", failureShares{constantShare(0.01), constantShare(1)}, Abandoned, 6},
		{"one request in ten fails", failureShares{constantShare(0.01), constantShare(0.1)}, Abandoned, 8},
		{"fails under load only", failureShares{constantShare(0), onlyUnderLoad}, Abandoned, 10},
		{"temporary fault", failureShares{constantShare(0), forAWhile}, Completed, 8},
	} {
		for seed := range uint64(20) {
			migration := NewMigration(start, config)
			random := rand.New(rand.NewPCG(seed, 1))
			changes := simulate(migration, random, 10*time.Minute, test.shares)
			if migration.Phase() != test.phase || changes > test.maxChanges {
				t.Errorf("%s, seed %d: got phase %v at share %g after %d changes, want another",
					test.name, seed, migration.Phase(), migration.Share(), changes)
			}
		}
	}
}

// TestNoFlappingAtTolerance checks that a pool whose failure share is just at the accepted one does not flap: the share
// changes a few times at most.
func TestNoFlappingAtTolerance(t *testing.T) {
	maxChanges := 0
	for seed := range uint64(50) {
		migration := NewMigration(start, MigrationConfig{Hold: 10 * time.Second, MinResults: 20, Tolerance: 0.02})
		random := rand.New(rand.NewPCG(seed, 2))
		changes := simulate(migration, random, time.Hour/4, failureShares{constantShare(0.01), constantShare(0.03)})
		maxChanges = max(maxChanges, changes)
	}
	t.Logf("at most %d changes of the share", maxChanges)
	if maxChanges > 10 {
		t.Errorf("changes of the share: got %d, want at most 10", maxChanges)
	}
}

// TestMigrationInvariants checks for random results that the share rises by one step at a time, not before Hold has
// passed, and that a migration is abandoned after MaxAttempts rollbacks.
func TestMigrationInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := NewMigration(start, MigrationConfig{
			Hold: time.Second, MinResults: rapid.IntRange(1, 5).Draw(t, "results"),
			MaxAttempts: rapid.IntRange(1, 5).Draw(t, "attempts"),
		})
		now, changed := start, start
		position := rapid.Float64Range(0, 1).Draw(t, "position")
		for range rapid.IntRange(1, 400).Draw(t, "events") {
			now += time.Duration(rapid.IntRange(0, 300).Draw(t, "pause")) * time.Millisecond
			before, step, inNew := m.Share(), m.step, m.InNewPool(position)
			if rapid.Bool().Draw(t, "step") {
				m.Step(now)
			} else {
				record(m, now, rapid.Bool().Draw(t, "in new pool"), rapid.IntRange(0, 9).Draw(t, "failed if 0") == 0)
			}
			after := m.Share()
			switch {
			case after > before:
				if m.step != step+1 || now-changed < time.Second || inNew && !m.InNewPool(position) {
					t.Fatalf("got share raised from %g to %g, %v after the last change, want one step after Hold",
						before, after, now-changed)
				}
				changed = now
			case after < before:
				changed = now
			}
			if m.rollbacks > m.config.MaxAttempts || m.phase == Abandoned && after != 0 {
				t.Fatalf("got phase %v at share %g after %d rollbacks, want share 0 if abandoned",
					m.phase, after, m.rollbacks)
			}
		}
	})
}

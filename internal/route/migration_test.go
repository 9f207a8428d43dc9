package route

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"
)

const start = 1_800_000_000 * time.Second

// TestPosition: objects lie evenly, and apart by team.
func TestPosition(t *testing.T) {
	const objects = 100_000
	var tenths [10]int
	near := 0
	for object := range uint64(objects) {
		position := Position("lanes", object)
		tenths[int(position*10)]++
		if math.Abs(position-Position("lane", object)) < 0.01 {
			near++
		}
	}
	for i, count := range tenths {
		if count < objects/10-500 || count > objects/10+500 {
			t.Errorf("the tenth %d has %d of %d", i, count, objects)
		}
	}
	if near > objects/40 {
		t.Errorf("%d of %d lie together for two teams", near, objects)
	}
}

// record hands a result to a migration, and reports whether the share has changed.
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

// failureShares is how the pools fail, by the time since the beginning.
type failureShares struct{ oldPool, newPool func(time.Duration) float64 }

// drive sends a result every two milliseconds, and returns how often the share has changed.
func drive(m *Migration, random *rand.Rand, length time.Duration, shares failureShares) (changes int) {
	for now := start; now < start+length; now += 2 * time.Millisecond {
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

func always(share float64) func(time.Duration) float64 {
	return func(time.Duration) float64 { return share }
}

// TestMigrations plays migrations to new pools of several kinds.
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
		{"a sound pool", failureShares{always(0.01), always(0.01)}, Completed, 4},
		{"both fail alike", failureShares{always(0.3), always(0.3)}, Completed, 4},
		{"a pool that fails all", failureShares{always(0.01), always(1)}, Abandoned, 6},
		{"a pool that fails one in ten", failureShares{always(0.01), always(0.1)}, Abandoned, 8},
		{"one that fails under load alone", failureShares{always(0), onlyUnderLoad}, Abandoned, 10},
		{"one that was faulty for a while", failureShares{always(0), forAWhile}, Completed, 8},
	} {
		for seed := range uint64(20) {
			migration := NewMigration(start, config)
			random := rand.New(rand.NewPCG(seed, 1))
			changes := drive(migration, random, 10*time.Minute, test.shares)
			if migration.Phase() != test.phase || changes > test.maxChanges {
				t.Errorf("%s, seed %d: %v at %g after %d changes",
					test.name, seed, migration.Phase(), migration.Share(), changes)
			}
		}
	}
}

// TestEdge: a pool that fails just as much as is accepted does not flap: the share changes a few times in an hour at
// the most.
func TestEdge(t *testing.T) {
	worst := 0
	for seed := range uint64(50) {
		migration := NewMigration(start, MigrationConfig{Hold: 10 * time.Second, MinResults: 20, Tolerance: 0.02})
		random := rand.New(rand.NewPCG(seed, 2))
		changes := drive(migration, random, time.Hour/4, failureShares{always(0.01), always(0.03)})
		worst = max(worst, changes)
	}
	t.Logf("at most %d changes", worst)
	if worst > 10 {
		t.Errorf("%d changes of the share", worst)
	}
}

// TestMigrationInvariants: whatever comes, the share is a step or 0, rises by one step at a time and not before Hold.
func TestMigrationInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := NewMigration(start, MigrationConfig{
			Hold: time.Second, MinResults: rapid.IntRange(1, 5).Draw(t, "results"),
			MaxAttempts: rapid.IntRange(1, 5).Draw(t, "attempts"),
		})
		now, changed := start, start
		position := rapid.Float64Range(0, 1).Draw(t, "an object")
		for range rapid.IntRange(1, 400).Draw(t, "events") {
			now += time.Duration(rapid.IntRange(0, 300).Draw(t, "pause")) * time.Millisecond
			before, step, inNew := m.Share(), m.step, m.InNewPool(position)
			if rapid.Bool().Draw(t, "the time") {
				m.Step(now)
			} else {
				record(m, now, rapid.Bool().Draw(t, "in the new"), rapid.IntRange(0, 9).Draw(t, "luck") == 0)
			}
			after := m.Share()
			switch {
			case after > before:
				if m.step != step+1 || now-changed < time.Second || inNew && !m.InNewPool(position) {
					t.Fatalf("it rose from %g to %g, %v after the last change", before, after, now-changed)
				}
				changed = now
			case after < before:
				changed = now
			}
			if m.stepsBack > m.config.MaxAttempts || m.phase == Abandoned && after != 0 {
				t.Fatalf("%v at %g after %d steps back", m.phase, after, m.stepsBack)
			}
		}
	})
}

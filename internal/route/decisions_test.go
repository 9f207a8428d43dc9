package route_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"sloequay/internal/digesttest"
	"sloequay/internal/route"
)

const decisionSeeds = 12

// decisionMinimums is how often each outcome must occur at least, over all seeds, so that the digests cover it.
var decisionMinimums = map[string]int{
	"choices": 10000, "choices by a rule": 5000, "choices of the new pool": 700, "shares that rose": 80,
	"shares that fell": 30, "moving": 2000, "resting": 500, "arrived": 500, "given-up": 500, "invalid plans": 30,
}

// draw draws one of the words.
func draw(random *rand.Rand, words ...string) string { return words[random.IntN(len(words))] }

func drawZone(random *rand.Rand) string {
	return draw(random, "", "", ".", "example.", "a.example.", "B.example", "b.a.example.", "x.b.a.EXAMPLE.")
}

func drawSelector(random *rand.Rand) route.Selector {
	var selector route.Selector
	if random.IntN(2) == 0 {
		selector.Zones = []int{random.IntN(3)}
	}
	if random.IntN(2) == 0 {
		selector.Kinds = []int{random.IntN(3), random.IntN(3)}
	}
	if random.IntN(2) == 0 {
		selector.IDs = []string{draw(random, "cam-*", "p?", "q7")}
	}
	return selector
}

func drawPlan(random *rand.Rand) route.Plan {
	plan := route.Plan{Services: map[string]string{}}
	for i := range 2 + random.IntN(3) {
		pool := route.Pool{Name: fmt.Sprint("pool", i)}
		if i > 0 && random.IntN(3) > 0 {
			pool.Selectors = append(pool.Selectors, drawSelector(random), drawSelector(random))
		}
		if random.IntN(3) == 0 {
			pool.Share = 0.2
		}
		plan.Pools = append(plan.Pools, pool)
	}
	for i := range 4 {
		plan.Services[fmt.Sprint("s", i)] = fmt.Sprint("pool", i/3)
	}
	for range random.IntN(15) {
		plan.Rules = append(plan.Rules, route.Rule{Team: draw(random, "", "a", "b", "c"),
			Class: draw(random, "", "x", "y"), Zone: drawZone(random), Service: fmt.Sprint("s", random.IntN(6))})
	}
	for _, team := range []string{"a", "b"} {
		config := route.MigrationConfig{Hold: time.Duration(random.IntN(2000)) * time.Millisecond,
			MinResults: random.IntN(8), Tolerance: 0.1 * random.Float64(), MaxAttempts: random.IntN(5)}
		switch random.IntN(4) {
		case 0:
			config.Steps = []float64{0.5, 1}
		case 1:
			config.Steps = []float64{0.1, 0.2, 0.4, 1}
		case 2:
			config.Tolerance = 0
		}
		plan.Migrations = append(plan.Migrations, route.MigrationPlan{Team: team, To: "pool1", Config: config})
	}
	return plan
}

// invalidate introduces one error into a plan.
func invalidate(random *rand.Rand, plan *route.Plan) {
	switch random.IntN(10) {
	case 0:
		plan.Pools = nil
	case 1:
		plan.Pools[1].Name = "pool0"
	case 2:
		plan.Pools[1].Share = 1
	case 3:
		plan.Services["s9"] = "nowhere"
	case 4:
		plan.Pools[1].Selectors = []route.Selector{{IDs: []string{"["}}}
	case 5:
		plan.Migrations = append(plan.Migrations, plan.Migrations[0])
	case 6:
		plan.Migrations[1].To = "nowhere"
	case 7:
		plan.Migrations[0].Config.Steps = [][]float64{{0.5, 0.4, 1}, {0, 1}, {0.5}, {0.5, 2}}[random.IntN(4)]
	case 8:
		plan.Rules = append(plan.Rules, route.Rule{Team: "a"})
	case 9:
		zones := []string{"a..b", string(make([]byte, 64)) + ".", string(make([]byte, 300)), "..", "a."}
		plan.Rules = append(plan.Rules, route.Rule{Zone: zones[random.IntN(len(zones))], Service: "s1"})
	}
}

// simulation sends random requests through the table of a random plan, whose new pool fails at times.
type simulation struct {
	random   *rand.Rand
	recorder *digesttest.Recorder
	table    *route.Table
	now      time.Duration
	failures [2]float64 // failure shares of the other pools and of the new one
	counts   map[string]int
}

func (s *simulation) recordStatus() {
	for _, team := range []string{"a", "b", "c"} {
		share, phase := s.table.MigrationStatus(team)
		if team == "a" {
			s.counts[phase.String()]++
		}
		s.recorder.Add("%s at %v, %s", team, share, phase)
	}
	s.recorder.Add("next at %d", int64(s.table.Next()))
}

// teamShare returns the new pool's share of team a.
func (s *simulation) teamShare() float64 {
	share, _ := s.table.MigrationStatus("a")
	return share
}

func (s *simulation) step() {
	s.now += time.Duration(s.random.ExpFloat64() * float64(20*time.Millisecond))
	switch s.random.IntN(400) {
	case 0:
		s.now += 5 * time.Second
	case 1, 2:
		s.failures = [2]float64{s.random.Float64() * 0.1, s.random.Float64()}
	case 3, 4:
		s.failures = [2]float64{0.01, 0.01}
	}
	before := s.teamShare()
	s.recorder.Add("%d moved %q", int64(s.now), s.table.Step(s.now))
	choice := s.table.Choose(draw(s.random, "a", "a", "a", "b", "c"), draw(s.random, "", "x", "y", "z"),
		drawZone(s.random), s.random.Uint64())
	s.counts["choices"]++
	if choice.Service != "" {
		s.counts["choices by a rule"]++
	}
	s.recorder.Add("%q pool %d", choice.Service, choice.Pool)
	failures := s.failures[0]
	if choice.Pool == 1 {
		s.counts["choices of the new pool"]++
		failures = s.failures[1]
	}
	result := route.Success
	if s.random.Float64() < failures {
		result = route.Failure
	}
	changedTeam := s.table.RecordResult(s.now, choice, result)
	s.recorder.Add("%q", changedTeam)
	switch after := s.teamShare(); {
	case after > before:
		s.counts["shares that rose"]++
	case after < before:
		s.counts["shares that fell"]++
	}
	s.recordStatus()
	pool, id := s.random.IntN(len(s.table.Pools())), draw(s.random, "cam-1", "p7", "q7", "o")
	s.recorder.Add("%v", s.table.Contains(pool, id, s.random.IntN(3), s.random.IntN(3)))
}

// TestDecisions runs random plans and requests and compares the digests of all results with the golden file.
func TestDecisions(t *testing.T) {
	counts := map[string]int{}
	digesttest.Check(t, decisionSeeds, func(seed uint64, recorder *digesttest.Recorder) {
		random := rand.New(rand.NewPCG(seed, 0x40_07))
		for range 10 {
			invalid := drawPlan(random)
			invalidate(random, &invalid)
			_, err := route.NewTable(0, invalid)
			if err != nil {
				counts["invalid plans"]++
			}
			recorder.Add("%v", err)
		}
		for range 4 {
			s := &simulation{random: random, recorder: recorder, now: 1000 * time.Second, counts: counts}
			var err error
			if s.table, err = route.NewTable(s.now, drawPlan(random)); err != nil {
				t.Fatal(err)
			}
			for _, pool := range s.table.Pools() {
				recorder.Add("%s has %v", pool.Name, pool.Share)
			}
			for range 1000 + 100*seed {
				s.step()
			}
		}
	})
	digesttest.CheckCounts(t, counts, decisionMinimums)
}

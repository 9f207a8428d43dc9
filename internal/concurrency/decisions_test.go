package concurrency_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"sloequay/internal/concurrency"
	"sloequay/internal/digesttest"
)

const decisionSeeds = 12

// decisionMinimums is how often each outcome must occur at least, over all seeds, so that the digests cover it.
var decisionMinimums = map[string]int{
	"admissions": 10000, "rejections": 3000, "increases": 500, "decreases": 400, "idle gaps": 10,
}

// decisionConfig returns settings that vary by seed; some keep their defaults.
func decisionConfig(seed uint64) concurrency.Config {
	config := concurrency.Config{Min: float64(seed % 5), Max: 30 + float64(10*seed), Start: float64(seed * 3)}
	if seed%2 == 0 {
		config.Window = time.Duration(20*seed) * time.Millisecond
	}
	if seed%3 == 0 {
		config.MaxOverloadShare = 0.02 * float64(seed)
	}
	if seed%4 == 0 {
		config.DecreaseFactor = 0.6
	}
	return config
}

// TestDecisions runs random requests of three tenants and compares the digests of all decisions with the golden file.
func TestDecisions(t *testing.T) {
	counts := map[string]int{}
	digesttest.Check(t, decisionSeeds, func(seed uint64, recorder *digesttest.Recorder) {
		random := rand.New(rand.NewPCG(seed, 0xca_9a))
		limit := concurrency.New(decisionConfig(seed))
		portions := []float64{0.5, 0.3, 0}
		open := make([]int, len(portions))
		now := time.Duration(seed%2) * 1000 * time.Second
		meanPause := float64(5 * time.Millisecond)
		if seed%4 == 3 { // few requests: windows are extended until enough have completed
			meanPause = float64(300 * time.Millisecond)
		}
		overloadShare := 0.0
		for range 2000 + 200*seed {
			now += time.Duration(random.ExpFloat64() * meanPause)
			switch random.IntN(300) {
			case 0:
				counts["idle gaps"]++
				now += time.Duration(random.IntN(20)) * time.Second
			case 1, 2, 3, 4, 5, 6:
				overloadShare = random.Float64() * random.Float64()
			case 7, 8, 9:
				overloadShare = 0
			}
			before := limit.Value()
			tenant := random.IntN(len(portions))
			if open[tenant] > 0 && random.IntN(100) < 48 {
				outcome := concurrency.Outcome(0)
				if random.Float64() < overloadShare {
					outcome = concurrency.Outcome(1 + random.IntN(3))
				}
				took := time.Duration(random.ExpFloat64() * float64(50*time.Millisecond))
				if random.IntN(200) == 0 {
					took = -took // as after a clock that was set back
				}
				limit.Release(now, outcome, took)
				open[tenant]--
			} else {
				wait, ok := limit.Admit(now, open[tenant], portions[tenant])
				recorder.Add("%d %v %d, guaranteed %v", int64(now), ok, int64(wait),
					limit.GuaranteedFor(portions[tenant]))
				if ok {
					counts["admissions"]++
					open[tenant]++
				} else {
					counts["rejections"]++
				}
			}
			recorder.Add("%v, %d open", limit.Value(), limit.Open())
			switch {
			case limit.Value() > before:
				counts["increases"]++
			case limit.Value() < before:
				counts["decreases"]++
			}
		}
	})
	digesttest.CheckCounts(t, counts, decisionMinimums)
}

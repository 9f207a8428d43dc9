package retry_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"sloequay/internal/digesttest"
	"sloequay/internal/retry"
)

const decisionSeeds = 12

// decisionMinimums gives the minimum number of events of each kind over all seeds.
var decisionMinimums = map[string]int{"deposits": 5000, "retries": 1500, "rejections": 2000, "settings": 100}

func drawConfig(random *rand.Rand) retry.Config {
	config := retry.Config{Share: random.Float64() / 2, Floor: 4 * random.Float64()}
	switch random.IntN(6) {
	case 0:
		config.Share = 0
	case 1:
		config.Floor = 0
	case 2:
		config.Floor /= 100
	}
	if random.IntN(3) > 0 {
		config.Window = time.Duration(1+random.IntN(3000)) * time.Millisecond
	}
	return config
}

// TestDecisions plays random attempts of several keys and compares the digests of all budgets with the recorded ones.
func TestDecisions(t *testing.T) {
	counts := map[string]int{}
	digesttest.Check(t, decisionSeeds, func(seed uint64, recorder *digesttest.Recorder) {
		random := rand.New(rand.NewPCG(seed, 0x4e_74))
		set := retry.NewSet[int](drawConfig(random), random.IntN(6)) // a set made for 0 still holds one budget
		now := time.Duration(seed%2) * 1000 * time.Second
		for range 1000 + 100*seed {
			now += time.Duration(random.ExpFloat64() * float64(30*time.Millisecond))
			switch random.IntN(200) {
			case 0:
				now += time.Duration(random.IntN(20)) * time.Second
			case 1:
				now = max(0, now-time.Second) // the clock goes back
			case 2:
				counts["settings"]++
				set.Configure(drawConfig(random))
			}
			budget := set.Get(random.IntN(8))
			if random.IntN(3) > 0 {
				counts["deposits"]++
				budget.Deposit(now, set.Config())
			}
			available := budget.Available(now, set.Config())
			recorder.Add("%d %v available, %d budgets", int64(now), available, set.Len())
			switch {
			case random.IntN(2) == 0:
			case available >= 1:
				counts["retries"]++
				budget.Withdraw()
			default:
				counts["rejections"]++
			}
		}
	})
	digesttest.CheckCounts(t, counts, decisionMinimums)
}

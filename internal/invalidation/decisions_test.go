package invalidation_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"sloequay/internal/digesttest"
	"sloequay/internal/invalidation"
)

const decisionSeeds = 12

// decisionMinimums is how often each outcome must occur at least, over all seeds, so that the digests cover it.
var decisionMinimums = map[string]int{
	"purges": 5000, "purges with the ledger full": 500, "answers": 5000, "answers without a purge": 500, "keys": 1000,
	"invalid keys": 500,
}

// drawKey draws a key and a value of a store, valid or not.
func drawKey(random *rand.Rand) (key, value string) {
	names := []string{
		fmt.Sprintf("object/%016x", random.Uint64()), fmt.Sprintf("/object/%016x/", random.Uint64()),
		fmt.Sprintf("object/%x", random.Uint32()), "object/0000000000000000", "object/zz00000000000000",
		fmt.Sprintf("group/%d", random.IntN(1<<30)), fmt.Sprintf("group/%d", random.Uint64()|1<<31), "group/-1",
		"group/", "object", "other/1", "",
	}
	values := []string{
		fmt.Sprint(random.IntN(1 << 42)), " 1700000000000\n", fmt.Sprint(1 << 42), fmt.Sprint(1<<42 + 1), "-1", "now",
	}
	value = values[0]
	if random.IntN(3) == 0 {
		value = values[random.IntN(len(values))]
	}
	return names[random.IntN(len(names))], value
}

// TestDecisions runs random purges and look-ups and compares the digests of all answers with the golden file.
func TestDecisions(t *testing.T) {
	counts := map[string]int{}
	digesttest.Check(t, decisionSeeds, func(seed uint64, recorder *digesttest.Recorder) {
		random := rand.New(rand.NewPCG(seed, 0x1d_ba))
		config := invalidation.Config{Propagation: 3 * time.Second, Slack: time.Second}
		if seed%3 > 0 {
			config.MaxPurges = 5 + int(seed)
		}
		ledger := invalidation.New(config)
		now := 1000 * time.Second
		for range 1000 + 100*seed {
			now += time.Duration(40*random.ExpFloat64()) * time.Millisecond // so that some expire exactly now
			if random.IntN(100) == 0 {
				now += time.Duration(random.IntN(6)) * time.Second
			}
			if random.IntN(2) == 0 {
				object, group := uint64(random.IntN(30)), random.IntN(6)
				if random.IntN(4) > 0 {
					group = 0
				}
				counts["purges"]++
				if ledger.Len() == config.MaxPurges {
					counts["purges with the ledger full"]++
				}
				ledger.Record(now, object, group, now-time.Duration(random.IntN(5000))*time.Millisecond)
			}
			if random.IntN(3) == 0 {
				ledger.Expire(now)
			}
			at, ok := ledger.Newest(uint64(random.IntN(30)), random.IntN(7)-1)
			counts["answers"]++
			if !ok {
				counts["answers without a purge"]++
			}
			recorder.Add("%d %d %v, %d purges", int64(now), int64(at), ok, ledger.Len())
			if random.IntN(4) == 0 {
				counts["keys"]++
				key, value := drawKey(random)
				purge, err := invalidation.ParsePurge(key, value)
				if err != nil {
					counts["invalid keys"]++
				}
				isObject := err == nil && purge.Scope == invalidation.ObjectScope
				recorder.Add("%d %d %v %d %v", purge.Object, purge.Group, isObject, int64(purge.Issued), err)
			}
		}
	})
	digesttest.CheckCounts(t, counts, decisionMinimums)
}

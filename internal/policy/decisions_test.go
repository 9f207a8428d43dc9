package policy_test

import (
	"testing"
	"time"

	"sloequay/internal/digesttest"
	"sloequay/internal/policy"
)

const (
	decisionSeeds = 24
	millisecond   = time.Millisecond

	cacheKind, parentKind, originKind = 0, 1, 2
	ownZone, otherZone                = 2, 3
)

// decisionClasses returns one class for each kind of idempotency and freshness.
func decisionClasses() []policy.Class {
	return []policy.Class{
		{Name: "safe", LatencyObjective: 400 * millisecond, ObjectiveStretch: 2, Deadline: 4 * time.Second,
			PriorityWeight: 2},
		{Name: "fresh", LatencyObjective: 300 * millisecond, Deadline: 3 * time.Second, PriorityWeight: 1,
			FreshFor: 2 * time.Second, StaleFor: time.Second},
		{Name: "keyed", LatencyObjective: 400 * millisecond, Deadline: 4 * time.Second, PriorityWeight: 3,
			Idempotency: policy.IdempotentByKey, DedupWindow: 2 * time.Second, Write: true},
		{Name: "keyed-zone", LatencyObjective: 400 * millisecond, Deadline: 4 * time.Second, PriorityWeight: 3,
			Idempotency: policy.IdempotentByKey, DedupScope: policy.DedupZone, DedupWindow: time.Second, Write: true},
		{Name: "keyed-cell", LatencyObjective: 500 * millisecond, Deadline: 3 * time.Second,
			Idempotency: policy.IdempotentByKey, DedupScope: policy.DedupCell, DedupWindow: time.Second},
		{Name: "not-idempotent", LatencyObjective: 400 * millisecond, Deadline: 4 * time.Second, PriorityWeight: 3,
			Idempotency: policy.NotIdempotent, Write: true},
	}
}

// decisionConfig returns settings that vary from seed to seed.
func decisionConfig(seed uint64) policy.Config {
	proxies := []int{1, 2, 8}[seed%3]
	config := policy.Config{
		Ordinal: int(seed) % proxies, Instances: 2 * proxies, Zone: ownZone,
		ZoneInstances: []int{0, 0, proxies, proxies},
		ParentKind:    parentKind, OriginKind: originKind, FlowKBps: 1000, WeightsReported: seed%5 != 0,
		WeightsLive: seed%7 == 0, Siblings: policy.SiblingScope(seed % 3), DirectFetch: seed%6 != 5,
		JoinFills: seed%4 != 3, PurgePropagation: 6 * time.Second,
		MaxAttempts: 6, MayCancel: seed%8 != 7, Hedging: seed%2 == 0,
		MaxRetryAfter: time.Second, PollDiscovery: seed%4 == 1, Classes: decisionClasses(),
	}
	if seed%3 != 1 { // otherwise warm-up budgets are off
		config.ColdStartShare, config.WarmupTime = 0.2, 20*time.Second
		config.OverloadMultiple, config.OverloadWindow = 3, 2*time.Second
		config.ParentStartShare, config.ParentWarmupTime, config.ParentOverloadMultiple = 0.1, 20*time.Second, 2
	}
	return config
}

// decisionMinimums is how often each kind of event or action occurs at least, over all seeds. With fewer the digests
// would cover less than they seem to.
var decisionMinimums = map[string]int{
	"cancels": 900, "clients that left": 700, "drains": 70, "ejections, failing": 100,
	"ejections, silent": 90, "failures": 200, "fills by a cache": 7000, "fills by a sibling": 400,
	"hedges": 400, "copies at rank 0": 7000, "copies at rank 1": 4000, "copies at rank 2": 90,
	"copies at rank 3": 6000, "late responses": 800, "purges": 500, "readmissions": 100, "rejections": 10000,
	"reloaded lists": 80, "restarts": 200, "retries": 5000, "sends": 10000, "sends for cached copies": 2000,
	"sends of class 0": 10000, "sends of class 1": 800, "sends of class 2": 1000, "sends of class 3": 1000,
	"sends of class 4": 800, "sends of class 5": 900, "sends that join fills": 10000, "sends that revalidate": 500,
	"sends to a parent": 1000, "sends to the origin": 2000, "sends with a maximum age": 6000, "ticks": 20000,
	"trials": 2000, "watches": 3,
}

// TestDecisions runs random event sequences and compares the digests of all actions with those on file.
func TestDecisions(t *testing.T) {
	counts := map[string]int{}
	digesttest.Check(t, decisionSeeds, func(seed uint64, recorder *digesttest.Recorder) {
		newSimulation(t, seed, recorder, counts).run(300 + 90*int(seed))
	})
	digesttest.CheckCounts(t, counts, decisionMinimums)
}

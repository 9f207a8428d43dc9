package policy_test

import (
	"fmt"
	"time"

	"sloequay/internal/policy"
)

// An engine with one cache and one parent looks up an unknown object at the cache, which serves it.
func Example() {
	cfg := policy.Config{
		Instances: 1, Zone: 1, ParentKind: 1, OriginKind: -1, MaxAttempts: 4,
		Classes: []policy.Class{
			{LatencyObjective: 400 * time.Millisecond, Deadline: 4 * time.Second, PriorityWeight: 1},
		},
	}
	engine, err := policy.New(cfg, 1)
	if err != nil {
		fmt.Println(err)
		return
	}
	now := time.Second
	engine.Handle(now, policy.ListEvent{Kind: policy.ListFull, Endpoints: []policy.Endpoint{
		{ID: 1, Zone: 1, State: policy.Ready}, {ID: 2, Zone: 0, Kind: 1, State: policy.Ready},
	}})
	for _, action := range engine.Handle(now, policy.RequestEvent{ID: 7, Object: 42, Remaining: 3 * time.Second}) {
		if sent, ok := action.(policy.SendAttempt); ok {
			isFill := sent.Source != sent.Endpoint
			fmt.Printf("request %d goes to cache %d, fill on a miss: %v\n", sent.ID, sent.Endpoint, isFill)
		}
	}
	response := policy.ResponseEvent{ID: 7, Status: policy.StatusOK, Concluded: true}
	engine.Handle(now+50*time.Millisecond, response)
	// Output: request 7 goes to cache 1, fill on a miss: false
}

package policy_test

import (
	"fmt"
	"time"

	"sloequay/internal/policy"
)

// A director with one cache and one parent looks for an unknown object at the cache, and is told that it was served.
func Example() {
	cfg := policy.Config{
		Instances: 1, Zone: 1, ParentKind: 1, OriginKind: -1, MaxAttempts: 4,
		Classes: []policy.Class{{LatencyObjective: 400 * time.Millisecond, Deadline: 4 * time.Second, PriorityWeight: 1}},
	}
	d, err := policy.New(cfg, 1)
	if err != nil {
		fmt.Println(err)
		return
	}
	now := time.Second
	d.Handle(now, policy.ListEvent{Kind: policy.ListFull, Endpoints: []policy.Endpoint{
		{ID: 1, Zone: 1, State: policy.Ready}, {ID: 2, Zone: 0, Kind: 1, State: policy.Ready},
	}})
	for _, action := range d.Handle(now, policy.RequestEvent{ID: 7, Object: 42, Remaining: 3 * time.Second}) {
		if get, ok := action.(policy.SendAttempt); ok {
			fmt.Printf("request %d goes to cache %d, fill on a miss: %v\n", get.ID, get.Endpoint, get.Source != get.Endpoint)
		}
	}
	d.Handle(now+50*time.Millisecond, policy.ResponseEvent{ID: 7, Endpoint: 1, Status: policy.StatusOK, Concluded: true})
	// Output: request 7 goes to cache 1, fill on a miss: false
}

package broker

import (
	"testing"
	"time"

	"sloequay/internal/membership"
	"sloequay/internal/policy"
)

// TestLargeListTakesSeveralRounds checks that no round applies more than maxChangesPerRound changes, and that those
// which restrict an endpoint come first. While changes are left the next round is due at once, until all are applied.
func TestLargeListTakesSeveralRounds(t *testing.T) {
	broker := newTwoSourceBroker(t)
	now := 1000 * time.Second
	endpoints := manyEndpoints(3 * maxChangesPerRound)
	broker.Round(now, []Event{consulList(endpoints)})
	rounds := 1
	for broker.members.HasChanges() {
		if broker.Next() > now {
			t.Fatalf("Next: got %v with changes left, want at most %v", broker.Next(), now)
		}
		before := len(broker.endpoints.byID)
		broker.Round(now, nil)
		if n := len(broker.endpoints.byID) - before; n > maxChangesPerRound {
			t.Fatalf("got %d endpoints added in one round, want at most maxChangesPerRound", n)
		}
		rounds++
	}
	if len(broker.endpoints.byID) != len(endpoints) || rounds < 3 {
		t.Errorf("got %d endpoints, want %d; got %d rounds, want at least 3",
			len(broker.endpoints.byID), len(endpoints), rounds)
	}
	// A drain among many changes is applied in the first round.
	for i := range endpoints {
		endpoints[i].Weight = 4
	}
	last := &endpoints[len(endpoints)-1]
	last.State = membership.Draining
	broker.Round(now, []Event{consulList(endpoints)})
	if endpoint := broker.EndpointByName(last.ID); endpoint.State != policy.Draining {
		t.Errorf("state of the draining endpoint after one round: got %v, want draining", endpoint.State)
	}
}

// TestSuspectedSourceIsRefetched checks that a suspicion of the membership table leads to a RefetchList, that its note
// is logged, and that no endpoint is dropped.
func TestSuspectedSourceIsRefetched(t *testing.T) {
	broker := newTwoSourceBroker(t)
	now := 1000 * time.Second
	broker.Round(now, []Event{consulList(manyEndpoints(10))})
	refetched, logged := false, false
	for _, effect := range broker.Round(now, []Event{consulList(manyEndpoints(2))}) {
		switch e := effect.(type) {
		case RefetchList:
			refetched = e.Source == consulSource
		case LogEntry:
			logged = logged || e.Event == "list-loss-suspected"
		}
	}
	if !refetched || !logged || len(broker.endpoints.byID) != 10 {
		t.Errorf("got refetched %v, logged %v and %d endpoints, want true, true and 10",
			refetched, logged, len(broker.endpoints.byID))
	}
}

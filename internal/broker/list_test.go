package broker

import (
	"testing"
	"time"

	"sloequay/internal/membership"
	"sloequay/internal/policy"
)

// TestLargeListTakesSeveralRounds: no round takes over more than its bound of changes, those first that take an
// endpoint away; the next round is due at once while any are left, and every endpoint arrives.
func TestLargeListTakesSeveralRounds(t *testing.T) {
	broker := newTwoSourceBroker(t)
	now := 1000 * time.Second
	endpoints := manyEndpoints(3 * maxChangesPerRound)
	broker.Round(now, []Event{consulList(endpoints)})
	rounds := 1
	for broker.members.HasChanges() {
		if broker.Next() > now {
			t.Fatalf("the next round is due at %v, now is %v", broker.Next(), now)
		}
		before := len(broker.endpoints.byID)
		broker.Round(now, nil)
		if n := len(broker.endpoints.byID) - before; n > maxChangesPerRound {
			t.Fatalf("one round took over %d endpoints", n)
		}
		rounds++
	}
	if len(broker.endpoints.byID) != len(endpoints) || rounds < 3 {
		t.Errorf("%d endpoints of %d in %d rounds", len(broker.endpoints.byID), len(endpoints), rounds)
	}
	// A drain among many changes is taken over in the first round.
	for i := range endpoints {
		endpoints[i].Weight = 4
	}
	last := &endpoints[len(endpoints)-1]
	last.State = membership.Draining
	broker.Round(now, []Event{consulList(endpoints)})
	if endpoint := broker.EndpointByName(last.ID); endpoint.State != policy.Draining {
		t.Errorf("after one round the draining endpoint is %v", endpoint.State)
	}
}

// TestSuspectedSourceIsRefetched: the suspicion of the membership table becomes an effect, and its notes are logged.
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
		t.Errorf("refetched %v, logged %v, %d endpoints", refetched, logged, len(broker.endpoints.byID))
	}
}

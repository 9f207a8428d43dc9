package consul

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/hashicorp/consul/api"

	"sloequay/internal/emulator/consul"
	"sloequay/internal/membership"
	"sloequay/internal/membership/consul/blockingquery"
)

// TestPurgesPublishedOnChange: a key is published when it is new or has changed. A key that a response lacks is
// forgotten only if the response is complete. Folders and invalid keys are not published.
func TestPurgesPublishedOnChange(t *testing.T) {
	pair := func(key string, index uint64) *api.KVPair {
		return &api.KVPair{Key: key, ModifyIndex: index, Value: []byte("5")}
	}
	purge := func(group int) membership.SourceEvent {
		return membership.PurgeReceived{Group: group, Issued: 5 * time.Millisecond}
	}
	object := membership.PurgeReceived{IsObject: true, Object: 255, Issued: 5 * time.Millisecond}
	const complete, partial, discard = blockingquery.Complete, blockingquery.Partial, blockingquery.Discard

	recorder := &recorder{}
	var published []membership.SourceEvent
	feed := &purgeFeed{
		catalogue: &Catalogue{
			Log:     recorder.log,
			Publish: func(events ...membership.SourceEvent) { published = append(published, events...) },
		},
		prefix:      "purges/",
		seenIndexes: map[string]uint64{},
	}
	for _, c := range []struct {
		name        string
		disposition blockingquery.Disposition
		pairs       api.KVPairs
		want        []membership.SourceEvent
	}{
		{"folder and two keys", complete,
			api.KVPairs{pair("purges/", 1), pair("purges/group/1", 2), pair("purges/object/00000000000000ff", 3)},
			[]membership.SourceEvent{purge(1), object}},
		{"new key", complete, api.KVPairs{pair("purges/group/1", 2), pair("purges/group/2", 4)},
			[]membership.SourceEvent{purge(2)}},
		{"changed key", complete, api.KVPairs{pair("purges/group/1", 5), pair("purges/group/2", 4)},
			[]membership.SourceEvent{purge(1)}},
		{"missing from a partial response", partial, api.KVPairs{pair("purges/group/2", 4)}, nil},
		{"unchanged after the partial response", complete,
			api.KVPairs{pair("purges/group/1", 5), pair("purges/group/2", 4)}, nil},
		{"response to discard", discard, api.KVPairs{pair("purges/group/9", 9)}, nil},
		{"missing from a complete response", complete, api.KVPairs{pair("purges/group/2", 4)}, nil},
		{"added again with the same index", complete, api.KVPairs{pair("purges/group/1", 5), pair("purges/group/2", 4)},
			[]membership.SourceEvent{purge(1)}},
		{"invalid key", complete, api.KVPairs{pair("purges/else", 6), pair("purges/group/2", 4)}, nil},
	} {
		published = nil
		feed.apply(c.pairs, blockingquery.Verdict{Disposition: c.disposition})
		if diff := cmp.Diff(c.want, published); diff != "" {
			t.Errorf("%s (-want +got):\n%s", c.name, diff)
		}
	}
	if _, logged := recorder.recorded(); len(logged) != 1 {
		t.Errorf("got log %q, want one rejected key", logged)
	}
}

// TestPurgesInBatches: the purges that exist at the start are published in batches.
func TestPurgesInBatches(t *testing.T) {
	const count = maxBatchSize + 7
	cluster := consul.NewCluster()
	agent := newAgent(t, cluster)
	for group := range count {
		cluster.SetKV(fmt.Sprint("purges/group/", group), []byte("5"))
	}
	batches := make(chan int, 10)
	catalogue := &Catalogue{
		Config:  parseConfig(t, "agent "+agent.Address()+"\npurges purges"),
		Now:     func() time.Duration { return time.Duration(time.Now().UnixNano()) },
		Log:     func(string, ...any) {},
		Publish: func(events ...membership.SourceEvent) { batches <- len(events) },
	}
	if err := catalogue.Start(t.Context()); err != nil {
		t.Fatal(err)
	}
	if first, second := <-batches, <-batches; first != maxBatchSize || second != count-maxBatchSize {
		t.Errorf("got batches of %d and %d purges, want %d and %d", first, second, maxBatchSize, count-maxBatchSize)
	}
}

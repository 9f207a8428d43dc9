package consul

import (
	"maps"
	"slices"
	"strings"

	"github.com/hashicorp/consul/api"

	"sloequay/internal/invalidation"
	"sloequay/internal/membership"
	"sloequay/internal/membership/consul/blockingquery"
)

// purgeFeed publishes the keys below a prefix of the KV store as purges.
type purgeFeed struct {
	catalogue *Catalogue
	prefix    string // ends in a slash

	seenIndexes map[string]uint64 // by key: the ModifyIndex for which it was last published or rejected
}

func (f *purgeFeed) name() string { return "purges" }

func (f *purgeFeed) fetch(client *api.Client, options *api.QueryOptions) (applyFunc, *api.QueryMeta, error) {
	pairs, meta, err := client.KV().List(f.prefix, options)
	apply := func(verdict blockingquery.Verdict, _ uint64) { f.apply(pairs, verdict) }
	return apply, meta, err
}

// availabilityChanged does nothing, because purges are not a source of endpoints.
func (f *purgeFeed) availabilityChanged(bool) {}

// apply publishes the keys that are new or have changed.
func (f *purgeFeed) apply(pairs api.KVPairs, verdict blockingquery.Verdict) {
	if verdict.Disposition == blockingquery.Discard {
		return
	}
	listed := make(map[string]uint64, len(pairs))
	var events []membership.SourceEvent
	for _, pair := range pairs {
		listed[pair.Key] = pair.ModifyIndex
		isFolder := strings.HasSuffix(pair.Key, "/")
		if isFolder || f.seenIndexes[pair.Key] == pair.ModifyIndex {
			continue
		}
		purge, err := invalidation.ParsePurge(strings.TrimPrefix(pair.Key, f.prefix), string(pair.Value))
		if err != nil {
			f.catalogue.Log("catalogue-purge-key-rejected", "error", truncated(err))
			continue
		}
		events = append(events, membership.PurgeReceived{
			IsObject: purge.Scope == invalidation.ObjectScope,
			Object:   purge.Object,
			Group:    purge.Group,
			Issued:   purge.Issued,
		})
	}
	if verdict.Disposition == blockingquery.Complete {
		f.seenIndexes = listed
	} else { // a key that the response lacks may still exist
		maps.Copy(f.seenIndexes, listed)
	}
	for batch := range slices.Chunk(events, maxBatchSize) {
		f.catalogue.Publish(batch...)
	}
}

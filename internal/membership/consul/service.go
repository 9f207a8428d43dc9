package consul

import (
	"errors"
	"slices"

	"github.com/hashicorp/consul/api"

	"sloequay/internal/membership"
	"sloequay/internal/membership/consul/blockingquery"
	"sloequay/internal/membership/consul/health"
)

// errIncompleteEntry is the reason for rejecting an entry without a service or a node.
var errIncompleteEntry = errors.New("the entry has no service or no node")

// serviceFeed publishes the instances of a service as the endpoints of a source.
type serviceFeed struct {
	catalogue *Catalogue
	service   *Service
	source    int

	rejected      map[string]string // reasons by rejected instance of the last list, so that each is logged once
	endpointCount int               // of the last list
}

func (f *serviceFeed) name() string { return "service " + f.service.Name }

func (f *serviceFeed) fetch(client *api.Client, options *api.QueryOptions) (applyFunc, *api.QueryMeta, error) {
	options.Filter = f.service.Filter
	const passingOnly = false // the rules decide which checks count
	entries, meta, err := client.Health().ServiceMultipleTags(f.service.Name, f.service.Tags, passingOnly, options)
	apply := func(verdict blockingquery.Verdict, index uint64) { f.apply(entries, verdict, index) }
	return apply, meta, err
}

func (f *serviceFeed) availabilityChanged(unavailable bool) {
	f.catalogue.Publish(membership.SourceStatus{Source: f.source, Silent: unavailable})
}

func (f *serviceFeed) apply(entries []*api.ServiceEntry, verdict blockingquery.Verdict, index uint64) {
	switch {
	case verdict.Disposition == blockingquery.Discard:
		return
	case verdict.Disposition == blockingquery.Unchanged && !verdict.Confirms:
		f.catalogue.Publish(membership.SourceStatus{Source: f.source})
		return
	}
	endpoints := f.endpoints(entries)
	f.publishParts(endpoints, index)
	f.endpointCount = len(endpoints)
	f.publish(membership.List{
		Version:    index,
		Endpoints:  endpoints,
		Confirms:   verdict.Confirms,
		Incomplete: verdict.Disposition == blockingquery.Partial,
	})
}

// endpoints converts the entries to endpoints. Entries that can't be used are logged and left out.
func (f *serviceFeed) endpoints(entries []*api.ServiceEntry) []membership.Endpoint {
	var endpoints []membership.Endpoint
	rejected := map[string]string{}
	for _, entry := range entries {
		endpoint, err := f.service.endpoint(entry, f.catalogue.Names)
		if err == nil {
			endpoints = append(endpoints, endpoint)
			continue
		}
		instance, reason := instanceName(entry), truncated(err)
		rejected[instance] = reason
		if f.rejected[instance] != reason {
			f.catalogue.Log("catalogue-instance-rejected",
				"service", f.name(), "instance", instance, "error", reason)
		}
	}
	f.rejected = rejected
	return endpoints
}

// publishParts publishes a list in parts before the complete list if it is much longer than the last one. Little in
// the complete list is new then, so that it does not hold up the receiver.
func (f *serviceFeed) publishParts(endpoints []membership.Endpoint, index uint64) {
	if len(endpoints) <= f.endpointCount+maxBatchSize {
		return
	}
	for part := range slices.Chunk(endpoints, maxBatchSize) {
		f.publish(membership.List{Version: index, Endpoints: part, Part: true})
	}
}

func (f *serviceFeed) publish(list membership.List) {
	f.catalogue.Publish(membership.ListReceived{Source: f.source, List: list})
}

// instanceName returns the name of an entry in the log.
func instanceName(entry *api.ServiceEntry) string {
	if !hasServiceAndNode(entry) {
		return "?"
	}
	return entry.Node.Node + "/" + entry.Service.ID
}

func hasServiceAndNode(entry *api.ServiceEntry) bool {
	return entry != nil && entry.Service != nil && entry.Node != nil
}

// endpoint converts an entry to an endpoint by the service's rules.
func (s *Service) endpoint(entry *api.ServiceEntry, names membership.Names) (membership.Endpoint, error) {
	if !hasServiceAndNode(entry) {
		return membership.Endpoint{}, errIncompleteEntry
	}
	service, node := entry.Service, entry.Node
	instance := health.Instance{
		ID:            service.ID,
		Node:          node.Node,
		Address:       service.Address,
		NodeAddress:   node.Address,
		Port:          service.Port,
		Meta:          service.Meta,
		PassingWeight: service.Weights.Passing,
		WarningWeight: service.Weights.Warning,
		CreateIndex:   service.CreateIndex,
	}
	for _, check := range entry.Checks {
		if check == nil {
			continue
		}
		instance.Checks = append(instance.Checks,
			health.Check{ID: check.CheckID, ServiceID: check.ServiceID, Status: check.Status})
	}
	membershipEntry, err := s.Rules.Entry(&instance)
	if err != nil {
		return membership.Endpoint{}, err
	}
	return names.Endpoint(membershipEntry)
}

package consul

import (
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"time"
)

// defaultWait is how long a blocking query without a valid parameter wait may block.
const defaultWait = 5 * time.Minute

// healthEntry is one instance in a response to /v1/health/service/NAME. The fields of this type and of those below are
// in alphabetical order.
type healthEntry struct {
	Checks  []healthCheck `json:"Checks"`
	Node    healthNode    `json:"Node"`
	Service healthService `json:"Service"`
}

type healthCheck struct {
	CheckID     string `json:"CheckID"`
	Name        string `json:"Name"`
	Node        string `json:"Node"`
	ServiceID   string `json:"ServiceID"`
	ServiceName string `json:"ServiceName"`
	Status      string `json:"Status"`
}

type healthNode struct {
	Address    string `json:"Address"`
	Datacenter string `json:"Datacenter"`
	Node       string `json:"Node"`
}

type healthService struct {
	Address     string            `json:"Address"`
	CreateIndex uint64            `json:"CreateIndex"`
	ID          string            `json:"ID"`
	Meta        map[string]string `json:"Meta"`
	ModifyIndex uint64            `json:"ModifyIndex"`
	Port        int               `json:"Port"`
	Service     string            `json:"Service"`
	Tags        []string          `json:"Tags"`
	Weights     Weights           `json:"Weights"`
}

// catalogEntry is one instance in a response to /v1/catalog/service/NAME.
type catalogEntry struct {
	Address        string            `json:"Address"`
	CreateIndex    uint64            `json:"CreateIndex"`
	ModifyIndex    uint64            `json:"ModifyIndex"`
	Node           string            `json:"Node"`
	ServiceAddress string            `json:"ServiceAddress"`
	ServiceID      string            `json:"ServiceID"`
	ServiceMeta    map[string]string `json:"ServiceMeta"`
	ServiceName    string            `json:"ServiceName"`
	ServicePort    int               `json:"ServicePort"`
	ServiceTags    []string          `json:"ServiceTags"`
}

// serviceIndex returns the index of a service. The caller holds the lock.
func (c *Cluster) serviceIndex(name string) uint64 { return max(c.indexes[name], firstIndex) }

// serveHealth answers /v1/health/service/NAME.
func (a *Agent) serveHealth(w http.ResponseWriter, r *http.Request, name string, active activeFault) {
	query := r.URL.Query()
	if query.Has("stale") && query.Has("consistent") {
		http.Error(w, "Cannot specify ?stale with ?consistent, conflicting semantics.", http.StatusBadRequest)
		return
	}
	c := a.cluster
	index := a.wait(r, func() uint64 { return c.serviceIndex(name) })
	c.mu.Lock()
	instances := copyInstances(c.services[name])
	if active.fault == Stale {
		instances, index = c.staleInstances(name, active.age)
	}
	isAllowed := c.tokens == nil || slices.Contains(c.tokens[r.Header.Get(tokenHeader)], name)
	c.mu.Unlock()
	isFiltered := active.fault == FilteredByACLs || !isAllowed
	if isFiltered || active.fault == EmptyList {
		instances = nil
	}
	if active.fault == IndexWentBack {
		index = 1
	}
	if isFiltered {
		w.Header().Set(filteredHeader, "true")
	}
	a.write(w, healthEntries(instances, name, query.Get("tag")), index, active)
}

// healthEntries returns the entries of the instances that have a tag, or of all instances if the tag is empty.
func healthEntries(instances []Instance, service, tag string) []healthEntry {
	entries := []healthEntry{}
	for _, instance := range instances {
		if tag != "" && !slices.Contains(instance.Tags, tag) {
			continue
		}
		entry := healthEntry{
			Checks: []healthCheck{},
			Node:   healthNode{Address: instance.NodeAddress, Datacenter: "dc1", Node: instance.Node},
			Service: healthService{
				Address:     instance.Address,
				CreateIndex: instance.CreateIndex,
				ID:          instance.ID,
				Meta:        instance.Meta,
				ModifyIndex: instance.ModifyIndex,
				Port:        instance.Port,
				Service:     service,
				Tags:        instance.Tags,
				Weights:     instance.Weights,
			},
		}
		for _, check := range instance.Checks {
			entry.Checks = append(entry.Checks, healthCheck{
				CheckID:     check.CheckID,
				Name:        check.Name,
				Node:        instance.Node,
				ServiceID:   check.ServiceID,
				ServiceName: service,
				Status:      check.Status,
			})
		}
		entries = append(entries, entry)
	}
	return entries
}

// serveServices answers /v1/catalog/services with the tags of each service.
func (a *Agent) serveServices(w http.ResponseWriter, r *http.Request, active activeFault) {
	c := a.cluster
	index := a.wait(r, func() uint64 { return c.index })
	tags := map[string][]string{}
	c.mu.Lock()
	for name, instances := range c.services {
		for _, instance := range instances {
			tags[name] = append(tags[name], instance.Tags...)
		}
		slices.Sort(tags[name])
		tags[name] = slices.Compact(tags[name])
	}
	c.mu.Unlock()
	a.write(w, tags, index, active)
}

// serveCatalogService answers /v1/catalog/service/NAME.
func (a *Agent) serveCatalogService(w http.ResponseWriter, r *http.Request, name string, active activeFault) {
	c := a.cluster
	index := a.wait(r, func() uint64 { return c.serviceIndex(name) })
	entries := []catalogEntry{}
	for _, instance := range c.Instances(name) {
		entries = append(entries, catalogEntry{
			Address:        instance.NodeAddress,
			CreateIndex:    instance.CreateIndex,
			ModifyIndex:    instance.ModifyIndex,
			Node:           instance.Node,
			ServiceAddress: instance.Address,
			ServiceID:      instance.ID,
			ServiceMeta:    instance.Meta,
			ServiceName:    instance.Service,
			ServicePort:    instance.Port,
			ServiceTags:    instance.Tags,
		})
	}
	a.write(w, entries, index, active)
}

// wait blocks as the parameters index and wait require, and returns the index for the response. It calls index while it
// holds the cluster's lock.
func (a *Agent) wait(r *http.Request, index func() uint64) uint64 {
	query := r.URL.Query()
	waitIndex, _ := strconv.ParseUint(query.Get("index"), 10, 64)
	limit, err := time.ParseDuration(query.Get("wait"))
	if err != nil || limit <= 0 {
		limit = defaultWait
	}
	limit += time.Duration(rand.Int64N(int64(limit)/16 + 1)) // so that clients do not all repeat their queries at once
	timer := time.NewTimer(limit)
	defer timer.Stop()
	c := a.cluster
	for {
		c.mu.Lock()
		current, changed := index(), c.changed
		c.mu.Unlock()
		if waitIndex == 0 || current != waitIndex {
			return current
		}
		a.mu.Lock()
		faultChanged := a.faultChanged
		a.mu.Unlock()
		select {
		case <-changed:
		case <-timer.C:
			return current
		case <-faultChanged: // a fault has begun or ended
			if !a.waitWhileHanging(r) {
				return current
			}
		case <-r.Context().Done():
			return current
		}
	}
}

// waitWhileHanging blocks while the fault Hang applies. It returns true once the fault has changed, so that the query
// goes on, and false if the agent does not hang or the client has disconnected.
func (a *Agent) waitWhileHanging(r *http.Request) bool {
	a.mu.Lock()
	isHanging, faultChanged := a.fault.fault == Hang, a.faultChanged
	a.mu.Unlock()
	if !isHanging {
		return false
	}
	select {
	case <-faultChanged:
		return true
	case <-r.Context().Done():
		return false
	}
}

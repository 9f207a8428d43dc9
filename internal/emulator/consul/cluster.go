// Package consul emulates a cluster of Consul agents. It follows the public documentation of the HTTP API, and covers
// health, catalogue, KV, an agent's services and TTL checks, maintenance, blocking queries with index and wait,
// consistency modes, tokens and their headers. Faults can be scripted for each agent.
package consul

import (
	"slices"
	"strings"
	"sync"
	"time"
)

// The statuses of checks.
const (
	Passing  = "passing"
	Warning  = "warning"
	Critical = "critical"
)

// Maintenance is the status that a caller passes to SetStatus or SetNodeStatus to put an instance or a node into
// maintenance. It is never the status of a check.
const Maintenance = "maintenance"

// IDs, or prefixes of IDs, that Consul itself gives to checks.
const (
	serviceCheckPrefix       = "service:"
	serviceMaintenancePrefix = "_service_maintenance"
	nodeMaintenanceCheck     = "_node_maintenance"
	nodeCheck                = "serfHealth"
)

const (
	// firstIndex is the index of an empty cluster.
	firstIndex = 10
	// maxSnapshots is the largest number of snapshots for stale responses; beyond it the oldest half is dropped.
	maxSnapshots = 512
	// maxSnapshotInstances is the largest number of instances of a service; with more, no snapshot is taken.
	maxSnapshotInstances = 200
)

// Instance is one instance of a service.
type Instance struct {
	Node, NodeAddress        string
	Service, ID              string
	Address                  string
	Port                     int
	Tags                     []string
	Meta                     map[string]string
	Weights                  Weights
	Checks                   []Check
	CreateIndex, ModifyIndex uint64

	agent *Agent // where it was registered; nil if it is only in the catalogue
}

// Weights holds the weights of an instance by the status of its checks.
type Weights struct {
	Passing int `json:"Passing"`
	Warning int `json:"Warning"`
}

// Check is one check of an instance or its node.
type Check struct {
	CheckID, Name, Status string
	ServiceID             string // the ID of the instance; empty for a check of the node

	ttl     time.Duration // 0 if the check does not expire
	expires time.Time
}

// snapshot is the state of the cluster's services at one time, for stale responses.
type snapshot struct {
	at       time.Time
	services map[string][]Instance
	indexes  map[string]uint64
}

// keyValue is one entry of the KV store.
type keyValue struct {
	value                    []byte
	createIndex, modifyIndex uint64
}

// Cluster is the state that all agents share.
type Cluster struct {
	mu        sync.Mutex
	index     uint64
	services  map[string][]*Instance
	indexes   map[string]uint64 // by service: the index of its last change
	kv        map[string]keyValue
	kvIndex   uint64 // of the last change of a key
	snapshots []snapshot
	changed   chan struct{}        // closed and replaced at each change
	tokens    map[string][]string  // by token: the services that it may read; nil if ACLs are off
	changedAt map[string]time.Time // by instance ID: see ChangedAt
}

// NewCluster returns an empty cluster.
func NewCluster() *Cluster {
	return &Cluster{
		index:     firstIndex,
		services:  map[string][]*Instance{},
		indexes:   map[string]uint64{},
		kv:        map[string]keyValue{},
		kvIndex:   firstIndex,
		changed:   make(chan struct{}),
		changedAt: map[string]time.Time{},
	}
}

// update changes a service, or a key if service is empty, under the lock, and wakes the blocking queries.
func (c *Cluster) update(service string, change func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.index++
	if service != "" {
		c.indexes[service] = c.index
	}
	change()
	c.takeSnapshot()
	close(c.changed)
	c.changed = make(chan struct{})
}

// takeSnapshot keeps the current state, unless a service is too large: stale responses are only for small fleets. The
// caller holds the lock.
func (c *Cluster) takeSnapshot() {
	taken := snapshot{at: time.Now(), services: map[string][]Instance{}, indexes: map[string]uint64{}}
	for name, instances := range c.services {
		if len(instances) > maxSnapshotInstances {
			return
		}
		taken.services[name] = copyInstances(instances)
		taken.indexes[name] = c.indexes[name]
	}
	c.snapshots = append(c.snapshots, taken)
	if len(c.snapshots) > maxSnapshots {
		c.snapshots = slices.Clone(c.snapshots[maxSnapshots/2:])
	}
}

// staleInstances returns the instances and the index of a service in the newest snapshot that is at least age old; if
// there is none, it returns no instances and index 1. The caller holds the lock.
func (c *Cluster) staleInstances(service string, age time.Duration) ([]Instance, uint64) {
	var instances []Instance
	index := uint64(1)
	for _, old := range c.snapshots {
		if time.Since(old.at) >= age {
			instances = old.services[service]
			index = max(old.indexes[service], firstIndex)
		}
	}
	return instances, index
}

func copyInstances(instances []*Instance) []Instance {
	copies := make([]Instance, len(instances))
	for i, instance := range instances {
		copies[i] = *instance
		copies[i].Checks = slices.Clone(instance.Checks)
	}
	return copies
}

// addDefaultCheck adds a passing check to an instance that has no checks.
func (i *Instance) addDefaultCheck() {
	if len(i.Checks) == 0 {
		i.Checks = []Check{{CheckID: serviceCheckPrefix + i.ID, Status: Passing, ServiceID: i.ID}}
	}
}

// Put registers an instance, or replaces the one with the same ID on the same node. The replacement keeps the create
// index; an instance that was removed before gets a new one.
func (c *Cluster) Put(instance Instance) {
	c.update(instance.Service, func() {
		c.changedAt[instance.ID] = time.Now()
		instance.ModifyIndex = c.index
		instance.addDefaultCheck()
		list := c.services[instance.Service]
		isSame := func(other *Instance) bool { return other.ID == instance.ID && other.Node == instance.Node }
		if i := slices.IndexFunc(list, isSame); i >= 0 {
			instance.CreateIndex = list[i].CreateIndex
			*list[i] = instance
			return
		}
		instance.CreateIndex = c.index
		c.services[instance.Service] = append(list, &instance)
	})
}

// ReplaceAll replaces all instances of a service in one change.
func (c *Cluster) ReplaceAll(service string, instances []Instance) {
	c.update(service, func() {
		c.services[service] = nil
		for _, instance := range instances {
			instance.Service = service
			instance.CreateIndex = c.index
			instance.ModifyIndex = c.index
			instance.addDefaultCheck()
			c.services[service] = append(c.services[service], &instance)
		}
	})
}

// Remove deregisters instances in one change.
func (c *Cluster) Remove(service string, ids ...string) {
	c.update(service, func() {
		for _, id := range ids {
			c.changedAt[id] = time.Now()
		}
		c.services[service] = slices.DeleteFunc(c.services[service], func(instance *Instance) bool {
			return slices.Contains(ids, instance.ID)
		})
	})
}

// SetStatus sets the status of an instance's own checks and takes it out of maintenance. The status Maintenance puts it
// into maintenance instead, and leaves its other checks as they are.
func (c *Cluster) SetStatus(service, id, status string) {
	c.update(service, func() {
		for _, instance := range c.services[service] {
			if instance.ID != id {
				continue
			}
			instance.ModifyIndex = c.index
			c.changedAt[id] = time.Now()
			instance.setStatus(status)
		}
	})
}

// setStatus sets the status of the instance's own checks, as SetStatus describes.
func (i *Instance) setStatus(status string) {
	i.Checks = slices.DeleteFunc(i.Checks, func(check Check) bool {
		return strings.HasPrefix(check.CheckID, serviceMaintenancePrefix)
	})
	if status == Maintenance {
		checkID := serviceMaintenancePrefix + ":" + i.ID
		i.Checks = append(i.Checks, Check{CheckID: checkID, Status: Critical, ServiceID: i.ID})
		return
	}
	for n := range i.Checks {
		if i.Checks[n].ServiceID == i.ID {
			i.Checks[n].Status = status
		}
	}
}

// SetNodeStatus replaces the node checks of all instances on a node by one check of the given status. The status
// Maintenance puts the node into maintenance.
func (c *Cluster) SetNodeStatus(node, status string) {
	check := Check{CheckID: nodeCheck, Status: status}
	if status == Maintenance {
		check = Check{CheckID: nodeMaintenanceCheck, Status: Critical}
	}
	c.mu.Lock()
	serviceNames := make([]string, 0, len(c.services))
	for name := range c.services {
		serviceNames = append(serviceNames, name)
	}
	c.mu.Unlock()
	for _, name := range serviceNames {
		c.update(name, func() {
			for _, instance := range c.services[name] {
				if instance.Node == node {
					c.changedAt[instance.ID] = time.Now()
					instance.ModifyIndex = c.index
					instance.setNodeCheck(check)
				}
			}
		})
	}
}

// setNodeCheck replaces the instance's checks of its node by one check.
func (i *Instance) setNodeCheck(check Check) {
	i.Checks = slices.DeleteFunc(i.Checks, func(other Check) bool { return other.ServiceID == "" })
	i.Checks = append(i.Checks, check)
}

// ChangedAt returns when Put, Remove, SetStatus or SetNodeStatus last changed an instance; zero if none did.
func (c *Cluster) ChangedAt(id string) time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.changedAt[id]
}

// Instances returns copies of the instances of a service.
func (c *Cluster) Instances(service string) []Instance {
	c.mu.Lock()
	defer c.mu.Unlock()
	return copyInstances(c.services[service])
}

// SetKV sets the value of a key; nil deletes the key.
func (c *Cluster) SetKV(key string, value []byte) {
	c.update("", func() {
		c.kvIndex = c.index
		if value == nil {
			delete(c.kv, key)
			return
		}
		entry := keyValue{value: value, createIndex: c.index, modifyIndex: c.index}
		if old, ok := c.kv[key]; ok {
			entry.createIndex = old.createIndex
		}
		c.kv[key] = entry
	})
}

// SetTokens turns on ACLs. tokens maps each token to the services that it may read; a request without a token has the
// token "". As in Consul, this changes no index and wakes no blocking query.
func (c *Cluster) SetTokens(tokens map[string][]string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.tokens = tokens
}

// expireChecks sets TTL checks that were not renewed in time to critical.
func (c *Cluster) expireChecks() {
	now := time.Now()
	c.mu.Lock()
	var expired []string // the names of the services with such checks
	for name, instances := range c.services {
		for _, instance := range instances {
			for _, check := range instance.Checks {
				if check.isExpired(now) && check.Status != Critical {
					expired = append(expired, name)
				}
			}
		}
	}
	c.mu.Unlock()
	for _, name := range expired {
		c.update(name, func() {
			for _, instance := range c.services[name] {
				instance.failExpired(now)
			}
		})
	}
}

// isExpired reports whether a TTL check was not renewed in time.
func (k *Check) isExpired(now time.Time) bool { return k.ttl > 0 && now.After(k.expires) }

// failExpired sets the instance's expired checks to critical.
func (i *Instance) failExpired(now time.Time) {
	for n := range i.Checks {
		if i.Checks[n].isExpired(now) {
			i.Checks[n].Status = Critical
		}
	}
}

// Package consul emulates a cluster of Consul agents, written from the public pages of the HTTP API: health, catalogue,
// KV, an agent's services and TTL checks, maintenance, blocking queries with index and wait, consistency modes, tokens
// and their headers. Each agent can be made to fail in scripted ways.
package consul

import (
	"slices"
	"strings"
	"sync"
	"time"
)

// The states of checks.
const (
	Passing  = "passing"
	Warning  = "warning"
	Critical = "critical"
)

// Maintenance is what Mark and MarkNode take to put something into maintenance; it is no state of a check.
const Maintenance = "maintenance"

// Ids of checks that Consul itself makes.
const (
	serviceCheckPrefix       = "service:"
	serviceMaintenancePrefix = "_service_maintenance"
	nodeMaintenanceCheck     = "_node_maintenance"
	nodeCheck                = "serfHealth"
)

const (
	// firstIndex is the index of an empty cluster.
	firstIndex = 10
	// maxSnapshots bounds how many states are kept for stale answers; beyond it the oldest half goes.
	maxSnapshots = 512
	// maxSnapshotInstances is the largest service whose states are kept.
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
	CreateIndex, ModifyIndex uint64 // indexes

	agent *Agent // that it was registered at; nil: in the catalogue alone
}

// Weights are an instance's weights by health.
type Weights struct {
	Passing int `json:"Passing"`
	Warning int `json:"Warning"`
}

// Check is one check of an instance or its node.
type Check struct {
	CheckID, Name, Status string
	ServiceID             string // empty: of the node

	ttl     time.Duration // 0: it does not expire
	expires time.Time
}

// snapshot is what the cluster held at a time, for answers that are stale.
type snapshot struct {
	at       time.Time
	services map[string][]Instance
	indexes  map[string]uint64
}

// keyValue is one entry of the KV store.
type keyValue struct {
	value          []byte
	create, modify uint64 // indexes
}

// Cluster is what all agents share.
type Cluster struct {
	mu        sync.Mutex
	index     uint64
	services  map[string][]*Instance
	indexes   map[string]uint64 // by service: when it last changed
	kv        map[string]keyValue
	kvIndex   uint64
	snapshots []snapshot
	changed   chan struct{} // closed and made anew with each change
	tokens    map[string][]string
	written   map[string]time.Time // when each instance last changed
}

// NewCluster makes an empty one.
func NewCluster() *Cluster {
	return &Cluster{
		index:    firstIndex,
		services: map[string][]*Instance{},
		indexes:  map[string]uint64{},
		kv:       map[string]keyValue{},
		kvIndex:  firstIndex,
		changed:  make(chan struct{}),
		written:  map[string]time.Time{},
	}
}

// update runs a change of a service, or of keys if that is empty, under the lock and wakes whoever waits for it.
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

// takeSnapshot keeps the state of now, unless a service is too large: stale answers are for small fleets.
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

// staleInstances gives a service and its index as they were some time ago. The caller holds the lock.
func (c *Cluster) staleInstances(service string, age time.Duration) ([]Instance, uint64) {
	var instances []Instance
	index := uint64(1)
	for _, past := range c.snapshots {
		if time.Since(past.at) >= age {
			instances = past.services[service]
			index = max(past.indexes[service], firstIndex)
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

// withDefaultCheck gives an instance a check that passes if it has none.
func (i *Instance) withDefaultCheck() {
	if len(i.Checks) == 0 {
		i.Checks = []Check{{CheckID: serviceCheckPrefix + i.ID, Status: Passing, ServiceID: i.ID}}
	}
}

// Put registers an instance, or changes it. The same id registered anew has another create index only after it was
// gone.
func (c *Cluster) Put(instance Instance) {
	c.update(instance.Service, func() {
		c.written[instance.ID] = time.Now()
		instance.ModifyIndex = c.index
		instance.withDefaultCheck()
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

// ReplaceAll registers many instances of one service in one change, in place of those that it had.
func (c *Cluster) ReplaceAll(service string, instances []Instance) {
	c.update(service, func() {
		c.services[service] = nil
		for _, instance := range instances {
			instance.Service = service
			instance.CreateIndex = c.index
			instance.ModifyIndex = c.index
			instance.withDefaultCheck()
			c.services[service] = append(c.services[service], &instance)
		}
	})
}

// Remove deregisters instances in one change.
func (c *Cluster) Remove(service string, ids ...string) {
	c.update(service, func() {
		for _, id := range ids {
			c.written[id] = time.Now()
		}
		c.services[service] = slices.DeleteFunc(c.services[service], func(instance *Instance) bool {
			return slices.Contains(ids, instance.ID)
		})
	})
}

// SetStatus sets the status of an instance's own checks; Maintenance puts it into maintenance, and any other takes it out.
func (c *Cluster) SetStatus(service, id, status string) {
	c.update(service, func() {
		for _, instance := range c.services[service] {
			if instance.ID != id {
				continue
			}
			instance.ModifyIndex = c.index
			c.written[id] = time.Now()
			instance.mark(status)
		}
	})
}

// mark sets the status of the instance's own checks, as Mark has it.
func (i *Instance) mark(status string) {
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

// SetNodeStatus sets the status of a node's check on all instances there; Maintenance as in Mark.
func (c *Cluster) SetNodeStatus(node, status string) {
	check := Check{CheckID: nodeCheck, Status: status}
	if status == Maintenance {
		check = Check{CheckID: nodeMaintenanceCheck, Status: Critical}
	}
	c.mu.Lock()
	names := make([]string, 0, len(c.services))
	for name := range c.services {
		names = append(names, name)
	}
	c.mu.Unlock()
	for _, name := range names {
		c.update(name, func() {
			for _, instance := range c.services[name] {
				if instance.Node == node {
					c.written[instance.ID] = time.Now()
					instance.ModifyIndex = c.index
					instance.setNodeCheck(check)
				}
			}
		})
	}
}

// setNodeCheck puts a check in place of those of the node.
func (i *Instance) setNodeCheck(check Check) {
	i.Checks = slices.DeleteFunc(i.Checks, func(other Check) bool { return other.ServiceID == "" })
	i.Checks = append(i.Checks, check)
}

// ChangedAt is when an instance last changed.
func (c *Cluster) ChangedAt(id string) time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.written[id]
}

// Instances gives the instances of a service.
func (c *Cluster) Instances(service string) []Instance {
	c.mu.Lock()
	defer c.mu.Unlock()
	return copyInstances(c.services[service])
}

// SetKV writes a key; nil deletes it.
func (c *Cluster) SetKV(key string, value []byte) {
	c.update("", func() {
		c.kvIndex = c.index
		if value == nil {
			delete(c.kv, key)
			return
		}
		entry := keyValue{value: value, create: c.index, modify: c.index}
		if old, ok := c.kv[key]; ok {
			entry.create = old.create
		}
		c.kv[key] = entry
	})
}

// SetTokens turns ACLs on: by token, the services that it may see. A request without a token has the token "". No index
// moves and no blocking query is woken by it, as with Consul's own.
func (c *Cluster) SetTokens(tokens map[string][]string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.tokens = tokens
}

// expireChecks turns TTL checks critical that were not renewed in time.
func (c *Cluster) expireChecks() {
	now := time.Now()
	c.mu.Lock()
	var due []string
	for name, instances := range c.services {
		for _, instance := range instances {
			for _, check := range instance.Checks {
				if check.isExpired(now) && check.Status != Critical {
					due = append(due, name)
				}
			}
		}
	}
	c.mu.Unlock()
	for _, name := range due {
		c.update(name, func() {
			for _, instance := range c.services[name] {
				instance.failExpired(now)
			}
		})
	}
}

// isExpired reports whether a TTL check was not renewed in time.
func (k *Check) isExpired(now time.Time) bool { return k.ttl > 0 && now.After(k.expires) }

func (i *Instance) failExpired(now time.Time) {
	for n := range i.Checks {
		if i.Checks[n].isExpired(now) {
			i.Checks[n].Status = Critical
		}
	}
}

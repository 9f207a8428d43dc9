// Package consul is a stand-in for a cluster of Consul agents, written from the public pages of the HTTP API: health,
// catalogue, KV, an agent's services and TTL checks, maintenance, blocking queries with index and wait, consistency modes,
// tokens and their headers. Each agent can be made to fail in scripted ways.
package consul

import (
	"slices"
	"strings"
	"sync"
	"time"
)

// Instance is one instance of a service.
type Instance struct {
	Node, NodeAddress string
	Service, ID       string
	Address           string
	Port              int
	Tags              []string
	Meta              map[string]string
	Weights           Weights
	Checks            []Check
	Create, Modify    uint64

	agent *Agent // that it was registered at; nil: in the catalogue alone
}

// Weights are an instance's weights by health.
type Weights struct{ Passing, Warning int }

// Check is one check of an instance or its node.
type Check struct {
	Node, CheckID, Name, Status string
	ServiceID                   string // empty: of the node

	ttl     time.Duration
	expires time.Time
}

// The states of checks.
const (
	Passing  = "passing"
	Warning  = "warning"
	Critical = "critical"
)

// moment is what the cluster held at a time, for answers that are stale.
type moment struct {
	at       time.Time
	index    uint64
	services map[string][]Instance
	indexes  map[string]uint64
}

const momentsMost = 512

// pair is one entry of the KV store.
type pair struct {
	value          []byte
	create, modify uint64
}

// Cluster is what all agents share.
type Cluster struct {
	mu       sync.Mutex
	index    uint64
	services map[string][]*Instance
	indexes  map[string]uint64 // by service: when it last changed
	kv       map[string]pair
	kvIndex  uint64
	moments  []moment
	changed  chan struct{} // closed and made anew with each change
	tokens   map[string][]string
	written  map[string]time.Time // when each instance last changed
	agents   []*Agent
}

// NewCluster makes an empty one.
func NewCluster() *Cluster {
	return &Cluster{index: 10, services: map[string][]*Instance{}, indexes: map[string]uint64{}, kv: map[string]pair{},
		kvIndex: 10, changed: make(chan struct{}), written: map[string]time.Time{}}
}

// update runs a change under the lock and wakes whoever waits for it.
func (c *Cluster) update(service string, change func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.index++
	if service != "" {
		c.indexes[service] = c.index
	}
	change()
	c.remember()
	close(c.changed)
	c.changed = make(chan struct{})
}

// remember keeps the state of now for answers that are stale.
func (c *Cluster) remember() {
	m := moment{at: time.Now(), index: c.index, services: map[string][]Instance{}, indexes: map[string]uint64{}}
	for name, list := range c.services {
		if len(list) > 200 {
			return // too large to keep; stale answers are for small fleets
		}
		m.services[name] = copies(list)
		m.indexes[name] = c.indexes[name]
	}
	if c.moments = append(c.moments, m); len(c.moments) > momentsMost {
		c.moments = slices.Clone(c.moments[momentsMost/2:])
	}
}

func copies(list []*Instance) []Instance {
	out := make([]Instance, len(list))
	for i, in := range list {
		out[i] = *in
		out[i].Checks = slices.Clone(in.Checks)
	}
	return out
}

// Put registers an instance, or changes it. The same id registered anew has another create index only after it was gone.
func (c *Cluster) Put(in Instance) {
	c.update(in.Service, func() {
		c.written[in.ID] = time.Now()
		in.Modify = c.index
		if len(in.Checks) == 0 {
			in.Checks = []Check{{CheckID: "service:" + in.ID, Status: Passing, ServiceID: in.ID}}
		}
		list := c.services[in.Service]
		if i := slices.IndexFunc(list, func(o *Instance) bool { return o.ID == in.ID && o.Node == in.Node }); i >= 0 {
			in.Create = list[i].Create
			*list[i] = in
			return
		}
		in.Create = c.index
		c.services[in.Service] = append(list, &in)
	})
}

// PutAll registers many instances of one service in one change.
func (c *Cluster) PutAll(service string, list []Instance) {
	c.update(service, func() {
		c.services[service] = nil
		for _, in := range list {
			in.Service, in.Create, in.Modify = service, c.index, c.index
			if len(in.Checks) == 0 {
				in.Checks = []Check{{CheckID: "service:" + in.ID, Status: Passing, ServiceID: in.ID}}
			}
			c.services[service] = append(c.services[service], &in)
		}
	})
}

// Remove deregisters instances in one change.
func (c *Cluster) Remove(service string, ids ...string) {
	c.update(service, func() {
		for _, id := range ids {
			c.written[id] = time.Now()
		}
		c.services[service] = slices.DeleteFunc(c.services[service], func(in *Instance) bool {
			return slices.Contains(ids, in.ID)
		})
	})
}

// Mark sets the status of an instance's own checks; "maintenance" puts it into maintenance, and any other takes it out.
func (c *Cluster) Mark(service, id, status string) {
	c.update(service, func() {
		for _, in := range c.services[service] {
			if in.ID != id {
				continue
			}
			in.Modify = c.index
			c.written[id] = time.Now()
			in.Checks = slices.DeleteFunc(in.Checks, func(k Check) bool { return strings.HasPrefix(k.CheckID, "_service_maintenance") })
			if status == "maintenance" {
				in.Checks = append(in.Checks, Check{CheckID: "_service_maintenance:" + id, Status: Critical, ServiceID: id})
				continue
			}
			for i := range in.Checks {
				if in.Checks[i].ServiceID == id {
					in.Checks[i].Status = status
				}
			}
		}
	})
}

// MarkNode sets the status of a node's check on all instances there; "maintenance" as in Mark.
func (c *Cluster) MarkNode(node, status string) {
	c.mu.Lock()
	names := make([]string, 0, len(c.services))
	for name := range c.services {
		names = append(names, name)
	}
	c.mu.Unlock()
	for _, name := range names {
		c.update(name, func() {
			for _, in := range c.services[name] {
				if in.Node != node {
					continue
				}
				c.written[in.ID] = time.Now()
				in.Modify = c.index
				in.Checks = slices.DeleteFunc(in.Checks, func(k Check) bool { return k.ServiceID == "" })
				if status == "maintenance" {
					in.Checks = append(in.Checks, Check{CheckID: "_node_maintenance", Status: Critical})
				} else {
					in.Checks = append(in.Checks, Check{CheckID: "serfHealth", Status: status})
				}
			}
		})
	}
}

// Written is when an instance last changed.
func (c *Cluster) Written(id string) time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.written[id]
}

// Instances gives the instances of a service.
func (c *Cluster) Instances(service string) []Instance {
	c.mu.Lock()
	defer c.mu.Unlock()
	return copies(c.services[service])
}

// SetKV writes a key; nil deletes it.
func (c *Cluster) SetKV(key string, value []byte) {
	c.update("", func() {
		c.kvIndex = c.index
		if value == nil {
			delete(c.kv, key)
			return
		}
		p := pair{value: value, create: c.index, modify: c.index}
		if old, ok := c.kv[key]; ok {
			p.create = old.create
		}
		c.kv[key] = p
	})
}

// SetTokens turns ACLs on: by token, the services that it may see. A request without a token has the token "". No index
// moves and no blocking query is woken by it, as with Consul's own.
func (c *Cluster) SetTokens(tokens map[string][]string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.tokens = tokens
}

// expire turns TTL checks critical that were not renewed in time.
func (c *Cluster) expire() {
	now := time.Now()
	c.mu.Lock()
	var due []string
	for name, list := range c.services {
		for _, in := range list {
			for _, k := range in.Checks {
				if k.ttl > 0 && k.Status != Critical && now.After(k.expires) {
					due = append(due, name)
				}
			}
		}
	}
	c.mu.Unlock()
	for _, name := range due {
		c.update(name, func() {
			for _, in := range c.services[name] {
				for i := range in.Checks {
					if k := &in.Checks[i]; k.ttl > 0 && now.After(k.expires) {
						k.Status = Critical
					}
				}
			}
		})
	}
}

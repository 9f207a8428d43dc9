// Package quota enforces what teams have agreed to, as a tree of budgets: the installation, its tenants, their services
// and the services' classes. A node may limit any Kind: rates, and what is open until it is released. A node's
// guaranteed part is always its own; what it doesn't use is lent, by weight, and available to it again at once. It is
// the block `contracts` of the settings.
//
// Invariants, for contracts that are not over-committed: what is admitted at a node within any window is at most its
// ceiling's rate times the window, its burst, and one request that is larger than the burst; a request within the
// guaranteed part of its node is admitted, whatever others do; what a grant has taken is given back to the last unit.
//
// Bounds: nodes in service are those of tenants that are named in the contracts and in use. An admission looks at the
// nodes on one path and at two others, and does no I/O; the caller passes the time.
package quota

import (
	"slices"
	"time"

	"sloequay/internal/concurrency"
)

const (
	// permanentRetryAfter is the Retry-After of a request that no time makes admissible.
	permanentRetryAfter = time.Second
	// idleFor is how long a tenant's node that is full and has nothing open is kept.
	idleFor = 10 * time.Second
	// sweptNodes is the number of nodes that each admission looks at for that.
	sweptNodes = 2
	// othersName is the node's name for the tenants that the contracts don't name.
	othersName = "others"
)

// Ledger is all contracts in force. A nil Ledger admits everything. It is not safe for concurrent use.
type Ledger struct {
	Version int // of the contracts: 1, and one more with each ReplaceContracts

	root      *node
	tenants   map[string]*Spec   // as written
	others    *Spec              // of tenants that are not named, together; nil: they are rejected
	nodes     map[string]*node   // tenants in service, others under ""
	inService []*node            // the same, in no order, for the sweep
	sweepAt   int                // index in inService
	limit     *concurrency.Limit // nil: none
}

// NewLedger returns a ledger of contracts. The children of root are the tenants; one without a name stands for all
// tenants that are not named.
func NewLedger(root *Spec) *Ledger {
	l := &Ledger{nodes: map[string]*node{}}
	l.apply(root)
	return l
}

// LimitConcurrency bounds all open requests by a limit that is learned from how requests end; nil: no bound. Each
// tenant always has its portion of it, by what it is guaranteed, or by weight where nobody is guaranteed anything.
func (l *Ledger) LimitConcurrency(limit *concurrency.Limit) { l.limit = limit }

// ConcurrencyLimit returns that limit; nil: none.
func (l *Ledger) ConcurrencyLimit() *concurrency.Limit { return l.limit }

// Admit takes a request in, or returns the budget that it is over. It takes from all budgets or from none. Each grant
// must be released once.
func (l *Ledger) Admit(now time.Duration, tenant, service, class string, cost Cost) (Grant, *Rejection) {
	if l == nil {
		return Grant{}, nil
	}
	l.sweep(now)
	leaf, rejection := l.find(now, tenant, service, class)
	if rejection != nil {
		return Grant{}, rejection
	}
	if rejection = leaf.checkOpenLimits(cost); rejection != nil {
		return Grant{}, rejection
	}
	var found draws
	if rejection = leaf.findRoom(now, Requests, Bytes, cost, &found); rejection != nil {
		return Grant{}, rejection
	}
	if l.limit != nil {
		if rejection = l.admitConcurrent(now, leaf.tenant()); rejection != nil {
			return Grant{}, rejection
		}
	}
	found.charge(now, cost)
	leaf.countOpen(cost)
	return Grant{leaf, cost, l.limit}, nil
}

// admitConcurrent takes a place of the concurrency limit.
func (l *Ledger) admitConcurrent(now time.Duration, tenant *node) *Rejection {
	wait, ok := l.limit.Admit(now, tenant.inFlight, tenant.spec.portion)
	if ok {
		return nil
	}
	return &Rejection{
		Node: tenant.name, Kind: Concurrency, Requested: 1,
		Left: max(0, l.limit.Value()-float64(l.limit.Open())), RetryAfter: wait,
	}
}

// ReplaceContracts replaces the contracts in force. Admitted requests keep their grants, and nodes that are in both the
// old and the new contracts keep what they have used.
func (l *Ledger) ReplaceContracts(now time.Duration, root *Spec) {
	l.root.lastUsed = now
	l.apply(root)
	for name, tenant := range l.nodes {
		spec := l.tenants[name]
		if name == "" {
			spec = l.others
		}
		tenant.renew(now, spec)
	}
}

// apply takes contracts as they are written.
func (l *Ledger) apply(root *Spec) {
	l.Version++
	l.tenants = make(map[string]*Spec, len(root.Children))
	l.others = nil
	for _, tenant := range root.Children {
		if tenant.Name == "" {
			l.others = tenant
		} else {
			l.tenants[tenant.Name] = tenant
		}
	}
	root.setPortions()
	if l.root == nil {
		l.root = newNode(root, nil)
		return
	}
	l.root.spec = root
	l.root.applyLimits()
}

// find returns the node of a tenant, or that of one of its services or their classes where the contract has such. The
// rejection is for a tenant without a contract or a class that is not in it.
func (l *Ledger) find(now time.Duration, tenant, service, class string) (*node, *Rejection) {
	spec, key := l.tenants[tenant], tenant
	if spec == nil {
		spec, key = l.others, ""
	}
	if spec == nil {
		return nil, &Rejection{Node: tenant, Kind: NoContract, RetryAfter: permanentRetryAfter}
	}
	found := l.nodes[key]
	if found == nil {
		found = l.addTenant(key, spec)
	}
	found.lastUsed = now
	if len(spec.Classes) > 0 && !slices.Contains(spec.Classes, class) {
		return nil, &Rejection{Node: found.name, Kind: NoClass, RetryAfter: permanentRetryAfter}
	}
	for _, name := range [...]string{service, class} {
		if child := found.child(name); child != nil {
			child.lastUsed = now
			found = child
		}
	}
	return found, nil
}

// addTenant makes the node of a tenant that is used for the first time.
func (l *Ledger) addTenant(key string, spec *Spec) *node {
	tenant := newNode(spec, l.root)
	if key == "" {
		tenant.name = othersName
	}
	l.nodes[key] = tenant
	l.inService = append(l.inService, tenant)
	return tenant
}

// sweep forgets some tenants that are full and have nothing open.
func (l *Ledger) sweep(now time.Duration) {
	for i := 0; i < sweptNodes && len(l.inService) > 0; i++ {
		l.sweepAt = (l.sweepAt + 1) % len(l.inService)
		tenant := l.inService[l.sweepAt]
		if now-tenant.lastUsed < idleFor || !tenant.full(now) {
			continue
		}
		tenant.stopBorrowing()
		delete(l.nodes, tenant.spec.Name)
		last := len(l.inService) - 1
		l.inService[l.sweepAt] = l.inService[last]
		l.inService[last] = nil
		l.inService = l.inService[:last]
		l.sweepAt-- // the node that came to its place is next
	}
}

// Tenants returns the number of tenants in service.
func (l *Ledger) Tenants() int { return len(l.nodes) }

// InFlight returns the number of requests that were admitted and not released.
func (l *Ledger) InFlight() int { return l.root.inFlight }

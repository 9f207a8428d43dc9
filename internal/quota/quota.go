// Package quota enforces the teams' contracts as a tree of budgets: the installation, its tenants, their services and
// the services' classes. A node may limit rates, and the open requests and their bytes (see Kind). The guaranteed part
// of a node is reserved for it; what the node does not use is lent to others by weight, and available to it again at
// once. The settings have the contracts in the block `contracts`.
//
// Invariants, for contracts that are not over-committed: within any window, a node admits at most its ceiling's rate
// times the window, plus its burst, plus one request that is larger than the burst; a request within the guaranteed
// part of its node is admitted, whatever the load of others; releasing a grant returns exactly the open units that it
// holds.
//
// Bounds: there are nodes only for the tenants that are named in the contracts and in use. An admission looks at the
// nodes on one path, and at two more for the sweep. It does no I/O; the caller passes the time.
package quota

import (
	"slices"
	"time"

	"sloequay/internal/concurrency"
)

const (
	// permanentRetryAfter is the Retry-After of a request that the contracts do not admit at any time.
	permanentRetryAfter = time.Second
	// idleTimeout is how long the node of an idle tenant is kept after its last use.
	idleTimeout = 10 * time.Second
	// sweptPerAdmission is the number of tenants that each admission checks for being idle.
	sweptPerAdmission = 2
	// othersName is the name of the node that the tenants not named in the contracts share.
	othersName = "others"
)

// Ledger holds the contracts in force and their usage. A nil Ledger admits every request. It is not safe for
// concurrent use.
type Ledger struct {
	Version int // of the contracts: 1, and one more with each ReplaceContracts

	root       *node
	tenants    map[string]*Spec   // by name, as configured
	others     *Spec              // shared by the tenants that are not named; nil: they are rejected
	nodes      map[string]*node   // of the tenants in service, by name; that of others is under ""
	inService  []*node            // the same nodes, unordered, for sweep
	sweepIndex int                // index in inService of the tenant swept last
	limit      *concurrency.Limit // nil: concurrency is not limited
}

// NewLedger returns a ledger of contracts. The children of root are the tenants; a child without a name is shared by
// all tenants that are not named.
func NewLedger(root *Spec) *Ledger {
	l := &Ledger{nodes: map[string]*node{}}
	l.apply(root)
	return l
}

// LimitConcurrency bounds the number of all open requests by an adaptive limit; nil: no bound. Each tenant may always
// use its portion of the limit, in proportion to its guaranteed rate of requests, or to its weight if no tenant has
// one.
func (l *Ledger) LimitConcurrency(limit *concurrency.Limit) { l.limit = limit }

// ConcurrencyLimit returns the limit that LimitConcurrency has set; nil: none.
func (l *Ledger) ConcurrencyLimit() *concurrency.Limit { return l.limit }

// Admit admits a request, or returns a rejection with the reason. It charges all budgets or none. Each grant must be
// released once.
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
	if rejection = leaf.findSources(now, Requests, Bytes, cost, &found); rejection != nil {
		return Grant{}, rejection
	}
	if l.limit != nil {
		if rejection = l.admitConcurrency(now, leaf.tenant()); rejection != nil {
			return Grant{}, rejection
		}
	}
	found.charge(now, cost)
	leaf.countOpen(cost)
	return Grant{leaf, cost, l.limit}, nil
}

// admitConcurrency counts a request against the concurrency limit, or returns a rejection.
func (l *Ledger) admitConcurrency(now time.Duration, tenant *node) *Rejection {
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
		tenant.replaceSpec(now, spec)
	}
}

// apply puts contracts in force at the root, and indexes the tenants.
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

// find returns the lowest node that applies to a request: that of the class, the service or the tenant, as far as the
// contract has them. It returns a rejection if the tenant has no contract, or if the contract does not allow the class.
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

// addTenant creates the node of a tenant at its first use.
func (l *Ledger) addTenant(key string, spec *Spec) *node {
	tenant := newNode(spec, l.root)
	if key == "" {
		tenant.name = othersName
	}
	l.nodes[key] = tenant
	l.inService = append(l.inService, tenant)
	return tenant
}

// sweep checks some tenants, and drops the nodes of those that have been idle for idleTimeout.
func (l *Ledger) sweep(now time.Duration) {
	for i := 0; i < sweptPerAdmission && len(l.inService) > 0; i++ {
		l.sweepIndex = (l.sweepIndex + 1) % len(l.inService)
		tenant := l.inService[l.sweepIndex]
		if now-tenant.lastUsed < idleTimeout || !tenant.idle(now) {
			continue
		}
		tenant.stopBorrowing()
		delete(l.nodes, tenant.spec.Name)
		last := len(l.inService) - 1
		l.inService[l.sweepIndex] = l.inService[last]
		l.inService[last] = nil
		l.inService = l.inService[:last]
		l.sweepIndex-- // check the tenant that took its place next
	}
}

// Tenants returns the number of tenants in service.
func (l *Ledger) Tenants() int { return len(l.nodes) }

// InFlight returns the number of admitted requests that have not been released.
func (l *Ledger) InFlight() int { return l.root.inFlight }

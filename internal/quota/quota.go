package quota

import (
	"cmp"
	"slices"
	"time"

	"sloequay/internal/concurrency"
)

const (
	// refusedWait is told where no time makes a further try succeed.
	refusedWait = time.Second
	// openLeast and openMost bound what is told where too much is open: the time until as much as is asked is given back at
	// the pace of late.
	openLeast = 5 * time.Millisecond
	openMost  = 5 * time.Second
	// idleFor is how long a node that is full and has nothing open is kept.
	idleFor = 10 * time.Second
	// sweepMost bounds the nodes that are looked at for that with each admission.
	sweepMost = 2
)

// Ledger is all contracts in force. A nil Book allows everything.
//
// Invariants, for contracts that are not over-committed: what is admitted at a node in any window is at most its ceiling's rate
// times the window and its burst, and one request that is larger than the burst; a request within the guaranteed part of its node is
// admitted, whatever others do; what is granted is given back to the last unit. Nodes in service are bounded by the tenants that are
// named and in use. It is not safe for concurrent use.
type Ledger struct {
	root    *node
	tenants map[string]*Spec // as written
	others  *Spec            // of tenants that are not named, together; nil: they are refused
	nodes   map[string]*node // tenants in service, others under ""
	ring    []*node          // the same, in no order, for the sweep
	at      int              // of the sweep
	Version int
	limit   *concurrency.Limit // nil: none
}

// Grant is what an admission has taken. Its zero value is that of no contract.
type Grant struct {
	leaf  *node
	cost  Cost
	limit *concurrency.Limit
}

// NewLedger makes a book of contracts. root's children are the tenants, of which one with an empty name stands for all that are not
// named.
func NewLedger(root *Spec) *Ledger {
	b := &Ledger{nodes: map[string]*node{}}
	b.take(root)
	return b
}

func (b *Ledger) take(root *Spec) {
	b.Version++
	b.tenants, b.others = make(map[string]*Spec, len(root.Children)), nil
	for _, t := range root.Children {
		if t.Name == "" {
			b.others = t
		} else {
			b.tenants[t.Name] = t
		}
	}
	guaranteed, weights := 0.0, 0.0
	for _, t := range root.Children {
		guaranteed += t.Rates[Requests].Guaranteed
		weights += t.weight()
	}
	for _, t := range root.Children {
		if t.portion = t.weight() / weights; guaranteed > 0 {
			t.portion = t.Rates[Requests].Guaranteed / guaranteed
		}
	}
	if b.root == nil {
		b.root = newNode(root, nil)
		return
	}
	b.root.spec = root
	b.root.shape()
}

// LimitConcurrency has a limit on all that is open learned from how requests end; nil: none. Each tenant always has its part of it, by what
// it is guaranteed, or by weight where nobody is guaranteed anything.
func (b *Ledger) LimitConcurrency(l *concurrency.Limit) { b.limit = l }

// ConcurrencyLimit is that limit; nil: none.
func (b *Ledger) ConcurrencyLimit() *concurrency.Limit { return b.limit }

// Renew takes over other contracts. Requests that were admitted keep their grants, and nodes that stay what they have used.
func (b *Ledger) Renew(now time.Duration, root *Spec) {
	b.root.used = now
	b.take(root)
	for name, n := range b.nodes {
		spec := b.tenants[name]
		if name == "" {
			spec = b.others
		}
		n.renew(now, spec)
	}
}

// renew takes another spec; nil: the contract has ended, and what is open runs out.
func (n *node) renew(now time.Duration, spec *Spec) {
	if n.ended = spec == nil; n.ended {
		spec = &Spec{Name: n.spec.Name}
	}
	n.spec, n.used = spec, now
	n.shape()
	for name, kid := range n.kids {
		i := slices.IndexFunc(spec.Children, func(s *Spec) bool { return s.Name == name })
		if i < 0 {
			kid.renew(now, nil)
		} else {
			kid.renew(now, spec.Children[i])
		}
	}
}

// find gives the node of a tenant, or of one of its services or their classes where the contract has such.
func (b *Ledger) find(now time.Duration, tenant, service, class string) (*node, *Rejection) {
	spec := b.tenants[tenant]
	if spec == nil {
		if tenant, spec = "", b.others; spec == nil {
			return nil, &Rejection{Kind: NoContract, RetryAfter: refusedWait}
		}
	}
	n := b.nodes[tenant]
	if n == nil {
		n = newNode(spec, b.root)
		if tenant == "" {
			n.name = "others"
		}
		b.nodes[tenant] = n
		b.ring = append(b.ring, n)
	}
	n.used = now
	if len(spec.Classes) > 0 && !slices.Contains(spec.Classes, class) {
		return nil, &Rejection{Node: n.name, Kind: NoClass, RetryAfter: refusedWait}
	}
	for _, name := range [...]string{service, class} {
		if kid := n.kid(name); kid != nil {
			n = kid
			n.used = now
		}
	}
	return n, nil
}

// kid gives the node below of a name, made when it is first used; nil: the contract says nothing of it.
func (n *node) kid(name string) *node {
	if name == "" || len(n.spec.Children) == 0 {
		return nil
	}
	if kid := n.kids[name]; kid != nil {
		if kid.ended {
			return nil
		}
		return kid
	}
	for _, s := range n.spec.Children {
		if s.Name == name {
			if n.kids == nil {
				n.kids = map[string]*node{}
			}
			n.kids[name] = newNode(s, n)
			return n.kids[name]
		}
	}
	return nil
}

// Admit takes a request in, or says which budget it is over. All is taken, or nothing. What is granted must be Done.
func (b *Ledger) Admit(now time.Duration, tenant, service, class string, cost Cost) (Grant, *Rejection) {
	if b == nil {
		return Grant{}, nil
	}
	b.sweep(now)
	n, refusal := b.find(now, tenant, service, class)
	if refusal != nil {
		if refusal.Kind == NoContract {
			refusal.Node = tenant
		}
		return Grant{}, refusal
	}
	for p := n; p != nil; p = p.parent {
		for k := range p.levels {
			kind := rateKinds + Kind(k)
			most := p.spec.MaxOpen[k]
			if c := cost.of(kind); most > 0 && p.levels[k] > 0 && p.levels[k]+c > most {
				return Grant{}, &Rejection{Node: p.name, Kind: kind, Requested: c, Left: max(0, most-p.levels[k]), RetryAfter: p.openWait()}
			}
		}
	}
	var drawn [Bytes + 1]*rate
	for k := Requests; k <= Bytes; k++ {
		from := n.limited(k)
		if from == nil || cost.of(k) == 0 {
			continue
		}
		d, wait, blocked, left := room(now, from, cost.of(k))
		if wait > 0 {
			return Grant{}, &Rejection{Node: blocked.node.name, Kind: k, Requested: cost.of(k), Left: left, RetryAfter: from.promise(now, cost.of(k))}
		}
		drawn[k] = d
	}
	if b.limit != nil {
		t := n.tenant()
		if wait, ok := b.limit.Admit(now, t.open, t.spec.portion); !ok {
			return Grant{}, &Rejection{Node: t.name, Kind: Concurrency, Requested: 1, Left: max(0, b.limit.Value()-float64(b.limit.Open())), RetryAfter: wait}
		}
	}
	for k := Requests; k <= Bytes; k++ {
		if from := n.limited(k); from != nil && cost.of(k) > 0 {
			charge(now, from, drawn[k], cost.of(k))
		}
	}
	for p := n; p != nil; p = p.parent {
		p.open++
		for k := range p.levels {
			p.levels[k] += cost.of(rateKinds + Kind(k))
		}
	}
	return Grant{n, cost, b.limit}, nil
}

// limited is the nearest node upward that limits a kind.
func (n *node) limited(k Kind) *rate {
	for ; n != nil; n = n.parent {
		if n.rates[k] != nil {
			return n.rates[k]
		}
	}
	return nil
}

// openWait is when the next request is likely to end.
func (n *node) openWait() time.Duration {
	if n.pace == 0 {
		return 20 * openLeast
	}
	return min(max(time.Duration(n.pace), openLeast), openMost)
}

// Tenant names whose contract it is; empty where there is none.
func (g Grant) Tenant() string {
	if g.leaf == nil {
		return ""
	}
	return g.leaf.tenant().name
}

// tenant is the node below the root.
func (n *node) tenant() *node {
	for n.parent != nil && n.parent.parent != nil {
		n = n.parent
	}
	return n
}

// SpendAttempt charges a first attempt to the budgets of a grant, or says which one is used up.
func (g Grant) SpendAttempt(now time.Duration) *Rejection { return g.spend(now, Attempts) }

// SpendRetry charges a later attempt to the budgets of a grant, or says which one is used up.
func (g Grant) SpendRetry(now time.Duration) *Rejection { return g.spend(now, Retries) }

// spend charges one unit of each kind from Attempts to last, or of none.
func (g Grant) spend(now time.Duration, last Kind) *Rejection {
	if g.leaf == nil {
		return nil
	}
	var drawn [Retries + 1]*rate
	for k := Attempts; k <= last; k++ {
		if from := g.leaf.limited(k); from != nil {
			d, wait, blocked, left := room(now, from, 1)
			if wait > 0 {
				return &Rejection{Node: blocked.node.name, Kind: k, Requested: 1, Left: left, RetryAfter: from.promise(now, 1)}
			}
			drawn[k] = d
		}
	}
	for k := Attempts; k <= last; k++ {
		if from := g.leaf.limited(k); from != nil {
			charge(now, from, drawn[k], 1)
		}
	}
	return nil
}

// Release gives back what an admission holds, where it was taken, and tells nothing of the load. Either it or End must be called once.
func (g Grant) Release(now time.Duration) { g.ReleaseWithOutcome(now, concurrency.NoSignal, 0) }

// ReleaseWithOutcome is Done with how the request ended, as far as it tells of the load, and how long it took.
func (g Grant) ReleaseWithOutcome(now time.Duration, o concurrency.Outcome, took time.Duration) {
	if g.limit != nil {
		g.limit.Release(now, o, took)
	}
	for p := g.leaf; p != nil; p = p.parent {
		p.open--
		for k := range p.levels {
			if p.levels[k] -= g.cost.of(rateKinds + Kind(k)); p.open == 0 {
				p.levels[k] = 0 // what rounding leaves
			}
		}
		if p.gave > 0 {
			const part = 0.2
			p.pace += part * (float64(now-p.gave) - p.pace)
		}
		p.gave, p.used = now, now
	}
}

// sweep forgets some tenants that are full and hold nothing.
func (b *Ledger) sweep(now time.Duration) {
	for i := 0; i < sweepMost && len(b.ring) > 0; i++ {
		b.at = (b.at + 1) % len(b.ring)
		n := b.ring[b.at]
		if now-n.used < idleFor || !n.clean(now) {
			continue
		}
		n.leave()
		name := n.spec.Name
		delete(b.nodes, name)
		last := len(b.ring) - 1
		b.ring[b.at], b.ring[last] = b.ring[last], nil
		b.ring = b.ring[:last]
		b.at-- // the one that came to its place is next
	}
}

// clean says that a node and all below it hold and owe nothing, so that one made anew would be the same.
func (n *node) clean(now time.Duration) bool {
	if n.open > 0 {
		return false
	}
	for _, r := range n.rates {
		if r != nil && (float64(r.gAt) > float64(now) || float64(r.cAt) > float64(now) || r.gPromised > now || r.cPromised > now) {
			return false
		}
	}
	for _, kid := range n.kids {
		if !kid.clean(now) {
			return false
		}
	}
	return true
}

// leave takes a node out of what its parents know.
func (n *node) leave() {
	for _, r := range n.rates {
		if r != nil {
			r.idle()
		}
	}
	for _, kid := range n.kids {
		kid.leave()
	}
}

// Tenants is the number of tenants in service, and Held what all of them have open.
func (b *Ledger) Tenants() int { return len(b.nodes) }

// InFlight is the number of requests that were admitted and not given back.
func (b *Ledger) InFlight() int { return b.root.open }

// Usage is how one budget stands.
type Usage struct {
	Node                string
	Kind                Kind
	Guaranteed, Ceiling float64 // of a rate, a second; of what is held, Ceiling alone
	Left                float64 // guaranteed and not used yet; of what is held, how much more may be
	Borrowable          float64 // that could be borrowed, by its own ceiling
}

// Explain tells which budgets apply to a request, the nearest first, and what is left of each.
func (b *Ledger) Explain(now time.Duration, tenant, service, class string) ([]Usage, *Rejection) {
	n, refusal := b.find(now, tenant, service, class)
	if refusal != nil {
		refusal.Node = cmp.Or(refusal.Node, tenant)
		return nil, refusal
	}
	return n.uses(now), nil
}

func (n *node) uses(now time.Duration) (out []Usage) {
	for p := n; p != nil; p = p.parent {
		out = append(out, p.own(now)...)
	}
	return out
}

// own is the budgets of the node itself.
func (n *node) own(now time.Duration) (out []Usage) {
	for k, r := range n.rates {
		if r != nil {
			out = append(out, Usage{Node: n.name, Kind: Kind(k), Guaranteed: r.g.rate, Ceiling: r.c.rate, Left: max(0, r.g.has(now, r.gAt)-r.reserve),
				Borrowable: max(0, r.c.has(now, r.cAt)-r.g.burst)})
		}
	}
	for k, most := range n.spec.MaxOpen {
		if most > 0 {
			out = append(out, Usage{Node: n.name, Kind: rateKinds + Kind(k), Ceiling: most, Left: max(0, most-n.levels[k])})
		}
	}
	return out
}

package quota

import "time"

const (
	// minOpenWait and maxOpenWait bound the Retry-After of a request that exceeds a limit on open requests or their
	// bytes. It is the average time between two releases.
	minOpenWait = 5 * time.Millisecond
	maxOpenWait = 5 * time.Second
	// defaultOpenWait is the Retry-After until two releases have been seen.
	defaultOpenWait = 100 * time.Millisecond
	// releaseSmoothing is the weight of the newest time between two releases in their moving average.
	releaseSmoothing = 0.2
)

// node is the state of a Spec that is in use. It is created on first use. A tenant's node is dropped, with those below
// it, once it is idle.
type node struct {
	name          string // path, as in Rejection.Node
	spec          *Spec
	parent        *node
	children      map[string]*node
	contractEnded bool // no new requests; those admitted before may still be open
	lastUsed      time.Duration

	rates     [rateKinds]*rate // by kind; nil: no limit
	openUnits [openKinds]float64
	inFlight  int // grants of this node and of the nodes below

	lastRelease     time.Duration
	releaseInterval float64 // moving average of the time between two releases, in nanoseconds
}

// draw holds the limits that a cost of one kind is charged to: limit is the nearest one, and source is the one from
// whose guaranteed part the cost is drawn. A nil source means that only ceilings apply.
type draw struct{ limit, source *rate }

// draws holds a draw for each kind of rate. Its limit is nil if the request costs nothing of the kind, or if no limit
// applies.
type draws [rateKinds]draw

// newNode returns a node for a spec, below a parent; nil: it is the root.
func newNode(spec *Spec, parent *node) *node {
	n := &node{name: spec.Name, spec: spec, parent: parent}
	if parent != nil && parent.parent != nil {
		n.name = parent.name + "/" + spec.Name
	}
	n.applyLimits()
	return n
}

// applyLimits sets the limits of the rates from the spec. A limit that existed before keeps its usage.
func (n *node) applyLimits() {
	for k := range n.rates {
		old := n.rates[k]
		if old != nil {
			old.stopBorrowing()
		}
		n.rates[k] = nil
		if n.spec.Rates[k].Set {
			n.rates[k] = newRate(n, Kind(k), old)
		}
	}
}

// replaceSpec replaces the specs of the node and of those below it. A nil spec ends the contract: requests that are
// open keep their grants, and no more are admitted to the node.
func (n *node) replaceSpec(now time.Duration, spec *Spec) {
	n.contractEnded = spec == nil
	if n.contractEnded {
		spec = &Spec{Name: n.spec.Name}
	}
	n.spec = spec
	n.lastUsed = now
	n.applyLimits()
	for name, child := range n.children {
		child.replaceSpec(now, spec.child(name))
	}
}

// child returns the child node of a name, creating it on first use; nil: the contract has no such child.
func (n *node) child(name string) *node {
	if name == "" || len(n.spec.Children) == 0 {
		return nil
	}
	if child := n.children[name]; child != nil {
		if child.contractEnded {
			return nil
		}
		return child
	}
	spec := n.spec.child(name)
	if spec == nil {
		return nil
	}
	if n.children == nil {
		n.children = map[string]*node{}
	}
	child := newNode(spec, n)
	n.children[name] = child
	return child
}

// tenant returns the tenant's node on the path: the one right below the root.
func (n *node) tenant() *node {
	for n.parent != nil && n.parent.parent != nil {
		n = n.parent
	}
	return n
}

// nearestLimit returns the node's own limit of a kind, or that of the nearest node above that has one; nil: none.
func (n *node) nearestLimit(kind Kind) *rate {
	for ; n != nil; n = n.parent {
		if n.rates[kind] != nil {
			return n.rates[kind]
		}
	}
	return nil
}

// checkOpenLimits returns a rejection if the cost exceeds a limit on open requests or their bytes at some node of the
// path. A request larger than the limit is admitted if no other is open.
func (n *node) checkOpenLimits(cost Cost) *Rejection {
	for p := n; p != nil; p = p.parent {
		for k, open := range p.openUnits {
			kind := rateKinds + Kind(k)
			limit, units := p.spec.MaxOpen[k], cost.of(kind)
			if limit > 0 && open > 0 && open+units > limit {
				return &Rejection{
					Node: p.name, Kind: kind, Requested: units,
					Left: max(0, limit-open), RetryAfter: p.openWait(),
				}
			}
		}
	}
	return nil
}

// openWait returns how long it is likely to take until the next request ends.
func (n *node) openWait() time.Duration {
	if n.releaseInterval == 0 {
		return defaultOpenWait
	}
	return min(max(time.Duration(n.releaseInterval), minOpenWait), maxOpenWait)
}

// findSources stores in found where the cost of each kind from first to last can be drawn from. It charges nothing yet.
// It returns a rejection if some kind has to wait.
func (n *node) findSources(now time.Duration, first, last Kind, cost Cost, found *draws) *Rejection {
	for kind := first; kind <= last; kind++ {
		limit, units := n.nearestLimit(kind), cost.of(kind)
		if limit == nil || units == 0 {
			continue
		}
		decision := limit.findSource(now, units)
		if decision.wait > 0 {
			return &Rejection{
				Node: decision.blockedBy.node.name, Kind: kind, Requested: units,
				Left: decision.left, RetryAfter: limit.scheduleRetry(now, units),
			}
		}
		found[kind] = draw{limit, decision.source}
	}
	return nil
}

// charge charges a cost to the limits that findSources has found.
func (found *draws) charge(now time.Duration, cost Cost) {
	for kind := range found {
		if d := &found[kind]; d.limit != nil {
			d.limit.charge(now, d.source, cost.of(Kind(kind)))
		}
	}
}

// countOpen counts an admitted request at each node of the path.
func (n *node) countOpen(cost Cost) {
	for p := n; p != nil; p = p.parent {
		p.inFlight++
		for k := range p.openUnits {
			p.openUnits[k] += cost.of(rateKinds + Kind(k))
		}
	}
}

// release undoes countOpen at the end of a request, and updates the average time between releases.
func (n *node) release(now time.Duration, cost Cost) {
	for p := n; p != nil; p = p.parent {
		p.inFlight--
		for k := range p.openUnits {
			p.openUnits[k] -= cost.of(rateKinds + Kind(k))
			if p.inFlight == 0 {
				p.openUnits[k] = 0 // clears the rounding error
			}
		}
		if p.lastRelease > 0 {
			p.releaseInterval += releaseSmoothing * (float64(now-p.lastRelease) - p.releaseInterval)
		}
		p.lastRelease = now
		p.lastUsed = now
	}
}

// idle reports whether the node and all nodes below it have no open requests and full buckets, so that new nodes would
// have the same state.
func (n *node) idle(now time.Duration) bool {
	if n.inFlight > 0 {
		return false
	}
	for _, r := range n.rates {
		if r != nil && !r.full(now) {
			return false
		}
	}
	for _, child := range n.children {
		if !child.idle(now) {
			return false
		}
	}
	return true
}

// stopBorrowing removes the limits of the node and of all nodes below it from the borrowers of the limits above.
func (n *node) stopBorrowing() {
	for _, r := range n.rates {
		if r != nil {
			r.stopBorrowing()
		}
	}
	for _, child := range n.children {
		child.stopBorrowing()
	}
}

// usages returns the state of the node's own budgets.
func (n *node) usages(now time.Duration) []Usage {
	var usages []Usage
	for k, r := range n.rates {
		if r != nil {
			usages = append(usages, r.usage(now, Kind(k)))
		}
	}
	for k, limit := range n.spec.MaxOpen {
		if limit > 0 {
			usages = append(usages, Usage{
				Node: n.name, Kind: rateKinds + Kind(k),
				Ceiling: limit, Left: max(0, limit-n.openUnits[k]),
			})
		}
	}
	return usages
}

package quota

import "time"

const (
	// minOpenWait and maxOpenWait bound the Retry-After where too much is open: the average time between two releases.
	minOpenWait = 5 * time.Millisecond
	maxOpenWait = 5 * time.Second
	// defaultOpenWait is the Retry-After where no two releases were seen yet.
	defaultOpenWait = 100 * time.Millisecond
	// releaseSmoothing is the part that the newest time between two releases has in their moving average.
	releaseSmoothing = 0.2
)

// node is a node in service. It is made when it is first used, and forgotten when it is full and nothing is open.
type node struct {
	name     string // its path
	spec     *Spec
	parent   *node
	children map[string]*node
	ended    bool // the contract has, and requests admitted before may still be open
	lastUsed time.Duration

	rates     [rateKinds]*rate // nil: no limit
	openUnits [openKinds]float64
	inFlight  int // grants of it or of a node below

	lastRelease     time.Duration
	releaseInterval float64 // moving average of the nanoseconds between two releases
}

// draw is the nearest limit of a kind, and that whose guaranteed part a cost of it is drawn from; nil: nobody's, as no
// limit above applies.
type draw struct{ limit, drawn *rate }

// draws is a draw by kind of rate; without a limit where a request costs nothing of the kind or nothing limits it.
type draws [rateKinds]draw

// newNode puts a node below a parent.
func newNode(spec *Spec, parent *node) *node {
	n := &node{name: spec.Name, spec: spec, parent: parent}
	if parent != nil && parent.parent != nil {
		n.name = parent.name + "/" + spec.Name
	}
	n.applyLimits()
	return n
}

// applyLimits takes the limits of its spec; what is used of them stays.
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

// renew takes another spec; nil: the contract has ended, and what is open runs out.
func (n *node) renew(now time.Duration, spec *Spec) {
	n.ended = spec == nil
	if n.ended {
		spec = &Spec{Name: n.spec.Name}
	}
	n.spec = spec
	n.lastUsed = now
	n.applyLimits()
	for name, child := range n.children {
		child.renew(now, spec.child(name))
	}
}

// child returns the node below of a name, made when it is first used; nil: the contract has none.
func (n *node) child(name string) *node {
	if name == "" || len(n.spec.Children) == 0 {
		return nil
	}
	if child := n.children[name]; child != nil {
		if child.ended {
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

// tenant returns the node on its path that is below the root.
func (n *node) tenant() *node {
	for n.parent != nil && n.parent.parent != nil {
		n = n.parent
	}
	return n
}

// limitOf returns the nearest limit of a kind, its own or that of a node above; nil: none.
func (n *node) limitOf(kind Kind) *rate {
	for ; n != nil; n = n.parent {
		if n.rates[kind] != nil {
			return n.rates[kind]
		}
	}
	return nil
}

// checkOpenLimits returns a rejection where a cost is more than may be open at some node of the path. A request larger
// than the limit is admitted where nothing else is open.
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

// openWait returns when the next request is likely to end.
func (n *node) openWait() time.Duration {
	if n.releaseInterval == 0 {
		return defaultOpenWait
	}
	return min(max(time.Duration(n.releaseInterval), minOpenWait), maxOpenWait)
}

// findRoom finds where a cost is drawn from for each kind from first to last, and takes nothing yet.
func (n *node) findRoom(now time.Duration, first, last Kind, cost Cost, found *draws) *Rejection {
	for kind := first; kind <= last; kind++ {
		limit, units := n.limitOf(kind), cost.of(kind)
		if limit == nil || units == 0 {
			continue
		}
		room := limit.findRoom(now, units)
		if room.wait > 0 {
			return &Rejection{
				Node: room.blocked.node.name, Kind: kind, Requested: units,
				Left: room.left, RetryAfter: limit.scheduleRetry(now, units),
			}
		}
		found[kind] = draw{limit, room.drawn}
	}
	return nil
}

// charge takes a cost from where findRoom has found it.
func (found *draws) charge(now time.Duration, cost Cost) {
	for kind := range found {
		if d := &found[kind]; d.limit != nil {
			d.limit.charge(now, d.drawn, cost.of(Kind(kind)))
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

// release ends a request that countOpen has counted.
func (n *node) release(now time.Duration, cost Cost) {
	for p := n; p != nil; p = p.parent {
		p.inFlight--
		for k := range p.openUnits {
			p.openUnits[k] -= cost.of(rateKinds + Kind(k))
			if p.inFlight == 0 {
				p.openUnits[k] = 0 // what rounding leaves
			}
		}
		if p.lastRelease > 0 {
			p.releaseInterval += releaseSmoothing * (float64(now-p.lastRelease) - p.releaseInterval)
		}
		p.lastRelease = now
		p.lastUsed = now
	}
}

// full reports whether a node and all below it have nothing open and owe nothing, so that one made anew would be the
// same.
func (n *node) full(now time.Duration) bool {
	if n.inFlight > 0 {
		return false
	}
	for _, r := range n.rates {
		if r != nil && !r.full(now) {
			return false
		}
	}
	for _, child := range n.children {
		if !child.full(now) {
			return false
		}
	}
	return true
}

// stopBorrowing takes a node and all below it out of the borrowers of the nodes above.
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

// budgets returns how the node's own budgets stand.
func (n *node) budgets(now time.Duration) []Usage {
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

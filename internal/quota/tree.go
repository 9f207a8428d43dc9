// Package quota holds what teams have agreed to, as a tree of budgets: the installation, tenants, their services, the
// services' classes. Each node may limit any of the kinds; what is not used is lent by weight and called back at once. It is the
// block `contracts` of the settings, and decides by events at a time: it does no I/O and asks no clock.
package quota

import (
	"math"
	"time"
)

// Spec is one node of the contracts as written.
type Spec struct {
	Name     string
	Weight   float64 // its part of what is spare among its siblings; 0: 1
	Rates    [rateKinds]Limit
	MaxOpen  [levelKinds]float64 // 0: no limit
	Burst    time.Duration       // whose worth of each rate may come at once; 0: a second's
	Classes  []string            // that a tenant may use; empty: all
	Children []*Spec

	portion float64 // of a tenant: its part of what the boxes carry
}

const (
	// busyFor is how long a node counts as one that wants to borrow after it last asked.
	busyFor = 200 * time.Millisecond
	// lendFor is whose worth a node has at least to lend at once, beyond the bursts that it guarantees below.
	lendFor = 100 * time.Millisecond
	// plenty is the part of the spare burst from which it is lent whatever the weights say.
	plenty = 0.5
	// promiseMost bounds what is told as a time to come back, and promiseLeast what is told where nothing is known.
	promiseMost  = time.Minute
	promiseLeast = time.Millisecond
)

// rate is one kind of rate at a node.
type rate struct {
	g, c        meter
	gAt, cAt    state
	reserve     float64 // guaranteed bursts of the nearest limited nodes below
	spare       float64 // burst beyond the reserve
	up          *rate   // of the nearest limited node above; nil: what is above is without limit
	node        *node
	weight      float64
	virtual     float64 // time of what is lent to those below
	active      float64 // weights of those below that want to borrow
	first, last *rate   // of those, the one that asked longest ago first
	prev, next  *rate   // among those of up
	asked       time.Duration
	busy        bool
	tag         float64
	// The last times that were told to somebody who is to be drawn from g, or who needs c.
	gPromised, cPromised time.Duration
}

// node is a node in service. It is made when it is first used, and forgotten when it is full and nothing is open.
type node struct {
	name   string // its path
	spec   *Spec
	parent *node
	kids   map[string]*node
	rates  [rateKinds]*rate // nil: no limit
	levels [levelKinds]float64
	gave   time.Duration // when something was last given back
	pace   float64       // nanoseconds between two of those, as of late
	open   int           // grants that name it or a node below
	used   time.Duration
	ended  bool // its contract has
}

// newNode puts a node below a parent.
func newNode(spec *Spec, parent *node) *node {
	n := &node{spec: spec, parent: parent}
	switch {
	case parent == nil:
		n.name = spec.Name
	case parent.parent == nil:
		n.name = spec.Name
	default:
		n.name = parent.name + "/" + spec.Name
	}
	n.shape()
	return n
}

// shape takes the limits of its spec; what is used of them stays.
func (n *node) shape() {
	for k := range n.rates {
		l := n.spec.Rates[k]
		old := n.rates[k]
		if old != nil {
			old.idle()
		}
		if !l.Set {
			n.rates[k] = nil
			continue
		}
		r := &rate{node: n, weight: n.spec.weight(), reserve: n.spec.reserve(Kind(k))}
		r.g, r.c = n.spec.meters(Kind(k))
		r.spare = math.Max(0, r.g.burst-r.reserve)
		if old != nil {
			r.gPromised, r.cPromised, r.virtual = old.gPromised, old.cPromised, old.virtual
			// What is owed stays the same number of units where the rate has changed.
			r.gAt, r.cAt = restate(old.g, r.g, n.used, old.gAt), restate(old.c, r.c, n.used, old.cAt)
		}
		n.rates[k] = r
	}
	n.link()
}

// restate gives the state of a meter that lacks as many units as another did.
func restate(from, to meter, now time.Duration, s state) state {
	lack := from.burst - from.has(now, s)
	if lack <= 0 || to.rate <= 0 {
		return 0
	}
	return state(float64(now) + math.Min(lack, to.burst)/to.rate*1e9)
}

// link finds the nearest limited nodes above.
func (n *node) link() {
	for k := range n.rates {
		if n.rates[k] == nil {
			continue
		}
		n.rates[k].up = nil
		for p := n.parent; p != nil; p = p.parent {
			if p.rates[k] != nil {
				n.rates[k].up = p.rates[k]
				break
			}
		}
	}
}

func (s *Spec) weight() float64 {
	if s.Weight > 0 {
		return s.Weight
	}
	return 1
}

func (s *Spec) burstFor() float64 {
	if s.Burst > 0 {
		return s.Burst.Seconds()
	}
	return 1
}

// meters gives the guaranteed part and the ceiling of a kind. The ceiling's burst has the guaranteed one in it, and a guaranteed
// burst that of what is guaranteed below.
func (s *Spec) meters(k Kind) (g, c meter) {
	l := s.Rates[k]
	g = meter{rate: l.Guaranteed, burst: l.Guaranteed * s.burstFor()}
	if l.Guaranteed > 0 {
		g.burst = math.Max(g.burst, 1)
	}
	if below := s.reserve(k); below > 0 { // what is guaranteed below, and something to lend
		g.burst = math.Max(g.burst, below+math.Max(1, l.Guaranteed*lendFor.Seconds()))
	}
	c = meter{rate: l.Ceiling, burst: g.burst}
	if extra := l.Ceiling - l.Guaranteed; extra > 0 {
		c.burst += math.Max(1, extra*s.burstFor())
	}
	return g, c
}

// reserve is what the nearest limited nodes below are guaranteed at once.
func (s *Spec) reserve(k Kind) (sum float64) {
	for _, child := range s.Children {
		if child.Rates[k].Set {
			g, _ := child.meters(k)
			sum += g.burst
		} else {
			sum += child.reserve(k)
		}
	}
	return sum
}

// room finds the node that a cost is drawn from. from is the nearest limited node of the path's end. drawn nil and wait 0: what
// is above has no limit. With wait > 0 the cost does not fit, blocked is the node that it is told for and left what it has.
func room(now time.Duration, from *rate, cost float64) (drawn *rate, wait time.Duration, blocked *rate, left float64) {
	best, below := never, time.Duration(0)
	for r := from; r != nil; r = r.up {
		need := math.Min(cost, math.Max(0, r.g.burst-r.reserve))
		if need > 0 || cost == 0 {
			w := max(r.g.until(now, r.gAt, r.reserve+need), below)
			if w == 0 {
				if w = r.turn(now, from); w == 0 {
					return r, r.above(now, cost), r, 0
				}
			}
			if w < best {
				best = w
				if blocked == nil || w < never {
					blocked = r
				}
			}
		}
		// Below what it is drawn from it borrows, and needs room in its ceiling beyond what is guaranteed.
		extra := r.c.burst - r.g.burst
		if extra <= 0 {
			below = never
		} else {
			below = max(below, r.c.until(now, r.cAt, r.g.burst+math.Min(cost, extra)))
		}
		if below > 0 && blocked == nil {
			blocked = r
		}
		if below == never {
			break
		}
		if r.up == nil { // nothing above limits it: only ceilings count
			if below == 0 {
				return nil, 0, nil, 0
			}
			if below < best {
				best, blocked = below, r
			}
		}
	}
	left = math.Max(0, blocked.g.has(now, blocked.gAt)-blocked.reserve)
	return nil, max(best, 1), blocked, left
}

// above is how long ceilings above a node that has room hold a cost up: only over-committed contracts make it more than 0.
func (r *rate) above(now time.Duration, cost float64) (wait time.Duration) {
	for p := r; p != nil; p = p.up {
		wait = max(wait, p.c.until(now, p.cAt, math.Min(cost, p.c.burst)))
	}
	return wait
}

// turn is how long it takes until a node may draw here by weight: not at all where nothing is borrowed, and where plenty is
// there.
func (r *rate) turn(now time.Duration, from *rate) time.Duration {
	if r == from {
		return 0
	}
	child := from
	for child.up != r {
		child = child.up
	}
	child.want(now)
	if r.g.has(now, r.gAt)-r.reserve >= plenty*r.spare {
		return 0
	}
	weights := math.Max(r.active, child.weight)
	ahead := child.tag - r.virtual - plenty*r.spare/weights
	if ahead <= 0 {
		return 0
	}
	return time.Duration(min(ahead*weights/r.g.rate*1e9, float64(promiseMost))) + 1
}

// want counts a node among those that want to borrow.
func (r *rate) want(now time.Duration) {
	up := r.up
	if r.busy {
		up.unlink(r)
	} else {
		r.busy = true
		up.active += r.weight
		r.tag = math.Max(r.tag, up.virtual)
	}
	r.asked = now
	if r.prev = up.last; up.last != nil {
		up.last.next = r
	} else {
		up.first = r
	}
	up.last = r
	for f := up.first; f != nil && now-f.asked > busyFor; f = up.first {
		f.idle()
	}
}

// idle takes a node out of those that want to borrow.
func (r *rate) idle() {
	if r.busy {
		r.busy = false
		r.up.unlink(r)
		if r.up.active -= r.weight; r.up.first == nil {
			r.up.active = 0 // what rounding leaves
		}
	}
}

func (r *rate) unlink(child *rate) {
	if child.prev != nil {
		child.prev.next = child.next
	} else {
		r.first = child.next
	}
	if child.next != nil {
		child.next.prev = child.prev
	} else {
		r.last = child.prev
	}
	child.prev, child.next = nil, nil
}

// charge takes a cost that room has found a node for.
func charge(now time.Duration, from, drawn *rate, cost float64) {
	borrows := true
	for r := from; r != nil; r = r.up {
		r.c.take(now, &r.cAt, cost)
		if borrows = borrows && r != drawn; !borrows {
			r.g.take(now, &r.gAt, cost)
		}
		if r.up != nil && r.up == drawn && r != drawn {
			r.tag += cost / r.weight
			drawn.virtual += cost / math.Max(drawn.active, r.weight)
		}
	}
}

// promise gives the time to tell somebody for whom there is no room at from, and counts him as one who comes then: the soonest
// at which any node that he could be drawn from has room, with what has been promised of it and of all ceilings on the way.
// 0: never.
func (from *rate) promise(now time.Duration, cost float64) time.Duration {
	ceilings := now // by which what was promised of every ceiling has come
	for r := from; r != nil; r = r.up {
		ceilings = max(ceilings, after(r.cPromised, r.c, cost))
	}
	var drawn *rate
	best, below := never, time.Duration(0)
	for r := from; r != nil; r = r.up {
		if need := math.Min(cost, math.Max(0, r.g.burst-r.reserve)); need > 0 && r.g.rate > 0 {
			if w := max(r.g.until(now, r.gAt, r.reserve+need), below); w < never {
				if at := max(now+w, after(r.gPromised, r.g, cost), ceilings); at < best {
					best, drawn = at, r
				}
			}
		}
		extra := r.c.burst - r.g.burst
		if extra <= 0 {
			break
		}
		if below = max(below, r.c.until(now, r.cAt, r.g.burst+math.Min(cost, extra))); below == never {
			break
		}
		if r.up == nil {
			if at := max(now+below, ceilings); at < best {
				best, drawn = at, nil
			}
		}
	}
	switch {
	case best == never:
		return 0
	case best-now > promiseMost:
		return promiseMost
	}
	if drawn != nil {
		drawn.gPromised = best
	}
	for r := from; r != nil; r = r.up {
		r.cPromised = best
	}
	return max(best-now, promiseLeast)
}

// after is when the next unit may come behind one that was promised.
func after(promised time.Duration, m meter, cost float64) time.Duration {
	if promised == 0 || m.rate <= 0 {
		return 0
	}
	return promised + time.Duration(math.Min(cost/m.rate*1e9, float64(promiseMost)))
}

package quota

import "time"

const (
	// minRetryAfter and maxRetryAfter bound the Retry-After of a rate.
	minRetryAfter = time.Millisecond
	maxRetryAfter = time.Minute
)

// rate is the limit of one kind of rate at a node: a guaranteed part and a ceiling. What the guaranteed part has beyond
// the reserve is lent to the nodes below (lending.go).
type rate struct {
	node       *node
	parent     *rate // of the nearest limited node above; nil: nothing above limits it
	guaranteed bucket
	ceiling    bucket
	reserve    float64 // guaranteed bursts of the nearest limited nodes below
	spare      float64 // burst beyond the reserve

	// As a lender.
	virtualTime  float64 // of what is lent to those below
	activeWeight float64 // of the borrowers together
	// The borrowers, that which wanted to borrow the longest ago first.
	firstBorrower, lastBorrower *rate

	// As a borrower from parent.
	weight                     float64
	borrows                    bool
	lastWanted                 time.Duration
	tag                        float64
	prevBorrower, nextBorrower *rate
}

// newRate makes the limit of a kind from a node's spec. What is used of the old limit stays; nil: there was none.
func newRate(n *node, kind Kind, old *rate) *rate {
	guaranteed, ceiling := n.spec.meters(kind)
	r := &rate{
		node: n, guaranteed: bucket{meter: guaranteed}, ceiling: bucket{meter: ceiling},
		reserve: n.spec.reserve(kind), weight: n.spec.weight(),
	}
	r.spare = max(0, guaranteed.burst-r.reserve)
	if old != nil {
		r.guaranteed = old.guaranteed.resized(n.lastUsed, guaranteed)
		r.ceiling = old.ceiling.resized(n.lastUsed, ceiling)
		r.virtualTime = old.virtualTime
	}
	if n.parent != nil {
		r.parent = n.parent.limitOf(kind)
	}
	return r
}

// room is where a cost is drawn from, or why it isn't.
type room struct {
	drawn   *rate         // whose guaranteed part it is drawn from; nil: no limit above applies
	wait    time.Duration // until there is room; 0: there is
	blocked *rate         // the limit that a rejection names
	left    float64       // what that has
}

// findRoom finds the nearest limit upward whose guaranteed part a cost can be drawn from. Below that the cost is
// borrowed, and needs room in each ceiling beyond what is guaranteed.
func (r *rate) findRoom(now time.Duration, cost float64) room {
	var blocked, top *rate
	soonest := never
	below := time.Duration(0) // until the ceilings below have room
	for p := r; p != nil && below < never; p = p.parent {
		wait := max(p.ownWait(now, cost), below)
		if wait == 0 {
			wait = p.lendWait(now, r)
		}
		if wait == 0 {
			return room{drawn: p, wait: p.ceilingWait(now, cost), blocked: p}
		}
		if wait < soonest {
			soonest, blocked = wait, p
		}
		below = max(below, p.borrowWait(now, cost))
		if below > 0 && blocked == nil {
			blocked = p
		}
		top = p
	}
	if below == 0 { // nothing above the top limits it: only ceilings count
		return room{}
	}
	if below < soonest {
		soonest, blocked = below, top
	}
	return room{wait: max(soonest, 1), blocked: blocked, left: blocked.left(now)}
}

// left returns what is guaranteed and not used yet, without the reserve.
func (r *rate) left(now time.Duration) float64 {
	return max(0, r.guaranteed.available(now)-r.reserve)
}

// ownWait returns how long it takes until a cost can be drawn from the guaranteed part beyond the reserve.
func (r *rate) ownWait(now time.Duration, cost float64) time.Duration {
	if r.spare <= 0 {
		return never
	}
	return r.guaranteed.wait(now, r.reserve+min(cost, r.spare))
}

// borrowWait returns how long it takes until the ceiling has room for a cost that is borrowed from above.
func (r *rate) borrowWait(now time.Duration, cost float64) time.Duration {
	borrowable := r.ceiling.burst - r.guaranteed.burst
	if borrowable <= 0 {
		return never
	}
	return r.ceiling.wait(now, r.guaranteed.burst+min(cost, borrowable))
}

// ceilingWait returns how long it takes until the ceilings from here upward have room for a cost that is drawn here.
// Only over-committed contracts make it more than 0.
func (r *rate) ceilingWait(now time.Duration, cost float64) time.Duration {
	wait := time.Duration(0)
	for p := r; p != nil; p = p.parent {
		wait = max(wait, p.ceiling.wait(now, min(cost, p.ceiling.burst)))
	}
	return wait
}

// charge takes a cost that findRoom has found to be drawn from a limit; nil: from none.
func (r *rate) charge(now time.Duration, drawn *rate, cost float64) {
	borrowed := true
	for p := r; p != nil; p = p.parent {
		p.ceiling.take(now, cost)
		if p == drawn {
			borrowed = false
		}
		if !borrowed {
			p.guaranteed.take(now, cost)
		}
		if p.parent != nil && p.parent == drawn {
			p.tag += cost / p.weight
			drawn.virtualTime += cost / max(drawn.activeWeight, p.weight)
		}
	}
}

// scheduleRetry returns the Retry-After of a cost that there is no room for, and counts it as one that comes then. That
// is the soonest time at which some limit that it could be drawn from has room, after all that were scheduled before;
// 0: never.
func (r *rate) scheduleRetry(now time.Duration, cost float64) time.Duration {
	ceilings := now // when every ceiling has room for what was scheduled before
	for p := r; p != nil; p = p.parent {
		ceilings = max(ceilings, p.ceiling.nextRetry(cost))
	}
	var drawn *rate
	soonest := never
	below := time.Duration(0)
	for p := r; p != nil && below < never; p = p.parent {
		wait := max(p.ownWait(now, cost), below)
		if wait < never && p.guaranteed.rate > 0 {
			at := max(now+wait, p.guaranteed.nextRetry(cost), ceilings)
			if at < soonest {
				soonest, drawn = at, p
			}
		}
		below = max(below, p.borrowWait(now, cost))
	}
	if below < never {
		at := max(now+below, ceilings)
		if at < soonest {
			soonest, drawn = at, nil
		}
	}
	switch {
	case soonest == never:
		return 0
	case soonest-now > maxRetryAfter:
		return maxRetryAfter
	}
	if drawn != nil {
		drawn.guaranteed.lastRetry = soonest
	}
	for p := r; p != nil; p = p.parent {
		p.ceiling.lastRetry = soonest
	}
	return max(soonest-now, minRetryAfter)
}

// full reports whether both parts are full.
func (r *rate) full(now time.Duration) bool { return r.guaranteed.full(now) && r.ceiling.full(now) }

// usage returns how the limit stands.
func (r *rate) usage(now time.Duration, kind Kind) Usage {
	return Usage{
		Node: r.node.name, Kind: kind, Guaranteed: r.guaranteed.rate, Ceiling: r.ceiling.rate,
		Left:       r.left(now),
		Borrowable: max(0, r.ceiling.available(now)-r.guaranteed.burst),
	}
}

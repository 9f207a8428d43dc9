package quota

import "time"

const (
	// minRetryAfter and maxRetryAfter bound the Retry-After of a request that exceeds a rate.
	minRetryAfter = time.Millisecond
	maxRetryAfter = time.Minute
)

// rate is a node's limit of one kind of rate: a guaranteed part and a ceiling. The guaranteed units beyond the reserve
// may be lent to the nodes below (lending.go).
type rate struct {
	node       *node
	parent     *rate // limit of the nearest limited node above; nil: there is none
	guaranteed bucket
	ceiling    bucket
	reserve    float64 // sum of the guaranteed bursts of the nearest limited nodes below
	spare      float64 // guaranteed burst beyond the reserve

	// As a lender.
	virtualTime  float64 // of the lending to the limits below
	activeWeight float64 // sum of the borrowers' weights
	// The list of borrowers, ordered by their last attempts to borrow, the oldest first.
	firstBorrower, lastBorrower *rate

	// As a borrower from parent.
	weight                     float64
	borrowing                  bool
	lastBorrowAttempt          time.Duration
	virtualFinish              float64
	prevBorrower, nextBorrower *rate
}

// newRate returns a node's limit of a kind by its spec. It keeps the usage of the old limit; nil: there was none.
func newRate(n *node, kind Kind, old *rate) *rate {
	guaranteed, ceiling := n.spec.meters(kind)
	r := &rate{
		node: n, guaranteed: bucket{meter: guaranteed}, ceiling: bucket{meter: ceiling},
		reserve: n.spec.reserve(kind), weight: n.spec.weight(),
	}
	r.spare = max(0, guaranteed.burst-r.reserve)
	if old != nil {
		r.guaranteed = old.guaranteed.withMeter(n.lastUsed, guaranteed)
		r.ceiling = old.ceiling.withMeter(n.lastUsed, ceiling)
		r.virtualTime = old.virtualTime
	}
	if n.parent != nil {
		r.parent = n.parent.nearestLimit(kind)
	}
	return r
}

// drawDecision says where a cost can be drawn from, or what it has to wait for.
type drawDecision struct {
	source    *rate         // whose guaranteed part it is drawn from; nil: only ceilings apply
	wait      time.Duration // until the limits have room; 0: they have now
	blockedBy *rate         // limit that a rejection names
	left      float64       // what blockedBy has left, in units
}

// findSource finds the nearest limit, from r upward, whose guaranteed part a cost can be drawn from. The limits below
// that one borrow the cost, so the ceiling of each needs room for it beyond the guaranteed part.
func (r *rate) findSource(now time.Duration, cost float64) drawDecision {
	var blockedBy, topmost *rate
	soonest := never
	belowWait := time.Duration(0) // until the ceilings below have room
	for p := r; p != nil && belowWait < never; p = p.parent {
		wait := max(p.ownWait(now, cost), belowWait)
		if wait == 0 {
			wait = p.lendWait(now, r)
		}
		if wait == 0 {
			return drawDecision{source: p, wait: p.ceilingWait(now, cost), blockedBy: p}
		}
		if wait < soonest {
			soonest, blockedBy = wait, p
		}
		belowWait = max(belowWait, p.borrowWait(now, cost))
		if belowWait > 0 && blockedBy == nil {
			blockedBy = p
		}
		topmost = p
	}
	if belowWait == 0 { // no limit above topmost: only ceilings apply
		return drawDecision{}
	}
	if belowWait < soonest {
		soonest, blockedBy = belowWait, topmost
	}
	return drawDecision{wait: max(soonest, 1), blockedBy: blockedBy, left: blockedBy.left(now)}
}

// left returns the guaranteed units that are not used yet, without the reserve.
func (r *rate) left(now time.Duration) float64 {
	return max(0, r.guaranteed.available(now)-r.reserve)
}

// ownWait returns how long it takes until a cost can be drawn from r's guaranteed part beyond the reserve.
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

// ceilingWait returns how long it takes until the ceilings from r upward have room for a cost that is drawn from r. It
// is above 0 for over-committed contracts only.
func (r *rate) ceilingWait(now time.Duration, cost float64) time.Duration {
	wait := time.Duration(0)
	for p := r; p != nil; p = p.parent {
		wait = max(wait, p.ceiling.wait(now, min(cost, p.ceiling.burst)))
	}
	return wait
}

// charge charges a cost to the ceilings from r upward, to the guaranteed parts from source upward, and to the virtual
// times if it is borrowed from source. A nil source means that only ceilings apply.
func (r *rate) charge(now time.Duration, source *rate, cost float64) {
	borrowed := true
	for p := r; p != nil; p = p.parent {
		p.ceiling.take(now, cost)
		if p == source {
			borrowed = false
		}
		if !borrowed {
			p.guaranteed.take(now, cost)
		}
		if p.parent != nil && p.parent == source {
			p.virtualFinish += cost / p.weight
			source.virtualTime += cost / max(source.activeWeight, p.weight)
		}
	}
}

// scheduleRetry returns the Retry-After of a cost that does not fit now, and schedules its retry, so that later ones
// get later times. The retry comes at the earliest time at which some limit that the cost could be drawn from has room
// after the retries scheduled before. It returns 0 if the cost never fits.
func (r *rate) scheduleRetry(now time.Duration, cost float64) time.Duration {
	ceilingsFreeAt := now // when every ceiling has room after the retries scheduled before
	for p := r; p != nil; p = p.parent {
		ceilingsFreeAt = max(ceilingsFreeAt, p.ceiling.nextRetry(cost))
	}
	var source *rate
	soonest := never
	belowWait := time.Duration(0)
	for p := r; p != nil && belowWait < never; p = p.parent {
		wait := max(p.ownWait(now, cost), belowWait)
		if wait < never && p.guaranteed.rate > 0 {
			at := max(now+wait, p.guaranteed.nextRetry(cost), ceilingsFreeAt)
			if at < soonest {
				soonest, source = at, p
			}
		}
		belowWait = max(belowWait, p.borrowWait(now, cost))
	}
	if belowWait < never {
		at := max(now+belowWait, ceilingsFreeAt)
		if at < soonest {
			soonest, source = at, nil
		}
	}
	switch {
	case soonest == never:
		return 0
	case soonest-now > maxRetryAfter:
		return maxRetryAfter
	}
	if source != nil {
		source.guaranteed.lastRetry = soonest
	}
	for p := r; p != nil; p = p.parent {
		p.ceiling.lastRetry = soonest
	}
	return max(soonest-now, minRetryAfter)
}

// full reports whether the buckets of both parts are full.
func (r *rate) full(now time.Duration) bool { return r.guaranteed.full(now) && r.ceiling.full(now) }

// usage returns the state of the limit.
func (r *rate) usage(now time.Duration, kind Kind) Usage {
	return Usage{
		Node: r.node.name, Kind: kind, Guaranteed: r.guaranteed.rate, Ceiling: r.ceiling.rate,
		Left:       r.left(now),
		Borrowable: max(0, r.ceiling.available(now)-r.guaranteed.burst),
	}
}

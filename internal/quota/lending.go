package quota

import "time"

// A limit lends to the limits below it in the manner of weighted fair queueing (Demers, Keshav and Shenker, 1989): the
// lender's virtual time grows by what it lends over the weights of its borrowers, a borrower's tag by what it borrows
// over its own weight, and one whose tag is too far beyond the virtual time waits.

const (
	// borrowsFor is how long a limit counts as a borrower after it last wanted to borrow.
	borrowsFor = 200 * time.Millisecond
	// freeLendShare is the part of the spare burst from which on it is lent whatever the weights say.
	freeLendShare = 0.5
)

// lendWait returns how long it takes until the limit that a request meets first may draw here by weight: not at all
// where that is r itself, which has nothing to borrow, and where at least freeLendShare of the spare burst is left.
func (r *rate) lendWait(now time.Duration, first *rate) time.Duration {
	if r == first {
		return 0
	}
	borrower := first
	for borrower.parent != r {
		borrower = borrower.parent
	}
	borrower.wantToBorrow(now)
	if r.guaranteed.available(now)-r.reserve >= freeLendShare*r.spare {
		return 0
	}
	weights := max(r.activeWeight, borrower.weight)
	lead := borrower.tag - r.virtualTime - freeLendShare*r.spare/weights
	if lead <= 0 {
		return 0
	}
	nanos := lead * weights / r.guaranteed.rate * nanosPerSecond
	return time.Duration(min(nanos, float64(maxRetryAfter))) + 1
}

// wantToBorrow counts a limit among the borrowers of its parent, and drops those that wanted nothing for long.
func (r *rate) wantToBorrow(now time.Duration) {
	lender := r.parent
	if r.borrows {
		lender.unlink(r)
	} else {
		r.borrows = true
		lender.activeWeight += r.weight
		r.tag = max(r.tag, lender.virtualTime)
	}
	r.lastWanted = now
	lender.link(r)
	for lender.firstBorrower != nil && now-lender.firstBorrower.lastWanted > borrowsFor {
		lender.firstBorrower.stopBorrowing()
	}
}

// stopBorrowing takes a limit out of the borrowers of its parent.
func (r *rate) stopBorrowing() {
	if !r.borrows {
		return
	}
	r.borrows = false
	lender := r.parent
	lender.unlink(r)
	lender.activeWeight -= r.weight
	if lender.firstBorrower == nil {
		lender.activeWeight = 0 // what rounding leaves
	}
}

// link puts a borrower at the end of the list.
func (r *rate) link(borrower *rate) {
	borrower.prevBorrower = r.lastBorrower
	if r.lastBorrower != nil {
		r.lastBorrower.nextBorrower = borrower
	} else {
		r.firstBorrower = borrower
	}
	r.lastBorrower = borrower
}

// unlink takes a borrower out of the list.
func (r *rate) unlink(borrower *rate) {
	if borrower.prevBorrower != nil {
		borrower.prevBorrower.nextBorrower = borrower.nextBorrower
	} else {
		r.firstBorrower = borrower.nextBorrower
	}
	if borrower.nextBorrower != nil {
		borrower.nextBorrower.prevBorrower = borrower.prevBorrower
	} else {
		r.lastBorrower = borrower.prevBorrower
	}
	borrower.prevBorrower, borrower.nextBorrower = nil, nil
}

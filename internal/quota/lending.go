package quota

import "time"

// A limit lends units to the limits below it by weighted fair queueing (Demers, Keshav and Shenker, 1989). A loan
// advances the lender's virtual time by its units divided by the sum of the borrowers' weights, and the borrower's
// virtual finish time by its units divided by the borrower's weight. A borrower whose virtual finish time is too far
// ahead of the lender's virtual time has to wait.

const (
	// borrowerTimeout is how long a limit counts as a borrower after its last attempt to borrow.
	borrowerTimeout = 200 * time.Millisecond
	// unweightedLendShare is a share of the spare burst. While at least that much is left, units are lent regardless of
	// the weights. A borrower may run ahead by the virtual time that lending this share takes.
	unweightedLendShare = 0.5
)

// lendWait returns how long a request with the given nearest limit must wait until the weights let it draw from r. It
// returns 0 if nearest is r itself, which has nothing to borrow, or if at least unweightedLendShare of the spare burst
// is left. It counts the limit right below r as a borrower.
func (r *rate) lendWait(now time.Duration, nearest *rate) time.Duration {
	if r == nearest {
		return 0
	}
	borrower := nearest
	for borrower.parent != r {
		borrower = borrower.parent
	}
	borrower.startBorrowing(now)
	if r.guaranteed.available(now)-r.reserve >= unweightedLendShare*r.spare {
		return 0
	}
	weights := max(r.activeWeight, borrower.weight)
	lead := borrower.virtualFinish - r.virtualTime - unweightedLendShare*r.spare/weights
	if lead <= 0 {
		return 0
	}
	nanos := lead * weights / r.guaranteed.rate * nanosPerSecond
	return time.Duration(min(nanos, float64(maxRetryAfter))) + 1
}

// startBorrowing adds r to the borrowers of its parent, or renews its entry, and removes the borrowers whose last
// attempt to borrow is longer ago than borrowerTimeout.
func (r *rate) startBorrowing(now time.Duration) {
	lender := r.parent
	if r.borrowing {
		lender.unlinkBorrower(r)
	} else {
		r.borrowing = true
		lender.activeWeight += r.weight
		r.virtualFinish = max(r.virtualFinish, lender.virtualTime)
	}
	r.lastBorrowAttempt = now
	lender.linkBorrower(r)
	for lender.firstBorrower != nil && now-lender.firstBorrower.lastBorrowAttempt > borrowerTimeout {
		lender.firstBorrower.stopBorrowing()
	}
}

// stopBorrowing removes r from the borrowers of its parent.
func (r *rate) stopBorrowing() {
	if !r.borrowing {
		return
	}
	r.borrowing = false
	lender := r.parent
	lender.unlinkBorrower(r)
	lender.activeWeight -= r.weight
	if lender.firstBorrower == nil {
		lender.activeWeight = 0 // clears the rounding error
	}
}

// linkBorrower appends a borrower to r's list of borrowers.
func (r *rate) linkBorrower(borrower *rate) {
	borrower.prevBorrower = r.lastBorrower
	if r.lastBorrower != nil {
		r.lastBorrower.nextBorrower = borrower
	} else {
		r.firstBorrower = borrower
	}
	r.lastBorrower = borrower
}

// unlinkBorrower removes a borrower from r's list of borrowers.
func (r *rate) unlinkBorrower(borrower *rate) {
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

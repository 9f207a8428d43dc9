package identity

import "time"

const (
	// pacedAfterRejections is the number of a caller's calls that are rejected for lack of budget before its messages
	// are paced, that is, handled a few at a time on the frontend's tick, so that a flood causes no rounds of the
	// event loop.
	pacedAfterRejections = 32
	maxRejections        = 4 * pacedAfterRejections
	// rejectionRetention is how long rejections are counted after the latest one.
	rejectionRetention = time.Second
)

// maxInvalidSignatures limits how far invalid signatures reduce a budget.
const maxInvalidSignatures = 100

// Caller holds what the authenticator knows about a connection. The zero value is a new connection.
type Caller struct {
	Frontend   string  // rpc, tls or dns
	Thumbprint string  // of its client certificate, SHA-256 in base64url; empty if it has none
	Tenant     string  // that its credential identifies; empty if none
	Subject    string  // that its credential identifies; empty if none
	Site       string  // that it calls from; empty if unknown
	Remote     string  // host that it calls from; empty: the remote address of its connection
	Source     *Source // shared by the callers at one address or network; nil if unknown

	budget        checkBudget
	rejections    recentRejections // for lack of budget
	authenticated bool             // a credential has admitted one of its calls
}

// Paced reports whether the caller's messages must be paced because too many of its calls were rejected for lack of
// budget. Until a credential has admitted one of its calls, the rejections of its source count as well.
func (c *Caller) Paced(now time.Duration) bool {
	if c.rejections.countAt(now) >= pacedAfterRejections {
		return true
	}
	return !c.authenticated && c.Source != nil && c.Source.rejections.countAt(now) >= pacedAfterRejections
}

// recordBudgetRejection counts a call that was rejected for lack of budget.
func (c *Caller) recordBudgetRejection(now time.Duration) {
	c.rejections.add(now)
	if c.Source != nil {
		c.Source.rejections.add(now)
	}
}

// recordAdmission records that a token, certificate or TSIG key has admitted a call.
func (c *Caller) recordAdmission() {
	c.authenticated = true
	c.rejections.decrement()
}

// recordValidSignature restores part of the budgets after a valid signature.
func (c *Caller) recordValidSignature() {
	c.budget.raise()
	if c.Source != nil {
		c.Source.budget.raise()
	}
}

// recordInvalidSignature reduces the budgets after an invalid signature.
func (c *Caller) recordInvalidSignature() {
	c.budget.lower()
	if c.Source != nil {
		c.Source.budget.lower()
	}
}

// checkBudget limits the rate at which uncached tokens of a connection or a source are parsed and verified.
type checkBudget struct {
	bucket            tokenBucket
	invalidSignatures int // recent ones; each reduces the rate
}

// take charges one check to the budget. If the budget is used up, it returns the Retry-After and false.
func (b *checkBudget) take(now time.Duration, perSecond float64) (wait time.Duration, ok bool) {
	return b.bucket.take(now, perSecond/float64(1+b.invalidSignatures))
}

func (b *checkBudget) raise() { b.invalidSignatures /= 2 }

func (b *checkBudget) lower() { b.invalidSignatures = min(b.invalidSignatures+1, maxInvalidSignatures) }

// recentRejections counts the calls that were recently rejected for lack of budget.
type recentRejections struct {
	count  int
	lastAt time.Duration
}

func (r *recentRejections) add(now time.Duration) {
	r.count = min(r.countAt(now)+1, maxRejections)
	r.lastAt = now
}

// countAt returns the count at a time. now may be slightly before the latest rejection of the same event loop round.
func (r *recentRejections) countAt(now time.Duration) int {
	if now-r.lastAt > rejectionRetention {
		return 0
	}
	return r.count
}

// decrement lowers the count by one after an allowed call.
func (r *recentRejections) decrement() { r.count = max(0, r.count-1) }

package identity

import "time"

const (
	// pacedAfterRejections is how many calls of a caller are rejected for lack of budget before its messages are
	// paced: handled a few at a time on the frontend's tick, so that a flood causes no rounds of the event loop.
	pacedAfterRejections = 32
	maxRejections        = 4 * pacedAfterRejections
	// rejectionMemory is how long rejections are remembered after the last of them.
	rejectionMemory = time.Second
)

// maxBadSignatures bounds how far bad signatures lower a budget.
const maxBadSignatures = 100

// Caller is a connection as the authenticator knows it. Its zero value is a new one.
type Caller struct {
	Frontend   string  // rpc, tls or dns
	Thumbprint string  // of its client certificate; empty: it has none
	Tenant     string  // that the certificate stands for; empty: none
	Subject    string  // that the certificate stands for; empty: none
	Site       string  // that it calls from; empty: not known
	Remote     string  // the host that it is known to call from; empty: its connection's
	Source     *Source // where it calls from; nil: not told

	budget     checkBudget
	rejections recentRejections // for want of a budget
	proven     bool             // something of it was admitted by a credential
}

// Paced reports whether the caller's messages must be paced: too many of its calls were rejected for lack of budget,
// or, until one of its calls has been admitted by a credential, too many of its source's calls.
func (c *Caller) Paced(now time.Duration) bool {
	if c.rejections.since(now) >= pacedAfterRejections {
		return true
	}
	return !c.proven && c.Source != nil && c.Source.rejections.since(now) >= pacedAfterRejections
}

// rejectedForBudget counts a call that was rejected for want of a budget.
func (c *Caller) rejectedForBudget(now time.Duration) {
	c.rejections.add(now)
	if c.Source != nil {
		c.Source.rejections.add(now)
	}
}

// admittedByCredential records that a call was allowed by a token or a certificate.
func (c *Caller) admittedByCredential() {
	c.proven = true
	c.rejections.ease()
}

// goodSignature records that a signature of the caller was verified.
func (c *Caller) goodSignature() {
	c.budget.raise()
	if c.Source != nil {
		c.Source.budget.raise()
	}
}

// badSignature records that a signature of the caller was invalid.
func (c *Caller) badSignature() {
	c.budget.lower()
	if c.Source != nil {
		c.Source.budget.lower()
	}
}

// checkBudget is how many tokens of a connection or a source may be looked at closely.
type checkBudget struct {
	bucket        tokenBucket
	badSignatures int // lately; each lowers the rate
}

// take charges one check to the budget, or returns the Retry-After.
func (b *checkBudget) take(now time.Duration, perSecond float64) (wait time.Duration, ok bool) {
	return b.bucket.take(now, perSecond/float64(1+b.badSignatures))
}

func (b *checkBudget) raise() { b.badSignatures /= 2 }

func (b *checkBudget) lower() { b.badSignatures = min(b.badSignatures+1, maxBadSignatures) }

// recentRejections counts calls that were rejected for want of a budget.
type recentRejections struct {
	count  int
	lastAt time.Duration
}

func (r *recentRejections) add(now time.Duration) {
	r.count = min(r.since(now)+1, maxRejections)
	r.lastAt = now
}

// since returns the count at a time, which may be a little before the last rejection: both are of one round.
func (r *recentRejections) since(now time.Duration) int {
	if now-r.lastAt > rejectionMemory {
		return 0
	}
	return r.count
}

// ease lowers the count after a call that was allowed.
func (r *recentRejections) ease() { r.count = max(0, r.count-1) }

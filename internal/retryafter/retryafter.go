// Package retryafter computes the Retry-After advice for rejected clients where it is not known when there will be
// capacity again. Packages that can compute that time do so themselves and do not use this one: quota.Ledger for its
// budgets, concurrency.Limit for its limit, and identity.Authenticator for its charges.
//
// Invariants: no method of an Advisor returns more than Advisor.Max; if that is 0, clients get no advice.
//
// Bounds: constant time and no memory. The package does no I/O and reads no clock.
package retryafter

import "time"

const (
	// RetryBudgetExhausted is the advice for a request whose retry budget is exhausted. It can be short because a
	// request that the client sends again counts as a first attempt, which needs no retry budget.
	RetryBudgetExhausted = 100 * time.Millisecond
	// connectionFull is the advice when a client has too many requests open on one connection, or memory is short.
	connectionFull = 100 * time.Millisecond
	// queriesFull is the advice to a DNS client when too many queries are open; its resolver waits longer by itself.
	queriesFull = 200 * time.Millisecond
)

// Advisor computes the Retry-After advice of a proxy. Its zero value gives no advice.
type Advisor struct {
	Max time.Duration // the longest advice that clients follow; 0: no advice is allowed
}

// MayAdvise reports whether rejections may carry Retry-After advice at all, whichever package computes it.
func (a Advisor) MayAdvise() bool { return a.Max > 0 }

// Rejected returns the advice for a request that no endpoint can serve in time: half of the latency objective of its
// class, because a retry after the objective is of no use. Without an objective (0) it returns Max.
func (a Advisor) Rejected(latencyObjective time.Duration) time.Duration {
	if latencyObjective <= 0 {
		return a.Max
	}
	return min(a.Max, latencyObjective/2)
}

// Milliseconds converts advice to the unit that clients are sent. It rounds up because a client that retries a fraction
// of a millisecond early is rejected again.
func Milliseconds(after time.Duration) int64 {
	return int64((after + time.Millisecond - 1) / time.Millisecond)
}

// ConnectionFull returns the advice to a client of the RPC frontend that has too many requests open on one connection,
// or whose request was rejected because memory is short.
func (a Advisor) ConnectionFull() time.Duration { return min(a.Max, connectionFull) }

// QueriesFull returns the advice to a client of the DNS frontend when too many queries are open, in total or for one
// key.
func (a Advisor) QueriesFull() time.Duration { return min(a.Max, queriesFull) }

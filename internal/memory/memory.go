// Package memory accounts for the memory that the process holds for others: bodies of open requests, room for their
// answers, input that is not handled yet, and output that is not written yet. The process is killed if it exceeds its
// memory limit, so what others can make it hold must be bounded by that limit in bytes, whatever the number of clients,
// requests and connections.
//
// All of these bytes are in one Account. Whoever holds memory for others owns a Charge in it. New work asks Admits
// before it holds anything, and is rejected if it does not fit. It asks for all that it is likely to hold, the answer
// included, so that no connection has to be closed for the size of what was admitted. What it may hold beyond that, and
// must get, is a reserve. Work that was admitted asks Fits before it holds more, such as the encoded copy of a
// request's body.
//
// Invariants:
//   - Total is the sum of all charges, and 0 once all owners have released theirs;
//   - new work is admitted only if it leaves half of the limit for the work that was admitted before;
//   - an owner that has less is admitted beyond that, so that one with much can't have it rejected;
//   - the charges and the reserves together stay within a limit of their own, so that each reserve can be used up.
//
// Bounds: an Account has a constant size. What was received before its owner could ask is charged without a check, so
// Total can exceed the limits by what is read from the connections at once.
//
// The package does no I/O and reads no clock. It is not safe for concurrent use.
package memory

import "fmt"

const (
	// limitNumerator / limitDenominator is the limit as a fraction of the memory of the process. The rest is for the
	// state that does not grow with requests, and for garbage until it is collected.
	limitNumerator   = 1
	limitDenominator = 3
	// admissionDivisor divides the limit to get the total up to which new work is admitted.
	admissionDivisor = 2
	// fairOwnerNumerator / fairOwnerDenominator is the fraction of the limit up to which new work of an owner is
	// admitted that has at most 1/progressDivisor of the limit, its new work included.
	fairOwnerNumerator   = 5
	fairOwnerDenominator = 8
	// smallOwnerNumerator / smallOwnerDenominator is the fraction of the limit up to which new work of a small owner
	// is admitted.
	smallOwnerNumerator   = 3
	smallOwnerDenominator = 4
	// smallOwnerBytes is the most that a small owner has, its new work included.
	smallOwnerBytes = 16 << 10
	// progressDivisor divides the limit to get the most that an owner has while its work is continued up to the limit.
	progressDivisor = 8
	// baseBytes is the memory of the process that is not committed to others: the program's own state, and garbage that
	// the collector has not got to. If the process has little memory, 1/minCommittableDivisor of it is committed.
	baseBytes             = 16 << 20
	minCommittableDivisor = 4
	// committedNumerator / committedDenominator is the limit on the charges and reserves together, as a fraction of the
	// memory of the process that may be committed.
	committedNumerator   = 3
	committedDenominator = 4
	// reservingNumerator / reservingDenominator is the fraction of the same up to which new work with a reserve is
	// admitted. The rest of the limit is for work without one, as reserves are seldom used up.
	reservingNumerator   = 11
	reservingDenominator = 16
	// largeOwnerNumerator / largeOwnerDenominator is the fraction of that for an owner with more than 1/progressDivisor
	// of it.
	largeOwnerNumerator   = 3
	largeOwnerDenominator = 4
)

// Kind says what a charge is for.
type Kind uint8

// The kinds of charges.
const (
	Requests Kind = iota // open requests, with their bodies
	Answers              // room for the answers to open requests
	Input                // received bytes that are not handled yet
	Output               // bytes that are not written yet
	Reused               // buffers that are kept for input and output to come
	Queries              // DNS queries that wait for an answer, their requests, and results that are kept
	Peers                // messages of other proxies that have not arrived completely
	kindCount
)

var kindNames = [kindCount]string{
	Requests: "requests", Answers: "answers", Input: "input", Output: "output", Reused: "reused", Queries: "queries",
	Peers: "peers",
}

// String returns the name of the kind in the operators' view of the state.
func (k Kind) String() string { return kindNames[k] }

// Kinds returns all kinds.
func Kinds() []Kind { return []Kind{Requests, Answers, Input, Output, Reused, Queries, Peers} }

// Account sums the bytes of all charges.
type Account struct {
	process  int
	limit    int
	total    int
	reserves int
	reserved [kindCount]int
}

// Need is what some work takes: Bytes are likely, and Reserve is what it may take beyond that and must get then.
type Need struct{ Bytes, Reserve int }

// Plus returns the sum of two needs.
func (n Need) Plus(other Need) Need { return Need{n.Bytes + other.Bytes, n.Reserve + other.Reserve} }

// sum returns the most that the work may take.
func (n Need) sum() int { return n.Bytes + n.Reserve }

// NewAccount returns an empty account for a process that may use the given memory, in bytes.
func NewAccount(process int) *Account {
	return &Account{process: process, limit: process / limitDenominator * limitNumerator}
}

// Process returns the memory that the process may use, in bytes.
func (a *Account) Process() int { return a.process }

// Limit returns the limit on the total, in bytes.
func (a *Account) Limit() int { return a.limit }

// Total returns the sum of all charges, in bytes.
func (a *Account) Total() int { return a.total }

// Reserved returns the sum of all charges of a kind, in bytes.
func (a *Account) Reserved(kind Kind) int { return a.reserved[kind] }

// Admits reports whether an owner that has own already may begin new work that takes more. The reserves of others don't
// keep a small owner from work without one.
func (a *Account) Admits(own, more Need) bool {
	after := own.Plus(more)
	if a.total+more.Bytes > a.admissionLimit(after.Bytes) {
		return false
	}
	committed := a.total + a.reserves + more.sum()
	if more.Reserve == 0 {
		return after.Bytes <= smallOwnerBytes || committed <= a.committedLimit()
	}
	return committed <= a.reservingLimit(after.sum())
}

// committable returns the memory of the process that may be committed to others.
func (a *Account) committable() int { return max(a.process-baseBytes, a.process/minCommittableDivisor) }

// committedLimit returns the limit on the charges and reserves together.
func (a *Account) committedLimit() int {
	return a.committable() / committedDenominator * committedNumerator
}

// reservingLimit returns the sum of charges and reserves up to which new work with a reserve is admitted for an owner
// that then has the given bytes.
func (a *Account) reservingLimit(ownerBytes int) int {
	limit := a.committable() / reservingDenominator * reservingNumerator
	if ownerBytes > limit/progressDivisor {
		limit = limit / largeOwnerDenominator * largeOwnerNumerator
	}
	return limit
}

// admissionLimit returns the total up to which new work is admitted for an owner that then has the given bytes.
func (a *Account) admissionLimit(ownerBytes int) int {
	switch {
	case ownerBytes <= smallOwnerBytes:
		return a.limit / smallOwnerDenominator * smallOwnerNumerator
	case ownerBytes <= a.limit/progressDivisor:
		return a.limit / fairOwnerDenominator * fairOwnerNumerator
	}
	return a.limit / admissionDivisor
}

// Fits reports whether work that was admitted may take more bytes for an owner that has own.
func (a *Account) Fits(own, more int) bool {
	if own+more <= a.limit/progressDivisor {
		return a.total+more <= a.limit
	}
	return a.total+more <= a.limit/admissionDivisor
}

// fitsBeyondReserve reports whether a charge may take more bytes than it has reserved, which must leave room for the
// reserves of others.
func (a *Account) fitsBeyondReserve(more int) bool {
	return a.Fits(0, more) && a.total+a.reserves+more <= a.committedLimit()
}

// IsExceeded reports whether the charges exceed the limit.
func (a *Account) IsExceeded() bool { return a.total > a.limit }

// NewCharge returns a charge of a number of bytes. It does not check whether they fit.
func (a *Account) NewCharge(kind Kind, bytes int) Charge {
	charge := Charge{account: a, kind: kind}
	charge.Set(bytes)
	return charge
}

// Charge is what one owner has of an account. The zero value holds nothing and can only be released. A charge must not
// be copied once it is in use.
type Charge struct {
	account *Account
	kind    Kind
	bytes   int
	reserve int
}

// Bytes returns the number of bytes that are charged.
func (c *Charge) Bytes() int { return c.bytes }

// Need returns the number of bytes that are charged, and the reserve.
func (c *Charge) Need() Need { return Need{c.bytes, c.reserve} }

// Set changes the number of bytes that are charged.
func (c *Charge) Set(bytes int) {
	if bytes < 0 {
		panic(fmt.Sprintf("memory: charge of %d bytes", bytes))
	}
	c.account.total += bytes - c.bytes
	c.account.reserved[c.kind] += bytes - c.bytes
	c.bytes = bytes
}

// SetReserve changes the reserve, which TryGrow uses first.
func (c *Charge) SetReserve(bytes int) {
	c.account.reserves += bytes - c.reserve
	c.reserve = bytes
}

// TryGrow charges at least the given number of bytes, and reports whether that fits. A charge that has as much already
// stays as it is, and the reserve always fits.
func (c *Charge) TryGrow(bytes int) bool {
	if bytes <= c.bytes {
		return true
	}
	fromReserve := min(c.reserve, bytes-c.bytes)
	more := bytes - c.bytes - fromReserve
	if more > 0 && (c.account == nil || !c.account.fitsBeyondReserve(more)) {
		return false
	}
	c.SetReserve(c.reserve - fromReserve)
	c.Set(bytes)
	return true
}

// Release ends the charge. Further calls have no effect.
func (c *Charge) Release() {
	if c.account == nil {
		return
	}
	c.Set(0)
	c.SetReserve(0)
}

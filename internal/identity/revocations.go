package identity

import (
	"fmt"
	"time"

	"sloequay/internal/expiry"
)

// RevocationKind is what a revocation names.
type RevocationKind uint8

// What can be revoked.
const (
	RevokedToken   RevocationKind = iota // one token, by its id
	RevokedSubject                       // all tokens of a subject
	RevokedKey                           // all tokens that a key has signed
)

// String returns the word that operators read.
func (k RevocationKind) String() string { return [...]string{"token", "subject", "key"}[k] }

// revocation is one entry.
type revocation struct {
	kind RevocationKind
	name string
}

// Revocations is a list of revocations, each kept until the last token that it names has expired. It is bounded:
// adding one to a full list is an error, since a revocation must not be lost silently. It is not safe for concurrent
// use.
//
// Invariant: an entry is in force from Add until its time, and is dropped by the first Expire after that.
type Revocations struct{ entries *expiry.Set[revocation] }

// NewRevocations returns an empty list for at most limit entries.
func NewRevocations(limit int) *Revocations {
	return &Revocations{entries: expiry.New[revocation](limit)}
}

// Len returns the number of entries.
func (r *Revocations) Len() int { return r.entries.Len() }

// Add adds an entry until a time on the Unix clock. It never shortens an entry.
func (r *Revocations) Add(kind RevocationKind, name string, until time.Duration) error {
	if !r.entries.Put(revocation{kind, name}, until) {
		return fmt.Errorf("%d revocations are held, the most there may be", r.Len())
	}
	return nil
}

// Has reports whether something is revoked.
func (r *Revocations) Has(now time.Duration, kind RevocationKind, name string) bool {
	if r == nil || r.Len() == 0 {
		return false
	}
	until, known := r.entries.Until(revocation{kind, name})
	return known && now < until
}

// hasToken reports whether a token, its subject or its key is revoked.
func (r *Revocations) hasToken(now time.Duration, claims *Claims) bool {
	return r.Has(now, RevokedKey, claims.KeyID) ||
		r.Has(now, RevokedSubject, claims.Subject) ||
		r.Has(now, RevokedToken, claims.ID)
}

// Expire drops the entries whose time has come, without examining the others.
func (r *Revocations) Expire(now time.Duration) { r.entries.DropBefore(now + 1) }

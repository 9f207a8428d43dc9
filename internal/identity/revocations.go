package identity

import (
	"fmt"
	"time"

	"sloequay/internal/expiry"
)

// RevocationKind is the kind of thing that a revocation names.
type RevocationKind uint8

// The kinds of revocations.
const (
	RevokedToken   RevocationKind = iota // a token, by its id
	RevokedSubject                       // all tokens of a subject
	RevokedKey                           // all tokens signed by a key
)

// String returns the kind's name in the revocation file.
func (k RevocationKind) String() string { return [...]string{"token", "subject", "key"}[k] }

// revocation is an entry of Revocations.
type revocation struct {
	kind RevocationKind
	name string
}

// Revocations is a list of revocations, each kept until the last token that it names has expired. The list is bounded:
// adding to a full list is an error, since a revocation must not be lost silently. It is not safe for concurrent use.
//
// Invariant: an entry is in force from Add until its end, and is removed by the first Expire at or after its end.
type Revocations struct{ entries *expiry.Set[revocation] }

// NewRevocations returns an empty list that holds at most limit entries.
func NewRevocations(limit int) *Revocations {
	return &Revocations{entries: expiry.New[revocation](limit)}
}

// Len returns the number of entries.
func (r *Revocations) Len() int { return r.entries.Len() }

// Add adds an entry that ends at the Unix time until. It never shortens an existing entry.
func (r *Revocations) Add(kind RevocationKind, name string, until time.Duration) error {
	if !r.entries.Put(revocation{kind, name}, until) {
		return fmt.Errorf("limit of %d revocations reached", r.Len())
	}
	return nil
}

// Has reports whether the token, subject or key with a name is revoked.
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

// Expire removes the entries that have ended, without examining the others.
func (r *Revocations) Expire(now time.Duration) { r.entries.DropBefore(now + 1) }

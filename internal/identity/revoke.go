package identity

import (
	"container/heap"
	"fmt"
	"time"
)

// RevocationKind is what a revocation names.
type RevocationKind uint8

// What can be revoked.
const (
	Token   RevocationKind = iota // one token, by its id
	Subject                       // all tokens of a subject
	KeyID                         // all tokens that a key has signed
)

// String gives the word.
func (w RevocationKind) String() string { return [...]string{"token", "subject", "key"}[w] }

// revoked is one entry.
type revoked struct {
	what RevocationKind
	name string
}

// Revocations is what was revoked, each until the last token that it names has ended. It is bounded: what there is no place
// for is an error, since a revocation must not be lost in silence. It is not safe for concurrent use.
//
// Invariant: an entry holds from Add until its time, and nothing is held after it once Expire has run.
type Revocations struct {
	until  map[revoked]time.Duration
	expiry revocationExpiry
	most   int
}

// NewRevocations makes an empty list of at most so many.
func NewRevocations(most int) *Revocations {
	return &Revocations{until: map[revoked]time.Duration{}, most: most}
}

// Len is the number of entries.
func (r *Revocations) Len() int { return len(r.until) }

// Add revokes something until a time. An entry is never shortened.
func (r *Revocations) Add(what RevocationKind, name string, until time.Duration) error {
	k := revoked{what, name}
	old, held := r.until[k]
	if held && old >= until {
		return nil
	}
	if !held && len(r.until) >= r.most {
		return fmt.Errorf("%d revocations are held, the most there may be", len(r.until))
	}
	r.until[k] = until
	if !held {
		heap.Push(&r.expiry, revocationEnd{until, k})
	}
	return nil
}

// Has says whether something is revoked.
func (r *Revocations) Has(now time.Duration, what RevocationKind, name string) bool {
	if r == nil || len(r.until) == 0 {
		return false
	}
	until, held := r.until[revoked{what, name}]
	return held && now < until
}

// Expire drops what has ended, and looks at nothing else.
func (r *Revocations) Expire(now time.Duration) {
	for len(r.expiry) > 0 && r.expiry[0].until <= now {
		first := &r.expiry[0]
		if until := r.until[first.key]; until > first.until { // it was lengthened
			first.until = until
			heap.Fix(&r.expiry, 0)
			continue
		}
		delete(r.until, first.key)
		heap.Pop(&r.expiry)
	}
}

type revocationEnd struct {
	until time.Duration
	key   revoked
}

type revocationExpiry []revocationEnd

func (e revocationExpiry) Len() int           { return len(e) }
func (e revocationExpiry) Less(i, j int) bool { return e[i].until < e[j].until }
func (e revocationExpiry) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *revocationExpiry) Push(x any)        { *e = append(*e, x.(revocationEnd)) }
func (e *revocationExpiry) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

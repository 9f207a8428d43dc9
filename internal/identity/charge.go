package identity

import (
	"container/heap"
	"time"
)

// IdempotencyKeys remembers who was admitted with which idempotency key, for the key's window. A retry is decided by the authority
// that admitted the first try: it may come after its token has expired, and it may only come from the same subject. What is
// remembered is bounded; when it is full, new keyed work is refused, and nothing that is out is forgotten.
//
// Invariant: between Admit and the end of its window a key belongs to one subject. It is not safe for concurrent use.
type IdempotencyKeys struct {
	held map[string]*admitted
	due  keyedDue
	most int
}

type admitted struct {
	key, subject, tenant string
	until                time.Duration
}

// NewIdempotencyKeys makes an empty memory for at most so many keys.
func NewIdempotencyKeys(most int) *IdempotencyKeys {
	return &IdempotencyKeys{held: map[string]*admitted{}, most: most}
}

// Len is the number of keys held.
func (k *IdempotencyKeys) Len() int { return len(k.held) }

// Admit decides about a request with an idempotency key. reason is what its own authority gives now; window is how long
// repeats of the key may come.
func (k *IdempotencyKeys) Admit(now time.Duration, key, subject, tenant string, reason Reason, window time.Duration) Reason {
	k.expire(now)
	if old := k.held[key]; old != nil {
		switch {
		case old.subject != subject || old.tenant != tenant:
			if reason == Allowed || reason == Expired || reason == Retired {
				return KeyInUse
			}
			return reason // who may not ask is not told whose it is
		case reason == Expired || reason == Retired:
			return Allowed // the first try's authority decides, and it was sound
		}
		return reason
	}
	if reason != Allowed {
		return reason
	}
	if len(k.held) >= k.most {
		return IdempotencyKeysFull
	}
	a := &admitted{key: key, subject: subject, tenant: tenant, until: now + window}
	k.held[key] = a
	heap.Push(&k.due, a)
	return Allowed
}

// expire drops keys whose window is over.
func (k *IdempotencyKeys) expire(now time.Duration) {
	for len(k.due) > 0 && k.due[0].until <= now {
		delete(k.held, heap.Pop(&k.due).(*admitted).key)
	}
}

type keyedDue []*admitted

func (d keyedDue) Len() int           { return len(d) }
func (d keyedDue) Less(i, j int) bool { return d[i].until < d[j].until }
func (d keyedDue) Swap(i, j int)      { d[i], d[j] = d[j], d[i] }
func (d *keyedDue) Push(x any)        { *d = append(*d, x.(*admitted)) }
func (d *keyedDue) Pop() any {
	last := (*d)[len(*d)-1]
	(*d)[len(*d)-1] = nil
	*d = (*d)[:len(*d)-1]
	return last
}

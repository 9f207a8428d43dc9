package identity

import (
	"container/heap"
	"time"
)

// IdempotencyKeys remembers which subject was admitted with which idempotency key, for the key's window. A retry is
// admitted by the credentials of the first attempt: its token may have expired meanwhile, but it must come from the
// same subject. The number of keys is bounded; at the limit new keyed requests are rejected, and no key is evicted
// within its window.
//
// Invariant: between Admit and the end of its window a key belongs to one subject. It is not safe for concurrent use.
type IdempotencyKeys struct {
	maxKeys  int
	byKey    map[string]*admittedKey
	byExpiry keyHeap
}

// admittedKey is an idempotency key with its owner.
type admittedKey struct {
	key     string
	subject string
	tenant  string
	until   time.Duration // the end of its window
}

// KeyedCall is a call with an idempotency key.
type KeyedCall struct {
	Key     string
	Subject string
	Tenant  string
	Reason  Reason        // what the call's own authority gives now
	Window  time.Duration // how long repeats of the key may come
}

// NewIdempotencyKeys returns an empty set for at most maxKeys keys.
func NewIdempotencyKeys(maxKeys int) *IdempotencyKeys {
	return &IdempotencyKeys{maxKeys: maxKeys, byKey: map[string]*admittedKey{}}
}

// Len returns the number of keys that are remembered.
func (k *IdempotencyKeys) Len() int { return len(k.byKey) }

// Admit decides about a call, and remembers the key of one that is allowed.
func (k *IdempotencyKeys) Admit(now time.Duration, call KeyedCall) Reason {
	k.expire(now)
	if owner := k.byKey[call.Key]; owner != nil {
		return owner.decide(call)
	}
	if call.Reason != Allowed {
		return call.Reason
	}
	if len(k.byKey) >= k.maxKeys {
		return IdempotencyKeysFull
	}
	admitted := &admittedKey{key: call.Key, subject: call.Subject, tenant: call.Tenant, until: now + call.Window}
	k.byKey[call.Key] = admitted
	heap.Push(&k.byExpiry, admitted)
	return Allowed
}

// decide decides about a call with a key that is admitted already.
func (k *admittedKey) decide(call KeyedCall) Reason {
	hasEnded := call.Reason == Expired || call.Reason == RetiredKey
	isOwner := k.subject == call.Subject && k.tenant == call.Tenant
	switch {
	case isOwner && hasEnded:
		return Allowed // the first attempt's authority decides, and it was sound
	case !isOwner && (call.Reason == Allowed || hasEnded):
		return KeyInUse
	}
	return call.Reason // a caller that is denied is not told whose the key is
}

// expire forgets the keys whose window is over.
func (k *IdempotencyKeys) expire(now time.Duration) {
	for len(k.byExpiry) > 0 && k.byExpiry[0].until <= now {
		delete(k.byKey, heap.Pop(&k.byExpiry).(*admittedKey).key)
	}
}

// keyHeap is a heap.Interface of keys, with the one that ends first on top.
type keyHeap []*admittedKey

// Len returns the number of keys.
func (h keyHeap) Len() int { return len(h) }

// Less reports whether one key ends before another.
func (h keyHeap) Less(i, j int) bool { return h[i].until < h[j].until }

// Swap exchanges two keys.
func (h keyHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push adds an *admittedKey at the end.
func (h *keyHeap) Push(key any) { *h = append(*h, key.(*admittedKey)) }

// Pop removes the key at the end.
func (h *keyHeap) Pop() any {
	last := (*h)[len(*h)-1]
	(*h)[len(*h)-1] = nil
	*h = (*h)[:len(*h)-1]
	return last
}

package identity

import (
	"container/heap"
	"time"
)

// IdempotencyKeys records which subject was admitted with which idempotency key, for the window of the key. A retry is
// admitted because the first attempt was: its token may have expired in the meantime, but it must come from the same
// subject. The number of keys is bounded; at the limit, requests with new keys are rejected, and no key is evicted
// within its window.
//
// Invariant: between Admit and the end of its window a key belongs to one subject. It is not safe for concurrent use.
type IdempotencyKeys struct {
	maxKeys  int
	byKey    map[string]*admittedKey
	byExpiry keyHeap
}

// admittedKey is an admitted idempotency key with its owner.
type admittedKey struct {
	key     string
	subject string
	tenant  string
	until   time.Duration // end of the window
}

// KeyedCall describes a call with an idempotency key.
type KeyedCall struct {
	Key     string
	Subject string
	Tenant  string
	Reason  Reason        // result of checking the call's own credentials and rights
	Window  time.Duration // how long retries with the key are accepted
}

// NewIdempotencyKeys returns an empty set that holds at most maxKeys keys.
func NewIdempotencyKeys(maxKeys int) *IdempotencyKeys {
	return &IdempotencyKeys{maxKeys: maxKeys, byKey: map[string]*admittedKey{}}
}

// Len returns the number of keys in the set.
func (k *IdempotencyKeys) Len() int { return len(k.byKey) }

// Admit decides on a call, and records its key if the call is allowed.
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

// decide decides on a call with a key that was admitted before.
func (k *admittedKey) decide(call KeyedCall) Reason {
	hasExpired := call.Reason == Expired || call.Reason == RetiredKey
	isOwner := k.subject == call.Subject && k.tenant == call.Tenant
	switch {
	case isOwner && hasExpired:
		return Allowed // the first attempt was allowed, which covers its retries
	case !isOwner && (call.Reason == Allowed || hasExpired):
		return KeyInUse
	}
	return call.Reason // a denied caller must not learn that the key is in use
}

// expire removes the keys whose window has ended.
func (k *IdempotencyKeys) expire(now time.Duration) {
	for len(k.byExpiry) > 0 && k.byExpiry[0].until <= now {
		delete(k.byKey, heap.Pop(&k.byExpiry).(*admittedKey).key)
	}
}

// keyHeap implements heap.Interface; the key whose window ends first is on top.
type keyHeap []*admittedKey

// Len returns the number of keys.
func (h keyHeap) Len() int { return len(h) }

// Less reports whether the window of key i ends before that of key j.
func (h keyHeap) Less(i, j int) bool { return h[i].until < h[j].until }

// Swap exchanges two keys.
func (h keyHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push adds an *admittedKey at the end.
func (h *keyHeap) Push(key any) { *h = append(*h, key.(*admittedKey)) }

// Pop removes and returns the key at the end.
func (h *keyHeap) Pop() any {
	last := (*h)[len(*h)-1]
	(*h)[len(*h)-1] = nil
	*h = (*h)[:len(*h)-1]
	return last
}

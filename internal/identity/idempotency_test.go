package identity

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestIdempotencyKeysFull checks that a full set rejects new keys, and that admitted keys stay until their window ends.
func TestIdempotencyKeysFull(t *testing.T) {
	k := NewIdempotencyKeys(2)
	for i, c := range []struct {
		at           time.Duration
		key, subject string
		want         Reason
	}{
		{0, "a", "s1", Allowed},
		{0, "b", "s1", Allowed},
		{0, "c", "s1", IdempotencyKeysFull},
		{0, "a", "s1", Allowed},
		{0, "a", "s2", KeyInUse},
		{time.Second, "c", "s1", Allowed},
		{time.Second, "a", "s2", Allowed},
		{time.Second, "b", "s2", IdempotencyKeysFull},
	} {
		call := KeyedCall{Key: c.key, Subject: c.subject, Tenant: "x", Reason: Allowed, Window: time.Second}
		if got := k.Admit(start+c.at, call); got != c.want {
			t.Errorf("step %d: got %v, want %v", i, got, c.want)
		}
	}
}

// TestIdempotencyKeyHasOneOwner checks over random requests that a key belongs to one subject from its admission to the
// end of its window.
func TestIdempotencyKeyHasOneOwner(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		k := NewIdempotencyKeys(4)
		type owner struct {
			subject string
			until   time.Duration
		}
		owners := map[string]owner{}
		now := start
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 900).Draw(t, "ms")) * time.Millisecond
			key := fmt.Sprint(rapid.IntRange(0, 7).Draw(t, "key"))
			subject := fmt.Sprint(rapid.IntRange(0, 2).Draw(t, "subject"))
			reason := rapid.SampledFrom([]Reason{Allowed, Allowed, Expired, Revoked}).Draw(t, "reason")
			got := k.Admit(now, KeyedCall{Key: key, Subject: subject, Tenant: "x", Reason: reason, Window: time.Second})
			live := 0
			for _, o := range owners {
				if now < o.until {
					live++
				}
			}
			o, owned := owners[key]
			owned = owned && now < o.until
			want := reason
			switch {
			case owned && o.subject != subject && reason != Revoked:
				want = KeyInUse
			case owned && o.subject == subject && reason == Expired:
				want = Allowed
			case !owned && reason == Allowed && live >= 4:
				want = IdempotencyKeysFull
			}
			if got != want {
				t.Fatalf("key %s of subject %s with reason %v: got %v, want %v", key, subject, reason, got, want)
			}
			if !owned && got == Allowed {
				owners[key] = owner{subject, now + time.Second}
			}
			if k.Len() > 4 {
				t.Fatalf("got %d keys, want at most 4", k.Len())
			}
		}
	})
}

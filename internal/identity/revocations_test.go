package identity

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestRevocationsAgainstAMap compares random revocations with a map that is walked, and with the bound.
func TestRevocationsAgainstAMap(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := NewRevocations(5)
		plain := map[revocation]time.Duration{}
		now := start
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 2000).Draw(t, "ms")) * time.Millisecond
			r.Expire(now)
			for k, until := range plain {
				if until <= now {
					delete(plain, k)
				}
			}
			k := revocation{
				kind: RevocationKind(rapid.IntRange(0, 2).Draw(t, "kind")),
				name: fmt.Sprint(rapid.IntRange(0, 3).Draw(t, "name")),
			}
			until := now + time.Duration(rapid.IntRange(1, 5000).Draw(t, "for"))*time.Millisecond
			_, known := plain[k]
			if err := r.Add(k.kind, k.name, until); (err == nil) != (known || len(plain) < 5) {
				t.Fatalf("adding to %d: %v", len(plain), err)
			} else if err == nil {
				plain[k] = max(plain[k], until)
			}
			if r.Len() != len(plain) {
				t.Fatalf("%d entries, want %d", r.Len(), len(plain))
			}
			for k := range plain {
				if !r.Has(now, k.kind, k.name) {
					t.Fatalf("%v %s is not revoked", k.kind, k.name)
				}
			}
		}
	})
}

package identity

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestRevocationsMatchReferenceMap compares random revocations with a bounded map that is searched linearly for expired
// entries.
func TestRevocationsMatchReferenceMap(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := NewRevocations(5)
		reference := map[revocation]time.Duration{}
		now := start
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 2000).Draw(t, "ms")) * time.Millisecond
			r.Expire(now)
			for k, until := range reference {
				if until <= now {
					delete(reference, k)
				}
			}
			k := revocation{
				kind: RevocationKind(rapid.IntRange(0, 2).Draw(t, "kind")),
				name: fmt.Sprint(rapid.IntRange(0, 3).Draw(t, "name")),
			}
			until := now + time.Duration(rapid.IntRange(1, 5000).Draw(t, "for"))*time.Millisecond
			_, known := reference[k]
			if err := r.Add(k.kind, k.name, until); (err == nil) != (known || len(reference) < 5) {
				t.Fatalf("adding to %d entries, at most 5: got error %v, want another result", len(reference), err)
			} else if err == nil {
				reference[k] = max(reference[k], until)
			}
			if r.Len() != len(reference) {
				t.Fatalf("got %d entries, want %d", r.Len(), len(reference))
			}
			for k := range reference {
				if !r.Has(now, k.kind, k.name) {
					t.Fatalf("%v %s: got not revoked, want revoked", k.kind, k.name)
				}
			}
		}
	})
}

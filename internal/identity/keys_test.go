package identity

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestRotations checks over random rotations that each token, signed with the signer of its time, has an accepted key
// throughout its lifetime, and that no key is accepted after its end.
func TestRotations(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rotation := Rotation{Publish: 2 * time.Second, Accept: 3 * time.Second, Overlap: 30 * time.Second}
		const lifetime = 20 * time.Second
		keys := []*Key{{ID: "k0", Algorithm: EdDSA}}
		now := start
		next := now
		type signed struct {
			key *Key
			at  time.Duration
		}
		var tokens []signed
		keysAt := func(now time.Duration) *Keys {
			s := &Keys{byID: map[string]*Key{}}
			for _, k := range keys {
				s.byID[k.ID] = k
				s.ids = append(s.ids, k.ID)
			}
			slices.Sort(s.ids)
			return s
		}
		for range rapid.IntRange(1, 150).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(1, 2000).Draw(t, "ms")) * time.Millisecond
			if now >= next && rapid.IntRange(0, 5).Draw(t, "rotate") == 0 {
				k := &Key{ID: fmt.Sprint("k", len(keys)), Algorithm: EdDSA}
				rotation.Rotate(now, k, keys)
				keys = append(keys, k)
				next = now + rotation.Publish + rotation.Accept // one rotation at a time
			}
			signer := keysAt(now).Signer(now)
			if signer == nil {
				t.Fatalf("signer at %v: got none, want one", now-start)
			}
			tokens = append(tokens, signed{signer, now})
			for _, s := range tokens {
				state := s.key.State(now)
				if now-s.at < lifetime && (state == KeyPending || state == KeyRetired) {
					t.Fatalf("token signed %v ago: got key %s %v, want signing or accepted", now-s.at, s.key.ID, state)
				}
				if s.key.RetireAfter > 0 && now >= s.key.RetireAfter && state != KeyRetired {
					t.Fatalf("key %s after its end: got state %v, want retired", s.key.ID, state)
				}
			}
		}
	})
}

// TestReplaceKeys checks that Replace rejects an invalid set and a different key under a known id.
func TestReplaceKeys(t *testing.T) {
	issuer := newTokenIssuer(t)
	a, b := issuer.key("a", EdDSA), issuer.key("b", ES256)
	set := keySet(t, a, b)
	other := issuer.key("a", EdDSA)
	early := b
	early.NotBefore, early.RetireAfter = 5, 4
	wrongAlgorithm := a
	wrongAlgorithm.Algorithm = ES256
	for name, keys := range map[string][]Key{
		"another key under a known id":  {other, b},
		"duplicate id":                  {a, a},
		"id with a path":                {{ID: "../a", Algorithm: EdDSA, Public: a.Public}},
		"no public key":                 {{ID: "x", Algorithm: EdDSA}},
		"key of another algorithm":      {wrongAlgorithm},
		"retired before it is accepted": {early},
	} {
		if _, err := set.Replace(keys); err == nil {
			t.Errorf("%s: got no error, want one", name)
		}
	}
	next, err := set.Replace([]Key{b, issuer.key("c", EdDSA)})
	if err != nil || next.Get("a") != nil || next.Get("c") == nil {
		t.Errorf("replacing a by c in a valid set: got error %v, want c and no a", err)
	}
}

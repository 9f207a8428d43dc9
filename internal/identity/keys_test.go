package identity

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestRotations: over random rotations, at every instant each token that was signed by the signer of its time and has
// not outlived the overlap is taken, and none of a retired key is.
func TestRotations(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rotation := Rotation{Publish: 2 * time.Second, Accept: 3 * time.Second, Overlap: 30 * time.Second}
		const life = 20 * time.Second
		keys := []*Key{{ID: "k0", Algorithm: EdDSA}}
		now := start
		next := now
		type signed struct {
			key *Key
			at  time.Duration
		}
		var tokens []signed
		state := func(now time.Duration) *Keys {
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
				next = now + rotation.Publish + rotation.Accept // one at a time
			}
			signer := state(now).Signer(now)
			if signer == nil {
				t.Fatalf("nothing signs at %v", now-start)
			}
			tokens = append(tokens, signed{signer, now})
			for _, s := range tokens {
				st := s.key.State(now)
				if now-s.at < life && (st == KeyPending || st == KeyRetired) {
					t.Fatalf("a token of %v ago, by %s, meets a key that is %v", now-s.at, s.key.ID, st)
				}
				if s.key.RetireAfter > 0 && now >= s.key.RetireAfter && st != KeyRetired {
					t.Fatalf("%s is %v after its end", s.key.ID, st)
				}
			}
		}
	})
}

// TestReplaceKeys: a set with anything wrong in it is not taken, and a known id never gets other bytes.
func TestReplaceKeys(t *testing.T) {
	m := newMaker(t)
	a, b := m.key("a", EdDSA), m.key("b", ES256)
	set := keySet(t, a, b)
	other := m.key("a", EdDSA)
	early := b
	early.NotBefore, early.RetireAfter = 5, 4
	confused := a
	confused.Algorithm = ES256
	for name, keys := range map[string][]Key{
		"other bytes under a known id": {other, b},
		"an id twice":                  {a, a},
		"an id with a path":            {{ID: "../a", Algorithm: EdDSA, Public: a.Public}},
		"no key":                       {{ID: "x", Algorithm: EdDSA}},
		"a key of the other kind":      {confused},
		"retired before it is taken":   {early},
	} {
		if _, err := set.Replace(keys); err == nil {
			t.Errorf("%s: taken", name)
		}
	}
	next, err := set.Replace([]Key{b, m.key("c", EdDSA)})
	if err != nil || next.Get("a") != nil || next.Get("c") == nil {
		t.Errorf("a sound set: %v", err)
	}
}

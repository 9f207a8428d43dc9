package identity

import (
	"cmp"
	"crypto/ecdsa"
	"crypto/ed25519"
	"crypto/elliptic"
	"crypto/sha256"
	"fmt"
	"slices"
	"strings"
	"time"
)

// Algorithm is how a key signs, by its name in JWS (RFC 7518, RFC 8037). No other is taken, and "none" is none.
type Algorithm string

// The algorithms.
const (
	EdDSA Algorithm = "EdDSA"
	ES256 Algorithm = "ES256"
)

// KeyState is where a key stands in its life.
type KeyState uint8

// The states of a key.
const (
	KeyPending  KeyState = iota // published, and not taken yet
	KeySigning                  // taken, and new tokens are signed by it
	KeyAccepted                 // taken, and no new tokens are signed by it
	KeyRetired                  // retired: not taken any more
)

// String gives the word that operators read.
func (s KeyState) String() string { return [...]string{"coming", "signing", "accepted", "retired"}[s] }

// Key is a public key with its times, on the Unix clock. It is taken from NotBefore until RetireAfter, and new tokens are
// signed by it from SignFrom until SignUntil. A zero end is none.
type Key struct {
	ID                  string
	Algorithm           Algorithm
	Public              any // ed25519.PublicKey or *ecdsa.PublicKey on P-256
	NotBefore           time.Duration
	SignFrom, SignUntil time.Duration
	RetireAfter         time.Duration
}

// State is the key's state at a time.
func (k *Key) State(now time.Duration) KeyState {
	switch {
	case k.RetireAfter > 0 && now >= k.RetireAfter:
		return KeyRetired
	case now < k.NotBefore:
		return KeyPending
	case now >= k.SignFrom && (k.SignUntil == 0 || now < k.SignUntil):
		return KeySigning
	}
	return KeyAccepted
}

// thumbprint tells keys apart by what they are, whatever they are called.
func (k *Key) thumbprint() ([32]byte, error) {
	switch p := k.Public.(type) {
	case ed25519.PublicKey:
		if k.Algorithm == EdDSA && len(p) == ed25519.PublicKeySize {
			return sha256.Sum256(append([]byte("Ed25519 "), p...)), nil
		}
	case *ecdsa.PublicKey:
		if k.Algorithm == ES256 && p != nil && p.Curve == elliptic.P256() {
			point, err := p.Bytes()
			return sha256.Sum256(append([]byte("P-256 "), point...)), err
		}
	}
	return [32]byte{}, fmt.Errorf("key %q: no public key for %q", k.ID, k.Algorithm)
}

// MaxKeys bounds a key set.
const MaxKeys = 1024

// ValidID says whether a text can name a key: a plain word, so that nothing is ever looked up by what it might mean as a path.
func ValidID(id string) error {
	ok := id != "" && len(id) <= 64
	for i := range len(id) {
		c := id[i]
		letter := c|0x20 >= 'a' && c|0x20 <= 'z'
		ok = ok && (letter || c >= '0' && c <= '9' || (c == '-' || c == '_' || c == '.') && i > 0)
	}
	if !ok || strings.Contains(id, "..") {
		return fmt.Errorf("key id %.80q: expected up to 64 letters, digits, hyphens, underscores and dots", id)
	}
	return nil
}

// Keys is a set of keys, by id. It does not change: Replace makes the next one.
type Keys struct {
	keys   map[string]*Key
	prints map[string][32]byte
	order  []string // ids, sorted
}

// NewKeys makes a set. All keys must be sound, with ids of their own.
func NewKeys(all []Key) (*Keys, error) {
	s := &Keys{keys: map[string]*Key{}, prints: map[string][32]byte{}}
	if len(all) > MaxKeys {
		return nil, fmt.Errorf("%d keys, at most %d are held", len(all), MaxKeys)
	}
	for i := range all {
		k := all[i]
		if err := ValidID(k.ID); err != nil {
			return nil, err
		}
		print, err := k.thumbprint()
		switch {
		case err != nil:
			return nil, err
		case s.keys[k.ID] != nil:
			return nil, fmt.Errorf("key %s is there twice", k.ID)
		case k.RetireAfter > 0 && k.RetireAfter <= k.NotBefore:
			return nil, fmt.Errorf("key %s retires before it is taken", k.ID)
		}
		s.keys[k.ID], s.prints[k.ID] = &k, print
		s.order = append(s.order, k.ID)
	}
	slices.Sort(s.order)
	return s, nil
}

// Replace makes the set of new keys, unless an id of the old ones has other bytes there: a key never changes under its id.
func (s *Keys) Replace(all []Key) (*Keys, error) {
	next, err := NewKeys(all)
	if err != nil || s == nil {
		return next, err
	}
	for _, id := range next.order {
		if old, known := s.prints[id]; known && old != next.prints[id] {
			return nil, fmt.Errorf("key %s has other bytes than before; a new key needs a new id", id)
		}
	}
	return next, nil
}

// Get is the key of an id, or nil.
func (s *Keys) Get(id string) *Key {
	if s == nil {
		return nil
	}
	return s.keys[id]
}

// All is all keys by id.
func (s *Keys) All() []*Key {
	if s == nil {
		return nil
	}
	out := make([]*Key, len(s.order))
	for i, id := range s.order {
		out[i] = s.keys[id]
	}
	return out
}

// Signer is the key that new tokens are signed by: of those in the state KeySigning the one that began last.
func (s *Keys) Signer(now time.Duration) *Key {
	var best *Key
	for _, k := range s.All() {
		if k.State(now) == KeySigning && (best == nil || cmp.Compare(k.SignFrom, best.SignFrom) > 0) {
			best = k
		}
	}
	return best
}

// Rotation is the times of a rotation: the new key is published at once and taken after Publish, when every reader has it;
// it signs after Accept more; the old one is taken for Overlap more, as long as the longest token lives, and then retires.
type Rotation struct{ Publish, Accept, Overlap time.Duration }

// Rotate gives the times of the next key, and brings those of the present signers to their ends.
func (r Rotation) Rotate(now time.Duration, next *Key, present []*Key) {
	next.NotBefore = now + r.Publish
	next.SignFrom = next.NotBefore + r.Accept
	for _, k := range present {
		if s := k.State(now); s == KeyRetired || k.SignUntil > 0 && k.SignUntil <= next.SignFrom {
			continue // on its way out already
		}
		k.SignUntil = next.SignFrom
		k.RetireAfter = next.SignFrom + r.Overlap
	}
}

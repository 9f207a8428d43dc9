package identity

import (
	"crypto/ecdsa"
	"crypto/ed25519"
	"crypto/elliptic"
	"crypto/sha256"
	"fmt"
	"strings"
	"time"
)

// Algorithm is how a key signs, by its name in JWS (RFC 7518, RFC 8037). No other is accepted, and "none" is none.
type Algorithm string

// The algorithms.
const (
	EdDSA Algorithm = "EdDSA"
	ES256 Algorithm = "ES256"
)

// KeyState is the state of a key in its rotation.
type KeyState uint8

// The states of a key.
const (
	KeyPending  KeyState = iota // published, and not accepted yet
	KeySigning                  // accepted, and new tokens are signed by it
	KeyAccepted                 // accepted, and no new tokens are signed by it
	KeyRetired                  // not accepted any more
)

// String returns the word that operators read.
func (s KeyState) String() string { return [...]string{"coming", "signing", "accepted", "retired"}[s] }

// Key is a public key with its times, on the Unix clock. It is accepted from NotBefore until RetireAfter, and new
// tokens are signed by it from SignFrom until SignUntil. A zero end is none.
type Key struct {
	ID          string
	Algorithm   Algorithm
	Public      any // ed25519.PublicKey or *ecdsa.PublicKey on P-256
	NotBefore   time.Duration
	SignFrom    time.Duration
	SignUntil   time.Duration
	RetireAfter time.Duration
}

// State returns the key's state at a time.
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

// keyThumbprint identifies a key by its bytes, independently of its id.
type keyThumbprint [sha256.Size]byte

// thumbprint returns the key's thumbprint, or an error if it is no public key of its algorithm.
func (k *Key) thumbprint() (keyThumbprint, error) {
	switch public := k.Public.(type) {
	case ed25519.PublicKey:
		if k.Algorithm == EdDSA && len(public) == ed25519.PublicKeySize {
			return sha256.Sum256(append([]byte("Ed25519 "), public...)), nil
		}
	case *ecdsa.PublicKey:
		if k.Algorithm == ES256 && public != nil && public.Curve == elliptic.P256() {
			point, err := public.Bytes()
			return sha256.Sum256(append([]byte("P-256 "), point...)), err
		}
	}
	return keyThumbprint{}, fmt.Errorf("key %q: no public key for %q", k.ID, k.Algorithm)
}

// samePublicKey reports whether two keys have the same public half; without both of them they have not.
func samePublicKey(a, b *Key) bool {
	if a == nil || b == nil {
		return false
	}
	ofA, errA := a.thumbprint()
	ofB, errB := b.thumbprint()
	return errA == nil && errB == nil && ofA == ofB
}

// maxIDBytes is the longest id of a key.
const maxIDBytes = 64

// ValidID returns an error unless a text can name a key: a plain word, so that nothing is ever looked up by what it
// might mean as a path.
func ValidID(id string) error {
	ok := id != "" && len(id) <= maxIDBytes
	for i := range len(id) {
		c := id[i]
		isLetter := c|0x20 >= 'a' && c|0x20 <= 'z'
		isDigit := c >= '0' && c <= '9'
		isMark := c == '-' || c == '_' || c == '.'
		ok = ok && (isLetter || isDigit || isMark && i > 0)
	}
	if !ok || strings.Contains(id, "..") {
		const expected = "expected up to 64 letters, digits, hyphens, underscores and dots"
		return fmt.Errorf("key id %.80q: %s", id, expected)
	}
	return nil
}

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

// Algorithm is a signature algorithm by its JWS name (RFC 7518, RFC 8037). Other algorithms, such as "none", are not
// accepted.
type Algorithm string

// The accepted algorithms.
const (
	EdDSA Algorithm = "EdDSA"
	ES256 Algorithm = "ES256"
)

// KeyState is the state of a key in its rotation.
type KeyState uint8

// The states of a key.
const (
	KeyPending  KeyState = iota // published but not accepted yet
	KeySigning                  // accepted; new tokens are signed with it
	KeyAccepted                 // accepted; no new tokens are signed with it
	KeyRetired                  // no longer accepted
)

// String returns the state's name in the output for operators.
func (s KeyState) String() string { return [...]string{"coming", "signing", "accepted", "retired"}[s] }

// Key is a public key with its validity times in Unix time. It is accepted from NotBefore until RetireAfter, and new
// tokens are signed with it from SignFrom until SignUntil. A zero RetireAfter or SignUntil means no end.
type Key struct {
	ID          string
	Algorithm   Algorithm
	Public      any // ed25519.PublicKey or *ecdsa.PublicKey on P-256
	NotBefore   time.Duration
	SignFrom    time.Duration
	SignUntil   time.Duration
	RetireAfter time.Duration
}

// State returns the key's state at a Unix time.
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

// keyThumbprint identifies a public key by its bytes, independently of its id.
type keyThumbprint [sha256.Size]byte

// thumbprint returns the key's thumbprint, or an error if Public is not a public key for the key's algorithm.
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
	return keyThumbprint{}, fmt.Errorf("key %q: no public key for algorithm %q", k.ID, k.Algorithm)
}

// samePublicKey reports whether two keys have the same public key. It returns false if one of them is nil.
func samePublicKey(a, b *Key) bool {
	if a == nil || b == nil {
		return false
	}
	thumbprintA, errA := a.thumbprint()
	thumbprintB, errB := b.thumbprint()
	return errA == nil && errB == nil && thumbprintA == thumbprintB
}

// maxIDBytes is the maximum length of a key id.
const maxIDBytes = 64

// ValidID returns an error unless a text is a valid key id. Ids have no path separators and no "..", so that an id used
// in a file name cannot refer to another directory.
func ValidID(id string) error {
	ok := id != "" && len(id) <= maxIDBytes
	for i := range len(id) {
		c := id[i]
		isLetter := c|0x20 >= 'a' && c|0x20 <= 'z'
		isDigit := c >= '0' && c <= '9'
		isPunctuation := c == '-' || c == '_' || c == '.'
		ok = ok && (isLetter || isDigit || isPunctuation && i > 0)
	}
	if !ok || strings.Contains(id, "..") {
		const expected = "expected up to 64 letters, digits, hyphens, underscores and dots"
		return fmt.Errorf("key id %.80q: %s", id, expected)
	}
	return nil
}

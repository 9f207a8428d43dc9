package keydir

import (
	"crypto/ecdsa"
	"crypto/ed25519"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"encoding/pem"
	"fmt"
	"os"
	"path/filepath"

	"sloequay/internal/atomicfile"
	"sloequay/internal/identity"
)

// pemType is the type of a PEM block with a private key (RFC 7468, section 10).
const pemType = "PRIVATE KEY"

// privatePath returns the path of a key's private key file.
func privatePath(dir, id string) string { return filepath.Join(dir, privateDir, id+".pem") }

// NewKeyPair generates a key pair. It writes the private key to a file that only its owner can access and returns the
// public key. It does not change the key set.
func NewKeyPair(dir, id string, algorithm identity.Algorithm) (identity.Key, error) {
	key := identity.Key{ID: id, Algorithm: algorithm}
	if err := identity.ValidID(id); err != nil {
		return identity.Key{}, err
	}
	public, private, err := generateKeyPair(algorithm)
	if err != nil {
		return key, err
	}
	key.Public = public
	der, err := x509.MarshalPKCS8PrivateKey(private)
	if err != nil {
		return key, err
	}
	if err := os.MkdirAll(filepath.Join(dir, privateDir), 0o700); err != nil {
		return key, err
	}
	path := privatePath(dir, id)
	if _, err := os.Stat(path); err == nil {
		return key, fmt.Errorf("%s already exists", path)
	}
	text := pem.EncodeToMemory(&pem.Block{Type: pemType, Bytes: der})
	return key, atomicfile.Replace(path, text, privateMode)
}

// generateKeyPair generates a key pair.
func generateKeyPair(algorithm identity.Algorithm) (public, private any, err error) {
	switch algorithm {
	case identity.EdDSA:
		return ed25519.GenerateKey(rand.Reader)
	case identity.ES256:
		pair, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
		if err != nil {
			return nil, nil, err
		}
		return &pair.PublicKey, pair, nil
	}
	return nil, nil, fmt.Errorf("algorithm %q: expected %s or %s", algorithm, identity.EdDSA, identity.ES256)
}

// ReadPrivateKey reads the private key that belongs to a public key. Only the owner may have access to its file. It
// returns an ed25519.PrivateKey or an *ecdsa.PrivateKey.
func ReadPrivateKey(dir string, key *identity.Key) (any, error) {
	path := privatePath(dir, key.ID)
	if err := checkPrivate(path); err != nil {
		return nil, err
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	block, _ := pem.Decode(text)
	if block == nil {
		return nil, fmt.Errorf("%s: no PEM block found", path)
	}
	private, err := x509.ParsePKCS8PrivateKey(block.Bytes)
	if err != nil {
		return nil, fmt.Errorf("%s: not a valid PKCS#8 private key", path)
	}
	if !matchesPublicKey(private, key) {
		return nil, fmt.Errorf("%s: private key does not match the public key of %s", path, key.ID)
	}
	return private, nil
}

// matchesPublicKey reports whether a private key belongs to the public key of key.
func matchesPublicKey(private any, key *identity.Key) bool {
	switch private := private.(type) {
	case ed25519.PrivateKey:
		public, ok := key.Public.(ed25519.PublicKey)
		return ok && public.Equal(private.Public())
	case *ecdsa.PrivateKey:
		public, ok := key.Public.(*ecdsa.PublicKey)
		return ok && public.Equal(&private.PublicKey)
	}
	return false
}

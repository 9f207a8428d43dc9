package keydir

import (
	"bytes"
	"crypto/ecdsa"
	"crypto/ed25519"
	"crypto/elliptic"
	"encoding/base64"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"path/filepath"
	"time"

	"sloequay/internal/atomicfile"
	"sloequay/internal/identity"
)

// Values of JWK members.
const (
	typeOKP      = "OKP"
	curveEd25519 = "Ed25519"
	typeEC       = "EC"
	curveP256    = "P-256"
	useSignature = "sig"
)

const (
	coordinateBytes   = 32 // size of a coordinate on both curves
	uncompressedPoint = 4  // first byte of a point in uncompressed form (SEC 1, section 2.3.3)
)

// jwk is a key in JSON form. Times are RFC 3339; an absent time sets no limit.
type jwk struct {
	ID          string `json:"kid"`
	Type        string `json:"kty"`
	Curve       string `json:"crv"`
	Algorithm   string `json:"alg"`
	Use         string `json:"use,omitempty"`
	X           string `json:"x"`
	Y           string `json:"y,omitempty"`
	D           string `json:"d,omitempty"`
	NotBefore   string `json:"not_before,omitempty"`
	SignFrom    string `json:"sign_from,omitempty"`
	SignUntil   string `json:"sign_until,omitempty"`
	RetireAfter string `json:"retire_after,omitempty"`
}

// jwkSet is the JSON form of the key file.
type jwkSet struct {
	Keys []jwk `json:"keys"`
}

// ParseKeys parses a JWK set. An error about a key's members names the key and the member.
func ParseKeys(text []byte) ([]identity.Key, error) {
	var set jwkSet
	decoder := json.NewDecoder(bytes.NewReader(text))
	if err := decoder.Decode(&set); err != nil {
		return nil, fmt.Errorf("not a whole JWK set: %w", err)
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return nil, errors.New("unexpected data after the JWK set")
	}
	if len(set.Keys) == 0 {
		return nil, errors.New("keys: expected at least one key")
	}
	var keys []identity.Key
	for i := range set.Keys {
		key, err := set.Keys[i].key()
		if err != nil {
			return nil, fmt.Errorf("keys[%d] %.64q: %w", i, set.Keys[i].ID, err)
		}
		keys = append(keys, key)
	}
	if _, err := identity.NewKeys(keys); err != nil {
		return nil, err
	}
	return keys, nil
}

// WriteKeys replaces the key set of a directory.
func WriteKeys(dir string, keys []identity.Key) error {
	if _, err := identity.NewKeys(keys); err != nil {
		return err
	}
	var set jwkSet
	for i := range keys {
		member, err := toJWK(&keys[i])
		if err != nil {
			return err
		}
		set.Keys = append(set.Keys, member)
	}
	text, err := json.MarshalIndent(set, "", "  ")
	if err != nil {
		return err
	}
	return atomicfile.Replace(filepath.Join(dir, keysFile), append(text, '\n'), publicMode)
}

// key converts the JWK to a key.
func (j *jwk) key() (identity.Key, error) {
	key := identity.Key{ID: j.ID, Algorithm: identity.Algorithm(j.Algorithm)}
	if j.D != "" {
		return key, errors.New("d: a private key is not allowed in this file")
	}
	var err error
	if key.Public, err = j.publicKey(); err != nil {
		return key, err
	}
	for _, member := range []struct {
		name, text string
		to         *time.Duration
	}{
		{"not_before", j.NotBefore, &key.NotBefore},
		{"sign_from", j.SignFrom, &key.SignFrom},
		{"sign_until", j.SignUntil, &key.SignUntil},
		{"retire_after", j.RetireAfter, &key.RetireAfter},
	} {
		if *member.to, err = parseTime(member.text); err != nil {
			return key, fmt.Errorf("%s: %w", member.name, err)
		}
	}
	return key, nil
}

// publicKey returns an ed25519.PublicKey or an *ecdsa.PublicKey.
func (j *jwk) publicKey() (any, error) {
	x, err := parseCoordinate("x", j.X)
	if err != nil {
		return nil, err
	}
	switch algorithm := identity.Algorithm(j.Algorithm); {
	case j.Type == typeOKP && j.Curve == curveEd25519 && algorithm == identity.EdDSA:
		return ed25519.PublicKey(x), nil
	case j.Type == typeEC && j.Curve == curveP256 && algorithm == identity.ES256:
		y, err := parseCoordinate("y", j.Y)
		if err != nil {
			return nil, err
		}
		point := append(append([]byte{uncompressedPoint}, x...), y...)
		public, err := ecdsa.ParseUncompressedPublicKey(elliptic.P256(), point)
		if err != nil {
			return nil, errors.New("x, y: not a point on P-256")
		}
		return public, nil
	}
	const expected = "expected OKP, Ed25519, EdDSA or EC, P-256, ES256"
	return nil, fmt.Errorf("kty %.20q, crv %.20q, alg %.20q: %s", j.Type, j.Curve, j.Algorithm, expected)
}

// parseCoordinate decodes a fixed-length coordinate from base64url.
func parseCoordinate(name, text string) ([]byte, error) {
	number, err := base64.RawURLEncoding.DecodeString(text)
	if err != nil || len(number) != coordinateBytes {
		return nil, fmt.Errorf("%s: expected 32 bytes in base64url", name)
	}
	return number, nil
}

func toJWK(key *identity.Key) (jwk, error) {
	encode := base64.RawURLEncoding.EncodeToString
	member := jwk{
		ID:          key.ID,
		Algorithm:   string(key.Algorithm),
		Use:         useSignature,
		NotBefore:   formatTime(key.NotBefore),
		SignFrom:    formatTime(key.SignFrom),
		SignUntil:   formatTime(key.SignUntil),
		RetireAfter: formatTime(key.RetireAfter),
	}
	switch public := key.Public.(type) {
	case ed25519.PublicKey:
		member.Type = typeOKP
		member.Curve = curveEd25519
		member.X = encode(public)
	case *ecdsa.PublicKey:
		point, err := public.Bytes()
		if err != nil {
			return member, err
		}
		coordinates := point[1:] // after uncompressedPoint
		member.Type = typeEC
		member.Curve = curveP256
		member.X = encode(coordinates[:coordinateBytes])
		member.Y = encode(coordinates[coordinateBytes:])
	default:
		return member, fmt.Errorf("key %s: missing or unsupported public key", key.ID)
	}
	return member, nil
}

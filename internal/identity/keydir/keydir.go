// Package keydir keeps an identity's keys and revocations in a directory: keys.json, a JWK set (RFC 7517, RFC 8037) with
// the times of each key; revoked, a line a revocation; tsig, a line a shared secret of DNS; and private/ID.pem, which only who signs needs. What is read is read
// whole or not at all, and what is written replaces a file by a rename.
package keydir

import (
	"bufio"
	"bytes"
	"crypto/ecdsa"
	"crypto/ed25519"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"encoding/base64"
	"encoding/json"
	"encoding/pem"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strings"
	"time"

	"sloequay/internal/atomicfile"
	"sloequay/internal/identity"
	"sloequay/internal/identity/tsig"
)

// Names of the files.
const (
	keysFile    = "keys.json"
	revokedFile = "revoked"
	tsigFile    = "tsig"
	privateDir  = "private"
)

const mostBytes = 4 << 20

// jwk is one key. Times are RFC 3339; absent: no such limit.
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

type set struct {
	Keys []jwk `json:"keys"`
}

// Revocation is one line of the file of revocations.
type Revocation struct {
	What  identity.RevocationKind
	Name  string
	Until time.Duration
}

// Content is all that a directory says.
type Content struct {
	Keys    []identity.Key
	Revoked []Revocation
	TSIG    []tsig.Key
}

func stamp(d time.Duration) string {
	if d == 0 {
		return ""
	}
	return time.Unix(0, int64(d)).UTC().Format(time.RFC3339Nano)
}

func parseStamp(s string) (time.Duration, error) {
	if s == "" {
		return 0, nil
	}
	t, err := time.Parse(time.RFC3339Nano, s)
	if err != nil || t.Year() < 1970 || t.Year() > 2200 {
		return 0, fmt.Errorf("%.40q is no time as 2026-01-02T15:04:05Z", s)
	}
	return time.Duration(t.UnixNano()), nil
}

// coordinate reads a fixed-length number in base64url.
func coordinate(name, text string) ([]byte, error) {
	b, err := base64.RawURLEncoding.DecodeString(text)
	if err != nil || len(b) != 32 {
		return nil, fmt.Errorf("%s: expected 32 bytes in base64url", name)
	}
	return b, nil
}

func (j *jwk) key() (k identity.Key, err error) {
	k = identity.Key{ID: j.ID, Algorithm: identity.Algorithm(j.Algorithm)}
	if j.D != "" {
		return k, errors.New("d: a private key has no place in this file")
	}
	x, err := coordinate("x", j.X)
	if err != nil {
		return k, err
	}
	switch {
	case j.Type == "OKP" && j.Curve == "Ed25519" && k.Algorithm == identity.EdDSA:
		k.Public = ed25519.PublicKey(x)
	case j.Type == "EC" && j.Curve == "P-256" && k.Algorithm == identity.ES256:
		y, err := coordinate("y", j.Y)
		if err != nil {
			return k, err
		}
		if k.Public, err = ecdsa.ParseUncompressedPublicKey(elliptic.P256(), append(append([]byte{4}, x...), y...)); err != nil {
			return k, errors.New("x, y: no point of P-256")
		}
	default:
		return k, fmt.Errorf("kty %.20q, crv %.20q, alg %.20q: expected OKP, Ed25519, EdDSA or EC, P-256, ES256", j.Type, j.Curve, j.Algorithm)
	}
	for _, f := range []struct {
		name, text string
		to         *time.Duration
	}{{"not_before", j.NotBefore, &k.NotBefore}, {"sign_from", j.SignFrom, &k.SignFrom}, {"sign_until", j.SignUntil, &k.SignUntil},
		{"retire_after", j.RetireAfter, &k.RetireAfter}} {
		if *f.to, err = parseStamp(f.text); err != nil {
			return k, fmt.Errorf("%s: %w", f.name, err)
		}
	}
	return k, nil
}

func toJWK(k *identity.Key) (jwk, error) {
	enc := base64.RawURLEncoding.EncodeToString
	j := jwk{ID: k.ID, Algorithm: string(k.Algorithm), Use: "sig", NotBefore: stamp(k.NotBefore), SignFrom: stamp(k.SignFrom),
		SignUntil: stamp(k.SignUntil), RetireAfter: stamp(k.RetireAfter)}
	switch p := k.Public.(type) {
	case ed25519.PublicKey:
		j.Type, j.Curve, j.X = "OKP", "Ed25519", enc(p)
	case *ecdsa.PublicKey:
		point, err := p.Bytes()
		if err != nil {
			return j, err
		}
		j.Type, j.Curve, j.X, j.Y = "EC", "P-256", enc(point[1:33]), enc(point[33:])
	default:
		return j, fmt.Errorf("key %s: no public key", k.ID)
	}
	return j, nil
}

// ParseKeys reads a JWK set. Errors name the key and the member.
func ParseKeys(text []byte) ([]identity.Key, error) {
	var s set
	d := json.NewDecoder(bytes.NewReader(text))
	if err := d.Decode(&s); err != nil {
		return nil, fmt.Errorf("not a whole JWK set: %w", err)
	}
	if _, err := d.Token(); !errors.Is(err, io.EOF) {
		return nil, errors.New("something follows the JWK set")
	}
	if len(s.Keys) == 0 {
		return nil, errors.New("keys: there is none")
	}
	var out []identity.Key
	for i := range s.Keys {
		k, err := s.Keys[i].key()
		if err != nil {
			return nil, fmt.Errorf("keys[%d] %.64q: %w", i, s.Keys[i].ID, err)
		}
		out = append(out, k)
	}
	if _, err := identity.NewKeys(out); err != nil {
		return nil, err
	}
	return out, nil
}

// ParseRevoked reads revocations, one a line: token, subject or key, the name, and until when it holds.
func ParseRevoked(text []byte) (out []Revocation, err error) {
	lines := bufio.NewScanner(bytes.NewReader(text))
	for n := 1; lines.Scan(); n++ {
		words := strings.Fields(lines.Text())
		if len(words) == 0 || strings.HasPrefix(words[0], "#") {
			continue
		}
		r := Revocation{What: 255}
		for w := identity.RevokedToken; w <= identity.RevokedKey; w++ {
			if w.String() == words[0] {
				r.What = w
			}
		}
		if len(words) != 3 || r.What == 255 {
			return nil, fmt.Errorf("line %d: expected token, subject or key, a name, and a time", n)
		}
		r.Name = words[1]
		if r.Until, err = parseStamp(words[2]); err != nil {
			return nil, fmt.Errorf("line %d: %w", n, err)
		}
		out = append(out, r)
	}
	return out, lines.Err()
}

// readFile reads a file that only its owner can write: who can write it can let himself in.
func readFile(path string) ([]byte, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	info, err := f.Stat()
	switch {
	case err != nil:
		return nil, err
	case info.Mode().Perm()&0o022 != 0:
		return nil, fmt.Errorf("%s: its mode %v lets others write it", path, info.Mode().Perm())
	case !info.Mode().IsRegular() || info.Size() > mostBytes:
		return nil, fmt.Errorf("%s: expected a file of at most %d bytes", path, mostBytes)
	}
	return io.ReadAll(io.LimitReader(f, mostBytes))
}

// Read reads a directory. Any fault is an error that names the file, and then nothing of it counts. Without a file of
// revocations there are none.
func Read(dir string) (c Content, err error) {
	path := filepath.Join(dir, keysFile)
	text, err := readFile(path)
	if err != nil {
		return c, err
	}
	if c.Keys, err = ParseKeys(text); err != nil {
		return c, fmt.Errorf("%s: %w", path, err)
	}
	path = filepath.Join(dir, revokedFile)
	if text, err = readFile(path); err != nil && !errors.Is(err, os.ErrNotExist) {
		return c, err
	}
	if c.Revoked, err = ParseRevoked(text); err != nil {
		return c, fmt.Errorf("%s: %w", path, err)
	}
	c.TSIG, err = readTSIG(dir)
	return c, err
}

// readTSIG reads the secrets of DNS, which only their owner may read.
func readTSIG(dir string) ([]tsig.Key, error) {
	path := filepath.Join(dir, tsigFile)
	info, err := os.Stat(path)
	switch {
	case errors.Is(err, os.ErrNotExist):
		return nil, nil
	case err != nil:
		return nil, err
	case info.Mode().Perm()&0o077 != 0:
		return nil, fmt.Errorf("%s: its mode %v lets others read it", path, info.Mode().Perm())
	}
	text, err := readFile(path)
	if err != nil {
		return nil, err
	}
	keys, err := ParseTSIG(text)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return keys, nil
}

// ParseTSIG reads keys, one a line: name, algorithm, secret in base64, tenant, subject. An error never has a secret.
func ParseTSIG(text []byte) (out []tsig.Key, err error) {
	lines := bufio.NewScanner(bytes.NewReader(text))
	for n := 1; lines.Scan(); n++ {
		words := strings.Fields(lines.Text())
		if len(words) == 0 || strings.HasPrefix(words[0], "#") {
			continue
		}
		if len(words) != 5 {
			return nil, fmt.Errorf("line %d: expected a name, an algorithm, a secret, a tenant and a subject", n)
		}
		out = append(out, tsig.Key{Name: words[0], Algorithm: words[1], Secret: words[2], Tenant: words[3], Subject: words[4]})
	}
	if err = lines.Err(); err == nil {
		_, err = tsig.New(out)
	}
	return out, err
}

// AddTSIGKey makes a key with a secret of its own and adds it to the file.
func AddTSIGKey(dir string, k tsig.Key) (tsig.Key, error) {
	all, err := readTSIG(dir)
	if err != nil {
		return k, err
	}
	b := make([]byte, 32)
	if _, err := rand.Read(b); err != nil {
		return k, err
	}
	k.Secret = base64.StdEncoding.EncodeToString(b)
	all = append(all, k)
	if _, err := tsig.New(all); err != nil {
		return k, err
	}
	var text bytes.Buffer
	for _, o := range all {
		for _, word := range []string{o.Name, o.Tenant, o.Subject} {
			if strings.ContainsAny(word, " \t\r\n") {
				return k, fmt.Errorf("%q has a blank", word)
			}
		}
		fmt.Fprintln(&text, o.Name, o.Algorithm, o.Secret, o.Tenant, o.Subject)
	}
	return k, atomicfile.Replace(filepath.Join(dir, tsigFile), text.Bytes(), 0o600)
}

// Fingerprint tells whether a directory's files may have changed: their times, sizes and numbers.
func Fingerprint(dir string) string {
	out := ""
	for _, name := range []string{keysFile, revokedFile, tsigFile} {
		if info, err := os.Stat(filepath.Join(dir, name)); err == nil {
			out += fmt.Sprintf("%s %d %d %v %v;", name, info.Size(), info.ModTime().UnixNano(), info.Mode(), info.Sys())
		}
	}
	return out
}

// WriteKeys replaces the key set.
func WriteKeys(dir string, keys []identity.Key) error {
	if _, err := identity.NewKeys(keys); err != nil {
		return err
	}
	var s set
	for i := range keys {
		j, err := toJWK(&keys[i])
		if err != nil {
			return err
		}
		s.Keys = append(s.Keys, j)
	}
	text, err := json.MarshalIndent(s, "", "  ")
	if err != nil {
		return err
	}
	return atomicfile.Replace(filepath.Join(dir, keysFile), append(text, '\n'), 0o644)
}

// NewKeyPair makes a key pair: the public half is returned, the private one written for its owner alone.
func NewKeyPair(dir, id string, a identity.Algorithm) (k identity.Key, err error) {
	if err := identity.ValidID(id); err != nil {
		return k, err
	}
	k = identity.Key{ID: id, Algorithm: a}
	var private any
	switch a {
	case identity.EdDSA:
		var public ed25519.PublicKey
		public, private, err = ed25519.GenerateKey(rand.Reader)
		k.Public = public
	case identity.ES256:
		var pair *ecdsa.PrivateKey
		if pair, err = ecdsa.GenerateKey(elliptic.P256(), rand.Reader); err == nil {
			private, k.Public = pair, &pair.PublicKey
		}
	default:
		err = fmt.Errorf("algorithm %q: expected %s or %s", a, identity.EdDSA, identity.ES256)
	}
	if err != nil {
		return k, err
	}
	der, err := x509.MarshalPKCS8PrivateKey(private)
	if err != nil {
		return k, err
	}
	if err := os.MkdirAll(filepath.Join(dir, privateDir), 0o700); err != nil {
		return k, err
	}
	path := filepath.Join(dir, privateDir, id+".pem")
	if _, err := os.Stat(path); err == nil {
		return k, fmt.Errorf("%s is there already", path)
	}
	return k, atomicfile.Replace(path, pem.EncodeToMemory(&pem.Block{Type: "PRIVATE KEY", Bytes: der}), 0o600)
}

// ReadPrivateKey reads the private half of a key, which must be that of the public one, and readable by its owner alone.
func ReadPrivateKey(dir string, k *identity.Key) (any, error) {
	path := filepath.Join(dir, privateDir, k.ID+".pem")
	info, err := os.Stat(path)
	if err != nil {
		return nil, err
	}
	if info.Mode().Perm()&0o077 != 0 {
		return nil, fmt.Errorf("%s: its mode %v lets others read it", path, info.Mode().Perm())
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	block, _ := pem.Decode(text)
	if block == nil {
		return nil, fmt.Errorf("%s: no PEM", path)
	}
	private, err := x509.ParsePKCS8PrivateKey(block.Bytes)
	if err != nil {
		return nil, fmt.Errorf("%s: no PKCS#8 key", path)
	}
	matches := false
	switch p := private.(type) {
	case ed25519.PrivateKey:
		public, ok := k.Public.(ed25519.PublicKey)
		matches = ok && public.Equal(p.Public())
	case *ecdsa.PrivateKey:
		public, ok := k.Public.(*ecdsa.PublicKey)
		matches = ok && public.Equal(&p.PublicKey)
	}
	if !matches {
		return nil, fmt.Errorf("%s: it is not the private half of key %s", path, k.ID)
	}
	return private, nil
}

// Revoke adds a revocation, and drops those that have ended.
func Revoke(dir string, now time.Duration, add Revocation) error {
	path := filepath.Join(dir, revokedFile)
	text, err := readFile(path)
	if err != nil && !errors.Is(err, os.ErrNotExist) {
		return err
	}
	all, err := ParseRevoked(text)
	if err != nil {
		return fmt.Errorf("%s: %w", path, err)
	}
	if strings.ContainsAny(add.Name, " \t\r\n") || add.Name == "" {
		return fmt.Errorf("%q can't be revoked by name", add.Name)
	}
	var b bytes.Buffer
	for _, r := range append(all, add) {
		if r.Until > now {
			fmt.Fprintf(&b, "%v %s %s\n", r.What, r.Name, stamp(r.Until))
		}
	}
	return atomicfile.Replace(path, b.Bytes(), 0o644)
}

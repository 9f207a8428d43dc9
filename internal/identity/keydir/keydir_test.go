package keydir

import (
	"crypto/ed25519"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"sloequay/internal/identity"
)

const now = 1_800_000_000 * time.Second

func createKeyDirectory(t testing.TB) (string, []identity.Key) {
	t.Helper()
	dir := t.TempDir()
	var keys []identity.Key
	for id, a := range map[string]identity.Algorithm{"k1": identity.EdDSA, "k2": identity.ES256} {
		k, err := NewKeyPair(dir, id, a)
		if err != nil {
			t.Fatal(err)
		}
		k.NotBefore, k.RetireAfter = now, now+time.Hour
		keys = append(keys, k)
	}
	if err := WriteKeys(dir, keys); err != nil {
		t.Fatal(err)
	}
	return dir, keys
}

// TestRoundTrip checks that written keys and revocations are read back unchanged, that tokens are signed and verified
// with the keys, and that private key files are accessible only by their owner.
func TestRoundTrip(t *testing.T) {
	dir, keys := createKeyDirectory(t)
	if err := Revoke(dir, now, Revocation{identity.RevokedSubject, "s1", now + time.Hour}); err != nil {
		t.Fatal(err)
	}
	if err := Revoke(dir, now+2*time.Hour, Revocation{identity.RevokedToken, "t9", now + 3*time.Hour}); err != nil {
		t.Fatal(err)
	}
	c, err := Read(dir)
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff([]Revocation{{identity.RevokedToken, "t9", now + 3*time.Hour}}, c.Revoked); diff != "" {
		t.Errorf("revocations, without the expired one (-want +got):\n%s", diff)
	}
	for i := range keys {
		k := &c.Keys[i]
		if k.NotBefore != now || k.RetireAfter != now+time.Hour {
			t.Errorf("times of key %s: got %+v, want now and an hour later", k.ID, k)
		}
		private, err := ReadPrivateKey(dir, k)
		if err != nil {
			t.Fatal(err)
		}
		signed := identity.Claims{ID: "t1", Subject: "s1", Tenant: "lanes", Expires: now}
		token, err := identity.Sign(signed, "", k.Algorithm, k.ID, private)
		if err != nil {
			t.Fatal(err)
		}
		if claims, reason := identity.Verify(token, k); reason != identity.Allowed || claims.Subject != "s1" {
			t.Errorf("token of key %s: got %v, claims %+v, want allowed, subject s1", k.ID, reason, claims)
		}
		info, err := os.Stat(filepath.Join(dir, "private", k.ID+".pem"))
		if err != nil || info.Mode().Perm() != 0o600 {
			t.Errorf("private key file of %s: got mode %v, error %v, want 0600", k.ID, info.Mode(), err)
		}
	}
	if _, err := NewKeyPair(dir, "k1", identity.EdDSA); err == nil {
		t.Error("NewKeyPair with an existing id: got no error, want one")
	}
	other := c.Keys[0]
	other.Public = ed25519.PublicKey(make([]byte, 32))
	if _, err := ReadPrivateKey(dir, &other); err == nil {
		t.Error("ReadPrivateKey with another public key: got no error, want one")
	}
	path := filepath.Join(dir, "private", c.Keys[0].ID+".pem")
	if err := os.Chmod(path, 0o640); err != nil {
		t.Fatal(err)
	}
	if _, err := ReadPrivateKey(dir, &c.Keys[0]); err == nil || !strings.Contains(err.Error(), "lets others read it") {
		t.Errorf("private key that others can read: got error %v, want one that says so", err)
	}
}

// TestInvalidDirectoriesAreRejected checks that Read rejects an incomplete or invalid key directory with the reason,
// including a key set that is truncated at any length.
func TestInvalidDirectoriesAreRejected(t *testing.T) {
	dir, _ := createKeyDirectory(t)
	path := filepath.Join(dir, "keys.json")
	valid, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	for n := range len(valid) - 1 { // the last byte is the newline
		if err := os.WriteFile(path, valid[:n], 0o644); err != nil {
			t.Fatal(err)
		}
		if c, err := Read(dir); err == nil {
			t.Fatalf("first %d of %d bytes: got %d keys, want an error", n, len(valid), len(c.Keys))
		}
	}
	for name, c := range map[string]struct {
		text string
		mode os.FileMode
		want string
	}{
		"writable by others": {string(valid), 0o666, "lets others write it"},
		"no keys":            {`{"keys":[]}`, 0o644, "expected at least one key"},
		"private key": {strings.Replace(string(valid), `"kid"`, `"d": "AAAA", "kid"`, 1), 0o644,
			"private key"},
		"id with a path":        {strings.Replace(string(valid), `"k1"`, `"../k1"`, 1), 0o644, "key id"},
		"unsupported algorithm": {strings.Replace(string(valid), `"EdDSA"`, `"HS256"`, 1), 0o644, "expected OKP"},
		"invalid time": {strings.Replace(string(valid), `"not_before": "2`, `"not_before": "x`, 1), 0o644,
			"not_before"},
		"trailing data":     {string(valid) + "{}", 0o644, "unexpected data after"},
		"wrong length of y": {strings.Replace(string(valid), `"y": "`, `"y": "A`, 1), 0o644, "y: expected 32 bytes"},
	} {
		if err := os.Remove(path); err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(path, []byte(c.text), c.mode); err != nil {
			t.Fatal(err)
		}
		_ = os.Chmod(path, c.mode)
		if _, err := Read(dir); err == nil || !strings.Contains(err.Error(), c.want) {
			t.Errorf("%s: got error %v, want one with %q", name, err, c.want)
		}
	}
	if err := os.RemoveAll(dir); err != nil {
		t.Fatal(err)
	}
	if _, err := Read(dir); err == nil {
		t.Error("missing directory: got no error, want one")
	}
}

// FuzzParse checks that no file causes a panic, and that a parsed key set can be written and read back.
func FuzzParse(f *testing.F) {
	dir, _ := createKeyDirectory(f)
	valid, err := os.ReadFile(filepath.Join(dir, "keys.json"))
	if err != nil {
		f.Fatal(err)
	}
	f.Add(valid, []byte("token t1 2030-01-01T00:00:00Z\n"))
	f.Add([]byte(`{"keys":[{"kid":"a","kty":"OKP"}]}`), []byte("# none\nkey k 1\n"))
	f.Fuzz(func(t *testing.T, keys, revoked []byte) {
		if all, err := ParseKeys(keys); err == nil {
			if err := WriteKeys(dir, all); err != nil {
				t.Fatalf("writing parsed keys: got error %v, want none", err)
			}
			if c, err := Read(dir); err != nil || len(c.Keys) != len(all) {
				t.Fatalf("reading written keys: got error %v, want the same number of keys", err)
			}
		}
		_, _ = ParseRevoked(revoked)
		_, _ = ParseTSIG(revoked)
	})
}

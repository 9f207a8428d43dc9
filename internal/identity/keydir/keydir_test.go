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

func made(t testing.TB) (string, []identity.Key) {
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

// TestRoundTrip: what is written is read as it was, tokens are signed and verified by it, and private halves are
// their owner's alone.
func TestRoundTrip(t *testing.T) {
	dir, keys := made(t)
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
		t.Errorf("revocations, without the one that has ended (-want +got):\n%s", diff)
	}
	for i := range keys {
		k := &c.Keys[i]
		if k.NotBefore != now || k.RetireAfter != now+time.Hour {
			t.Errorf("times of %s: %+v", k.ID, k)
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
			t.Errorf("%s: %v %+v", k.ID, reason, claims)
		}
		info, err := os.Stat(filepath.Join(dir, "private", k.ID+".pem"))
		if err != nil || info.Mode().Perm() != 0o600 {
			t.Errorf("%s: %v, %v", k.ID, info.Mode(), err)
		}
	}
	if _, err := NewKeyPair(dir, "k1", identity.EdDSA); err == nil {
		t.Error("a key is made over another")
	}
	other := c.Keys[0]
	other.Public = ed25519.PublicKey(make([]byte, 32))
	if _, err := ReadPrivateKey(dir, &other); err == nil {
		t.Error("the private half of another key is taken")
	}
	path := filepath.Join(dir, "private", c.Keys[0].ID+".pem")
	if err := os.Chmod(path, 0o640); err != nil {
		t.Fatal(err)
	}
	if _, err := ReadPrivateKey(dir, &c.Keys[0]); err == nil || !strings.Contains(err.Error(), "lets others read it") {
		t.Errorf("a private key that others can read: %v", err)
	}
}

// TestRefused: a directory that is not whole is refused with the file and the reason, at every length of a
// half-written set.
func TestRefused(t *testing.T) {
	dir, _ := made(t)
	path := filepath.Join(dir, "keys.json")
	sound, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	for n := range len(sound) - 1 { // the last byte is the line's end
		if err := os.WriteFile(path, sound[:n], 0o644); err != nil {
			t.Fatal(err)
		}
		if c, err := Read(dir); err == nil {
			t.Fatalf("the first %d of %d bytes are read as %d keys", n, len(sound), len(c.Keys))
		}
	}
	for name, c := range map[string]struct {
		text string
		mode os.FileMode
		want string
	}{
		"others may write it": {string(sound), 0o666, "lets others write it"},
		"no keys":             {`{"keys":[]}`, 0o644, "there is none"},
		"a private key":       {strings.Replace(string(sound), `"kid"`, `"d": "AAAA", "kid"`, 1), 0o644, "private key"},
		"an id with a path":   {strings.Replace(string(sound), `"k1"`, `"../k1"`, 1), 0o644, "key id"},
		"an odd algorithm":    {strings.Replace(string(sound), `"EdDSA"`, `"HS256"`, 1), 0o644, "expected OKP"},
		"an odd time": {strings.Replace(string(sound), `"not_before": "2`, `"not_before": "x`, 1), 0o644,
			"not_before"},
		"something behind it": {string(sound) + "{}", 0o644, "something follows"},
		"a point on no curve": {strings.Replace(string(sound), `"y": "`, `"y": "A`, 1), 0o644, "y: expected 32 bytes"},
	} {
		if err := os.Remove(path); err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(path, []byte(c.text), c.mode); err != nil {
			t.Fatal(err)
		}
		_ = os.Chmod(path, c.mode)
		if _, err := Read(dir); err == nil || !strings.Contains(err.Error(), c.want) {
			t.Errorf("%s: %v, want %q", name, err, c.want)
		}
	}
	if err := os.RemoveAll(dir); err != nil {
		t.Fatal(err)
	}
	if _, err := Read(dir); err == nil {
		t.Error("a directory that is not there is read")
	}
}

// FuzzParse: no file ends the program, and what is taken is written again as the same keys.
func FuzzParse(f *testing.F) {
	dir, _ := made(f)
	sound, err := os.ReadFile(filepath.Join(dir, "keys.json"))
	if err != nil {
		f.Fatal(err)
	}
	f.Add(sound, []byte("token t1 2030-01-01T00:00:00Z\n"))
	f.Add([]byte(`{"keys":[{"kid":"a","kty":"OKP"}]}`), []byte("# none\nkey k 1\n"))
	f.Fuzz(func(t *testing.T, keys, revoked []byte) {
		if all, err := ParseKeys(keys); err == nil {
			if err := WriteKeys(dir, all); err != nil {
				t.Fatalf("read and not written: %v", err)
			}
			if c, err := Read(dir); err != nil || len(c.Keys) != len(all) {
				t.Fatalf("written and not read: %v", err)
			}
		}
		_, _ = ParseRevoked(revoked)
		_, _ = ParseTSIG(revoked)
	})
}

package keydir

import (
	"crypto/ecdsa"
	"crypto/ed25519"
	"encoding/hex"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"sloequay/internal/identity"
	"sloequay/internal/identity/tsig"
)

const storedAt = 1_790_000_000 * time.Second

// storedDirectory copies the key directory in testdata, whose keys are used by this test only, and sets the required
// file modes, which a checkout does not preserve.
func storedDirectory(t *testing.T) string {
	t.Helper()
	dir := t.TempDir()
	if err := os.Mkdir(filepath.Join(dir, "private"), 0o700); err != nil {
		t.Fatal(err)
	}
	for _, file := range []struct {
		name string
		mode os.FileMode
	}{{"keys.json", 0o644}, {"revoked", 0o644}, {"tsig", 0o600}, {"private/k1.pem", 0o600}, {"private/k2.pem", 0o600}} {
		text, err := os.ReadFile(filepath.Join("testdata/keys", file.name))
		if err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(filepath.Join(dir, file.name), text, file.mode); err != nil {
			t.Fatal(err)
		}
	}
	return dir
}

// publicKeyHex returns the bytes of a public key in hex.
func publicKeyHex(t *testing.T, k *identity.Key) string {
	t.Helper()
	switch p := k.Public.(type) {
	case ed25519.PublicKey:
		return hex.EncodeToString(p)
	case *ecdsa.PublicKey:
		point, err := p.Bytes()
		if err != nil {
			t.Fatal(err)
		}
		return hex.EncodeToString(point)
	}
	t.Fatalf("key %s: got an unknown type of public key", k.ID)
	return ""
}

// TestStoredKeys reads a key directory that an earlier build wrote and compares every value with the written one.
func TestStoredKeys(t *testing.T) {
	content, err := Read(storedDirectory(t))
	if err != nil {
		t.Fatal(err)
	}
	var public []string
	for i := range content.Keys {
		public = append(public, publicKeyHex(t, &content.Keys[i]))
		content.Keys[i].Public = nil
	}
	wantPublic := []string{"4addd782f5a239afd0f68a3fe10a2bd03233e91e5d528d253ade42113eb6f965",
		"04566f40d2e09bae5e7ab7a8b73928348068805ff85c04d3846091757d4b311e62" +
			"8aab5efe97dad95d282263430dd6e3706a6a16b741ffb3487739ef4b622ed17c"}
	if diff := cmp.Diff(wantPublic, public); diff != "" {
		t.Errorf("public keys (-want +got):\n%s", diff)
	}
	want := Content{
		Keys: []identity.Key{
			{ID: "k1", Algorithm: "EdDSA", NotBefore: storedAt, SignFrom: storedAt, SignUntil: storedAt + 2*time.Hour,
				RetireAfter: storedAt + 26*time.Hour + 500*time.Millisecond},
			{ID: "k2", Algorithm: "ES256", NotBefore: storedAt + time.Hour, SignFrom: storedAt + 2*time.Hour},
		},
		Revoked: []Revocation{{Kind: identity.RevokedToken, Name: "t9", Until: storedAt + time.Hour},
			{Kind: identity.RevokedSubject, Name: "s1", Until: storedAt + 2*time.Hour},
			{Kind: identity.RevokedKey, Name: "k0", Until: storedAt + 3*time.Hour}},
		TSIG: []tsig.Key{{Name: "resolver.test.", Algorithm: "hmac-sha256", Tenant: "lanes", Subject: "dns1",
			Secret: "nP8ELBmnFono96vU4ijzEqW38cww2dxO/jombmI6pYs="}},
	}
	if diff := cmp.Diff(want, content); diff != "" {
		t.Errorf("content (-want +got):\n%s", diff)
	}
}

// TestRewritingStoredKeysKeepsBytes checks that writing the stored content again yields the same bytes.
func TestRewritingStoredKeysKeepsBytes(t *testing.T) {
	dir := storedDirectory(t)
	content, err := Read(dir)
	if err != nil {
		t.Fatal(err)
	}
	if err := WriteKeys(dir, content.Keys); err != nil {
		t.Fatal(err)
	}
	if err := os.Remove(filepath.Join(dir, "revoked")); err != nil {
		t.Fatal(err)
	}
	for _, r := range content.Revoked {
		if err := Revoke(dir, storedAt, r); err != nil {
			t.Fatal(err)
		}
	}
	for _, name := range []string{"keys.json", "revoked"} {
		stored, _ := os.ReadFile(filepath.Join("testdata/keys", name))
		written, err := os.ReadFile(filepath.Join(dir, name))
		if diff := cmp.Diff(string(stored), string(written)); err != nil || diff != "" {
			t.Errorf("%s: got error %v, difference (-stored +written):\n%s", name, err, diff)
		}
	}
}

// TestStoredTokens verifies tokens that an earlier build signed with the stored keys. It signs them again and compares
// the Ed25519 token, since Ed25519 signatures are deterministic.
func TestStoredTokens(t *testing.T) {
	dir := storedDirectory(t)
	content, err := Read(dir)
	if err != nil {
		t.Fatal(err)
	}
	for i := range content.Keys {
		k := &content.Keys[i]
		text, err := os.ReadFile("testdata/token-" + k.ID)
		if err != nil {
			t.Fatal(err)
		}
		token := strings.TrimSpace(string(text))
		claims, reason := identity.Verify(token, k)
		if reason != identity.Allowed || claims.ID != "t1" || claims.Subject != "s2" || claims.Tenant != "lanes" ||
			claims.Expires != storedAt+time.Hour {
			t.Errorf("token of key %s: got %v, id %s, subject %s, tenant %s, expiry %v, want t1, s2, lanes, 1 h",
				k.ID, reason, claims.ID, claims.Subject, claims.Tenant, claims.Expires)
		}
		private, err := ReadPrivateKey(dir, k)
		if err != nil {
			t.Fatal(err)
		}
		wanted := identity.Claims{ID: "t1", Subject: "s2", Tenant: "lanes", Expires: storedAt + time.Hour}
		signed, err := identity.Sign(wanted, "doorman", k.Algorithm, k.ID, private)
		if err != nil || k.Algorithm == identity.EdDSA && signed != token {
			t.Errorf("signing with key %s: got error %v, token %s, want %s", k.ID, err, signed, token)
		}
	}
}

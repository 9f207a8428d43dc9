package identity

import (
	"crypto/ecdsa"
	"crypto/ed25519"
	"crypto/elliptic"
	"crypto/rand"
	"fmt"
	"strings"
	"testing"
	"time"
)

const start = 1_800_000_000 * time.Second

// maker makes keys and tokens.
type maker struct {
	t    testing.TB
	keys map[string]any
	n    int
}

func newMaker(t testing.TB) *maker { return &maker{t: t, keys: map[string]any{}} }

func (m *maker) key(id string, a Algorithm) Key {
	m.t.Helper()
	k := Key{ID: id, Algorithm: a}
	if a == EdDSA {
		public, private, err := ed25519.GenerateKey(rand.Reader)
		if err != nil {
			m.t.Fatal(err)
		}
		k.Public, m.keys[id] = public, private
		return k
	}
	private, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		m.t.Fatal(err)
	}
	k.Public, m.keys[id] = &private.PublicKey, private
	return k
}

// token signs claims; what is not told is that of a sound one of subject s1 of lanes, for an hour.
func (m *maker) token(k Key, change func(*Claims)) string {
	m.t.Helper()
	m.n++
	c := Claims{ID: fmt.Sprint("t", m.n), Subject: "s1", Tenant: "lanes", Issued: start, Expires: start + time.Hour}
	if change != nil {
		change(&c)
	}
	text, err := Sign(c, "doorman", k.Algorithm, k.ID, m.keys[k.ID])
	if err != nil {
		m.t.Fatal(err)
	}
	return text
}

func rules(t testing.TB, texts ...string) (out []Rule) {
	t.Helper()
	for _, text := range texts {
		words := strings.Fields(text)
		r, err := ParseRule(words[0] == "deny", words[1:])
		if err != nil {
			t.Fatal(err)
		}
		out = append(out, r)
	}
	return out
}

func testRights(t testing.TB, unsigned string) *Rights {
	t.Helper()
	r, err := NewRights([]Tenant{{Name: "lanes", Rules: rules(t, "right charge lookup")},
		{Name: "staff", Rules: rules(t, "right lookup footage", "deny footage group=7")},
		{Name: "open", Rules: rules(t, "right lookup")}}, unsigned)
	if err != nil {
		t.Fatal(err)
	}
	return r
}

func keySet(t testing.TB, keys ...Key) *Keys {
	t.Helper()
	s, err := NewKeys(keys)
	if err != nil {
		t.Fatal(err)
	}
	return s
}

// newTestAuthenticator makes an authenticator with keys and the rights of testRights.
func newTestAuthenticator(t testing.TB, keys ...Key) *Authenticator {
	cfg := Defaults()
	cfg.Policy.Audience = "doorman"
	g := NewAuthenticator(cfg, testRights(t, "open"))
	g.SetKeys(keySet(t, keys...))
	return g
}

// call takes a call to its outcome, checking the signature where that is asked for.
func call(g *Authenticator, now time.Duration, c *Call) *Outcome {
	if c.Caller == nil {
		c.Caller = &Caller{Frontend: "rpc"}
	}
	o, j := g.Authenticate(now, c)
	if j != nil {
		claims, reason := Verify(j.Token, j.Key)
		o = g.SignatureChecked(now, j, claims, reason)[0]
	}
	return o
}

// badToken is a token like a good one whose signature does not hold; each number has one of its own.
func badToken(good string, number int) string {
	return fmt.Sprintf("%s%06d", good[:len(good)-6], number)
}

// charge is the access that most tests ask for.
var charge = Access{Class: "charge"}

// verifiedClaims are the claims of a sound token of a subject, as Verify returns them.
func verifiedClaims(id, subject, keyID string) Claims {
	return Claims{
		ID:       id,
		Subject:  subject,
		Tenant:   "lanes",
		KeyID:    keyID,
		Expires:  start + time.Hour,
		audience: []string{"doorman"},
	}
}

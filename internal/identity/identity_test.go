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

// tokenIssuer generates keys and signs tokens with them.
type tokenIssuer struct {
	t      testing.TB
	keys   map[string]any
	tokens int
}

func newTokenIssuer(t testing.TB) *tokenIssuer { return &tokenIssuer{t: t, keys: map[string]any{}} }

func (issuer *tokenIssuer) key(id string, a Algorithm) Key {
	issuer.t.Helper()
	k := Key{ID: id, Algorithm: a}
	if a == EdDSA {
		public, private, err := ed25519.GenerateKey(rand.Reader)
		if err != nil {
			issuer.t.Fatal(err)
		}
		k.Public, issuer.keys[id] = public, private
		return k
	}
	private, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		issuer.t.Fatal(err)
	}
	k.Public, issuer.keys[id] = &private.PublicKey, private
	return k
}

// token signs a token of subject s1 of tenant lanes that is valid for an hour, unless change sets other claims.
func (issuer *tokenIssuer) token(k Key, change func(*Claims)) string {
	issuer.t.Helper()
	issuer.tokens++
	c := Claims{
		ID: fmt.Sprint("t", issuer.tokens), Subject: "s1", Tenant: "lanes", Issued: start, Expires: start + time.Hour,
	}
	if change != nil {
		change(&c)
	}
	text, err := Sign(c, "doorman", k.Algorithm, k.ID, issuer.keys[k.ID])
	if err != nil {
		issuer.t.Fatal(err)
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

// newTestAuthenticator returns an authenticator with keys and the rights of testRights.
func newTestAuthenticator(t testing.TB, keys ...Key) *Authenticator {
	cfg := Defaults()
	cfg.Policy.Audience = "doorman"
	a := NewAuthenticator(cfg, testRights(t, "open"))
	a.SetKeys(keySet(t, keys...))
	return a
}

// call returns the outcome of a call. It runs the signature job, if there is one.
func call(a *Authenticator, now time.Duration, c *Call) *Outcome {
	if c.Caller == nil {
		c.Caller = &Caller{Frontend: "rpc"}
	}
	o, j := a.Authenticate(now, c)
	if j != nil {
		claims, reason := Verify(j.Token, j.Key)
		o = a.SignatureChecked(now, j, claims, reason)[0]
	}
	return o
}

// invalidToken returns a copy of a valid token with an invalid signature, a different one for each number.
func invalidToken(good string, number int) string {
	return fmt.Sprintf("%s%06d", good[:len(good)-6], number)
}

// charge is the access that most tests request.
var charge = Access{Class: "charge"}

// verifiedClaims returns the claims of a valid token of a subject, as Verify does.
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

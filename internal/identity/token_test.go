package identity

import (
	"encoding/base64"
	"strings"
	"testing"
	"time"
)

// TestTokens: what is wrong with a token is told by its reason, and nothing wrong is taken.
func TestTokens(t *testing.T) {
	m := newMaker(t)
	ed, es, other := m.key("ed", EdDSA), m.key("es", ES256), m.key("other", EdDSA)
	coming, dead := m.key("coming", EdDSA), m.key("dead", EdDSA)
	coming.NotBefore = start + time.Minute
	dead.RetireAfter = start - time.Minute
	now := start + time.Second
	good := m.token(ed, nil)
	parts := strings.Split(good, ".")
	otherPayload := strings.Split(m.token(ed, nil), ".")[1]
	raw := func(header, payload string) string {
		enc := base64.RawURLEncoding
		return enc.EncodeToString([]byte(header)) + "." + enc.EncodeToString([]byte(payload)) + "." + parts[2]
	}
	for _, c := range []struct {
		name, token string
		want        Reason
	}{
		{"sound", good, Allowed},
		{"sound, by the other algorithm", m.token(es, nil), Allowed},
		{"expired", m.token(ed, func(c *Claims) { c.Expires = now - 6*time.Second }), Expired},
		{"expired within the skew", m.token(ed, func(c *Claims) { c.Expires = now - 4*time.Second }), Allowed},
		{"not yet", m.token(ed, func(c *Claims) { c.NotBefore = now + 6*time.Second }), NotYetValid},
		{"a key that is coming", m.token(coming, nil), NotYetValid},
		{"a key that is retired", m.token(dead, nil), RetiredKey},
		{"a key that is not there", m.token(other, nil), UnknownKey},
		{"a payload that was changed", parts[0] + "." + otherPayload + "." + parts[2], BadSignature},
		{"the algorithm none", raw(`{"alg":"none","kid":"ed"}`, `{"sub":"s1"}`), WrongAlgorithm},
		{"the public key as a secret", raw(`{"alg":"HS256","kid":"es"}`, `{"sub":"s1"}`), WrongAlgorithm},
		{"another key's algorithm", raw(`{"alg":"ES256","kid":"ed"}`, `{"sub":"s1"}`), WrongAlgorithm},
		{"a key id with a path", raw(`{"alg":"EdDSA","kid":"../../etc/passwd"}`, `{"sub":"s1"}`), Malformed},
		{"a key id that is no text", raw(`{"alg":"EdDSA","kid":7}`, `{"sub":"s1"}`), Malformed},
		{"no key id", raw(`{"alg":"EdDSA"}`, `{"sub":"s1"}`), Malformed},
		{"a critical header", raw(`{"alg":"EdDSA","kid":"ed","crit":["x"]}`, `{"sub":"s1"}`), Malformed},
		{"no token", "what is this", Malformed},
		{"1 MB", strings.Repeat("a", 1<<20), Malformed},
		{"no subject", m.token(ed, func(c *Claims) { c.Subject = "" }), Malformed},
		{"no end", m.token(ed, func(c *Claims) { c.Expires = 0 }), Malformed},
		{"an unknown tenant", m.token(ed, func(c *Claims) { c.Tenant = "nobody" }), UnknownTenant},
		{"without the right", m.token(ed, func(c *Claims) { c.Tenant = "open" }), NoRight},
		{"bound to a certificate", m.token(ed, func(c *Claims) { c.Thumbprint = "abc" }), WrongCertificate},
	} {
		g := newTestAuthenticator(t, ed, es, coming, dead)
		o := call(g, now, &Call{Token: c.token, Access: charge})
		if o.Reason != c.want {
			t.Errorf("%s: %v, want %v", c.name, o.Reason, c.want)
		}
		if again := call(g, now, &Call{Token: c.token, Access: charge}); again.Reason != c.want {
			t.Errorf("%s: the second time %v", c.name, again.Reason)
		}
	}
	g := newTestAuthenticator(t, ed)
	g.config.Policy.Audience = "another"
	if o := call(g, now, &Call{Token: good, Access: charge}); o.Reason != WrongAudience {
		t.Errorf("for another audience: %v", o.Reason)
	}
	g = newTestAuthenticator(t, ed)
	bound := &Caller{Frontend: "tls", Thumbprint: "abc"}
	boundToken := m.token(ed, func(c *Claims) { c.Thumbprint = "abc" })
	if o := call(g, now, &Call{Caller: bound, Token: boundToken, Access: charge}); o.Reason != Allowed {
		t.Errorf("from the certificate that it is bound to: %v", o.Reason)
	}
	for _, c := range []struct {
		name string
		call Call
		want Reason
	}{
		{"unsigned, with that tenant's right", Call{Access: Access{Class: "lookup"}}, Allowed},
		{"unsigned, without", Call{Access: charge}, NoRight},
		{"by its certificate", Call{Caller: &Caller{Tenant: "lanes", Subject: "l1"}, Access: charge}, Allowed},
	} {
		if o := call(g, now, &c.call); o.Reason != c.want {
			t.Errorf("%s: %v, want %v", c.name, o.Reason, c.want)
		}
	}
}

// FuzzToken: no token ends the program, and none but a signed one is taken.
func FuzzToken(f *testing.F) {
	m := newMaker(f)
	k := m.key("k", EdDSA)
	g := newTestAuthenticator(f, k)
	good := m.token(k, nil)
	f.Add(good)
	f.Add("..")
	f.Add("eyJhbGciOiJub25lIiwia2lkIjoiayJ9.e30.")
	f.Fuzz(func(t *testing.T, token string) {
		o := call(g, start+1, &Call{Token: token, Access: charge})
		if o.Reason == Allowed && token != good {
			t.Fatalf("taken: %q", token)
		}
	})
}

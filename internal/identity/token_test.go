package identity

import (
	"encoding/base64"
	"strings"
	"testing"
	"time"
)

// TestTokenReasons checks the reason for each kind of token, and that no invalid token is allowed.
func TestTokenReasons(t *testing.T) {
	issuer := newTokenIssuer(t)
	ed, es, other := issuer.key("ed", EdDSA), issuer.key("es", ES256), issuer.key("other", EdDSA)
	pending, retired := issuer.key("pending", EdDSA), issuer.key("retired", EdDSA)
	pending.NotBefore = start + time.Minute
	retired.RetireAfter = start - time.Minute
	now := start + time.Second
	good := issuer.token(ed, nil)
	parts := strings.Split(good, ".")
	otherPayload := strings.Split(issuer.token(ed, nil), ".")[1]
	raw := func(header, payload string) string {
		enc := base64.RawURLEncoding
		return enc.EncodeToString([]byte(header)) + "." + enc.EncodeToString([]byte(payload)) + "." + parts[2]
	}
	for _, c := range []struct {
		name, token string
		want        Reason
	}{
		{"valid", good, Allowed},
		{"valid, with the other algorithm", issuer.token(es, nil), Allowed},
		{"expired", issuer.token(ed, func(c *Claims) { c.Expires = now - 6*time.Second }), Expired},
		{"expired within the skew", issuer.token(ed, func(c *Claims) { c.Expires = now - 4*time.Second }), Allowed},
		{"not valid yet", issuer.token(ed, func(c *Claims) { c.NotBefore = now + 6*time.Second }), NotYetValid},
		{"pending key", issuer.token(pending, nil), NotYetValid},
		{"retired key", issuer.token(retired, nil), RetiredKey},
		{"unknown key", issuer.token(other, nil), UnknownKey},
		{"changed payload", parts[0] + "." + otherPayload + "." + parts[2], BadSignature},
		{"algorithm none", raw(`{"alg":"none","kid":"ed"}`, `{"sub":"s1"}`), WrongAlgorithm},
		{"public key as an HMAC secret", raw(`{"alg":"HS256","kid":"es"}`, `{"sub":"s1"}`), WrongAlgorithm},
		{"algorithm of another key", raw(`{"alg":"ES256","kid":"ed"}`, `{"sub":"s1"}`), WrongAlgorithm},
		{"key id with a path", raw(`{"alg":"EdDSA","kid":"../../etc/passwd"}`, `{"sub":"s1"}`), Malformed},
		{"key id that is no string", raw(`{"alg":"EdDSA","kid":7}`, `{"sub":"s1"}`), Malformed},
		{"no key id", raw(`{"alg":"EdDSA"}`, `{"sub":"s1"}`), Malformed},
		{"critical header parameter", raw(`{"alg":"EdDSA","kid":"ed","crit":["x"]}`, `{"sub":"s1"}`), Malformed},
		{"not a token", "what is this", Malformed},
		{"1 MB", strings.Repeat("a", 1<<20), Malformed},
		{"no subject", issuer.token(ed, func(c *Claims) { c.Subject = "" }), Malformed},
		{"no expiry", issuer.token(ed, func(c *Claims) { c.Expires = 0 }), Malformed},
		{"unknown tenant", issuer.token(ed, func(c *Claims) { c.Tenant = "nobody" }), UnknownTenant},
		{"without the right", issuer.token(ed, func(c *Claims) { c.Tenant = "open" }), NoRight},
		{"bound to a certificate", issuer.token(ed, func(c *Claims) { c.Thumbprint = "abc" }), WrongCertificate},
	} {
		a := newTestAuthenticator(t, ed, es, pending, retired)
		o := call(a, now, &Call{Token: c.token, Access: charge})
		if o.Reason != c.want {
			t.Errorf("%s: got %v, want %v", c.name, o.Reason, c.want)
		}
		if again := call(a, now, &Call{Token: c.token, Access: charge}); again.Reason != c.want {
			t.Errorf("%s: got %v the second time, want the same reason", c.name, again.Reason)
		}
	}
	a := newTestAuthenticator(t, ed)
	a.config.Policy.Audience = "another"
	if o := call(a, now, &Call{Token: good, Access: charge}); o.Reason != WrongAudience {
		t.Errorf("token for another audience: got %v, want audience", o.Reason)
	}
	a = newTestAuthenticator(t, ed)
	bound := &Caller{Frontend: "tls", Thumbprint: "abc"}
	boundToken := issuer.token(ed, func(c *Claims) { c.Thumbprint = "abc" })
	if o := call(a, now, &Call{Caller: bound, Token: boundToken, Access: charge}); o.Reason != Allowed {
		t.Errorf("bound token from its certificate: got %v, want allowed", o.Reason)
	}
	for _, c := range []struct {
		name string
		call Call
		want Reason
	}{
		{"unsigned, with the right", Call{Access: Access{Class: "lookup"}}, Allowed},
		{"unsigned, without the right", Call{Access: charge}, NoRight},
		{"identified by certificate", Call{Caller: &Caller{Tenant: "lanes", Subject: "l1"}, Access: charge}, Allowed},
	} {
		if o := call(a, now, &c.call); o.Reason != c.want {
			t.Errorf("%s: got %v, want %v", c.name, o.Reason, c.want)
		}
	}
}

// FuzzToken checks that no token causes a panic, and that only the signed token is allowed.
func FuzzToken(f *testing.F) {
	issuer := newTokenIssuer(f)
	k := issuer.key("k", EdDSA)
	a := newTestAuthenticator(f, k)
	good := issuer.token(k, nil)
	f.Add(good)
	f.Add("..")
	f.Add("eyJhbGciOiJub25lIiwia2lkIjoiayJ9.e30.")
	f.Fuzz(func(t *testing.T, token string) {
		o := call(a, start+1, &Call{Token: token, Access: charge})
		if o.Reason == Allowed && token != good {
			t.Fatalf("token %q: got allowed, want denied", token)
		}
	})
}

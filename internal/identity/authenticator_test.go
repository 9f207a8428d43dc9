package identity

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestCachedTokenIsRechecked checks that a cached token is rejected as soon as it expires, its key is removed or
// retires, a revocation applies to it, or its tenant loses the right.
func TestCachedTokenIsRechecked(t *testing.T) {
	issuer := newTokenIssuer(t)
	k := issuer.key("k", EdDSA)
	retired := k
	retired.RetireAfter = start + 2
	noRights, err := NewRights([]Tenant{{Name: "lanes"}}, "")
	if err != nil {
		t.Fatal(err)
	}
	revoke := func(kind RevocationKind, name string) func(*Authenticator) {
		return func(a *Authenticator) { _ = a.Revocations().Add(kind, name, start+time.Hour) }
	}
	for _, c := range []struct {
		name string
		end  func(*Authenticator)
		at   time.Duration
		want Reason
	}{
		{"no change", func(*Authenticator) {}, 0, Allowed},
		{"the token expires", func(*Authenticator) {}, 2 * time.Hour, Expired},
		{"the token is revoked", revoke(RevokedToken, "t1"), 0, Revoked},
		{"the subject is revoked", revoke(RevokedSubject, "s1"), 0, Revoked},
		{"the key is revoked", revoke(RevokedKey, "k"), 0, Revoked},
		{"the key is removed", func(a *Authenticator) { a.SetKeys(keySet(t)) }, 0, UnknownKey},
		{"the key retires", func(a *Authenticator) { a.SetKeys(keySet(t, retired)) }, 0, RetiredKey},
		{"a key is added", func(a *Authenticator) { a.SetKeys(keySet(t, k, issuer.key("new", ES256))) }, 0, Allowed},
		{"the right is removed", func(a *Authenticator) { a.SetRights(noRights) }, 0, NoRight},
	} {
		issuer.tokens = 0
		a := newTestAuthenticator(t, k)
		token := issuer.token(k, nil)
		if o := call(a, start+1, &Call{Token: token, Access: charge}); o.Reason != Allowed || a.SignatureChecks != 1 {
			t.Fatalf("%s: at first got %v, %d signature checks, want allowed, 1", c.name, o.Reason, a.SignatureChecks)
		}
		c.end(a)
		if o := call(a, start+3+c.at, &Call{Token: token, Access: charge}); o.Reason != c.want {
			t.Errorf("%s: got %v, want %v", c.name, o.Reason, c.want)
		}
	}
}

// TestIdempotentRetries checks that a retry with an idempotency key is admitted because its first attempt was, within
// the window and for the same subject.
func TestIdempotentRetries(t *testing.T) {
	issuer := newTokenIssuer(t)
	k := issuer.key("k", EdDSA)
	window := 3 * time.Second
	shortLived := issuer.token(k, func(c *Claims) { c.Expires = start + time.Second })
	other := issuer.token(k, func(c *Claims) { c.Subject = "s2" })
	keyed := func(token, key string) *Call {
		return &Call{Token: token, IdempotencyKey: key, IdempotencyWindow: window, Access: charge}
	}
	a := newTestAuthenticator(t, k)
	for _, c := range []struct {
		name string
		at   time.Duration
		call *Call
		want Reason
	}{
		{"first attempt", 0, keyed(shortLived, "u1"), Allowed},
		{"retry before the token expires", 500 * time.Millisecond, keyed(shortLived, "u1"), Allowed},
		{"another subject with the same key", 600 * time.Millisecond, keyed(other, "u1"), KeyInUse},
		{"unsigned caller with the same key", 600 * time.Millisecond, keyed("", "u1"), NoRight},
		{"another subject with its own key", 700 * time.Millisecond, keyed(other, "u2"), Allowed},
		{"retry after the token expired, within skew and window", 2900 * time.Millisecond, keyed(shortLived, "u1"),
			Allowed},
		{"after the window the key is new", 7 * time.Second, keyed(shortLived, "u1"), Expired},
		{"new key after the token expired", 7 * time.Second, keyed(shortLived, "u3"), Expired},
	} {
		if o := call(a, start+c.at, c.call); o.Reason != c.want {
			t.Errorf("%s: got %v, want %v", c.name, o.Reason, c.want)
		}
	}
	a = newTestAuthenticator(t, k)
	a.config.Policy.Skew = 0
	if o := call(a, start, keyed(shortLived, "u1")); o.Reason != Allowed {
		t.Fatal(o.Reason)
	}
	if o := call(a, start+2*time.Second, keyed(shortLived, "u1")); o.Reason != Allowed {
		t.Errorf("retry of an admitted request after its token expired: got %v, want allowed", o.Reason)
	}
	_ = a.Revocations().Add(RevokedSubject, "s1", start+time.Hour)
	if o := call(a, start+2*time.Second, keyed(shortLived, "u1")); o.Reason != Revoked {
		t.Errorf("retry by a revoked subject: got %v, want revoked", o.Reason)
	}
}

// TestFloodOfInvalidTokens checks that only a bounded number of signatures is checked for a client that sends ten
// thousand distinct invalid tokens a second, while all new tokens of another client are checked.
func TestFloodOfInvalidTokens(t *testing.T) {
	issuer := newTokenIssuer(t)
	k := issuer.key("k", EdDSA)
	a := newTestAuthenticator(t, k)
	good := issuer.token(k, nil)
	flood, honest := &Caller{Frontend: "rpc"}, &Caller{Frontend: "rpc"}
	checked := 0
	for i := range 30_000 {
		now := start + time.Duration(i)*100*time.Microsecond
		bad := invalidToken(good, i)
		if _, j := a.Authenticate(now, &Call{Caller: flood, Token: bad, Access: charge}); j != nil {
			checked++
			for _, o := range a.SignatureChecked(now, j, Claims{}, BadSignature) {
				if o.Reason == Allowed {
					t.Fatal("got an invalid token allowed, want it denied")
				}
			}
		}
		if i%100 == 0 { // 100 new tokens per second
			o, j := a.Authenticate(now, &Call{Caller: honest, Token: invalidToken(good, 500_000+i), Access: charge})
			if j == nil {
				t.Fatalf("other client's token after %v: got %v, want a signature check", now-start, o.Reason)
			}
			a.SignatureChecked(now, j, verifiedClaims("x", "s1", "k"), Allowed)
		}
	}
	if checked > 600 {
		t.Errorf("invalid signatures checked in 3 s: got %d, want at most 600", checked)
	}
}

// TestEveryCallGetsOneOutcome checks over random sequences of calls and job results that each call gets exactly one
// outcome, and that at most one job is pending for a token.
func TestEveryCallGetsOneOutcome(t *testing.T) {
	issuer := newTokenIssuer(t)
	k := issuer.key("k", EdDSA)
	staffToken := issuer.token(k, func(c *Claims) { c.Tenant = "staff" })
	tokens := []string{"", "junk", issuer.token(k, nil), staffToken, issuer.token(k, nil) + "x"}
	rapid.Check(t, func(t *rapid.T) {
		a := newTestAuthenticator(issuer.t, k)
		a.config.MaxWaiting, a.cache.maxTokens = 4, 1
		callers := []*Caller{{Frontend: "rpc"}, {Frontend: "dns"}}
		outcomes := map[*Call]int{}
		jobs := map[string]*SignatureJob{}
		calls := 0
		record := func(o *Outcome) { outcomes[o.Call]++ }
		now := start
		for range rapid.IntRange(1, 50).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 100).Draw(t, "ms")) * time.Millisecond
			token := rapid.SampledFrom(tokens).Draw(t, "token")
			if j := jobs[token]; j != nil && rapid.Bool().Draw(t, "done") {
				delete(jobs, token)
				claims, reason := Verify(j.Token, j.Key)
				for _, o := range a.SignatureChecked(now, j, claims, reason) {
					record(o)
				}
				continue
			}
			calls++
			caller := rapid.SampledFrom(callers).Draw(t, "caller")
			o, j := a.Authenticate(now, &Call{Caller: caller, Token: token, Access: Access{Class: "lookup"}})
			if o != nil {
				record(o)
			}
			if j != nil {
				if jobs[token] != nil {
					t.Fatal("got two pending jobs for one token, want one")
				}
				jobs[token] = j
			}
			if a.Waiting() > 4 || len(a.cache.byHash) > 1 {
				t.Fatalf("got %d waiting calls, %d cached tokens, want at most 4, 1", a.Waiting(), len(a.cache.byHash))
			}
		}
		for _, j := range jobs {
			for _, o := range a.SignatureChecked(now, j, Claims{}, BadSignature) {
				record(o)
			}
		}
		if len(outcomes) != calls {
			t.Fatalf("got outcomes of %d calls, want %d", len(outcomes), calls)
		}
		for _, n := range outcomes {
			if n != 1 {
				t.Fatalf("got %d outcomes of a call, want 1", n)
			}
		}
	})
}

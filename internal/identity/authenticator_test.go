package identity

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestCachedTokenEnds: a token that is remembered ends with its time, its key, and a revocation of any kind, at once.
func TestCachedTokenEnds(t *testing.T) {
	m := newMaker(t)
	k := m.key("k", EdDSA)
	retired := k
	retired.RetireAfter = start + 2
	noRights, err := NewRights([]Tenant{{Name: "lanes"}}, "")
	if err != nil {
		t.Fatal(err)
	}
	revoke := func(kind RevocationKind, name string) func(*Authenticator) {
		return func(g *Authenticator) { _ = g.Revocations().Add(kind, name, start+time.Hour) }
	}
	for _, c := range []struct {
		name string
		end  func(*Authenticator)
		at   time.Duration
		want Reason
	}{
		{"nothing", func(*Authenticator) {}, 0, Allowed},
		{"its time", func(*Authenticator) {}, 2 * time.Hour, Expired},
		{"the token revoked", revoke(RevokedToken, "t1"), 0, Revoked},
		{"the subject revoked", revoke(RevokedSubject, "s1"), 0, Revoked},
		{"the key revoked", revoke(RevokedKey, "k"), 0, Revoked},
		{"the key gone", func(g *Authenticator) { g.SetKeys(keySet(t)) }, 0, UnknownKey},
		{"the key retired", func(g *Authenticator) { g.SetKeys(keySet(t, retired)) }, 0, RetiredKey},
		{"other keys come", func(g *Authenticator) { g.SetKeys(keySet(t, k, m.key("new", ES256))) }, 0, Allowed},
		{"the right taken", func(g *Authenticator) { g.SetRights(noRights) }, 0, NoRight},
	} {
		m.n = 0
		g := newTestAuthenticator(t, k)
		token := m.token(k, nil)
		if o := call(g, start+1, &Call{Token: token, Access: charge}); o.Reason != Allowed || g.SignatureChecks != 1 {
			t.Fatalf("%s: at first %v, %d checked", c.name, o.Reason, g.SignatureChecks)
		}
		c.end(g)
		if o := call(g, start+3+c.at, &Call{Token: token, Access: charge}); o.Reason != c.want {
			t.Errorf("%s: %v, want %v", c.name, o.Reason, c.want)
		}
	}
}

// TestKeyedRetries: a retry is decided by the authority of its first try, within the window and for the same subject.
func TestKeyedRetries(t *testing.T) {
	m := newMaker(t)
	k := m.key("k", EdDSA)
	window := 3 * time.Second
	soon := m.token(k, func(c *Claims) { c.Expires = start + time.Second })
	other := m.token(k, func(c *Claims) { c.Subject = "s2" })
	keyed := func(token, key string) *Call {
		return &Call{Token: token, IdempotencyKey: key, IdempotencyWindow: window, Access: charge}
	}
	g := newTestAuthenticator(t, k)
	for _, c := range []struct {
		name string
		at   time.Duration
		call *Call
		want Reason
	}{
		{"the first try", 0, keyed(soon, "u1"), Allowed},
		{"a retry in time", 500 * time.Millisecond, keyed(soon, "u1"), Allowed},
		{"another subject with the same key", 600 * time.Millisecond, keyed(other, "u1"), KeyInUse},
		{"nobody with the same key", 600 * time.Millisecond, keyed("", "u1"), NoRight},
		{"the other with its own", 700 * time.Millisecond, keyed(other, "u2"), Allowed},
		{"a retry after the token's end, within the skew and the window", 2900 * time.Millisecond, keyed(soon, "u1"),
			Allowed},
		{"after the window it is new", 7 * time.Second, keyed(soon, "u1"), Expired},
		{"a new key after the token's end", 7 * time.Second, keyed(soon, "u3"), Expired},
	} {
		if o := call(g, start+c.at, c.call); o.Reason != c.want {
			t.Errorf("%s: %v, want %v", c.name, o.Reason, c.want)
		}
	}
	g = newTestAuthenticator(t, k)
	g.config.Policy.Skew = 0
	if o := call(g, start, keyed(soon, "u1")); o.Reason != Allowed {
		t.Fatal(o.Reason)
	}
	if o := call(g, start+2*time.Second, keyed(soon, "u1")); o.Reason != Allowed {
		t.Errorf("the retry of a request whose token has expired meanwhile: %v", o.Reason)
	}
	_ = g.Revocations().Add(RevokedSubject, "s1", start+time.Hour)
	if o := call(g, start+2*time.Second, keyed(soon, "u1")); o.Reason != Revoked {
		t.Errorf("the retry of a revoked subject: %v", o.Reason)
	}
}

// TestFloodOfBadTokens: a client that sends ten thousand distinct bad tokens a second has a bounded number checked,
// and another's new tokens are all checked.
func TestFloodOfBadTokens(t *testing.T) {
	m := newMaker(t)
	k := m.key("k", EdDSA)
	g := newTestAuthenticator(t, k)
	good := m.token(k, nil)
	flood, honest := &Caller{Frontend: "rpc"}, &Caller{Frontend: "rpc"}
	checked := 0
	for i := range 30_000 {
		now := start + time.Duration(i)*100*time.Microsecond
		bad := badToken(good, i)
		if _, j := g.Authenticate(now, &Call{Caller: flood, Token: bad, Access: charge}); j != nil {
			checked++
			for _, o := range g.SignatureChecked(now, j, Claims{}, BadSignature) {
				if o.Reason == Allowed {
					t.Fatal("a bad token is allowed")
				}
			}
		}
		if i%100 == 0 { // a hundred new tokens a second
			o, j := g.Authenticate(now, &Call{Caller: honest, Token: badToken(good, 500_000+i), Access: charge})
			if j == nil {
				t.Fatalf("at %v the other's token is not checked: %v", now-start, o.Reason)
			}
			g.SignatureChecked(now, j, verifiedClaims("x", "s1", "k"), Allowed)
		}
	}
	if checked > 600 {
		t.Errorf("%d bad signatures were checked in 3 s, at most 600 wanted", checked)
	}
}

// TestOneOutcomeEach: whatever comes in which order, each call gets exactly one outcome, and at most one job is out
// for a token.
func TestOneOutcomeEach(t *testing.T) {
	m := newMaker(t)
	k := m.key("k", EdDSA)
	ofStaff := m.token(k, func(c *Claims) { c.Tenant = "staff" })
	tokens := []string{"", "junk", m.token(k, nil), ofStaff, m.token(k, nil) + "x"}
	rapid.Check(t, func(t *rapid.T) {
		g := newTestAuthenticator(m.t, k)
		g.config.MaxWaiting, g.cache.maxTokens = 4, 1
		callers := []*Caller{{Frontend: "rpc"}, {Frontend: "dns"}}
		outcomes := map[*Call]int{}
		jobs := map[string]*SignatureJob{}
		calls := 0
		note := func(o *Outcome) { outcomes[o.Call]++ }
		now := start
		for range rapid.IntRange(1, 50).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 100).Draw(t, "ms")) * time.Millisecond
			token := rapid.SampledFrom(tokens).Draw(t, "token")
			if j := jobs[token]; j != nil && rapid.Bool().Draw(t, "done") {
				delete(jobs, token)
				claims, reason := Verify(j.Token, j.Key)
				for _, o := range g.SignatureChecked(now, j, claims, reason) {
					note(o)
				}
				continue
			}
			calls++
			caller := rapid.SampledFrom(callers).Draw(t, "caller")
			o, j := g.Authenticate(now, &Call{Caller: caller, Token: token, Access: Access{Class: "lookup"}})
			if o != nil {
				note(o)
			}
			if j != nil {
				if jobs[token] != nil {
					t.Fatal("two jobs are out for one token")
				}
				jobs[token] = j
			}
			if g.Waiting() > 4 || len(g.cache.byHash) > 1 {
				t.Fatalf("%d wait, %d are cached", g.Waiting(), len(g.cache.byHash))
			}
		}
		for _, j := range jobs {
			for _, o := range g.SignatureChecked(now, j, Claims{}, BadSignature) {
				note(o)
			}
		}
		if len(outcomes) != calls {
			t.Fatalf("%d outcomes for %d calls", len(outcomes), calls)
		}
		for _, n := range outcomes {
			if n != 1 {
				t.Fatalf("a call has %d outcomes", n)
			}
		}
	})
}

package identity

import (
	"crypto/ecdsa"
	"crypto/ed25519"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/sha256"
	"encoding/base64"
	"fmt"
	"runtime"
	"slices"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"
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

// gateWith makes a gate with keys and the rights of testRights.
func gateWith(t testing.TB, keys ...Key) *Authenticator {
	cfg := Defaults()
	cfg.Policy.Audience = "doorman"
	g := NewAuthenticator(cfg, testRights(t, "open"))
	g.SetKeys(keySet(t, keys...))
	return g
}

// call takes a call to its outcome, checking the signature where that is asked for.
func call(g *Authenticator, now time.Duration, c *Call) *Outcome {
	if c.Caller == nil {
		c.Caller = &Caller{Front: "rpc"}
	}
	o, j := g.Authenticate(now, c)
	if j != nil {
		claims, reason := Verify(j.Token, j.Key)
		o = g.SignatureChecked(now, j, claims, reason)[0]
	}
	return o
}

func TestRules(t *testing.T) {
	r, err := NewRights([]Tenant{{Name: "a", Rules: rules(t, "right lookup", "right charge front=rpc,tls site=north group=0-31",
		"deny lookup group=7", "deny * object=00000000000000f0-00000000000000ff", "deny lookup site=south")}}, "")
	if err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct {
		name string
		ask  Access
		want Reason
		rule int
	}{
		{"allowed", Access{Class: "lookup", Site: "north", Group: 3}, Allowed, 0},
		{"no rule", Access{Class: "footage", Site: "north"}, NoRight, -1},
		{"denied by its group", Access{Class: "lookup", Site: "north", Group: 7}, NoRight, 2},
		{"a group that is not told may be the denied one", Access{Class: "lookup", Site: "north", Group: -1}, NoRight, 2},
		{"a site that is not told may be the denied one", Access{Class: "lookup", Group: 3}, NoRight, 4},
		{"denied by the object", Access{Class: "lookup", Site: "north", Object: 0xf7}, NoRight, 3},
		{"all that it needs", Access{Class: "charge", Front: "tls", Site: "north", Group: 31}, Allowed, 1},
		{"another front", Access{Class: "charge", Front: "dns", Site: "north", Group: 3}, NoRight, -1},
		{"another site", Access{Class: "charge", Front: "rpc", Site: "east", Group: 3}, NoRight, -1},
		{"a site that is not told allows nothing", Access{Class: "charge", Front: "rpc", Group: 3}, NoRight, -1},
		{"beyond its groups", Access{Class: "charge", Front: "rpc", Site: "north", Group: 32}, NoRight, -1},
		{"a group that is not told allows nothing", Access{Class: "charge", Front: "rpc", Site: "north", Group: -1}, NoRight, -1},
	} {
		if got := r.Authorize("a", c.ask); got != (Decision{c.want, c.rule}) {
			t.Errorf("%s: %v by rule %d, want %v by %d", c.name, got.Reason, got.Rule, c.want, c.rule)
		}
	}
	if got := r.Authorize("b", Access{Class: "lookup"}); got.Reason != NoTenant {
		t.Errorf("an unknown tenant: %v", got.Reason)
	}
	for _, text := range []string{"", "front=rpc", "x front=http", "x group=9-3", "x group=-1", "x object=xyz", "x site=", "x colour=red"} {
		if _, err := ParseRule(false, strings.Fields(text)); err == nil {
			t.Errorf("rule %q: no error", text)
		}
	}
}

// TestRightsAgainstAWalk compares random rules and questions with the plainest way to decide: every rule, in turn.
func TestRightsAgainstAWalk(t *testing.T) {
	classes := []string{"a", "b", "c"}
	rapid.Check(t, func(t *rapid.T) {
		var all []Rule
		var texts []string
		for range rapid.IntRange(0, 8).Draw(t, "rules") {
			words := []string{rapid.SampledFrom(append(classes, "*")).Draw(t, "class")}
			if rapid.Bool().Draw(t, "front") {
				words = append(words, "front="+rapid.SampledFrom(Fronts).Draw(t, "which"))
			}
			if rapid.Bool().Draw(t, "group") {
				words = append(words, fmt.Sprint("group=", rapid.IntRange(0, 2).Draw(t, "from"), "-", rapid.IntRange(2, 4).Draw(t, "to")))
			}
			deny := rapid.IntRange(0, 2).Draw(t, "deny") == 0
			r, err := ParseRule(deny, words)
			if err != nil {
				t.Fatal(err)
			}
			all, texts = append(all, r), append(texts, fmt.Sprint(deny, words))
		}
		rights, err := NewRights([]Tenant{{Name: "x", Rules: all}}, "")
		if err != nil {
			t.Fatal(err)
		}
		ask := Access{Class: rapid.SampledFrom(classes).Draw(t, "asked"), Front: rapid.SampledFrom(Fronts).Draw(t, "by"), Group: rapid.IntRange(-1, 5).Draw(t, "in")}
		allowed, denied := false, false
		for i := range all {
			r := &all[i]
			class := slices.Contains(r.Classes, ask.Class) || slices.Contains(r.Classes, "*")
			front := len(r.Fronts) == 0 || slices.Contains(r.Fronts, ask.Front)
			group := len(r.Groups) == 0 || ask.Group >= 0 && r.Groups[0].has(uint64(ask.Group)) || r.Deny && ask.Group < 0
			if class && front && group {
				allowed, denied = allowed || !r.Deny, denied || r.Deny
			}
		}
		if got := rights.Authorize("x", ask).Reason == Allowed; got != (allowed && !denied) {
			t.Fatalf("%+v by %v: allowed %v, want %v", ask, texts, got, allowed && !denied)
		}
	})
}

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
		{"not yet", m.token(ed, func(c *Claims) { c.NotBefore = now + 6*time.Second }), NotYet},
		{"a key that is coming", m.token(coming, nil), NotYet},
		{"a key that is retired", m.token(dead, nil), Retired},
		{"a key that is not there", m.token(other, nil), UnknownKey},
		{"a payload that was changed", parts[0] + "." + strings.Split(m.token(ed, nil), ".")[1] + "." + parts[2], Signature},
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
		{"an unknown tenant", m.token(ed, func(c *Claims) { c.Tenant = "nobody" }), NoTenant},
		{"without the right", m.token(ed, func(c *Claims) { c.Tenant = "open" }), NoRight},
		{"bound to a certificate", m.token(ed, func(c *Claims) { c.Thumbprint = "abc" }), Binding},
	} {
		g := gateWith(t, ed, es, coming, dead)
		o := call(g, now, &Call{Token: c.token, Access: Access{Class: "charge"}})
		if o.Reason != c.want {
			t.Errorf("%s: %v, want %v", c.name, o.Reason, c.want)
		}
		if again := call(g, now, &Call{Token: c.token, Access: Access{Class: "charge"}}); again.Reason != c.want {
			t.Errorf("%s: the second time %v", c.name, again.Reason)
		}
	}
	g := gateWith(t, ed)
	g.cfg.Policy.Audience = "another"
	if o := call(g, now, &Call{Token: good, Access: Access{Class: "charge"}}); o.Reason != Audience {
		t.Errorf("for another audience: %v", o.Reason)
	}
	g = gateWith(t, ed)
	bound := &Caller{Front: "tls", Thumbprint: "abc"}
	if o := call(g, now, &Call{Caller: bound, Token: m.token(ed, func(c *Claims) { c.Thumbprint = "abc" }), Access: Access{Class: "charge"}}); o.Reason != Allowed {
		t.Errorf("from the certificate that it is bound to: %v", o.Reason)
	}
	for _, c := range []struct {
		name string
		call Call
		want Reason
	}{
		{"unsigned, with that tenant's right", Call{Access: Access{Class: "lookup"}}, Allowed},
		{"unsigned, without", Call{Access: Access{Class: "charge"}}, NoRight},
		{"by its certificate", Call{Caller: &Caller{Tenant: "lanes", Subject: "l1"}, Access: Access{Class: "charge"}}, Allowed},
	} {
		if o := call(g, now, &c.call); o.Reason != c.want {
			t.Errorf("%s: %v, want %v", c.name, o.Reason, c.want)
		}
	}
}

// TestCachedTokenEnds: a token that is remembered ends with its time, its key, and a revocation of any kind, at once.
func TestCachedTokenEnds(t *testing.T) {
	m := newMaker(t)
	k := m.key("k", EdDSA)
	for _, c := range []struct {
		name string
		end  func(*Authenticator)
		at   time.Duration
		want Reason
	}{
		{"nothing", func(*Authenticator) {}, 0, Allowed},
		{"its time", func(*Authenticator) {}, 2 * time.Hour, Expired},
		{"the token revoked", func(g *Authenticator) { _ = g.Revocations().Add(RevokedToken, "t1", start+time.Hour) }, 0, Revoked},
		{"the subject revoked", func(g *Authenticator) { _ = g.Revocations().Add(RevokedSubject, "s1", start+time.Hour) }, 0, Revoked},
		{"the key revoked", func(g *Authenticator) { _ = g.Revocations().Add(RevokedKey, "k", start+time.Hour) }, 0, Revoked},
		{"the key gone", func(g *Authenticator) { g.SetKeys(keySet(t)) }, 0, UnknownKey},
		{"the key retired", func(g *Authenticator) { r := k; r.RetireAfter = start + 2; g.SetKeys(keySet(t, r)) }, 0, Retired},
		{"other keys come", func(g *Authenticator) { g.SetKeys(keySet(t, k, m.key("new", ES256))) }, 0, Allowed},
		{"the right taken", func(g *Authenticator) { r, _ := NewRights([]Tenant{{Name: "lanes"}}, ""); g.SetRights(r) }, 0, NoRight},
	} {
		m.n = 0
		g := gateWith(t, k)
		token := m.token(k, nil)
		ask := Access{Class: "charge"}
		if o := call(g, start+1, &Call{Token: token, Access: ask}); o.Reason != Allowed || g.Checked != 1 {
			t.Fatalf("%s: at first %v, %d checked", c.name, o.Reason, g.Checked)
		}
		c.end(g)
		if o := call(g, start+3+c.at, &Call{Token: token, Access: ask}); o.Reason != c.want {
			t.Errorf("%s: %v, want %v", c.name, o.Reason, c.want)
		}
	}
}

// TestChargeRetries: a retry is decided by the authority of its first try, within the window and for the same subject.
func TestChargeRetries(t *testing.T) {
	m := newMaker(t)
	k := m.key("k", EdDSA)
	window := 3 * time.Second
	soon := m.token(k, func(c *Claims) { c.Expires = start + time.Second })
	other := m.token(k, func(c *Claims) { c.Subject = "s2" })
	keyed := func(token, key string) *Call {
		return &Call{Token: token, Key: key, Window: window, Access: Access{Class: "charge"}}
	}
	g := gateWith(t, k)
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
		{"a retry after the token's end, within the skew and the window", 2900 * time.Millisecond, keyed(soon, "u1"), Allowed},
		{"after the window it is new", 7 * time.Second, keyed(soon, "u1"), Expired},
		{"a new key after the token's end", 7 * time.Second, keyed(soon, "u3"), Expired},
	} {
		if o := call(g, start+c.at, c.call); o.Reason != c.want {
			t.Errorf("%s: %v, want %v", c.name, o.Reason, c.want)
		}
	}
	g = gateWith(t, k)
	g.cfg.Policy.Skew = 0
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

// TestKeyedIsFull: when it is full new keyed work is refused, and what is out keeps its key.
func TestKeyedIsFull(t *testing.T) {
	k := NewIdempotencyKeys(2)
	for i, c := range []struct {
		at           time.Duration
		key, subject string
		want         Reason
	}{{0, "a", "s1", Allowed}, {0, "b", "s1", Allowed}, {0, "c", "s1", IdempotencyKeysFull}, {0, "a", "s1", Allowed}, {0, "a", "s2", KeyInUse},
		{time.Second, "c", "s1", Allowed}, {time.Second, "a", "s2", Allowed}, {time.Second, "b", "s2", IdempotencyKeysFull}} {
		if got := k.Admit(start+c.at, c.key, c.subject, "x", Allowed, time.Second); got != c.want {
			t.Errorf("step %d: %v, want %v", i, got, c.want)
		}
	}
}

// TestKeyedBelongsToOne: over random requests, a key belongs to one subject from its admission to the end of its window.
func TestKeyedBelongsToOne(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		k := NewIdempotencyKeys(4)
		type owner struct {
			subject string
			until   time.Duration
		}
		owners := map[string]owner{}
		now := start
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 900).Draw(t, "ms")) * time.Millisecond
			key, subject := fmt.Sprint(rapid.IntRange(0, 7).Draw(t, "key")), fmt.Sprint(rapid.IntRange(0, 2).Draw(t, "subject"))
			reason := rapid.SampledFrom([]Reason{Allowed, Allowed, Expired, Revoked}).Draw(t, "reason")
			got := k.Admit(now, key, subject, "x", reason, time.Second)
			live := 0
			for _, o := range owners {
				if now < o.until {
					live++
				}
			}
			o, owned := owners[key]
			owned = owned && now < o.until
			want := reason
			switch {
			case owned && o.subject != subject && reason != Revoked:
				want = KeyInUse
			case owned && o.subject == subject && reason == Expired:
				want = Allowed
			case !owned && reason == Allowed && live >= 4:
				want = IdempotencyKeysFull
			}
			if got != want {
				t.Fatalf("key %s by %s with %v: %v, want %v", key, subject, reason, got, want)
			}
			if !owned && got == Allowed {
				owners[key] = owner{subject, now + time.Second}
			}
			if k.Len() > 4 {
				t.Fatalf("%d keys held", k.Len())
			}
		}
	})
}

// TestRotations: over random rotations, at every instant each token that was signed by the signer of its time and has not
// outlived the overlap is taken, and none of a retired key is.
func TestRotations(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rotation := Rotation{Publish: 2 * time.Second, Accept: 3 * time.Second, Overlap: 30 * time.Second}
		const life = 20 * time.Second
		keys := []*Key{{ID: "k0", Algorithm: EdDSA}}
		now := start
		next := now
		type signed struct {
			key *Key
			at  time.Duration
		}
		var tokens []signed
		state := func(now time.Duration) *Keys {
			s := &Keys{keys: map[string]*Key{}}
			for _, k := range keys {
				s.keys[k.ID] = k
				s.order = append(s.order, k.ID)
			}
			slices.Sort(s.order)
			return s
		}
		for range rapid.IntRange(1, 150).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(1, 2000).Draw(t, "ms")) * time.Millisecond
			if now >= next && rapid.IntRange(0, 5).Draw(t, "rotate") == 0 {
				k := &Key{ID: fmt.Sprint("k", len(keys)), Algorithm: EdDSA}
				rotation.Rotate(now, k, keys)
				keys = append(keys, k)
				next = now + rotation.Publish + rotation.Accept // one at a time
			}
			signer := state(now).Signer(now)
			if signer == nil {
				t.Fatalf("nothing signs at %v", now-start)
			}
			tokens = append(tokens, signed{signer, now})
			for _, s := range tokens {
				st := s.key.State(now)
				if now-s.at < life && (st == KeyPending || st == KeyRetired) {
					t.Fatalf("a token of %v ago, by %s, meets a key that is %v", now-s.at, s.key.ID, st)
				}
				if s.key.RetireAfter > 0 && now >= s.key.RetireAfter && st != KeyRetired {
					t.Fatalf("%s is %v after its end", s.key.ID, st)
				}
			}
		}
	})
}

// TestKeysChangeWhole: a set with anything wrong in it is not taken, and a known id never gets other bytes.
func TestKeysChangeWhole(t *testing.T) {
	m := newMaker(t)
	a, b := m.key("a", EdDSA), m.key("b", ES256)
	set := keySet(t, a, b)
	other := m.key("a", EdDSA)
	early := b
	early.NotBefore, early.RetireAfter = 5, 4
	confused := a
	confused.Algorithm = ES256
	for name, keys := range map[string][]Key{"other bytes under a known id": {other, b}, "an id twice": {a, a}, "an id with a path": {{ID: "../a", Algorithm: EdDSA, Public: a.Public}},
		"no key": {{ID: "x", Algorithm: EdDSA}}, "a key of the other kind": {confused}, "retired before it is taken": {early}} {
		if _, err := set.Replace(keys); err == nil {
			t.Errorf("%s: taken", name)
		}
	}
	if next, err := set.Replace([]Key{b, m.key("c", EdDSA)}); err != nil || next.Get("a") != nil || next.Get("c") == nil {
		t.Errorf("a sound set: %v", err)
	}
}

// TestRevocationsAgainstAMap compares random revocations with a map that is walked, and with the bound.
func TestRevocationsAgainstAMap(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := NewRevocations(5)
		plain := map[revoked]time.Duration{}
		now := start
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 2000).Draw(t, "ms")) * time.Millisecond
			r.Expire(now)
			for k, until := range plain {
				if until <= now {
					delete(plain, k)
				}
			}
			k := revoked{RevocationKind(rapid.IntRange(0, 2).Draw(t, "what")), fmt.Sprint(rapid.IntRange(0, 3).Draw(t, "name"))}
			until := now + time.Duration(rapid.IntRange(1, 5000).Draw(t, "for"))*time.Millisecond
			_, held := plain[k]
			if err := r.Add(k.what, k.name, until); (err == nil) != (held || len(plain) < 5) {
				t.Fatalf("adding to %d: %v", len(plain), err)
			} else if err == nil {
				plain[k] = max(plain[k], until)
			}
			if r.Len() != len(plain) {
				t.Fatalf("%d held, want %d", r.Len(), len(plain))
			}
			for k := range plain {
				if !r.Has(now, k.what, k.name) {
					t.Fatalf("%v %s is not revoked", k.what, k.name)
				}
			}
		}
	})
}

// TestFloodOfBadTokens: a client that sends ten thousand distinct bad tokens a second has a bounded number checked, and
// another's new tokens are all checked.
func TestFloodOfBadTokens(t *testing.T) {
	m := newMaker(t)
	k := m.key("k", EdDSA)
	g := gateWith(t, k)
	good := m.token(k, nil)
	flood, honest := &Caller{Front: "rpc"}, &Caller{Front: "rpc"}
	checked := 0
	for i := range 30_000 {
		now := start + time.Duration(i)*100*time.Microsecond
		bad := fmt.Sprintf("%s%06d", good[:len(good)-6], i)
		if _, j := g.Authenticate(now, &Call{Caller: flood, Token: bad, Access: Access{Class: "charge"}}); j != nil {
			checked++
			for _, o := range g.SignatureChecked(now, j, Claims{}, Signature) {
				if o.Reason == Allowed {
					t.Fatal("a bad token is allowed")
				}
			}
		}
		if i%100 == 0 { // a hundred new tokens a second
			o, j := g.Authenticate(now, &Call{Caller: honest, Token: fmt.Sprintf("%s%06d", good[:len(good)-6], 500_000+i), Access: Access{Class: "charge"}})
			if j == nil {
				t.Fatalf("at %v the other's token is not checked: %v", now-start, o.Reason)
			}
			g.SignatureChecked(now, j, Claims{ID: "x", Subject: "s1", Tenant: "lanes", KeyID: "k", Expires: start + time.Hour, audience: []string{"doorman"}}, Allowed)
		}
	}
	if checked > 600 {
		t.Errorf("%d bad signatures were checked in 3 s, at most 600 wanted", checked)
	}
}

// TestOneOutcomeEach: whatever comes in which order, each call gets exactly one outcome, and at most one job is out for a token.
func TestOneOutcomeEach(t *testing.T) {
	m := newMaker(t)
	k := m.key("k", EdDSA)
	tokens := []string{"", "junk", m.token(k, nil), m.token(k, func(c *Claims) { c.Tenant = "staff" }), m.token(k, nil) + "x"}
	rapid.Check(t, func(t *rapid.T) {
		g := gateWith(m.t, k)
		g.cfg.MaxWaiting, g.cfg.MaxCachedTokens = 4, 1
		callers := []*Caller{{Front: "rpc"}, {Front: "dns"}}
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
			o, j := g.Authenticate(now, &Call{Caller: rapid.SampledFrom(callers).Draw(t, "caller"), Token: token, Access: Access{Class: "lookup"}})
			if o != nil {
				note(o)
			}
			if j != nil {
				if jobs[token] != nil {
					t.Fatal("two jobs are out for one token")
				}
				jobs[token] = j
			}
			if g.Waiting() > 4 || len(g.cache) > 1 {
				t.Fatalf("%d wait, %d are cached", g.Waiting(), len(g.cache))
			}
		}
		for _, j := range jobs {
			for _, o := range g.SignatureChecked(now, j, Claims{}, Signature) {
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

// FuzzToken: no token ends the program, and none but a signed one is taken.
func FuzzToken(f *testing.F) {
	m := newMaker(f)
	k := m.key("k", EdDSA)
	g := gateWith(f, k)
	good := m.token(k, nil)
	f.Add(good)
	f.Add("..")
	f.Add("eyJhbGciOiJub25lIiwia2lkIjoiayJ9.e30.")
	f.Fuzz(func(t *testing.T, token string) {
		o := call(g, start+1, &Call{Token: token, Access: Access{Class: "charge"}})
		if o.Reason == Allowed && token != good {
			t.Fatalf("taken: %q", token)
		}
	})
}

// BenchmarkArrive is what the gate costs a request.
func BenchmarkArrive(b *testing.B) {
	m := newMaker(b)
	ed, es := m.key("ed", EdDSA), m.key("es", ES256)
	ask := Access{Class: "lookup"}
	b.Run("unsigned", func(b *testing.B) {
		g, c := gateWith(b, ed), &Caller{Front: "rpc"}
		b.ReportAllocs()
		for range b.N {
			g.Authenticate(start+1, &Call{Caller: c, Access: ask})
		}
	})
	b.Run("cached", func(b *testing.B) {
		g, c := gateWith(b, ed), &Caller{Front: "rpc"}
		token := m.token(ed, nil)
		call(g, start+1, &Call{Caller: c, Token: token, Access: ask})
		b.ReportAllocs()
		for range b.N {
			g.Authenticate(start+1, &Call{Caller: c, Token: token, Access: ask})
		}
	})
	b.Run("new, on the loop", func(b *testing.B) {
		g := gateWith(b, ed)
		g.cfg.ChecksPerSecond, g.cfg.ChecksPerConnection = 1e12, 1e12
		tokens := make([]string, 1000)
		for i := range tokens {
			tokens[i] = m.token(ed, nil)
		}
		g.cfg.MaxCachedTokens = 1
		b.ReportAllocs()
		b.ResetTimer()
		for i := range b.N {
			_, j := g.Authenticate(start+1, &Call{Caller: &Caller{Front: "rpc"}, Token: tokens[i%1000], Access: ask})
			g.SignatureChecked(start+1, j, Claims{ID: "x", Subject: "s", Tenant: "lanes", KeyID: "ed", Expires: start + time.Hour, audience: []string{"doorman"}}, Allowed)
		}
	})
	for _, k := range []Key{ed, es} {
		token := m.token(k, nil)
		b.Run("verify/"+string(k.Algorithm), func(b *testing.B) {
			b.ReportAllocs()
			for range b.N {
				if _, reason := Verify(token, &k); reason != Allowed {
					b.Fatal(reason)
				}
			}
		})
	}
	b.Run("rights/10000-tenants", func(b *testing.B) {
		var all []Tenant
		for i := range 10_000 {
			all = append(all, Tenant{Name: fmt.Sprint("t", i), Rules: rules(b, "right charge lookup", "deny lookup group=7")})
		}
		r, err := NewRights(all, "")
		if err != nil {
			b.Fatal(err)
		}
		b.ReportAllocs()
		b.ResetTimer()
		for range b.N {
			r.Authorize("t7777", ask)
		}
	})
	b.Run("revoked/100000", func(b *testing.B) {
		r := NewRevocations(100_000)
		for i := range 100_000 {
			_ = r.Add(RevokedToken, fmt.Sprint("token-", i), start+time.Hour)
		}
		b.ReportAllocs()
		b.ResetTimer()
		for range b.N {
			r.Has(start, RevokedToken, "token-77777")
		}
	})
}

// BenchmarkMemory is what 100,000 remembered tokens of as many subjects, as many idempotency keys, and as many revocations
// hold.
func BenchmarkMemory(b *testing.B) {
	m := newMaker(b)
	k := m.key("k", EdDSA)
	heap := func() uint64 {
		var s runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&s)
		return s.HeapAlloc
	}
	for range b.N {
		before := heap()
		g := gateWith(b, k)
		for i := range 100_000 {
			c := Claims{ID: fmt.Sprint("token-", i), Subject: fmt.Sprint("subject-", i), Tenant: "lanes", KeyID: "k", Expires: start + time.Hour, audience: []string{"doorman"}}
			g.remember(&verified{hash: sha256.Sum256([]byte(c.ID)), claims: c, key: g.keys.Get("k")})
			g.keyed.Admit(start, fmt.Sprint("charge ", i), c.Subject, "lanes", Allowed, 3*time.Second)
			_ = g.revoked.Add(RevokedToken, fmt.Sprint("gone-", i), start+time.Hour)
		}
		b.ReportMetric(float64(heap()-before)/(1<<20), "MB")
		runtime.KeepAlive(g)
	}
}

package identity

import (
	"container/list"
	"crypto/sha256"
	"time"
)

// AuthenticatorConfig bounds an Authenticator.
type AuthenticatorConfig struct {
	Policy              Policy
	MaxCachedTokens     int     // verified tokens that are remembered
	MaxWaiting          int     // requests that wait for a signature to be checked
	ChecksPerSecond     float64 // signatures checked a second, in all
	ChecksPerConnection float64 // signatures checked a second for one connection
	ChecksPerSource     float64 // signatures checked a second for all connections from one source
	MaxIdempotencyKeys  int     // idempotency keys that are remembered
	MaxRevocations      int     // revocations that are held
}

// Defaults returns the bounds in force where the settings say nothing.
func Defaults() AuthenticatorConfig {
	return AuthenticatorConfig{
		Policy:              Policy{Skew: 5 * time.Second},
		MaxCachedTokens:     100_000,
		MaxWaiting:          4096,
		ChecksPerSecond:     4000,
		ChecksPerConnection: 400,
		ChecksPerSource:     1000,
		MaxIdempotencyKeys:  100_000,
		MaxRevocations:      100_000,
	}
}

// Caller is a connection as the gate knows it. Its zero value is a new one.
type Caller struct {
	Front      string
	Thumbprint string // of its client certificate; empty: it has none
	Tenant     string // that the certificate stands for; empty: none
	Subject    string
	Site       string
	Remote     string  // the host that it is known to call from; empty: its connection's
	Source     *Source // nil: not told
	budget     bucket
	bad        int // signatures that did not hold, lately
	held       held
	proven     bool // something of it was admitted by a credential
}

// Call is one request at the gate.
type Call struct {
	Caller *Caller
	Token  string
	Access Access
	Key    string // idempotency key; empty: not keyed
	Window time.Duration
	Data   any // the user's own
}

// Outcome is what the gate decides of a call.
type Outcome struct {
	Call    *Call
	Reason  Reason
	Tenant  string
	Subject string
	KeyID   string
	Rule    int
	Wait    time.Duration // with Busy and IdempotencyKeysFull: to stay away
}

// SignatureJob is a signature to be checked, by Verify, wherever that does not hold the loop. Its Result goes to Verified.
type SignatureJob struct {
	Token string
	Key   *Key
	hash  [32]byte
}

// verified is a token whose signature holds.
type verified struct {
	hash   [32]byte
	claims Claims
	key    *Key // whose signature it is
	begun  bool // it was found in force
}

// Authenticator decides who a caller is and whether it may do what it asks. It remembers tokens whose signature holds, and has
// others checked within budgets, so that a flood of bad ones costs the sender's own connection first.
//
// Invariants: at most one SignatureJob is out for a token; what is remembered and what waits is bounded; every Call gets exactly
// one Outcome. It is not safe for concurrent use.
type Authenticator struct {
	cfg     AuthenticatorConfig
	rights  *Rights
	keys    *Keys
	revoked *Revocations
	keyed   *IdempotencyKeys
	cache   map[[32]byte]*list.Element
	recent  *list.List // of *verified, the newest first
	waiting map[[32]byte][]*Call
	queued  int
	total   bucket
	offset  time.Duration // what the Unix clock is ahead
	// Counts of what was done, for the log and the tests.
	Checked, Hits, Rejected uint64
}

// NewAuthenticator makes a gate with no keys.
func NewAuthenticator(cfg AuthenticatorConfig, rights *Rights) *Authenticator {
	return &Authenticator{cfg: cfg, rights: rights, revoked: NewRevocations(cfg.MaxRevocations), keyed: NewIdempotencyKeys(cfg.MaxIdempotencyKeys),
		cache: map[[32]byte]*list.Element{}, recent: list.New(), waiting: map[[32]byte][]*Call{}}
}

// SetOffset tells by how much the Unix clock, which tokens, keys and revocations go by, is ahead of the times that the gate
// is given, which budgets and windows go by.
func (g *Authenticator) SetOffset(offset time.Duration) { g.offset = offset }

// SetKeys takes another key set. Tokens of keys that stay are not checked again.
func (g *Authenticator) SetKeys(k *Keys) { g.keys = k }

// Keys is the set in force.
func (g *Authenticator) Keys() *Keys { return g.keys }

// SetRights takes other rights.
func (g *Authenticator) SetRights(r *Rights) { g.rights = r }

// Revocations is what was revoked.
func (g *Authenticator) Revocations() *Revocations { return g.revoked }

// Waiting is the number of calls that wait for a signature.
func (g *Authenticator) Waiting() int { return g.queued }

// Authenticate takes a call. Either its outcome comes back, or a job whose result decides it, or neither where it waits for a job
// that is out already.
func (g *Authenticator) Authenticate(now time.Duration, c *Call) (*Outcome, *SignatureJob) {
	unix := now + g.offset
	g.revoked.Expire(unix)
	if c.Token == "" {
		return g.decide(now, c, nil, Unsigned), nil
	}
	hash := sha256.Sum256([]byte(c.Token))
	if e := g.cache[hash]; e != nil {
		v := e.Value.(*verified)
		if g.keys.Get(v.claims.KeyID) == v.key || samePublic(g.keys.Get(v.claims.KeyID), v.key) {
			g.Hits++
			g.recent.MoveToFront(e)
			reason := g.cfg.Policy.check(unix, &v.claims, g.keys, g.revoked, v.begun)
			v.begun = v.begun || reason == Allowed
			return g.decide(now, c, &v.claims, reason), nil
		}
		g.drop(e) // its key is gone
	}
	if calls, out := g.waiting[hash]; out {
		if g.queued >= g.cfg.MaxWaiting {
			return g.busy(c, time.Second), nil
		}
		g.waiting[hash] = append(calls, c)
		g.queued++
		return nil, nil
	}
	// From here on a token costs more than a look-up: also one that is none, so that what a connection may send of those is
	// bounded before they are read.
	if wait, ok := g.afford(now, c.Caller); !ok {
		return g.hold(now, c, wait), nil
	}
	id, algorithm, reason := ParseHeader(c.Token)
	if reason != Allowed {
		return g.decide(now, c, nil, reason), nil
	}
	k := g.keys.Get(id)
	switch {
	case k == nil:
		return g.decide(now, c, nil, UnknownKey), nil
	case k.Algorithm != algorithm:
		return g.decide(now, c, nil, WrongAlgorithm), nil
	case g.revoked.Has(unix, RevokedKey, id):
		return g.decide(now, c, nil, Revoked), nil
	case k.State(unix) == KeyPending:
		return g.decide(now, c, nil, NotYet), nil
	}
	// A retired key's tokens are checked too: a retry of an admitted request may come by one.
	if g.queued >= g.cfg.MaxWaiting {
		return g.busy(c, time.Second), nil
	}
	if wait, ok := g.total.take(now, g.cfg.ChecksPerSecond); !ok {
		return g.busy(c, wait), nil
	}
	g.waiting[hash] = append(g.waiting[hash], c)
	g.queued++
	g.Checked++
	return nil, &SignatureJob{Token: c.Token, Key: k, hash: hash}
}

func samePublic(a, b *Key) bool {
	if a == nil || b == nil {
		return false
	}
	x, err := a.thumbprint()
	y, err2 := b.thumbprint()
	return err == nil && err2 == nil && x == y
}

func (g *Authenticator) busy(c *Call, wait time.Duration) *Outcome {
	g.Rejected++
	return &Outcome{Call: c, Reason: Busy, Rule: -1, Wait: wait}
}

// badMost bounds how far bad signatures lower a connection's budget.
const badMost = 100

// SignatureChecked takes the result of a job, and gives the outcomes of all calls that waited for it.
func (g *Authenticator) SignatureChecked(now time.Duration, j *SignatureJob, claims Claims, reason Reason) (out []*Outcome) {
	calls := g.waiting[j.hash]
	delete(g.waiting, j.hash)
	g.queued -= len(calls)
	inForce := reason
	if reason == Allowed {
		inForce = g.cfg.Policy.Check(now+g.offset, &claims, g.keys, g.revoked)
		g.remember(&verified{hash: j.hash, claims: claims, key: j.Key, begun: inForce == Allowed})
	}
	for _, c := range calls {
		if reason != Allowed {
			c.Caller.ill()
			out = append(out, g.decide(now, c, nil, reason))
			continue
		}
		c.Caller.good()
		out = append(out, g.decide(now, c, &claims, inForce))
	}
	return out
}

func (g *Authenticator) remember(v *verified) {
	if g.cache[v.hash] != nil {
		return
	}
	g.cache[v.hash] = g.recent.PushFront(v)
	for len(g.cache) > g.cfg.MaxCachedTokens {
		g.drop(g.recent.Back())
	}
}

func (g *Authenticator) drop(e *list.Element) {
	delete(g.cache, e.Value.(*verified).hash)
	g.recent.Remove(e)
}

// Expire drops remembered tokens from the oldest end that have ended, at most so many: the rest goes as it is met.
func (g *Authenticator) Expire(now time.Duration, most int) {
	g.keyed.expire(now)
	unix := now + g.offset
	g.revoked.Expire(unix)
	for e := g.recent.Back(); e != nil && most > 0; most-- {
		before := e.Prev()
		if v := e.Value.(*verified); unix >= v.claims.Expires+g.cfg.Policy.Skew {
			g.drop(e)
		}
		e = before
	}
}

// decide joins who the caller is, what it may do, and the rule for idempotency keys.
func (g *Authenticator) decide(now time.Duration, c *Call, claims *Claims, reason Reason) *Outcome {
	o := &Outcome{Call: c, Reason: reason, Rule: -1}
	switch {
	case claims != nil:
		o.Tenant, o.Subject, o.KeyID = claims.Tenant, claims.Subject, claims.KeyID
		if reason == Allowed && claims.Thumbprint != "" && claims.Thumbprint != c.Caller.Thumbprint {
			o.Reason = Binding
		}
	case reason == Unsigned && c.Caller.Tenant != "":
		o.Tenant, o.Subject, o.Reason = c.Caller.Tenant, c.Caller.Subject, Allowed
		if g.revoked.Has(now+g.offset, RevokedSubject, o.Subject) {
			o.Reason = Revoked
		}
	case reason == Unsigned:
		if tenant, ok := g.rights.Unsigned(); ok {
			o.Tenant, o.Reason = tenant, Allowed
		}
	}
	if o.Tenant != "" && (o.Reason == Allowed || c.Key != "" && (o.Reason == Expired || o.Reason == Retired)) {
		ask := c.Access
		ask.Front, ask.Site = c.Caller.Front, c.Caller.Site
		if claims != nil && claims.Site != "" {
			ask.Site = claims.Site
		}
		d := g.rights.Authorize(o.Tenant, ask)
		if d.Reason != Allowed {
			o.Reason = d.Reason
		}
		if o.Rule = d.Rule; c.Key != "" {
			o.Reason = g.keyed.Admit(now, c.Key, o.Subject, o.Tenant, o.Reason, c.Window)
		}
	}
	if o.Reason == IdempotencyKeysFull {
		o.Wait = time.Second
	}
	if o.Reason != Allowed {
		g.Rejected++
	} else if claims != nil || c.Caller.Tenant != "" {
		c.Caller.proven = true
		c.Caller.held.ease()
	}
	return o
}

// newTokens is what a bucket begins with: who connects anew for each burst is to gain nothing by it.
const newTokens = 32

// bucket is a token bucket that holds a second's worth.
type bucket struct {
	tokens float64
	at     time.Duration
}

func (b *bucket) take(now time.Duration, perSecond float64) (time.Duration, bool) {
	if b.at == 0 {
		b.tokens = min(perSecond, newTokens)
	} else {
		b.tokens = min(max(1, perSecond), b.tokens+max(0, now-b.at).Seconds()*perSecond)
	}
	b.at = max(now, 1)
	if b.tokens < 1 {
		return time.Duration((1-b.tokens)/perSecond*float64(time.Second)) + time.Millisecond, false
	}
	b.tokens--
	return 0, true
}

// SetRevocations takes another list of what was revoked.
func (g *Authenticator) SetRevocations(r *Revocations) { g.revoked = r }

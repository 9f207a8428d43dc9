package identity

import (
	"crypto/sha256"
	"time"
)

const (
	// queueFullWait is the Retry-After while too many calls wait for a signature check.
	queueFullWait = time.Second
	// idempotencyKeysFullWait is the Retry-After while no more idempotency keys can be remembered.
	idempotencyKeysFullWait = time.Second
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

// Call is one request at the authenticator.
type Call struct {
	Caller            *Caller
	Token             string // empty: it has none
	Access            Access
	IdempotencyKey    string        // idempotency key; empty: not keyed
	IdempotencyWindow time.Duration // how long repeats of the key may come
	Data              any           // the user's own
}

// Outcome is the decision about a call.
type Outcome struct {
	Call       *Call
	Reason     Reason
	Tenant     string        // that the caller is of; empty: not known
	Subject    string        // empty: not known
	KeyID      string        // of the key that signed the token; empty: none did
	Rule       int           // of the tenant, from 0, that decided; -1: none did
	RetryAfter time.Duration // with Busy and IdempotencyKeysFull: how long to stay away
}

// SignatureJob is a signature to be checked by Verify, outside of the event loop. The result of Verify is passed to
// Authenticator.SignatureChecked.
type SignatureJob struct {
	Token string
	Key   *Key
	hash  tokenHash
}

// tokenHash identifies a token by its complete text.
type tokenHash [sha256.Size]byte

// Authenticator identifies callers and decides whether they may do what they request. It caches tokens whose
// signature was verified, and has others verified within budgets, so that a flood of bad tokens uses up the budget of
// its sender's connection first.
//
// Invariants: at most one SignatureJob is out for a token; what is remembered and what waits is bounded; every Call
// gets exactly one Outcome. It is not safe for concurrent use.
type Authenticator struct {
	config          AuthenticatorConfig
	rights          *Rights
	keys            *Keys
	revoked         *Revocations
	idempotencyKeys *IdempotencyKeys
	cache           *tokenCache
	waiting         map[tokenHash][]*Call // for the result of a SignatureJob
	waitingCalls    int                   // in all of waiting
	checks          tokenBucket           // of config.ChecksPerSecond
	clockOffset     time.Duration         // what the Unix clock is ahead of the times that are passed in

	// Counts since the start, for the tests: signatures checked, cached tokens met, calls that were not allowed.
	SignatureChecks, CacheHits, Rejected uint64
}

// NewAuthenticator returns an authenticator with no keys.
func NewAuthenticator(config AuthenticatorConfig, rights *Rights) *Authenticator {
	return &Authenticator{
		config:          config,
		rights:          rights,
		revoked:         NewRevocations(config.MaxRevocations),
		idempotencyKeys: NewIdempotencyKeys(config.MaxIdempotencyKeys),
		cache:           newTokenCache(config.MaxCachedTokens),
		waiting:         map[tokenHash][]*Call{},
	}
}

// SetClockOffset sets how far the Unix clock is ahead of the times that callers pass in. The Unix clock applies to
// tokens, keys and revocations; the times passed in apply to budgets and idempotency windows.
func (a *Authenticator) SetClockOffset(offset time.Duration) { a.clockOffset = offset }

// SetKeys replaces the key set. Tokens of keys that stay are not checked again.
func (a *Authenticator) SetKeys(keys *Keys) { a.keys = keys }

// Keys returns the key set in force.
func (a *Authenticator) Keys() *Keys { return a.keys }

// SetRights replaces the rights.
func (a *Authenticator) SetRights(rights *Rights) { a.rights = rights }

// SetRevocations replaces the list of what was revoked.
func (a *Authenticator) SetRevocations(revoked *Revocations) { a.revoked = revoked }

// Revocations returns the list of what was revoked.
func (a *Authenticator) Revocations() *Revocations { return a.revoked }

// Waiting returns the number of calls that wait for a signature.
func (a *Authenticator) Waiting() int { return a.waitingCalls }

// Authenticate starts the decision about a call. It returns the outcome, or a job whose result decides it, or neither
// if the call waits for a job that was returned before.
func (a *Authenticator) Authenticate(now time.Duration, call *Call) (*Outcome, *SignatureJob) {
	a.revoked.Expire(now + a.clockOffset)
	if call.Token == "" {
		return a.decide(now, call, nil, Unsigned), nil
	}
	hash := tokenHash(sha256.Sum256([]byte(call.Token)))
	if cached := a.cachedToken(hash); cached != nil {
		return a.decideCached(now, call, cached), nil
	}
	if calls, isOut := a.waiting[hash]; isOut {
		if a.waitingCalls >= a.config.MaxWaiting {
			return a.busy(call, queueFullWait), nil
		}
		a.waiting[hash] = append(calls, call)
		a.waitingCalls++
		return nil, nil
	}
	return a.startCheck(now, call, hash)
}

// cachedToken returns a cached token, or nil. A token whose key is no longer in the key set is removed.
func (a *Authenticator) cachedToken(hash tokenHash) *verifiedToken {
	cached := a.cache.get(hash)
	if cached == nil {
		return nil
	}
	key := a.keys.Get(cached.claims.KeyID)
	if key != cached.key && !samePublicKey(key, cached.key) {
		a.cache.remove(cached)
		return nil
	}
	return cached
}

// decideCached decides about a call with a cached token.
func (a *Authenticator) decideCached(now time.Duration, call *Call, cached *verifiedToken) *Outcome {
	a.CacheHits++
	a.cache.touch(cached)
	unix := now + a.clockOffset
	reason := a.config.Policy.check(unix, &cached.claims, a.keys, a.revoked, cached.wasValid)
	cached.wasValid = cached.wasValid || reason == Allowed
	return a.decide(now, call, &cached.claims, reason)
}

// startCheck has the signature of an unknown token checked, if its caller's budgets and its header allow it.
func (a *Authenticator) startCheck(now time.Duration, call *Call, hash tokenHash) (*Outcome, *SignatureJob) {
	// From here on a token costs more than a look-up, even if it is malformed: the budgets are charged before it is
	// parsed.
	if wait, ok := a.chargeCaller(now, call.Caller); !ok {
		call.Caller.rejectedForBudget(now)
		return a.busy(call, wait), nil
	}
	id, algorithm, reason := ParseHeader(call.Token)
	if reason != Allowed {
		return a.decide(now, call, nil, reason), nil
	}
	key := a.keys.Get(id)
	if reason := a.checkKey(now, key, id, algorithm); reason != Allowed {
		return a.decide(now, call, nil, reason), nil
	}
	if a.waitingCalls >= a.config.MaxWaiting {
		return a.busy(call, queueFullWait), nil
	}
	if wait, ok := a.checks.take(now, a.config.ChecksPerSecond); !ok {
		return a.busy(call, wait), nil
	}
	a.waiting[hash] = append(a.waiting[hash], call)
	a.waitingCalls++
	a.SignatureChecks++
	return nil, &SignatureJob{Token: call.Token, Key: key, hash: hash}
}

// checkKey returns why a key can't verify a token. A retired key can: its token may belong to a retry of an admitted
// request.
func (a *Authenticator) checkKey(now time.Duration, key *Key, id string, algorithm Algorithm) Reason {
	unix := now + a.clockOffset
	switch {
	case key == nil:
		return UnknownKey
	case key.Algorithm != algorithm:
		return WrongAlgorithm
	case a.revoked.Has(unix, RevokedKey, id):
		return Revoked
	case key.State(unix) == KeyPending:
		return NotYetValid
	}
	return Allowed
}

// chargeCaller charges one token that is not cached to the budgets of the caller's connection and its source. If one
// is used up it returns the Retry-After.
func (a *Authenticator) chargeCaller(now time.Duration, caller *Caller) (wait time.Duration, ok bool) {
	if wait, ok := caller.budget.take(now, a.config.ChecksPerConnection); !ok {
		return wait, false
	}
	if caller.Source != nil {
		return caller.Source.budget.take(now, a.config.ChecksPerSource)
	}
	return 0, true
}

// busy rejects a call whose signature can't be checked now.
func (a *Authenticator) busy(call *Call, wait time.Duration) *Outcome {
	a.Rejected++
	return &Outcome{Call: call, Reason: Busy, Rule: noRule, RetryAfter: wait}
}

// SignatureChecked processes the result of a job and returns the outcomes of all calls that waited for it.
func (a *Authenticator) SignatureChecked(
	now time.Duration, job *SignatureJob, claims Claims, reason Reason,
) (outcomes []*Outcome) {
	calls := a.waiting[job.hash]
	delete(a.waiting, job.hash)
	a.waitingCalls -= len(calls)
	validity := reason
	if reason == Allowed {
		validity = a.config.Policy.Check(now+a.clockOffset, &claims, a.keys, a.revoked)
		a.cache.add(&verifiedToken{hash: job.hash, claims: claims, key: job.Key, wasValid: validity == Allowed})
	}
	for _, call := range calls {
		if reason != Allowed {
			call.Caller.badSignature()
			outcomes = append(outcomes, a.decide(now, call, nil, reason))
			continue
		}
		call.Caller.goodSignature()
		outcomes = append(outcomes, a.decide(now, call, &claims, validity))
	}
	return outcomes
}

// Expire drops expired entries. Of the cached tokens it examines only the maxTokens least recently used; the others
// are found when they are used.
func (a *Authenticator) Expire(now time.Duration, maxTokens int) {
	a.idempotencyKeys.expire(now)
	unix := now + a.clockOffset
	a.revoked.Expire(unix)
	a.cache.expire(unix-a.config.Policy.Skew, maxTokens)
}

// decide combines the caller's identity, its rights and the rule for idempotency keys. claims are those of a verified
// token, or nil; reason reports whether they are valid now.
func (a *Authenticator) decide(now time.Duration, call *Call, claims *Claims, reason Reason) *Outcome {
	outcome := &Outcome{Call: call, Reason: reason, Rule: noRule}
	if claims != nil {
		identifyByToken(outcome, claims)
	} else if reason == Unsigned {
		a.identifyUnsigned(now, outcome)
	}
	if mayBeAuthorized(outcome) {
		a.authorize(now, outcome, claims)
	}
	if outcome.Reason == IdempotencyKeysFull {
		outcome.RetryAfter = idempotencyKeysFullWait
	}
	if outcome.Reason != Allowed {
		a.Rejected++
	} else if claims != nil || call.Caller.Tenant != "" {
		call.Caller.admittedByCredential()
	}
	return outcome
}

// identifyByToken sets the caller's identity from its token, and checks that the token is bound to no other
// certificate than the connection's.
func identifyByToken(outcome *Outcome, claims *Claims) {
	outcome.Tenant = claims.Tenant
	outcome.Subject = claims.Subject
	outcome.KeyID = claims.KeyID
	isBound := claims.Thumbprint != ""
	if outcome.Reason == Allowed && isBound && claims.Thumbprint != outcome.Call.Caller.Thumbprint {
		outcome.Reason = WrongCertificate
	}
}

// identifyUnsigned sets the identity of a caller without a token from its certificate, or from the tenant of unsigned
// callers.
func (a *Authenticator) identifyUnsigned(now time.Duration, outcome *Outcome) {
	caller := outcome.Call.Caller
	if caller.Tenant != "" {
		outcome.Tenant = caller.Tenant
		outcome.Subject = caller.Subject
		outcome.Reason = Allowed
		if a.revoked.Has(now+a.clockOffset, RevokedSubject, outcome.Subject) {
			outcome.Reason = Revoked
		}
		return
	}
	if tenant, ok := a.rights.Unsigned(); ok {
		outcome.Tenant = tenant
		outcome.Reason = Allowed
	}
}

// mayBeAuthorized reports whether the rights decide about a call. A keyed call may be a retry of one that was
// admitted before its token or key ended.
func mayBeAuthorized(outcome *Outcome) bool {
	if outcome.Tenant == "" {
		return false
	}
	mayBeRetry := outcome.Call.IdempotencyKey != "" && (outcome.Reason == Expired || outcome.Reason == RetiredKey)
	return outcome.Reason == Allowed || mayBeRetry
}

// authorize decides whether the caller's tenant may do what it wants, and whether the idempotency key is the
// caller's.
func (a *Authenticator) authorize(now time.Duration, outcome *Outcome, claims *Claims) {
	call := outcome.Call
	access := call.Access
	access.Frontend = call.Caller.Frontend
	access.Site = call.Caller.Site
	if claims != nil && claims.Site != "" {
		access.Site = claims.Site
	}
	decision := a.rights.Authorize(outcome.Tenant, access)
	outcome.Rule = decision.Rule
	if decision.Reason != Allowed {
		outcome.Reason = decision.Reason
	}
	if call.IdempotencyKey != "" {
		outcome.Reason = a.idempotencyKeys.Admit(now, KeyedCall{
			Key:     call.IdempotencyKey,
			Subject: outcome.Subject,
			Tenant:  outcome.Tenant,
			Reason:  outcome.Reason,
			Window:  call.IdempotencyWindow,
		})
	}
}

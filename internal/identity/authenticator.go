package identity

import (
	"crypto/sha256"
	"time"
)

const (
	// queueFullWait is the Retry-After sent while too many calls wait for a signature check.
	queueFullWait = time.Second
	// idempotencyKeysFullWait is the Retry-After sent while the limit on idempotency keys is reached.
	idempotencyKeysFullWait = time.Second
)

// AuthenticatorConfig holds the token policy and the limits of an Authenticator.
type AuthenticatorConfig struct {
	Policy              Policy
	MaxCachedTokens     int     // verified tokens kept in the cache
	MaxWaiting          int     // calls waiting for a signature check
	ChecksPerSecond     float64 // signature checks per second in total
	ChecksPerConnection float64 // uncached tokens processed per second from one connection
	ChecksPerSource     float64 // uncached tokens processed per second from all connections of one source
	MaxIdempotencyKeys  int     // idempotency keys within their windows
	MaxRevocations      int     // unexpired revocations
}

// Defaults returns the configuration that applies where the settings specify nothing.
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

// Call is one request to authenticate.
type Call struct {
	Caller            *Caller
	Token             string // empty if it has none
	Access            Access
	IdempotencyKey    string        // empty if it has none
	IdempotencyWindow time.Duration // how long retries with the key are accepted
	Data              any           // opaque to the authenticator
}

// Outcome is the decision on a call.
type Outcome struct {
	Call       *Call
	Reason     Reason
	Tenant     string        // of the caller; empty if unknown
	Subject    string        // of the caller; empty if unknown
	KeyID      string        // of the key that signed the token; empty without a verified token
	Rule       int           // index of the tenant's rule that decided; -1 if none did
	RetryAfter time.Duration // set with Busy and IdempotencyKeysFull
}

// SignatureJob is a token whose signature must be checked with Verify, outside the event loop. Pass the result of
// Verify to Authenticator.SignatureChecked.
type SignatureJob struct {
	Token string
	Key   *Key
	hash  tokenHash
}

// tokenHash is the hash of a complete token.
type tokenHash [sha256.Size]byte

// Authenticator authenticates callers and authorizes their requests. It caches tokens whose signature was verified and
// has other tokens verified within budgets, so that a flood of invalid tokens uses up the budget of its sender's
// connection first.
//
// Invariants: at most one SignatureJob is pending for a token; the number of cached tokens, idempotency keys,
// revocations and waiting calls is bounded; every Call gets exactly one Outcome. It is not safe for concurrent use.
type Authenticator struct {
	config          AuthenticatorConfig
	rights          *Rights
	keys            *Keys
	revoked         *Revocations
	idempotencyKeys *IdempotencyKeys
	cache           *tokenCache
	waiting         map[tokenHash][]*Call // calls that wait for the result of a SignatureJob
	waitingCalls    int                   // total number of calls in waiting
	checks          tokenBucket           // limits all signature checks to config.ChecksPerSecond
	clockOffset     time.Duration         // how far the Unix clock is ahead of the times passed in

	// Counters for tests: signature checks started, cache hits, and calls that were not allowed.
	SignatureChecks, CacheHits, Rejected uint64
}

// NewAuthenticator returns an authenticator without keys.
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

// SetKeys replaces the key set. Cached tokens of keys that remain in the set are not verified again.
func (a *Authenticator) SetKeys(keys *Keys) { a.keys = keys }

// Keys returns the current key set.
func (a *Authenticator) Keys() *Keys { return a.keys }

// SetRights replaces the rights.
func (a *Authenticator) SetRights(rights *Rights) { a.rights = rights }

// SetRevocations replaces the revocation list.
func (a *Authenticator) SetRevocations(revoked *Revocations) { a.revoked = revoked }

// Revocations returns the current revocation list.
func (a *Authenticator) Revocations() *Revocations { return a.revoked }

// Waiting returns the number of calls that wait for a signature check.
func (a *Authenticator) Waiting() int { return a.waitingCalls }

// Authenticate starts the decision on a call. It returns the outcome, or a job whose result decides the call, or
// neither if the call waits for a job that was returned earlier.
func (a *Authenticator) Authenticate(now time.Duration, call *Call) (*Outcome, *SignatureJob) {
	a.revoked.Expire(now + a.clockOffset)
	if call.Token == "" {
		return a.decide(now, call, nil, Unsigned), nil
	}
	hash := tokenHash(sha256.Sum256([]byte(call.Token)))
	if cached := a.cachedToken(hash); cached != nil {
		return a.decideCached(now, call, cached), nil
	}
	if calls, isPending := a.waiting[hash]; isPending {
		if a.waitingCalls >= a.config.MaxWaiting {
			return a.busy(call, queueFullWait), nil
		}
		a.waiting[hash] = append(calls, call)
		a.waitingCalls++
		return nil, nil
	}
	return a.startCheck(now, call, hash)
}

// cachedToken returns a cached token, or nil. It removes a token whose key is no longer in the key set.
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

// decideCached decides on a call with a cached token.
func (a *Authenticator) decideCached(now time.Duration, call *Call, cached *verifiedToken) *Outcome {
	a.CacheHits++
	a.cache.touch(cached)
	unix := now + a.clockOffset
	reason := a.config.Policy.check(unix, &cached.claims, a.keys, a.revoked, cached.wasValid)
	cached.wasValid = cached.wasValid || reason == Allowed
	return a.decide(now, call, &cached.claims, reason)
}

// startCheck returns a job for an uncached token if the budgets and the token's header allow it.
func (a *Authenticator) startCheck(now time.Duration, call *Call, hash tokenHash) (*Outcome, *SignatureJob) {
	// From here on a token costs more than a cache lookup, even if it is malformed, so the budgets are charged before
	// it is parsed.
	if wait, ok := a.chargeCaller(now, call.Caller); !ok {
		call.Caller.recordBudgetRejection(now)
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

// checkKey returns the reason why a key cannot be used to verify a token, or Allowed. A retired key can be used, since
// its token may belong to a retry of an admitted request.
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

// chargeCaller charges one uncached token to the budgets of the caller's connection and its source. If one of them is
// used up, it returns the Retry-After and false.
func (a *Authenticator) chargeCaller(now time.Duration, caller *Caller) (wait time.Duration, ok bool) {
	if wait, ok := caller.budget.take(now, a.config.ChecksPerConnection); !ok {
		return wait, false
	}
	if caller.Source != nil {
		return caller.Source.budget.take(now, a.config.ChecksPerSource)
	}
	return 0, true
}

// busy rejects a call whose signature cannot be checked now.
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
			call.Caller.recordInvalidSignature()
			outcomes = append(outcomes, a.decide(now, call, nil, reason))
			continue
		}
		call.Caller.recordValidSignature()
		outcomes = append(outcomes, a.decide(now, call, &claims, validity))
	}
	return outcomes
}

// Expire removes expired idempotency keys, revocations and cached tokens. It examines only the maxTokens least recently
// used cached tokens; the expiry of the others is noticed when they are used.
func (a *Authenticator) Expire(now time.Duration, maxTokens int) {
	a.idempotencyKeys.expire(now)
	unix := now + a.clockOffset
	a.revoked.Expire(unix)
	a.cache.expire(unix-a.config.Policy.Skew, maxTokens)
}

// decide combines the caller's identity, its rights and the check of its idempotency key. claims are those of a
// verified token, or nil; reason is the result of checking the token.
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
		call.Caller.recordAdmission()
	}
	return outcome
}

// identifyByToken sets the caller's identity from its token. If the token is bound to a client certificate, it must be
// the certificate of the connection.
func identifyByToken(outcome *Outcome, claims *Claims) {
	outcome.Tenant = claims.Tenant
	outcome.Subject = claims.Subject
	outcome.KeyID = claims.KeyID
	isBound := claims.Thumbprint != ""
	if outcome.Reason == Allowed && isBound && claims.Thumbprint != outcome.Call.Caller.Thumbprint {
		outcome.Reason = WrongCertificate
	}
}

// identifyUnsigned sets the identity of a caller without a token from its certificate or TSIG key, or else to the
// tenant of unsigned callers.
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

// mayBeAuthorized reports whether the rights apply to a call. A call with an idempotency key may be a retry of one that
// was admitted before its token expired or the signing key retired.
func mayBeAuthorized(outcome *Outcome) bool {
	if outcome.Tenant == "" {
		return false
	}
	mayBeRetry := outcome.Call.IdempotencyKey != "" && (outcome.Reason == Expired || outcome.Reason == RetiredKey)
	return outcome.Reason == Allowed || mayBeRetry
}

// authorize decides whether the rights of the tenant allow the access, and whether the idempotency key belongs to the
// caller.
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

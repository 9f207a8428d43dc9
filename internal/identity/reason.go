package identity

// Reason is why a call was denied. Its names appear in the log, in the audit and in the response to the caller.
type Reason uint8

// The reasons.
const (
	Allowed             Reason = iota
	NoRight                    // no rule of the caller's tenant allows the request, or one denies it
	UnknownTenant              // the tenant has no rules
	Unsigned                   // the call has no token, and no tenant is configured for unsigned callers
	Malformed                  // the token is not in an accepted form
	UnknownKey                 // no key in the set has the token's key id
	WrongAlgorithm             // the token's algorithm is not that of the key
	BadSignature               // the signature does not verify with the key
	NotYetValid                // the token or its key is not valid yet
	Expired                    // the token has expired
	RetiredKey                 // the token's key has retired
	Revoked                    // the token, its subject or its key was revoked
	WrongAudience              // the token is for another audience
	WrongCertificate           // the token is bound to a client certificate that the connection does not have
	KeyInUse                   // the request's idempotency key belongs to another subject
	IdempotencyKeysFull        // the limit on idempotency keys is reached
	Busy                       // too many signatures to check; a later retry may be allowed
	reasonCount
)

var reasonNames = [reasonCount]string{
	Allowed:             "allowed",
	NoRight:             "right",
	UnknownTenant:       "tenant",
	Unsigned:            "unsigned",
	Malformed:           "malformed",
	UnknownKey:          "unknown-key",
	WrongAlgorithm:      "algorithm",
	BadSignature:        "signature",
	NotYetValid:         "not-yet",
	Expired:             "expired",
	RetiredKey:          "retired",
	Revoked:             "revoked",
	WrongAudience:       "audience",
	WrongCertificate:    "binding",
	KeyInUse:            "key-in-use",
	IdempotencyKeysFull: "full",
	Busy:                "busy",
}

// String returns the reason's name.
func (r Reason) String() string { return reasonNames[r] }

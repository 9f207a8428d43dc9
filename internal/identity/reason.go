package identity

// Reason is why a caller was denied. Its words are those of the log, of the audit and of the answer to the caller.
type Reason uint8

// The reasons.
const (
	Allowed             Reason = iota
	NoRight                    // no rule of its tenant allows it, or one denies it
	UnknownTenant              // there are no rules for its tenant
	Unsigned                   // it has no token, and unsigned callers have no tenant
	Malformed                  // what it has is no token of the form that is accepted
	UnknownKey                 // no key has that id
	WrongAlgorithm             // the token's algorithm is not the key's
	BadSignature               // the signature is not that of the key
	NotYetValid                // the token or its key is not valid yet
	Expired                    // the token is not valid any more
	RetiredKey                 // its key is not
	Revoked                    // the token, its subject or its key was revoked
	WrongAudience              // the token is for others
	WrongCertificate           // the token is bound to another client certificate, or to one where there is none
	KeyInUse                   // the request's idempotency key belongs to another subject
	IdempotencyKeysFull        // no more idempotency keys can be remembered
	Busy                       // too many signatures to check; later it may be allowed
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

// String returns the word.
func (r Reason) String() string { return reasonNames[r] }

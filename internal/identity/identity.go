// Package identity says who a caller is and what it may do. It does no I/O, asks no clock and starts nothing: keys,
// tokens and revocations are handed to it, and signatures are checked where its user chooses to (see Authenticator).
//
// A caller is a subject of a tenant. What a tenant may do stands in its rules: deny beats allow, and what no rule
// allows is denied. Whatever is denied carries a Reason.
package identity

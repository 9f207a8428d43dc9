// Package identity identifies callers and decides what they may do. It does no I/O, reads no clock and starts no
// goroutines: keys, tokens and revocations are passed in, and its user chooses where signatures are verified (see
// Authenticator).
//
// A caller is a subject of a tenant. A tenant's rules say what it may do: deny takes precedence over allow, and what
// no rule allows is denied. Each denial has a Reason.
package identity

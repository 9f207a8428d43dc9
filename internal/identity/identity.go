// Package identity authenticates callers and authorizes their requests. It does no I/O, reads no clock and starts no
// goroutines: keys, tokens and revocations are passed in, and the code that uses it chooses where signatures are
// verified (see Authenticator).
//
// A caller is a subject of a tenant. The tenant's rules define its permissions: deny takes precedence over allow, and
// a request that no rule allows is denied. Each denial has a Reason.
package identity

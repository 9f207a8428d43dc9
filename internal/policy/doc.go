// Package policy decides, for one proxy in front of caches of large objects, which endpoint gets a request, whether
// the request is retried, and when it is rejected or failed. An Engine takes events and returns the resulting actions.
//
// Invariants: no attempt breaks any of the protocol's five rules, each of which is enforced by a function in guards.go;
// after each event, every request either has an attempt in flight or has ended; the same events give the same actions,
// in the same order, at every proxy with the same settings.
//
// Bounds: memory grows with the open requests, the rows of package gaptable, and the endpoints that are in the endpoint
// list or left it within the last minute. The time to handle an event is proportional to the attempts that it sends,
// plus the caches of the zone for the first of them; a timer event takes time proportional to the open requests. The
// package does no I/O, reads no clock and draws no random numbers.
//
// The types of its interface are in types.go, events.go and actions.go.
package policy

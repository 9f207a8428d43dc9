// Package policy decides, for one proxy in front of caches of large objects, which endpoint gets a request, whether
// it is retried, and when it is rejected or failed. An Engine takes events and gives the actions that answer them.
//
// Invariants: no attempt is sent that breaks one of the protocol's five rules, each of which has its function in
// guards.go; an open request has an attempt in flight after each event, or it has got its end; the same events give
// the same actions, in the same order, at every proxy that has the same settings.
//
// Bounds: memory for the requests without an end, the rows of package gaptable, the endpoints of the list and those
// that left it within the last minute. An event takes time in proportion to the attempts that it sends and, for the
// first of them, to the caches of the zone; a timer's event to the open requests. The package does no I/O, reads no
// clock and draws no random numbers.
//
// The types of its interface are in types.go, events.go and actions.go.
package policy

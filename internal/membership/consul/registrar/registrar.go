// Package registrar decides how a program keeps itself registered at an agent by a TTL check: when to register, when to
// renew, when to register anew because the agent has forgotten it, and that it is taken back first thing at the end. It
// does no I/O and asks no clock.
//
// Invariants: at most one Action is out; while the agent answers, no renewal is later than a third of the TTL after the
// last; after Leave nothing but Deregister is asked for, at most Tries times.
package registrar

import "time"

// Action is what is to be done.
type Action uint8

// The actions.
const (
	Nothing Action = iota
	Register
	Renew
	Deregister
)

// Result is what came of an action.
type Result uint8

// The results.
const (
	Done    Result = iota
	Unknown        // the agent does not know the check or the service
	Failed         // it did not answer, or refused
)

// Tries is how often a registration is tried to be taken back.
const Tries = 3

const (
	retryFirst = 500 * time.Millisecond
	retryMost  = 5 * time.Second
	leaveRetry = 100 * time.Millisecond
)

// Registrar is the state. It is not safe for concurrent use.
type Registrar struct {
	ttl        time.Duration
	registered bool
	leaving    bool
	over       bool
	out        Action
	next       time.Duration
	retry      time.Duration
	tries      int
}

// New makes one that is not registered. The TTL must be at least a second.
func New(ttl time.Duration) *Registrar { return &Registrar{ttl: ttl} }

// Registered says whether the agent has it, as far as is known.
func (r *Registrar) Registered() bool { return r.registered }

// Over says that it is taken back, or that this was tried often enough.
func (r *Registrar) Over() bool { return r.over }

// Leave has the registration taken back.
func (r *Registrar) Leave(now time.Duration) {
	if !r.leaving {
		r.leaving, r.next = true, now
	}
}

// Next is when Step has something to do; it counts only while nothing is out.
func (r *Registrar) Next() time.Duration { return r.next }

// Step gives what is to be done by now. Result is owed for anything but Nothing.
func (r *Registrar) Step(now time.Duration) Action {
	if r.out != Nothing || r.over || now < r.next {
		return Nothing
	}
	switch {
	case r.leaving:
		// Also where the registration was not answered: it may have arrived.
		r.out = Deregister
	case r.registered:
		r.out = Renew
	default:
		r.out = Register
	}
	return r.out
}

// Result takes what came of the action that is out.
func (r *Registrar) Result(now time.Duration, res Result) {
	out := r.out
	r.out = Nothing
	if out == Deregister {
		r.tries++
		r.over = res != Failed || r.tries >= Tries
		r.registered = r.registered && res == Failed
		r.next = now + leaveRetry
		return
	}
	switch {
	case res == Done:
		r.registered, r.retry = true, 0
		r.next = now + r.ttl/3
	case res == Unknown && out == Renew:
		r.registered, r.next = false, now // an agent that has started anew
	default:
		// It stays registered while the agent is away: the check runs out by itself, and a renewal mends that.
		r.retry = min(max(retryFirst, 2*r.retry), retryMost, r.ttl/3)
		r.next = now + r.retry
	}
	if r.leaving {
		r.next = now
	}
}

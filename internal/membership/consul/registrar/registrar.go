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
	None Action = iota
	Register
	Renew
	Deregister
)

// Result is what came of an action.
type Result uint8

// The results.
const (
	Succeeded Result = iota
	NotFound         // the agent does not know the check or the service
	Failed           // it did not answer, or refused
)

// MaxDeregisterAttempts is how often a registration is tried to be taken back.
const MaxDeregisterAttempts = 3

const (
	minRetryDelay        = 500 * time.Millisecond
	maxRetryDelay        = 5 * time.Second
	deregisterRetryDelay = 100 * time.Millisecond
)

// Registrar is the state. It is not safe for concurrent use.
type Registrar struct {
	ttl                time.Duration
	registered         bool
	deregistering      bool
	finished           bool
	pending            Action
	nextStepAt         time.Duration
	retryDelay         time.Duration
	deregisterAttempts int
}

// New makes one that is not registered. The TTL must be at least a second.
func New(ttl time.Duration) *Registrar { return &Registrar{ttl: ttl} }

// Registered says whether the agent has it, as far as is known.
func (r *Registrar) Registered() bool { return r.registered }

// Finished says that it is taken back, or that this was tried often enough.
func (r *Registrar) Finished() bool { return r.finished }

// Deregister has the registration taken back.
func (r *Registrar) Deregister(now time.Duration) {
	if !r.deregistering {
		r.deregistering, r.nextStepAt = true, now
	}
}

// Next is when Step has something to do; it counts only while nothing is out.
func (r *Registrar) Next() time.Duration { return r.nextStepAt }

// Step gives what is to be done by now. Result is owed for anything but Nothing.
func (r *Registrar) Step(now time.Duration) Action {
	if r.pending != None || r.finished || now < r.nextStepAt {
		return None
	}
	switch {
	case r.deregistering:
		// Also where the registration was not answered: it may have arrived.
		r.pending = Deregister
	case r.registered:
		r.pending = Renew
	default:
		r.pending = Register
	}
	return r.pending
}

// ActionCompleted takes what came of the action that is out.
func (r *Registrar) ActionCompleted(now time.Duration, res Result) {
	out := r.pending
	r.pending = None
	if out == Deregister {
		r.deregisterAttempts++
		r.finished = res != Failed || r.deregisterAttempts >= MaxDeregisterAttempts
		r.registered = r.registered && res == Failed
		r.nextStepAt = now + deregisterRetryDelay
		return
	}
	switch {
	case res == Succeeded:
		r.registered, r.retryDelay = true, 0
		r.nextStepAt = now + r.ttl/3
	case res == NotFound && out == Renew:
		r.registered, r.nextStepAt = false, now // an agent that has started anew
	default:
		// It stays registered while the agent is away: the check runs out by itself, and a renewal mends that.
		r.retryDelay = min(max(minRetryDelay, 2*r.retryDelay), maxRetryDelay, r.ttl/3)
		r.nextStepAt = now + r.retryDelay
	}
	if r.deregistering {
		r.nextStepAt = now
	}
}

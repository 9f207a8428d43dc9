// Package registrar decides how a program keeps itself registered at a Consul agent with a TTL check: when to register,
// when to renew, when to register again because the agent has lost the registration, and when to deregister. It does
// no I/O and reads no clock: its caller calls Step and carries out the returned Actions.
//
// Invariants: at most one Action is in flight. While the agent responds, each renewal is due at most a third of the TTL
// after the previous one. After Deregister has been called, the only Action is Deregister.
//
// Bounds: a failed Action is repeated after at most maxRetryDelay, and deregistration is attempted at most
// MaxDeregisterAttempts times.
package registrar

import "time"

// Action is a call to make to the agent.
type Action uint8

// The actions.
const (
	None Action = iota
	Register
	Renew
	Deregister
)

// Result is the outcome of an action.
type Result uint8

// The results.
const (
	Succeeded Result = iota
	NotFound         // the agent does not know the check or the service
	Failed           // the agent did not respond, or responded with another error
)

// MaxDeregisterAttempts is the number of deregistration attempts before the registration is left to expire.
const MaxDeregisterAttempts = 3

const (
	minRetryDelay        = 500 * time.Millisecond
	maxRetryDelay        = 5 * time.Second
	deregisterRetryDelay = 100 * time.Millisecond

	// renewalsPerTTL leaves time for two more attempts when a renewal fails.
	renewalsPerTTL = 3
)

// Registrar holds the state of one registration. It is not safe for concurrent use.
type Registrar struct {
	ttl                time.Duration
	registered         bool
	deregistering      bool
	finished           bool
	inFlight           Action
	nextStepAt         time.Duration
	retryDelay         time.Duration // after the last failure; a success resets it to 0
	deregisterAttempts int
}

// New returns a Registrar that is not yet registered. The TTL must be at least one second.
func New(ttl time.Duration) *Registrar { return &Registrar{ttl: ttl} }

// Step returns the action that is due at now. Unless it is None, the caller must report its result by
// ActionCompleted.
func (r *Registrar) Step(now time.Duration) Action {
	if r.inFlight != None || r.finished || now < r.nextStepAt {
		return None
	}
	switch {
	case r.deregistering:
		// Deregister even if no registration was confirmed: an unanswered one may have reached the agent.
		r.inFlight = Deregister
	case r.registered:
		r.inFlight = Renew
	default:
		r.inFlight = Register
	}
	return r.inFlight
}

// ActionCompleted records the result of the action in flight.
func (r *Registrar) ActionCompleted(now time.Duration, result Result) {
	action := r.inFlight
	r.inFlight = None
	if action == Deregister {
		r.deregisterCompleted(now, result)
		return
	}
	switch {
	case result == Succeeded:
		r.registered = true
		r.retryDelay = 0
		r.nextStepAt = now + r.ttl/renewalsPerTTL
	case result == NotFound && action == Renew:
		r.registered = false // the agent was restarted and has lost it
		r.nextStepAt = now
	default:
		// Keep it as registered while the agent is unreachable: the check expires by itself, and a later renewal
		// makes it pass again.
		r.retryDelay = min(max(minRetryDelay, 2*r.retryDelay), maxRetryDelay, r.ttl/renewalsPerTTL)
		r.nextStepAt = now + r.retryDelay
	}
	if r.deregistering {
		r.nextStepAt = now
	}
}

func (r *Registrar) deregisterCompleted(now time.Duration, result Result) {
	r.deregisterAttempts++
	r.finished = result != Failed || r.deregisterAttempts >= MaxDeregisterAttempts
	r.registered = r.registered && result == Failed
	r.nextStepAt = now + deregisterRetryDelay
}

// Deregister makes the removal of the registration the next action.
func (r *Registrar) Deregister(now time.Duration) {
	if r.deregistering {
		return
	}
	r.deregistering = true
	r.nextStepAt = now
}

// Next returns when Step is due. It is meaningful only while no action is in flight.
func (r *Registrar) Next() time.Duration { return r.nextStepAt }

// Registered reports whether the agent is known to have the registration.
func (r *Registrar) Registered() bool { return r.registered }

// Finished reports whether the registration was removed or all attempts to remove it have failed.
func (r *Registrar) Finished() bool { return r.finished }

// Package registrar decides how a program keeps itself registered at an agent by a TTL check: when to register, when
// to renew, when to register again because the agent has lost the registration, and when to deregister. It does no
// I/O and reads no clock: its user steps it and carries out the Actions.
//
// Invariants: at most one Action is in flight. While the agent answers, a renewal comes no later than a third of the
// TTL after the last. After a call of Deregister the only Action is Deregister.
//
// Bounds: a failed Action is repeated after maxRetryDelay at the latest, and deregistration is attempted at most
// MaxDeregisterAttempts times.
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
	Failed           // it did not answer, or answered with another error
)

// MaxDeregisterAttempts is how often deregistration is attempted before the registration is left to its TTL.
const MaxDeregisterAttempts = 3

const (
	minRetryDelay        = 500 * time.Millisecond
	maxRetryDelay        = 5 * time.Second
	deregisterRetryDelay = 100 * time.Millisecond

	// renewalsPerTTL leaves time for two more attempts when a renewal fails.
	renewalsPerTTL = 3
)

// Registrar is the state. It is not safe for concurrent use.
type Registrar struct {
	ttl                time.Duration
	registered         bool
	deregistering      bool
	finished           bool
	inFlight           Action
	nextStepAt         time.Duration
	retryDelay         time.Duration // 0: the last action succeeded
	deregisterAttempts int
}

// New makes one that is not registered. The TTL must be at least a second.
func New(ttl time.Duration) *Registrar { return &Registrar{ttl: ttl} }

// Step returns what is to be done by now. ActionCompleted is owed for anything but None.
func (r *Registrar) Step(now time.Duration) Action {
	if r.inFlight != None || r.finished || now < r.nextStepAt {
		return None
	}
	switch {
	case r.deregistering:
		// Also where the registration was not answered: it may have arrived.
		r.inFlight = Deregister
	case r.registered:
		r.inFlight = Renew
	default:
		r.inFlight = Register
	}
	return r.inFlight
}

// ActionCompleted takes what came of the action in flight.
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
		r.registered = false // an agent that was restarted
		r.nextStepAt = now
	default:
		// It stays registered while the agent is away: the check expires by itself, and a renewal revives it.
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

// Deregister has the registration removed, as the next action.
func (r *Registrar) Deregister(now time.Duration) {
	if r.deregistering {
		return
	}
	r.deregistering = true
	r.nextStepAt = now
}

// Next is when Step is due. It counts only while nothing is in flight.
func (r *Registrar) Next() time.Duration { return r.nextStepAt }

// Registered reports whether the agent has the registration, as far as is known.
func (r *Registrar) Registered() bool { return r.registered }

// Finished says that deregistration succeeded, or was attempted often enough.
func (r *Registrar) Finished() bool { return r.finished }

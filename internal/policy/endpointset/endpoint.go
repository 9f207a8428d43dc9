package endpointset

import (
	"math"
	"slices"
	"time"

	"sloequay/internal/policy/outlier"
	"sloequay/internal/policy/slowstart"
)

const (
	averageHalfLife = 2 * time.Second // of the average of what is in flight to an endpoint
	slownessWeight  = 0.04            // of a new answer in an endpoint's slowness
	minSlowness     = 0.7             // links are reported roughly: an endpoint is never taken for much faster
)

// Endpoint is an endpoint of the list with what is known of it.
type Endpoint[A comparable] struct {
	Entry
	Role Role

	Health       outlier.Health
	ReadmittedAt time.Duration    // when it was last readmitted after an ejection
	LastResetAt  time.Duration    // when a connection to it last ended under an attempt
	LastFillAt   time.Duration    // when a fill by way of it last came
	Budget       slowstart.Budget // while it is warming up

	slowFills       outlier.Member // a parent's part in what the parents share
	inFlight        []A            // attempts, in no order
	averageInFlight float64
	averagedAt      time.Duration
	slowness        float64 // its answers' times over what is expected of it

	index     int           // in its ranking
	isSuspect bool          // it stands among the set's suspects
	listedAt  time.Duration // when the list last named it, or first did no more
}

func newEndpoint[A comparable]() *Endpoint[A] { return &Endpoint[A]{slowness: 1} }

// restart voids what was known of the old process, but for what is in flight.
func (e *Endpoint[A]) restart(now time.Duration) {
	*e = Endpoint[A]{inFlight: e.inFlight, slowness: 1, isSuspect: e.isSuspect}
	e.Health.RestartWait(now)
}

// InFlight is the attempts in flight, in no order. It must not be changed.
func (e *Endpoint[A]) InFlight() []A { return e.inFlight }

// Start records that an attempt is sent.
func (e *Endpoint[A]) Start(now time.Duration, attempt A) {
	if len(e.inFlight) == 0 {
		e.Health.RestartWait(now)
	}
	e.Health.StartAttempt()
	e.updateAverage(now)
	e.inFlight = append(e.inFlight, attempt)
}

// End records that an attempt has ended or was given up.
func (e *Endpoint[A]) End(now time.Duration, attempt A) {
	e.updateAverage(now)
	e.Health.EndAttempt()
	if i := slices.Index(e.inFlight, attempt); i >= 0 {
		last := len(e.inFlight) - 1
		e.inFlight[i] = e.inFlight[last]
		e.inFlight = e.inFlight[:last]
	}
}

// updateAverage brings the average of what is in flight up to now.
func (e *Endpoint[A]) updateAverage(now time.Duration) {
	faded := 1 - math.Exp2(-float64(now-e.averagedAt)/float64(averageHalfLife))
	e.averageInFlight += (float64(len(e.inFlight)) - e.averageInFlight) * faded
	e.averagedAt = now
}

// Slowness is the time of its answers from cached copies over what is expected of them, 1 at first.
func (e *Endpoint[A]) Slowness() float64 { return e.slowness }

// RecordSlowness takes the time of an answer from a cached copy, in multiples of what is expected.
func (e *Endpoint[A]) RecordSlowness(multiple float64) {
	e.slowness = max(minSlowness, e.slowness*(1+(multiple-1)*slownessWeight))
}

package endpointset

import (
	"math"
	"slices"
	"time"

	"sloequay/internal/policy/outlier"
	"sloequay/internal/policy/slowstart"
)

const (
	averageHalfLife = 2 * time.Second // of the average number of attempts in flight
	slownessWeight  = 0.04            // of a new response in an endpoint's slowness
	minSlowness     = 0.7             // lower bound: reported weights are too rough to show a faster endpoint
)

// Endpoint is an endpoint of the list with what the proxy knows about it.
type Endpoint[A comparable] struct {
	Entry
	Role Role

	Health       outlier.Health
	ReadmittedAt time.Duration    // when it was last readmitted after an ejection
	LastResetAt  time.Duration    // when a connection to it was last reset during an attempt
	LastFillAt   time.Duration    // when a fill from it last succeeded
	Budget       slowstart.Budget // used while it is warming up

	peerGroupMember  outlier.Member // its slow rate among the parents, if it is one
	inFlight         []A            // attempts, in no order
	averageInFlight  float64
	averageUpdatedAt time.Duration
	slowness         float64 // ratio of its response times to the expected ones

	index     int           // position in its ranking's members
	isSuspect bool          // it is one of the set's suspects
	listedAt  time.Duration // time of the last full list, or of the last entry that named it
}

func newEndpoint[A comparable]() *Endpoint[A] { return &Endpoint[A]{slowness: 1} }

// restart resets everything learned about the endpoint, as it has a new process. Attempts in flight stay.
func (e *Endpoint[A]) restart(now time.Duration) {
	*e = Endpoint[A]{inFlight: e.inFlight, slowness: 1, isSuspect: e.isSuspect}
	e.Health.RestartWait(now)
}

// InFlight returns the attempts in flight, in no order. The slice must not be changed.
func (e *Endpoint[A]) InFlight() []A { return e.inFlight }

// Start records that an attempt is sent to the endpoint.
func (e *Endpoint[A]) Start(now time.Duration, attempt A) {
	if len(e.inFlight) == 0 {
		e.Health.RestartWait(now)
	}
	e.Health.StartAttempt()
	e.updateAverage(now)
	e.inFlight = append(e.inFlight, attempt)
}

// End records that an attempt has ended or was abandoned.
func (e *Endpoint[A]) End(now time.Duration, attempt A) {
	e.updateAverage(now)
	e.Health.EndAttempt()
	if i := slices.Index(e.inFlight, attempt); i >= 0 {
		last := len(e.inFlight) - 1
		e.inFlight[i] = e.inFlight[last]
		e.inFlight = e.inFlight[:last]
	}
}

// updateAverage brings the average number of attempts in flight up to date.
func (e *Endpoint[A]) updateAverage(now time.Duration) {
	weight := 1 - math.Exp2(-float64(now-e.averageUpdatedAt)/float64(averageHalfLife))
	e.averageInFlight += (float64(len(e.inFlight)) - e.averageInFlight) * weight
	e.averageUpdatedAt = now
}

// Slowness returns the ratio of the endpoint's response times from cached copies to the expected ones; it starts at 1.
func (e *Endpoint[A]) Slowness() float64 { return e.slowness }

// RecordSlowness records the time of a response from a cached copy, as a multiple of the expected time.
func (e *Endpoint[A]) RecordSlowness(multiple float64) {
	e.slowness = max(minSlowness, e.slowness*(1+(multiple-1)*slownessWeight))
}

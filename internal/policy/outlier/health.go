package outlier

import (
	"math"
	"time"
)

const (
	// EjectionThreshold is the log odds of being at fault from which an endpoint is ejected.
	EjectionThreshold = 5.0

	readmissionThreshold = EjectionThreshold / 2
	oddsOnEjection       = readmissionThreshold + 1

	baseEjectionTime = time.Second // doubles up to maxEjectionTime while trials fail
	maxEjectionTime  = 4 * time.Second

	minSilence   = 400 * time.Millisecond // longer than a short stall, which must not eject
	maxSuspicion = 7.0                    // log odds against so long a silence of a live endpoint
)

// Outcome is how a use of an endpoint ended, as far as it tells of the endpoint.
type Outcome int

// The outcomes.
const (
	Success     Outcome = iota
	Failure             // one that a sound endpoint has at times
	HardFailure         // one that a sound endpoint never has, such as a refused connection
)

// Odds are the log odds that an endpoint is at fault, from 0 to twice EjectionThreshold.
type Odds float64

// Update moves the odds by an outcome, where a sound endpoint fails at the given rate.
func (o *Odds) Update(outcome Outcome, errorRate float64) {
	errorRate = max(minErrorRate, min(FaultyErrorRate, errorRate))
	if outcome == Success {
		*o = max(0, *o+Odds(math.Log((1-FaultyErrorRate)/(1-errorRate))))
		return
	}
	*o = min(*o+Odds(math.Log(FaultyErrorRate/errorRate)), 2*EjectionThreshold)
}

// Verdict is what an outcome means for the use of an endpoint.
type Verdict int

// The verdicts.
const (
	Unchanged Verdict = iota
	Recovered         // an ejected endpoint may be readmitted
	Faulty            // an endpoint should be ejected, or stay ejected for longer
)

// Cause is why an endpoint is ejected.
type Cause int

// The causes.
const (
	Failing      Cause = iota
	Unresponsive       // nothing came for too long
	SlowFills          // its fills missed their objective, where others' did not
)

var causeNames = [...]string{Failing: "failing", Unresponsive: "unresponsive", SlowFills: "slow-fills"}

// String is the cause's word in the log.
func (c Cause) String() string { return causeNames[c] }

// Health is what is known of one endpoint, and whether it is ejected. The zero value is a sound endpoint.
type Health struct {
	odds          Odds
	ejected       bool
	retryAt       time.Duration // when a trial request may be sent
	ejectionTime  time.Duration // the last one
	trialInFlight bool
	slowOnly      bool          // ejected for slow fills, with no hard failure since
	waitingSince  time.Duration // since when it has had work without an answer
	suspicion     float64       // how improbable its silence is, in log odds
}

// Ejected reports whether an endpoint gets no ordinary work.
func (h *Health) Ejected() bool { return h.ejected }

// Available says whether an endpoint may get a request: it is not ejected, or a trial is due and none is in flight.
func (h *Health) Available(now time.Duration) bool {
	return !h.ejected || now >= h.retryAt && !h.trialInFlight
}

// NextTrialAt is when an ejected endpoint may get its next trial request.
func (h *Health) NextTrialAt() time.Duration { return h.retryAt }

// EjectedForSlowness reports whether slow fills are all that an ejected endpoint is ejected for.
func (h *Health) EjectedForSlowness() bool { return h.slowOnly }

// Observe takes an outcome, against what is usual among endpoints of its kind. What an ejected endpoint does is not
// counted as usual.
func (h *Health) Observe(outcome Outcome, baseline *Baseline) Verdict {
	errorRate := baseline.ErrorRate(outcome)
	if !h.ejected {
		baseline.Record(outcome)
	}
	return h.Record(outcome, errorRate)
}

// Record takes an outcome, where a sound endpoint fails at the given rate, and says what to do.
func (h *Health) Record(outcome Outcome, errorRate float64) Verdict {
	h.slowOnly = h.slowOnly && outcome != HardFailure
	h.odds.Update(outcome, errorRate)
	if outcome == Success {
		if h.ejected && h.odds < readmissionThreshold {
			return Recovered
		}
		return Unchanged
	}
	if h.ejected || h.odds >= EjectionThreshold {
		return Faulty
	}
	return Unchanged
}

// Eject takes an endpoint out of use until the next trial. The time doubles with each call up to a readmission.
func (h *Health) Eject(now time.Duration, cause Cause) {
	if !h.ejected {
		h.slowOnly = cause == SlowFills
	}
	h.ejected = true
	h.ejectionTime = min(maxEjectionTime, max(baseEjectionTime, 2*h.ejectionTime))
	h.retryAt = now + h.ejectionTime
	h.trialInFlight = false
	h.odds = oddsOnEjection
}

// Readmit takes an endpoint back into ordinary use.
func (h *Health) Readmit() {
	h.ejected = false
	h.slowOnly = false
	h.ejectionTime = 0
	h.odds = 0
}

// StartAttempt records that an attempt is sent, which is the trial of an ejected endpoint.
func (h *Health) StartAttempt() { h.trialInFlight = h.ejected }

// EndAttempt records that an attempt has ended or was given up.
func (h *Health) EndAttempt() { h.trialInFlight = false }

// RestartWait starts the endpoint's silence anew: at an answer, or at the first attempt after idleness.
func (h *Health) RestartWait(now time.Duration) { h.waitingSince = now }

// AddSilence adds the silence since an attempt in flight was sent, where its answer is expected in so many seconds.
func (h *Health) AddSilence(now, sentAt time.Duration, expectedSeconds float64) {
	h.suspicion += (now - max(sentAt, h.waitingSince)).Seconds() / expectedSeconds
}

// Silent reports whether an endpoint that is not ejected has been silent for too long.
func (h *Health) Silent(now time.Duration) bool {
	return h.suspicion > maxSuspicion && now-h.waitingSince > minSilence && !h.ejected
}

// ClearSuspicion forgets the silence that was added, before it is added anew.
func (h *Health) ClearSuspicion() { h.suspicion = 0 }

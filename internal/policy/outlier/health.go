package outlier

import (
	"math"
	"time"
)

const (
	// EjectionThreshold is the log odds of being faulty at which an endpoint is ejected.
	EjectionThreshold = 5.0

	readmissionThreshold = EjectionThreshold / 2
	oddsOnEjection       = readmissionThreshold + 1

	baseEjectionTime = time.Second // doubles up to maxEjectionTime while trials fail
	maxEjectionTime  = 4 * time.Second

	minSilence   = 400 * time.Millisecond // longer than a short stall, which must not eject
	maxSuspicion = 7.0                    // log odds against a live endpoint being silent for so long
)

// Outcome is the result of one use of an endpoint, as far as it says something about the endpoint.
type Outcome int

// The outcomes.
const (
	Success     Outcome = iota
	Failure             // one that a healthy endpoint has at times
	HardFailure         // one that a healthy endpoint never has, such as a refused connection
)

// Odds are the log odds that an endpoint is faulty, from 0 to twice EjectionThreshold.
type Odds float64

// Update adjusts the odds for an outcome, given the rate at which a healthy endpoint fails.
func (o *Odds) Update(outcome Outcome, errorRate float64) {
	errorRate = max(minErrorRate, min(FaultyErrorRate, errorRate))
	if outcome == Success {
		*o = max(0, *o+Odds(math.Log((1-FaultyErrorRate)/(1-errorRate))))
		return
	}
	*o = min(*o+Odds(math.Log(FaultyErrorRate/errorRate)), 2*EjectionThreshold)
}

// Verdict says what an outcome means for the ejection of an endpoint.
type Verdict int

// The verdicts.
const (
	Unchanged Verdict = iota
	Recovered         // an ejected endpoint may be readmitted
	Faulty            // an endpoint should be ejected, or stay ejected for longer
)

// Cause is the reason why an endpoint is ejected.
type Cause int

// The causes.
const (
	Failing      Cause = iota
	Unresponsive       // no response for too long
	SlowFills          // its fills missed their objective, while those of other endpoints did not
)

var causeNames = [...]string{Failing: "failing", Unresponsive: "unresponsive", SlowFills: "slow-fills"}

// String returns the cause as the log names it.
func (c Cause) String() string { return causeNames[c] }

// Health holds the signs of a fault of one endpoint, and whether it is ejected. The zero value is a healthy endpoint.
type Health struct {
	odds          Odds
	ejected       bool
	nextTrialAt   time.Duration // when the next trial request may be sent
	ejectionTime  time.Duration // length of the last ejection
	trialInFlight bool
	slowFillsOnly bool          // ejected for slow fills, without a hard failure since
	waitingSince  time.Duration // since when it has had attempts in flight without a response
	suspicion     float64       // log odds against a live endpoint being as silent as this one
}

// Ejected reports whether the endpoint is ejected: it gets trial requests only.
func (h *Health) Ejected() bool { return h.ejected }

// Available reports whether the endpoint may get a request: it is not ejected, or a trial is due and none is in flight.
func (h *Health) Available(now time.Duration) bool {
	return !h.ejected || now >= h.nextTrialAt && !h.trialInFlight
}

// NextTrialAt returns when an ejected endpoint may get its next trial request.
func (h *Health) NextTrialAt() time.Duration { return h.nextTrialAt }

// EjectedForSlowness reports whether the endpoint is ejected for slow fills alone.
func (h *Health) EjectedForSlowness() bool { return h.slowFillsOnly }

// Observe records an outcome against the baseline of endpoints of the same kind. The outcomes of an ejected endpoint do
// not count towards the baseline.
func (h *Health) Observe(outcome Outcome, baseline *Baseline) Verdict {
	errorRate := baseline.ErrorRate(outcome)
	if !h.ejected {
		baseline.Record(outcome)
	}
	return h.Record(outcome, errorRate)
}

// Record adjusts the odds for an outcome, given the rate at which a healthy endpoint fails, and returns what to do.
func (h *Health) Record(outcome Outcome, errorRate float64) Verdict {
	h.slowFillsOnly = h.slowFillsOnly && outcome != HardFailure
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

// Eject takes the endpoint out of use until the next trial. Until a readmission, the time doubles with each call, up to
// maxEjectionTime.
func (h *Health) Eject(now time.Duration, cause Cause) {
	if !h.ejected {
		h.slowFillsOnly = cause == SlowFills
	}
	h.ejected = true
	h.ejectionTime = min(maxEjectionTime, max(baseEjectionTime, 2*h.ejectionTime))
	h.nextTrialAt = now + h.ejectionTime
	h.trialInFlight = false
	h.odds = oddsOnEjection
}

// Readmit ends the ejection and resets the odds.
func (h *Health) Readmit() {
	h.ejected = false
	h.slowFillsOnly = false
	h.ejectionTime = 0
	h.odds = 0
}

// StartAttempt records that an attempt is sent. If the endpoint is ejected, the attempt is its trial.
func (h *Health) StartAttempt() { h.trialInFlight = h.ejected }

// EndAttempt records that an attempt has ended or was abandoned.
func (h *Health) EndAttempt() { h.trialInFlight = false }

// RestartWait restarts the endpoint's silence: at a response, or at the first attempt after an idle time.
func (h *Health) RestartWait(now time.Duration) { h.waitingSince = now }

// AddSilence adds to the suspicion the silence since an attempt in flight was sent, in multiples of the time in which
// its response is expected.
func (h *Health) AddSilence(now, sentAt time.Duration, expectedSeconds float64) {
	h.suspicion += (now - max(sentAt, h.waitingSince)).Seconds() / expectedSeconds
}

// Silent reports whether the endpoint is not ejected and has been silent for too long.
func (h *Health) Silent(now time.Duration) bool {
	return h.suspicion > maxSuspicion && now-h.waitingSince > minSilence && !h.ejected
}

// ClearSuspicion resets the suspicion, before the silence of the attempts in flight is added again.
func (h *Health) ClearSuspicion() { h.suspicion = 0 }

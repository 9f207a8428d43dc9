// Package outlier detects faulty endpoints by three signs: their outcomes (Odds against the Baseline of their kind),
// their silence, and fills that are slow while those of the other endpoints are not (PeerGroup). Health combines the
// signs for one endpoint and records whether it is ejected. An ejected endpoint gets only single trial requests, at
// growing intervals, until it is readmitted.
//
// Fills through several parents all wait for one origin. If the origin is slow, every parent's fills are slow. If a
// parent were ejected for this, other parents would fill its objects: they do not cache them, and would ask the slow
// origin once more. So a PeerGroup gives the rate at which the fills of the other parents are slow, and one parent's
// slow fills are judged against that rate.
//
// Invariants: rates are 0 to 1; a group's total is the sum of its members' rates, apart from rounding; odds are 0 to
// twice EjectionThreshold; only an ejected endpoint has a trial in flight or is ejected for slowness alone.
//
// Bounds: constant memory per endpoint and group, and constant time per call, whatever the number of endpoints. A
// member that is removed still counts until its rate has decayed, for about four half-lives. The package does no I/O
// and reads no clock; times passed to it must not decrease.
package outlier

import (
	"math"
	"time"
)

const (
	// FaultyErrorRate is the rate at which a faulty endpoint is assumed to fail, and the highest error rate assumed of
	// a healthy one.
	FaultyErrorRate = 0.5

	minErrorRate   = 0.02 // lowest rate assumed of a healthy endpoint
	baselineWeight = 0.05 // of a new outcome in the baseline

	groupHalfLife      = 4 * time.Second
	groupOutcomeWeight = 0.4 // of one outcome in a member's slow rate
	sharedCauseRate    = 0.3 // slow rate of the other members above which the cause is shared
)

// Baseline is the mean rate at which the endpoints of one kind fail.
type Baseline float64

// ErrorRate returns the rate at which a healthy endpoint has failures of this kind: 0 for a hard failure.
func (b Baseline) ErrorRate(outcome Outcome) float64 {
	if outcome == HardFailure {
		return 0
	}
	return float64(b)
}

// Record adds the outcome of an endpoint that is not ejected. A hard failure changes nothing, as healthy endpoints
// never have one.
func (b *Baseline) Record(outcome Outcome) {
	if outcome == HardFailure {
		return
	}
	*b *= 1 - baselineWeight
	if outcome == Failure {
		*b += baselineWeight
	}
}

// Timeliness says whether an outcome came within its objective.
type Timeliness int

// The values of Timeliness, which an outcome adds to a member's slow rate as numbers.
const (
	InTime Timeliness = 0
	Slow   Timeliness = 1
)

// PeerGroup tracks the slow outcomes of several endpoints in front of a resource that they share.
type PeerGroup struct {
	halfLife      time.Duration // in which past outcomes lose half their weight
	outcomeWeight float64       // of one outcome in a member's slow rate, 0 to 1
	totalSlowRate float64       // sum of the members' slow rates at updatedAt
	updatedAt     time.Duration
}

// NewPeerGroup returns a group without outcomes. At about ten outcomes a second it notices a shared cause within a
// second, and the end of that cause as quickly.
func NewPeerGroup() PeerGroup {
	return PeerGroup{halfLife: groupHalfLife, outcomeWeight: groupOutcomeWeight}
}

// Member holds the slow rate of one endpoint in a group. The zero value has no outcomes.
type Member struct {
	slowRate  float64
	updatedAt time.Duration
}

// decay returns what is left at now of a value that was recorded at from.
func (g *PeerGroup) decay(value float64, from, now time.Duration) float64 {
	if g.halfLife <= 0 || now <= from {
		return value
	}
	return value * math.Exp2(-float64(now-from)/float64(g.halfLife))
}

// Record adds an outcome of a member for a request that went all the way to the shared resource.
func (g *PeerGroup) Record(member *Member, now time.Duration, timeliness Timeliness) {
	before := g.decay(member.slowRate, member.updatedAt, now)
	member.slowRate = before + (float64(timeliness)-before)*g.outcomeWeight
	member.updatedAt = now
	g.totalSlowRate = max(0, g.decay(g.totalSlowRate, g.updatedAt, now)+member.slowRate-before)
	g.updatedAt = now
}

// OthersSlowRate returns the mean slow rate of the other members, in a group of the given size: 0 if there are none,
// and FaultyErrorRate if the mean exceeds sharedCauseRate, so that a slow outcome then leaves the Odds unchanged. No
// Baseline is used: in a group of two, one slow member makes half of all outcomes slow, and a Baseline would soon
// treat that as the usual rate.
func (g *PeerGroup) OthersSlowRate(member *Member, now time.Duration, members int) float64 {
	if members < 2 {
		return 0
	}
	others := g.decay(g.totalSlowRate, g.updatedAt, now) - g.decay(member.slowRate, member.updatedAt, now)
	if mean := max(0, others/float64(members-1)); mean <= sharedCauseRate {
		return mean
	}
	return FaultyErrorRate
}

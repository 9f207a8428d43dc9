// Package outlier finds the endpoint that is at fault: by its outcomes (Odds against the Baseline of its kind), by
// its silence, and by fills that are slow where the other endpoints' are not (PeerGroup). Health joins these for one
// endpoint, ejects it, lets single trial requests through with growing pauses, and readmits it.
//
// Fills by way of several parents all wait for one origin. When that is slow, every parent's fills are slow; a parent
// that is ejected for it has its objects filled by others, which lack them and ask the slow origin once more. So
// a PeerGroup gives the rate at which the fills of the others are slow, against which one parent's are weighed.
//
// Invariants: rates lie in 0 to 1; a group's total is the sum of its members' rates, but for rounding; odds lie in 0
// to twice EjectionThreshold; only an ejected endpoint has a trial in flight or is ejected for slowness alone.
//
// Bounds: constant memory for each endpoint and group, and constant time a call, whatever the number of endpoints. A
// member that is dropped counts on until its rate has faded, some four half-lives. The package does no I/O and reads
// no clock; times must not fall.
package outlier

import (
	"math"
	"time"
)

const (
	// FaultyErrorRate is the rate at which a faulty endpoint fails, and the highest that a sound one is taken to
	// have.
	FaultyErrorRate = 0.5

	minErrorRate   = 0.02 // of a sound endpoint, where its peers show none
	baselineWeight = 0.05 // of a new outcome in the baseline

	groupHalfLife = 4 * time.Second
	groupWeight   = 0.4 // of one outcome in a member's rate
	sharedRate    = 0.3 // of the others' outcomes that are slow, beyond which the cause is shared
)

// Baseline is the rate at which the endpoints of one kind fail.
type Baseline float64

// ErrorRate gives the rate at which a sound endpoint has an outcome like this one: 0 for a hard failure.
func (b Baseline) ErrorRate(outcome Outcome) float64 {
	if outcome == HardFailure {
		return 0
	}
	return float64(b)
}

// Record takes an outcome of an endpoint in use. A hard failure is no sound endpoint's, and changes nothing.
func (b *Baseline) Record(outcome Outcome) {
	if outcome == HardFailure {
		return
	}
	*b *= 1 - baselineWeight
	if outcome == Failure {
		*b += baselineWeight
	}
}

// Timeliness reports whether an outcome came within its objective.
type Timeliness int

// The paces, as the outcome's value in a member's rate.
const (
	InTime Timeliness = 0
	Slow   Timeliness = 1
)

// PeerGroup is several endpoints in front of something that they share.
type PeerGroup struct {
	halfLife  time.Duration // in which what was seen loses half its weight
	weight    float64       // of one outcome in a member's rate, 0 to 1
	total     float64       // of the members' rates at updatedAt
	updatedAt time.Duration
}

// NewPeerGroup returns a group that detects a shared cause within a second, at about ten outcomes a second, and forgets
// it as fast.
func NewPeerGroup() PeerGroup { return PeerGroup{halfLife: groupHalfLife, weight: groupWeight} }

// Member is one endpoint's part in a group. The zero value has seen nothing.
type Member struct {
	slowRate  float64
	updatedAt time.Duration
}

// fade is what is left now of a value of an earlier time.
func (g *PeerGroup) fade(value float64, at, now time.Duration) float64 {
	if g.halfLife <= 0 || now <= at {
		return value
	}
	return value * math.Exp2(-float64(now-at)/float64(g.halfLife))
}

// Record takes an outcome of a member that went all the way to what the group shares.
func (g *PeerGroup) Record(member *Member, now time.Duration, pace Timeliness) {
	before := g.fade(member.slowRate, member.updatedAt, now)
	member.slowRate = before + (float64(pace)-before)*g.weight
	member.updatedAt = now
	g.total = max(0, g.fade(g.total, g.updatedAt, now)+member.slowRate-before)
	g.updatedAt = now
}

// OthersSlowRate is the mean rate of slow outcomes of the other members of a group of so many: 0 where there are
// none, and FaultyErrorRate where it is over sharedRate, so that by Odds a slow outcome is no sign at all. It is not
// weighed against a Baseline: of two members a slow one makes half of all outcomes slow, and that would become usual.
func (g *PeerGroup) OthersSlowRate(member *Member, now time.Duration, members int) float64 {
	if members < 2 {
		return 0
	}
	others := g.fade(g.total, g.updatedAt, now) - g.fade(member.slowRate, member.updatedAt, now)
	if mean := max(0, others/float64(members-1)); mean <= sharedRate {
		return mean
	}
	return FaultyErrorRate
}

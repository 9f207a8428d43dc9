package route

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	defaultTolerance   = 0.02
	defaultMaxAttempts = 3
	// maxResultsFactor times MinResults is the number of results at which a window is halved.
	maxResultsFactor = 64
	// maxBackoffDoublings bounds the pause after a rollback of a step.
	maxBackoffDoublings = 10
	// faultyToleranceFactor times Tolerance is by how much a faulty pool fails more than the old one.
	faultyToleranceFactor = 3
	// maxSoundShare and maxFaultyShare keep the shares of failures, of a sound and of a faulty pool, below 1.
	maxSoundShare  = 0.98
	maxFaultyShare = 0.99
	// noStep is the step of a migration that was rolled back from its first one.
	noStep = -1
)

// faultEvidence is the logarithm of how much likelier the results must be by a faulty pool than by a sound one. With
// it, looking after every result, a sound pool is rolled back in one step of a thousand (Wald, Sequential Tests of
// Statistical Hypotheses, 1945).
var faultEvidence = math.Log(1000)

var defaultSteps = []float64{0.01, 0.05, 0.25, 0.5, 1}

// MigrationConfig is the settings of a migration.
type MigrationConfig struct {
	Steps       []float64     // shares of the new pool, rising, the last 1; empty: 1%, 5%, 25%, 50%, all
	Hold        time.Duration // that a step must do well for before the next
	MinResults  int           // results of the new pool that a judgement needs
	Tolerance   float64       // share of failures over that of the old pool that is accepted; 0: 0.02
	MaxAttempts int           // steps back after which the migration is abandoned; 0: 3
}

// Migration takes a team from one pool to another by steps, and back when the new pool fails more than the old one. It
// is not safe for concurrent use.
//
// Invariants: the share is one of the steps, or 0; it rises by one step at a time, after the step has stood for Hold
// with at least MinResults results that speak for it, and falls at once; the pause after the nth rollback is Hold
// times 2 to the n, so that a pool on the edge does not flap; after MaxAttempts steps back the migration is abandoned.
type Migration struct {
	config     MigrationConfig
	phase      Phase
	step       int // index in Steps, or noStep
	stepBegan  time.Duration
	stepsBack  int
	newResults window // since the step began
	oldResults window
}

// Phase is how a migration stands.
type Phase uint8

// The phases.
const (
	Advancing  Phase = iota // at a step, which is being judged
	BackingOff              // a step was rolled back, and the next attempt is waited for
	Completed               // all is in the new pool, and the last step did well
	Abandoned               // all is in the old pool, for good
)

// phaseWords are the words of the log.
var phaseWords = [...]string{Advancing: "moving", BackingOff: "resting", Completed: "arrived", Abandoned: "given-up"}

// String returns the word that the log uses.
func (p Phase) String() string { return phaseWords[p] }

// Result is how a request ended in a pool. A request that a budget rejected or that was canceled has none.
type Result uint8

// The results.
const (
	Success Result = iota
	Failure        // by the pool's own fault
)

// NewMigration begins a migration at its first step.
func NewMigration(now time.Duration, config MigrationConfig) *Migration {
	if len(config.Steps) == 0 {
		config.Steps = defaultSteps
	}
	if config.Tolerance <= 0 {
		config.Tolerance = defaultTolerance
	}
	if config.MaxAttempts <= 0 {
		config.MaxAttempts = defaultMaxAttempts
	}
	config.MinResults = max(config.MinResults, 1)
	return &Migration{config: config, stepBegan: now}
}

// InNewPool reports whether a position is in the new pool's share.
func (m *Migration) InNewPool(position float64) bool { return position < m.Share() }

// RecordOldPool takes how a request ended in the old pool.
func (m *Migration) RecordOldPool(result Result) {
	if m.phase == Abandoned || m.phase == Completed {
		return
	}
	m.oldResults.add(result, maxResultsFactor*m.config.MinResults)
}

// RecordNewPool takes how a request ended in the new pool, and reports whether the share has changed: it takes a step
// back as soon as the new pool has failed clearly more than the old one.
func (m *Migration) RecordNewPool(now time.Duration, result Result) (changed bool) {
	if m.phase == Abandoned {
		return false
	}
	m.newResults.add(result, maxResultsFactor*m.config.MinResults)
	if m.step == noStep || !m.enoughResults() || m.evidence() <= faultEvidence {
		return false
	}
	m.step--
	m.stepsBack++
	m.phase = BackingOff
	if m.stepsBack >= m.config.MaxAttempts {
		m.phase = Abandoned
	}
	m.begin(now)
	return true
}

// Step takes the time, and reports whether the share has changed.
func (m *Migration) Step(now time.Duration) (changed bool) {
	if next := m.Next(); next == 0 || now < next {
		return false
	}
	if m.phase == BackingOff {
		m.phase = Advancing
		changed = m.step == noStep
		if changed { // nothing of the new pool was seen meanwhile: the first step anew
			m.step = 0
		}
		m.begin(now) // any other step must do well again
		return changed
	}
	switch {
	case !m.enoughResults(), m.evidence() > 0: // or more like those of a faulty pool: it stays
		return false
	case m.step == len(m.config.Steps)-1:
		m.phase = Completed
		return false
	}
	m.step++
	m.begin(now)
	return true
}

// Next returns when Step may change something at the earliest; 0: never, but by results.
func (m *Migration) Next() time.Duration {
	switch m.phase {
	case Advancing:
		return m.stepBegan + m.config.Hold
	case BackingOff:
		return m.stepBegan + m.config.Hold<<min(m.stepsBack, maxBackoffDoublings)
	}
	return 0
}

// Phase returns how the migration stands.
func (m *Migration) Phase() Phase { return m.phase }

// Share returns which part of the positions the new pool has, from 0 to 1.
func (m *Migration) Share() float64 {
	if m.phase == Abandoned || m.step == noStep {
		return 0
	}
	return m.config.Steps[m.step]
}

// begin counts the new pool's results anew. The old one's stay: at the last step there are no others to compare with.
func (m *Migration) begin(now time.Duration) {
	m.stepBegan = now
	m.newResults = window{}
}

func (m *Migration) enoughResults() bool { return m.newResults.all >= m.config.MinResults }

// evidence returns the logarithm of how much likelier the new pool's results are if it is faulty, which is to fail
// faultyToleranceFactor times Tolerance more than the old pool, than if it fails Tolerance more.
func (m *Migration) evidence() float64 {
	old := m.oldResults.failureShare()
	sound := min(old+m.config.Tolerance, maxSoundShare)
	faulty := min(old+faultyToleranceFactor*m.config.Tolerance, maxFaultyShare)
	failures := float64(m.newResults.failures)
	successes := float64(m.newResults.all - m.newResults.failures)
	return failures*math.Log(faulty/sound) + successes*math.Log((1-faulty)/(1-sound))
}

// window counts results.
type window struct{ all, failures int }

// add counts a result. At the limit all counts are halved, so that old results don't outweigh new ones for ever.
func (w *window) add(result Result, limit int) {
	w.all++
	if result == Failure {
		w.failures++
	}
	if w.all >= limit {
		w.all /= 2
		w.failures /= 2
	}
}

func (w *window) failureShare() float64 {
	if w.all == 0 {
		return 0
	}
	return float64(w.failures) / float64(w.all)
}

// Position returns where a team's object lies on the line from 0 to 1 that migrations go along: the same in every
// instance and at every time, so that the first hundredth that migrates is a part of the first tenth.
func Position(team string, object uint64) float64 {
	const (
		hashBits     = 64
		mantissaBits = 53 // a float64 holds them exactly
	)
	hash := xxhash.New()
	_, _ = hash.WriteString(team)
	var suffix [9]byte // begins with a 0, which no name contains, to end the team's
	for i := range 8 {
		suffix[i+1] = byte(object >> (8 * i))
	}
	_, _ = hash.Write(suffix[:])
	return float64(hash.Sum64()>>(hashBits-mantissaBits)) / (1 << mantissaBits)
}

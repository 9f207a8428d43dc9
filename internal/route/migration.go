package route

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	defaultTolerance   = 0.02
	defaultMaxAttempts = 3
	// maxResultsFactor times MinResults is the number of results at which the counts are halved.
	maxResultsFactor = 64
	// maxBackoffDoublings bounds the pause after a rollback: Hold is doubled at most that often.
	maxBackoffDoublings = 10
	// faultyToleranceFactor times Tolerance is how much larger the failure share of a faulty pool is than the old
	// one's.
	faultyToleranceFactor = 3
	// maxHealthyFailureShare and maxFaultyFailureShare keep the assumed failure shares of a healthy and of a faulty
	// pool below 1.
	maxHealthyFailureShare = 0.98
	maxFaultyFailureShare  = 0.99
	// noStep is the step of a migration that was rolled back from its first step.
	noStep = -1
)

// rollbackThreshold is the log likelihood ratio of a faulty against a healthy pool above which a step is rolled back.
// With it, a healthy pool is rolled back in one step out of a thousand, although the ratio is tested after every result
// (Wald, Sequential Tests of Statistical Hypotheses, 1945).
var rollbackThreshold = math.Log(1000)

var defaultSteps = []float64{0.01, 0.05, 0.25, 0.5, 1}

// MigrationConfig holds the settings of a migration.
type MigrationConfig struct {
	Steps       []float64     // shares of the new pool, rising, the last 1; empty: 1%, 5%, 25%, 50%, all
	Hold        time.Duration // how long a step must last without a rollback before the next one
	MinResults  int           // results of the new pool needed to judge a step
	Tolerance   float64       // accepted excess of the failure share over the old pool's; 0: 0.02
	MaxAttempts int           // rollbacks after which the migration is abandoned; 0: 3
}

// Migration moves a team from one pool to another in steps, and rolls a step back if the new pool fails more than the
// old one. It is not safe for concurrent use.
//
// Invariants: the share is one of the steps, or 0. It rises by one step at a time, after the current step has lasted
// for Hold with at least MinResults results in its favor, and is rolled back by one step at once. The pause after the
// nth rollback is Hold times 2 to the n, so that a pool close to the accepted failure share does not flap. After
// MaxAttempts rollbacks the migration is abandoned.
type Migration struct {
	config     MigrationConfig
	phase      Phase
	step       int // index in Steps, or noStep
	stepStart  time.Duration
	rollbacks  int
	newResults resultCounts // since the step started
	oldResults resultCounts
}

// Phase is the phase of a migration.
type Phase uint8

// The phases.
const (
	Advancing  Phase = iota // the results of the current step are being collected
	BackingOff              // waiting for the next attempt after a rollback
	Completed               // all requests go to the new pool, and the last step succeeded
	Abandoned               // all requests go to the old pool for good
)

// phaseNames holds the names of the phases in log events.
var phaseNames = [...]string{Advancing: "moving", BackingOff: "resting", Completed: "arrived", Abandoned: "given-up"}

// String returns the name of the phase in log events.
func (p Phase) String() string { return phaseNames[p] }

// Result is how a request ended in a pool. A request that a budget rejected or that was canceled has none.
type Result uint8

// The results.
const (
	Success Result = iota
	Failure        // caused by the pool
)

// NewMigration returns a migration that starts now, at its first step.
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
	return &Migration{config: config, stepStart: now}
}

// InNewPool reports whether the requests of a position go to the new pool.
func (m *Migration) InNewPool(position float64) bool { return position < m.Share() }

// RecordOldPool records the result of a request in the old pool.
func (m *Migration) RecordOldPool(result Result) {
	if m.phase == Abandoned || m.phase == Completed {
		return
	}
	m.oldResults.add(result, maxResultsFactor*m.config.MinResults)
}

// RecordNewPool records the result of a request in the new pool. It rolls the step back as soon as the new pool has
// clearly failed more than the old one, and reports whether the share has changed.
func (m *Migration) RecordNewPool(now time.Duration, result Result) (changed bool) {
	if m.phase == Abandoned {
		return false
	}
	m.newResults.add(result, maxResultsFactor*m.config.MinResults)
	if m.step == noStep || !m.enoughResults() || m.logLikelihoodRatio() <= rollbackThreshold {
		return false
	}
	m.step--
	m.rollbacks++
	m.phase = BackingOff
	if m.rollbacks >= m.config.MaxAttempts {
		m.phase = Abandoned
	}
	m.restartStep(now)
	return true
}

// Step advances the migration to the given time, and reports whether the share has changed.
func (m *Migration) Step(now time.Duration) (changed bool) {
	if next := m.Next(); next == 0 || now < next {
		return false
	}
	if m.phase == BackingOff {
		m.phase = Advancing
		changed = m.step == noStep
		if changed { // the new pool had no requests meanwhile: retry the first step
			m.step = 0
		}
		m.restartStep(now) // an earlier step must last for Hold again before the next
		return changed
	}
	switch {
	case !m.enoughResults(), m.logLikelihoodRatio() > 0: // too few results, or a fault is likelier
		return false
	case m.step == len(m.config.Steps)-1:
		m.phase = Completed
		return false
	}
	m.step++
	m.restartStep(now)
	return true
}

// Next returns the earliest time at which Step may change something; 0: only results can.
func (m *Migration) Next() time.Duration {
	switch m.phase {
	case Advancing:
		return m.stepStart + m.config.Hold
	case BackingOff:
		return m.stepStart + m.config.Hold<<min(m.rollbacks, maxBackoffDoublings)
	}
	return 0
}

// Phase returns the phase of the migration.
func (m *Migration) Phase() Phase { return m.phase }

// Share returns the new pool's share of the positions, from 0 to 1.
func (m *Migration) Share() float64 {
	if m.phase == Abandoned || m.step == noStep {
		return 0
	}
	return m.config.Steps[m.step]
}

// restartStep restarts the time of the step and the counts of the new pool. The counts of the old pool are kept,
// because it gets no more requests at the last step, and there is nothing else to compare with.
func (m *Migration) restartStep(now time.Duration) {
	m.stepStart = now
	m.newResults = resultCounts{}
}

func (m *Migration) enoughResults() bool { return m.newResults.total >= m.config.MinResults }

// logLikelihoodRatio returns the log likelihood ratio of the new pool's results for a faulty against a healthy pool. A
// faulty pool's failure share is faultyToleranceFactor times Tolerance above the old pool's, a healthy one's is
// Tolerance above.
func (m *Migration) logLikelihoodRatio() float64 {
	old := m.oldResults.failureShare()
	healthy := min(old+m.config.Tolerance, maxHealthyFailureShare)
	faulty := min(old+faultyToleranceFactor*m.config.Tolerance, maxFaultyFailureShare)
	failures := float64(m.newResults.failures)
	successes := float64(m.newResults.total - m.newResults.failures)
	return failures*math.Log(faulty/healthy) + successes*math.Log((1-faulty)/(1-healthy))
}

// resultCounts counts the results of a pool.
type resultCounts struct{ total, failures int }

// add counts a result. When the total reaches the limit, the counts are halved, so that old results do not outweigh new
// ones forever.
func (c *resultCounts) add(result Result, limit int) {
	c.total++
	if result == Failure {
		c.failures++
	}
	if c.total >= limit {
		c.total /= 2
		c.failures /= 2
	}
}

func (c *resultCounts) failureShare() float64 {
	if c.total == 0 {
		return 0
	}
	return float64(c.failures) / float64(c.total)
}

// Position returns the position of a team's object, from 0 to 1: a hash that is the same in every instance and at any
// time. A share covers the positions below it, so that a larger share contains the objects of a smaller one.
func Position(team string, object uint64) float64 {
	const (
		hashBits     = 64
		mantissaBits = 53 // a float64 holds them exactly
	)
	hash := xxhash.New()
	_, _ = hash.WriteString(team)
	var suffix [9]byte // starts with a 0 byte, which no name contains, to terminate the team's name
	for i := range 8 {
		suffix[i+1] = byte(object >> (8 * i))
	}
	_, _ = hash.Write(suffix[:])
	return float64(hash.Sum64()>>(hashBits-mantissaBits)) / (1 << mantissaBits)
}

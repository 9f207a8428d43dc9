package route

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Position is where a team's object lies on the line from 0 to 1 that moves go along: the same at every doorman and at every
// time, so that the first hundredth that is moved is a part of the first tenth.
func Position(team string, object uint64) float64 {
	h := xxhash.New()
	_, _ = h.WriteString(team)
	var b [9]byte
	for i := range 8 {
		b[i+1] = byte(object >> (8 * i))
	}
	_, _ = h.Write(b[:]) // b[0] is 0, which no name holds: it ends the team's
	return float64(h.Sum64()>>11) / (1 << 53)
}

// MigrationConfig is the settings of a move.
type MigrationConfig struct {
	Steps       []float64     // shares of the new pool, rising, the last 1; empty: 1%, 5%, 25%, 50%, all
	Hold        time.Duration // that a step must do well for before the next
	MinResults  int           // results of the new pool that a judgement needs
	Tolerance   float64       // share of failures over that of the old pool that is borne; 0: 0.02
	MaxAttempts int           // steps back after which the move is given up; 0: 3
}

var defaultSteps = []float64{0.01, 0.05, 0.25, 0.5, 1}

// Phase is how a move stands.
type Phase uint8

// The phases.
const (
	Advancing  Phase = iota // at a step, which is being judged
	BackingOff              // a step was taken back, and the next try is waited for
	Completed               // all is in the new pool, and the last step did well
	Abandoned               // given up: all is in the old pool
)

// String gives the word that the log uses.
func (p Phase) String() string { return [...]string{"moving", "resting", "arrived", "given-up"}[p] }

// Result is how a request ended in a pool. A request that a budget rejected or that was canceled has none.
type Result uint8

// The results.
const (
	Success Result = iota
	Failure        // by the pool's own fault
)

// Migration takes a team from one pool to another by steps, and back when the new pool fails more than the old one does.
//
// Invariants: the share is one of the steps, or 0; it rises by one step at a time, after the step has stood for Hold with
// at least Least results that speak for it, and falls at once; a rest after the nth step back lasts Hold times 2 to the n, so that a pool on the
// edge does not flap; after Tries steps back it is given up. It is not safe for concurrent use.
type Migration struct {
	cfg   MigrationConfig
	phase Phase
	step  int // of Steps; -1: none
	since time.Duration
	backs int
	news  window // of the new pool since the step began
	olds  window
}

// window counts results.
type window struct{ all, failed int }

// add counts a result. Results of long ago must not outweigh those of late for ever: all are halved at a bound.
func (w *window) add(result Result, minResults int) {
	w.all++
	if result == Failure {
		w.failed++
	}
	if w.all >= 64*minResults {
		w.all, w.failed = w.all/2, w.failed/2
	}
}

func (w window) share() float64 {
	if w.all == 0 {
		return 0
	}
	return float64(w.failed) / float64(w.all)
}

// NewMigration begins a move at its first step.
func NewMigration(now time.Duration, cfg MigrationConfig) *Migration {
	if len(cfg.Steps) == 0 {
		cfg.Steps = defaultSteps
	}
	if cfg.Tolerance <= 0 {
		cfg.Tolerance = 0.02
	}
	if cfg.MaxAttempts <= 0 {
		cfg.MaxAttempts = 3
	}
	cfg.MinResults = max(cfg.MinResults, 1)
	return &Migration{cfg: cfg, since: now}
}

// Phase is how the move stands, and Share what part of the line the new pool has.
func (m *Migration) Phase() Phase { return m.phase }

// Share is what part of the line the new pool has, from 0 to 1.
func (m *Migration) Share() float64 {
	if m.phase == Abandoned || m.step < 0 {
		return 0
	}
	return m.cfg.Steps[m.step]
}

// InNewPool says whether a place is the new pool's by now.
func (m *Migration) InNewPool(place float64) bool { return place < m.Share() }

// RecordOldPool takes how a request ended in the old pool.
func (m *Migration) RecordOldPool(result Result) {
	if m.phase == Abandoned || m.phase == Completed {
		return
	}
	m.olds.add(result, m.cfg.MinResults)
}

// RecordNewPool takes how a request ended in the new pool, and returns whether the share has changed.
func (m *Migration) RecordNewPool(now time.Duration, result Result) bool {
	if m.phase == Abandoned {
		return false
	}
	m.news.add(result, m.cfg.MinResults)
	return m.judge(now)
}

// alarm is the logarithm of how much likelier the results must be by a sick pool than by a sound one: looked at after every
// result, a sound one is taken back in one step of a thousand (Wald, Sequential Tests of Statistical Hypotheses, 1945).
var alarm = math.Log(1000)

// score is the logarithm of the likelihood of the new pool's results, if it fails thrice Worse more than the old one, over that
// if it fails Worse more.
func (m *Migration) score() float64 {
	p0 := min(m.olds.share()+m.cfg.Tolerance, 0.98)
	p1 := min(m.olds.share()+3*m.cfg.Tolerance, 0.99)
	failed, well := float64(m.news.failed), float64(m.news.all-m.news.failed)
	return failed*math.Log(p1/p0) + well*math.Log((1-p1)/(1-p0))
}

// judge takes a step back as soon as the new pool has failed clearly more than the old one.
func (m *Migration) judge(now time.Duration) bool {
	if m.phase == BackingOff && m.step < 0 || m.news.all < m.cfg.MinResults {
		return false
	}
	if m.score() <= alarm {
		return false
	}
	m.backs++
	if m.step--; m.backs >= m.cfg.MaxAttempts {
		m.phase = Abandoned
	} else {
		m.phase = BackingOff
	}
	m.begin(now)
	return true
}

// Step takes the time, and says whether the share has changed.
func (m *Migration) Step(now time.Duration) bool {
	if next := m.Next(); next == 0 || now < next {
		return false
	}
	switch m.phase {
	case BackingOff:
		m.phase = Advancing
		if m.step < 0 { // nothing of the new pool was seen meanwhile: the first step anew
			m.step = 0
			m.begin(now)
			return true
		}
		m.begin(now) // where it stands it must do well again
	case Advancing:
		if m.news.all < m.cfg.MinResults || m.score() > 0 { // too few results, or more like a sick pool's: it stays
			return false
		}
		if m.step == len(m.cfg.Steps)-1 {
			m.phase = Completed
			return false
		}
		m.step++
		m.begin(now)
		return true
	}
	return false
}

// begin counts the new pool's results anew. The old one's stay: at the last step there are no others to compare with.
func (m *Migration) begin(now time.Duration) { m.since, m.news = now, window{} }

// Next is when Step may change something at the earliest; 0: never, but by results.
func (m *Migration) Next() time.Duration {
	switch m.phase {
	case Advancing:
		return m.since + m.cfg.Hold
	case BackingOff:
		return m.since + m.cfg.Hold<<min(m.backs, 10)
	}
	return 0
}

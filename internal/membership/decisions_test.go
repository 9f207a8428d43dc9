package membership

import (
	"testing"
	"time"

	"sloequay/internal/digesttest"
)

const (
	decisionSeeds      = 24
	decisionSteps      = 500
	decisionIDs        = 24 // number of endpoint IDs that the sources draw from
	decisionMaxAdvance = 400 * time.Millisecond
)

// TestDecisions applies seeded sequences of events and compares a digest of everything that the table returns with the
// stored one of each seed. Renaming identifiers must not change any digest.
func TestDecisions(t *testing.T) {
	counts := map[string]int{}
	digesttest.Format{}.Check(t, decisionSeeds, func(seed uint64, recorder *digesttest.Recorder) {
		p := newEventProducer(seed, digesttest.NewTranscript(recorder, counts))
		for i := range decisionSteps {
			p.playEvent()
			if i%20 == 19 {
				p.recordViews()
			}
		}
	})
	digesttest.CheckCounts(t, counts, map[string]int{
		"change-left": 2000, "change-added": 4000, "change-drains": 1500, "change-moved": 500,
		"change-restarted": 900, "change-back": 1000, "change-altered": 140,
		"reason-word": 8000, "reason-unnamed": 1500, "reason-held": 40, "reason-replaced": 1000,
		"note-loss-doubted": 300, "note-loss-confirmed": 90, "note-loss-refuted": 150,
		"note-renamed": 250, "note-named-twice": 600, "note-list-full": 500, "note-held": 150,
		"note-released": 100, "ask": 800, "pending": 130, "restored": 70, "source": 1800, "source-doubted": 70,
		"endpoint": 6000, "endpoint-overruled": 170, "endpoint-s0": 1300, "endpoint-s1": 2300, "endpoint-s2": 3000,
		"export-endpoint": 9000,
	})
	digesttest.CheckKnown(t, counts)
}

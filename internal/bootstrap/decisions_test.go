package bootstrap

import (
	"testing"
	"time"

	"sloequay/internal/digesttest"
)

const (
	decisionSeeds = 80
	decisionTick  = 20 * time.Millisecond
	decisionTicks = 900
)

// TestDecisions plays seeded fleets and compares a digest of everything that their machines return with the one on file
// for each seed. Renaming code must not change any digest.
func TestDecisions(t *testing.T) {
	counts := map[string]int{}
	digesttest.Format{}.Check(t, decisionSeeds, func(seed uint64, recorder *digesttest.Recorder) {
		f := newFleet(seed, &transcript{digesttest.NewTranscript(recorder, counts)})
		for n := range decisionTicks {
			f.tick(n)
		}
	})
	digesttest.CheckCounts(t, counts, map[string]int{
		"polling-no": 4000, "polling-yes": 6000, "ready-no": 900, "ready-yes": 9000,
		"follow-no": 100, "follow-yes": 250,
		"note-alone": 60, "note-asks": 200, "note-believed": 1000, "note-contradicted": 40, "note-hinted": 200,
		"note-listens": 100,
		"note-refuted": 190, "note-spoilt": 12, "send-busy": 1400, "send-busy-elsewhere": 90, "send-delta": 900,
		"send-digest": 14000, "send-part": 2300, "send-want": 3000, "speaks-silent-no": 60, "speaks-silent-yes": 400,
		"use-hint-no": 1000, "use-hint-yes": 200, "proxy": 10000,
	})
	digesttest.CheckKnown(t, counts)
}

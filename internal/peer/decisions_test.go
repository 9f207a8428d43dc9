package peer

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"sloequay/internal/digesttest"
)

const (
	decisionSeeds = 24
	decisionSteps = 2000
)

// verdictText returns a text for a verdict that does not depend on the names of the constants. It includes the
// verdict's value in the log, which must not change either.
func verdictText(verdict Verdict) string {
	name := "?"
	switch verdict {
	case Unchanged:
		name = "unchanged"
	case Joined:
		name = "joined"
	case Restarted:
		name = "restarted"
	case Conflict:
		name = "conflict"
	case NoCapacity:
		name = "no-capacity"
	}
	return name + "/" + verdict.String()
}

// playView applies one seed's random events to a view and records the results.
func playView(seed uint64, recorder *digesttest.Recorder, counts map[string]int) {
	random := rand.New(rand.NewPCG(seed, 72))
	transcript := digesttest.NewTranscript(recorder, counts)
	view := NewView("self", 2+random.IntN(5))
	names := []string{"a", "b", "c", "d", "e", "f", "self", ""}
	lastNumbers := map[string]uint64{} // highest message number drawn so far, by member name
	for range decisionSteps {
		name := names[random.IntN(len(names))]
		incarnation := uint64(1)
		if random.IntN(12) == 0 {
			incarnation = uint64(1 + random.IntN(3))
		}
		switch kind := random.IntN(40); {
		case kind < 4:
			member := Member{
				Name:           name,
				Zone:           fmt.Sprint("z", random.IntN(2)),
				ProgramVersion: fmt.Sprint("p", random.IntN(2)),
				Incarnation:    incarnation,
				Key:            fmt.Sprint("k", random.IntN(8)/7),
			}
			transcript.Write("observe "+verdictText(view.Observe(member)), member.Name)
		case kind < 5:
			transcript.Write(fmt.Sprint("remove ", view.Remove(name, incarnation)), name)
		case kind < 8:
			key, known := view.Key(name, incarnation)
			transcript.Write(fmt.Sprint("key ", known), name, key)
		default:
			number := lastNumbers[name] + uint64(random.IntN(3))
			switch random.IntN(20) {
			case 0:
				number += uint64(random.IntN(200))
			case 1, 2, 3, 4:
				number -= min(number, uint64(random.IntN(80)))
			}
			lastNumbers[name] = max(lastNumbers[name], number)
			accepted := view.AcceptMessage(name, incarnation, number)
			transcript.Write(fmt.Sprint("accept ", accepted), name, digesttest.Unsigned(number))
		}
		for _, member := range view.Members() {
			recorder.Add("%s %s %s %d %s",
				member.Name, member.Zone, member.ProgramVersion, member.Incarnation, member.Key)
		}
	}
}

// TestDecisions applies seeded random events to views and compares a digest of all results with the one
// recorded for each seed. A refactoring must not change any line of the file.
func TestDecisions(t *testing.T) {
	counts := map[string]int{}
	digesttest.Format{OmitResultCount: true}.Check(t, decisionSeeds, func(seed uint64, recorder *digesttest.Recorder) {
		playView(seed, recorder, counts)
	})
	digesttest.CheckCounts(t, counts, map[string]int{
		"observe unchanged/known": 100, "observe joined/joined": 100, "observe restarted/restarted": 100,
		"observe conflict/conflict": 100, "observe no-capacity/full": 100, "remove true": 100, "remove false": 100,
		"key true": 100, "key false": 100, "accept true": 100, "accept false": 100,
	})
}

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

// verdictText names a verdict in words that do not change with the names of the constants; the word of the log is
// part of what must stay.
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

// playView plays one seed's events against a view.
func playView(seed uint64, recorder *digesttest.Recorder, counts map[string]int) {
	random := rand.New(rand.NewPCG(seed, 72))
	transcript := digesttest.NewTranscript(recorder, counts)
	view := NewView("self", 2+random.IntN(5))
	names := []string{"a", "b", "c", "d", "e", "f", "self", ""}
	next := map[string]uint64{} // by name: the number of its last message
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
			number := next[name] + uint64(random.IntN(3))
			switch random.IntN(20) {
			case 0:
				number += uint64(random.IntN(200))
			case 1, 2, 3, 4:
				number -= min(number, uint64(random.IntN(80)))
			}
			next[name] = max(next[name], number)
			accepted := view.AcceptMessage(name, incarnation, number)
			transcript.Write(fmt.Sprint("accept ", accepted), name, digesttest.Unsigned(number))
		}
		for _, member := range view.Members() {
			recorder.Add("%s %s %s %d %s",
				member.Name, member.Zone, member.ProgramVersion, member.Incarnation, member.Key)
		}
	}
}

// TestDecisionsStayAsTheyWere plays seeded events and compares a digest of all that the views return with the one
// recorded for each seed. A change of names or shape must leave every line as it is.
func TestDecisionsStayAsTheyWere(t *testing.T) {
	counts := map[string]int{}
	digesttest.Format{NoResults: true}.Check(t, decisionSeeds, func(seed uint64, recorder *digesttest.Recorder) {
		playView(seed, recorder, counts)
	})
	digesttest.CheckCounts(t, counts, map[string]int{
		"observe unchanged/known": 100, "observe joined/joined": 100, "observe restarted/restarted": 100,
		"observe conflict/conflict": 100, "observe no-capacity/full": 100, "remove true": 100, "remove false": 100,
		"key true": 100, "key false": 100, "accept true": 100, "accept false": 100,
	})
}

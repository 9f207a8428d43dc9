package shutdown

import (
	"math/rand/v2"
	"testing"
	"time"

	"sloequay/internal/digesttest"
)

const (
	decisionSeeds = 24
	decisionSteps = 400
)

// actionText returns a fixed word for an action, so that renaming a constant does not change the digests.
func actionText(action Action) string {
	switch action {
	case KeepServing:
		return "keep"
	case CloseIdle:
		return "close-idle"
	case FailInFlight:
		return "fail"
	case Exit:
		return "exit"
	}
	return "?"
}

// stepSequence steps one sequence through seeded loads, past its end. Steps are shorter than 60 ms, since most limits
// lie soon after the signal, and loads become rarer with time, so that each action is reached.
func stepSequence(seed uint64, recorder *digesttest.Recorder, counts map[string]int) {
	random := rand.New(rand.NewPCG(seed, 72))
	sequence := Sequence{LongestDeadline: time.Duration(100+random.IntN(8000)) * time.Millisecond}
	now := time.Duration(random.IntN(2)) * time.Hour
	signalStep := random.IntN(20)
	for step := range decisionSteps {
		if step == signalStep || random.IntN(100) == 0 {
			recorder.Add("begin %v", sequence.Begin(now, now))
		}
		load := Load{}
		if random.IntN(decisionSteps) > 2*step {
			load.OpenRequests = random.IntN(3)
			load.ClientConnections = random.IntN(3)
		}
		if random.IntN(decisionSteps) > 3*step {
			load.UnsentBytes = random.IntN(2)
			load.Deregistering = random.IntN(5) == 0
		}
		action := actionText(sequence.Step(now, load))
		limit := time.Duration(1+random.IntN(9000)) * time.Millisecond
		timeout, ok := sequence.TimeoutFor(now, limit)
		if !ok {
			timeout = 0
			counts["reject"]++
		}
		recorder.Add("%v %s %d", sequence.Begun(), action, timeout.Microseconds())
		counts[action]++
		now += time.Duration(random.IntN(60_000)) * time.Microsecond
	}
}

// TestDecisions steps seeded sequences and compares a digest of everything that they return with the one on file for
// each seed. Renaming or restructuring code must not change any digest.
func TestDecisions(t *testing.T) {
	counts := map[string]int{}
	digesttest.Format{OmitResultCount: true}.Check(t, decisionSeeds, func(seed uint64, recorder *digesttest.Recorder) {
		stepSequence(seed, recorder, counts)
	})
	digesttest.CheckCounts(t, counts, map[string]int{
		"keep": 100, "close-idle": 100, "fail": 100, "exit": 100, "reject": 100,
	})
}

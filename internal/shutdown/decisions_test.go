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

// actionText names an action in words that do not change with the names of the constants.
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

// stepSequence steps one sequence through seeded loads, past its end. Steps are short after the signal, at which most
// limits lie, and loads become rarer with time, so that each action is reached.
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
			load.Open = random.IntN(3)
			load.Clients = random.IntN(3)
		}
		if random.IntN(decisionSteps) > 3*step {
			load.Unsent = random.IntN(2)
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

// TestDecisionsStayAsTheyWere steps seeded sequences and compares a digest of all that they return with the one
// recorded for each seed. A change of names or shape must leave every line as it is.
func TestDecisionsStayAsTheyWere(t *testing.T) {
	counts := map[string]int{}
	digesttest.Format{OmitResultCount: true}.Check(t, decisionSeeds, func(seed uint64, recorder *digesttest.Recorder) {
		stepSequence(seed, recorder, counts)
	})
	digesttest.CheckCounts(t, counts, map[string]int{
		"keep": 100, "close-idle": 100, "fail": 100, "exit": 100, "reject": 100,
	})
}

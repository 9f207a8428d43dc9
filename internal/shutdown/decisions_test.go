package shutdown

import (
	"crypto/sha256"
	"encoding/hex"
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"
)

var updateDecisions = flag.Bool("update", false, "write testdata/decisions.txt instead of comparing with it")

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

// decisionLine steps one sequence through seeded loads, past its end, and returns its line of the file. Steps are
// short after the signal, at which most limits lie, and loads become rarer with time, so that each action is
// reached.
func decisionLine(seed uint64, counts map[string]int) string {
	random := rand.New(rand.NewPCG(seed, 72))
	digest := sha256.New()
	sequence := Sequence{LongestDeadline: time.Duration(100+random.IntN(8000)) * time.Millisecond}
	now := time.Duration(random.IntN(2)) * time.Hour
	signalStep := random.IntN(20)
	for step := range decisionSteps {
		if step == signalStep || random.IntN(100) == 0 {
			fmt.Fprintf(digest, "begin %v\n", sequence.Begin(now))
		}
		load := Load{}
		if random.IntN(decisionSteps) > 2*step {
			load.Open = random.IntN(3)
			load.Clients = random.IntN(3)
		}
		if random.IntN(decisionSteps) > 3*step {
			load.Unsent = random.IntN(2)
			load.Blocked = random.IntN(5) == 0
		}
		action := actionText(sequence.Step(now, load))
		limit := time.Duration(1+random.IntN(9000)) * time.Millisecond
		fmt.Fprintf(digest, "%v %s %d\n", sequence.Begun(), action, sequence.TimeoutFor(now, limit).Microseconds())
		counts[action]++
		now += time.Duration(random.IntN(60_000)) * time.Microsecond
	}
	return fmt.Sprintf("%d %s", seed, hex.EncodeToString(digest.Sum(nil)[:16]))
}

// TestDecisionsStayAsTheyWere steps seeded sequences and compares a digest of all that they return with the one
// recorded for each seed. A change of names or shape must leave every line as it is.
func TestDecisionsStayAsTheyWere(t *testing.T) {
	counts := map[string]int{}
	var lines []string
	for seed := range uint64(decisionSeeds) {
		lines = append(lines, decisionLine(seed, counts))
	}
	for _, action := range []string{"keep", "close-idle", "fail", "exit"} {
		if counts[action] < 100 {
			t.Errorf("action %s was returned %d times, want at least 100: %v", action, counts[action], counts)
		}
	}
	path := filepath.Join("testdata", "decisions.txt")
	text := strings.Join(lines, "\n") + "\n"
	if *updateDecisions {
		if err := os.WriteFile(path, []byte(text), 0o644); err != nil {
			t.Fatal(err)
		}
		return
	}
	recorded, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	if string(recorded) != text {
		t.Errorf("%s has\n%sand the decisions are\n%s", path, recorded, text)
	}
}

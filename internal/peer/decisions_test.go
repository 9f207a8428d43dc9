package peer

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
)

var updateDecisions = flag.Bool("update", false, "write testdata/decisions.txt instead of comparing with it")

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

// decisionLine plays one seed and returns its line of the file.
func decisionLine(seed uint64, counts map[string]int) string {
	random := rand.New(rand.NewPCG(seed, 72))
	digest := sha256.New()
	write := func(kind string, words ...any) {
		counts[kind]++
		fmt.Fprintln(digest, append([]any{kind}, words...)...)
	}
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
				Name:        name,
				Zone:        fmt.Sprint("z", random.IntN(2)),
				Program:     fmt.Sprint("p", random.IntN(2)),
				Incarnation: incarnation,
				Key:         fmt.Sprint("k", random.IntN(8)/7),
			}
			write("observe "+verdictText(view.Observe(member)), member.Name)
		case kind < 5:
			write(fmt.Sprint("remove ", view.Remove(name, incarnation)), name)
		case kind < 8:
			key, known := view.Key(name, incarnation)
			write(fmt.Sprint("key ", known), name, key)
		default:
			number := next[name] + uint64(random.IntN(3))
			switch random.IntN(20) {
			case 0:
				number += uint64(random.IntN(200))
			case 1, 2, 3, 4:
				number -= min(number, uint64(random.IntN(80)))
			}
			next[name] = max(next[name], number)
			write(fmt.Sprint("accept ", view.AcceptMessage(name, incarnation, number)), name, number)
		}
		for _, member := range view.Members() {
			fmt.Fprintln(digest, member.Name, member.Zone, member.Program, member.Incarnation, member.Key)
		}
	}
	return fmt.Sprintf("%d %s", seed, hex.EncodeToString(digest.Sum(nil)[:16]))
}

// TestDecisionsStayAsTheyWere plays seeded events and compares a digest of all that the views return with the one
// recorded for each seed. A change of names or shape must leave every line as it is.
func TestDecisionsStayAsTheyWere(t *testing.T) {
	counts := map[string]int{}
	var lines []string
	for seed := range uint64(decisionSeeds) {
		lines = append(lines, decisionLine(seed, counts))
	}
	for _, kind := range []string{
		"observe unchanged/known", "observe joined/joined", "observe restarted/restarted",
		"observe conflict/conflict", "observe no-capacity/full",
		"remove true", "remove false", "key true", "key false", "accept true", "accept false",
	} {
		if counts[kind] < 100 {
			t.Errorf("%d outputs of kind %q, want at least 100: %v", counts[kind], kind, counts)
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

package membership

import (
	"crypto/sha256"
	"encoding/hex"
	"flag"
	"fmt"
	"os"
	"strings"
	"testing"
	"time"
)

var updateDecisions = flag.Bool("update", false, "write testdata/decisions.txt anew instead of comparing with it")

const (
	decisionsFile   = "testdata/decisions.txt"
	decisionSeeds   = 24
	decisionSteps   = 500
	decisionNames   = 24 // endpoint ids that the sources draw from
	decisionAdvance = 400 * time.Millisecond
)

// decisionLine plays one seed and gives its line of the file.
func decisionLine(seed uint64, counts map[string]int) string {
	record := &transcript{digest: sha256.New(), counts: counts}
	p := newPlayer(seed, record)
	for i := range decisionSteps {
		p.play()
		if i%20 == 19 {
			p.look()
		}
	}
	return fmt.Sprintf("%d %d %s", seed, record.lines, hex.EncodeToString(record.digest.Sum(nil)[:16]))
}

// TestDecisionsStayAsTheyWere plays seeded sequences of events and compares a digest of all that the table gives back
// with the one that is kept for each seed. A change of names must leave every line as it is.
func TestDecisionsStayAsTheyWere(t *testing.T) {
	counts := map[string]int{}
	var lines []string
	for seed := range uint64(decisionSeeds) {
		lines = append(lines, decisionLine(seed, counts))
	}
	checkCounts(t, counts, map[string]int{
		"change-left": 2000, "change-added": 4000, "change-drains": 1500, "change-moved": 500,
		"change-restarted": 900, "change-back": 1000, "change-altered": 140,
		"reason-word": 8000, "reason-unnamed": 1500, "reason-held": 40, "reason-replaced": 1000,
		"note-loss-doubted": 300, "note-loss-confirmed": 90, "note-loss-refuted": 150,
		"note-renamed": 250, "note-named-twice": 600, "note-list-full": 500, "note-held": 150,
		"note-released": 100, "ask": 800, "pending": 130, "restored": 70, "source": 1800, "source-doubted": 70,
		"endpoint": 6000, "endpoint-overruled": 170, "endpoint-s0": 1300, "endpoint-s1": 2300, "endpoint-s2": 3000,
		"export-endpoint": 9000,
	})
	compareDecisions(t, lines)
}

// checkCounts checks that the sequences have variety: at least so many outputs of each kind.
func checkCounts(t *testing.T, counts, minimum map[string]int) {
	t.Helper()
	for kind, n := range minimum {
		if counts[kind] < n {
			t.Errorf("%d outputs of kind %s, want at least %d: the sequences have too little variety",
				counts[kind], kind, n)
		}
	}
	for kind := range counts {
		if strings.HasSuffix(kind, "?") {
			t.Errorf("%d outputs have a value that this test does not know: %s", counts[kind], kind)
		}
	}
}

// compareDecisions compares the lines with the file, or writes it with -update.
func compareDecisions(t *testing.T, lines []string) {
	t.Helper()
	if *updateDecisions {
		if err := os.WriteFile(decisionsFile, []byte(strings.Join(lines, "\n")+"\n"), 0o644); err != nil {
			t.Fatal(err)
		}
		return
	}
	const remedy = "where the change of behaviour is meant: " +
		"go test ./internal/membership -run TestDecisionsStayAsTheyWere -update"
	text, err := os.ReadFile(decisionsFile)
	if err != nil {
		t.Fatalf("%v; %s", err, remedy)
	}
	stored := strings.Split(strings.TrimSuffix(string(text), "\n"), "\n")
	if len(stored) != len(lines) {
		t.Fatalf("%s has %d lines, want %d; %s", decisionsFile, len(stored), len(lines), remedy)
	}
	differ := 0
	for i := range lines {
		if lines[i] != stored[i] {
			differ++
			t.Errorf("seed, outputs and digest are %q, and %q is kept", lines[i], stored[i])
		}
	}
	if differ > 0 {
		t.Errorf("%d of %d seeds differ; %s", differ, len(lines), remedy)
	}
}

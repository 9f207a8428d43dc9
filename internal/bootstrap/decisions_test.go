package bootstrap

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
	decisionsFile = "testdata/decisions.txt"
	decisionSeeds = 24
	decisionTick  = 20 * time.Millisecond
	decisionTicks = 900
)

// decisionLine plays one seed and returns its line of the file.
func decisionLine(seed uint64, counts map[string]int) string {
	record := &transcript{digest: sha256.New(), counts: counts}
	f := newFleet(seed, record)
	for n := range decisionTicks {
		f.tick(n)
	}
	return fmt.Sprintf("%d %d %s", seed, record.lines, hex.EncodeToString(record.digest.Sum(nil)[:16]))
}

// TestDecisionsStayAsTheyWere plays seeded fleets and compares a digest of all that their machines return with
// the one recorded for each seed. A change of names must leave every line as it is.
func TestDecisionsStayAsTheyWere(t *testing.T) {
	counts := map[string]int{}
	var lines []string
	for seed := range uint64(decisionSeeds) {
		lines = append(lines, decisionLine(seed, counts))
	}
	checkCounts(t, counts, map[string]int{
		"asks-no": 4000, "asks-yes": 6000, "known-no": 900, "known-yes": 9000, "follow-no": 100, "follow-yes": 250,
		"note-alone": 60, "note-asks": 200, "note-believed": 1000, "note-hinted": 200, "note-listens": 100,
		"note-refuted": 190, "note-spoilt": 12, "send-busy": 1400, "send-busy-elsewhere": 90, "send-delta": 900,
		"send-digest": 14000, "send-part": 2300, "send-want": 3000, "speaks-silent-no": 60, "speaks-silent-yes": 400,
		"use-hint-no": 1000, "use-hint-yes": 200, "proxy": 10000,
	})
	compareDecisions(t, lines)
}

// checkCounts checks that the sequences have variety: at least so many outputs of each kind.
func checkCounts(t *testing.T, counts, minimums map[string]int) {
	t.Helper()
	for kind, n := range minimums {
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
		"go test ./internal/bootstrap -run TestDecisionsStayAsTheyWere -update"
	text, err := os.ReadFile(decisionsFile)
	if err != nil {
		t.Fatalf("%v; %s", err, remedy)
	}
	recorded := strings.Split(strings.TrimSuffix(string(text), "\n"), "\n")
	if len(recorded) != len(lines) {
		t.Fatalf("%s has %d lines, want %d; %s", decisionsFile, len(recorded), len(lines), remedy)
	}
	differ := 0
	for i := range lines {
		if lines[i] != recorded[i] {
			differ++
			t.Errorf("seed, outputs and digest are %q, and %q is recorded", lines[i], recorded[i])
		}
	}
	if differ > 0 {
		t.Errorf("%d of %d seeds differ; %s", differ, len(lines), remedy)
	}
}

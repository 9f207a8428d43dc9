// Package digesttest pins the behaviour of pure modules for their tests: a test plays seeded random events against a
// module, writes everything that the module returns as plain words and numbers, and compares a digest for each seed
// with those on file. Refactoring leaves the digests equal; a change of behaviour does not.
//
// Invariants: a file has one line for each seed, with the seed, the number of written results and their digest. The
// file is written only where the test's flag -update is given.
//
// Bounds: memory does not grow with the number of results.
package digesttest

import (
	"crypto/sha256"
	"flag"
	"fmt"
	"hash"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// File is where the digests of a package are, below the package's directory.
const File = "testdata/decisions.txt"

// digestBytes is the length of a printed digest: enough to tell any two recordings apart.
const digestBytes = 16

var update = flag.Bool("update", false, "write "+File+" anew")

// Recorder digests the results of one seed.
type Recorder struct {
	digest  hash.Hash
	results int
}

// Add writes one result. Its format and operands must not depend on the names in the code.
func (r *Recorder) Add(format string, operands ...any) {
	r.results++
	fmt.Fprintf(r.digest, format+"\n", operands...)
}

// Check plays each seed from 1 on and compares the digests with those on file.
func Check(t *testing.T, seeds int, play func(seed uint64, recorder *Recorder)) {
	t.Helper()
	lines := make([]string, seeds)
	for i := range lines {
		seed := uint64(i + 1)
		recorder := &Recorder{digest: sha256.New()}
		play(seed, recorder)
		lines[i] = fmt.Sprintf("%d %d %x", seed, recorder.results, recorder.digest.Sum(nil)[:digestBytes])
	}
	if *update {
		write(t, lines)
		return
	}
	compare(t, lines)
}

// CheckCounts fails a test in which something happened less often than the digests need to pin it.
func CheckCounts(t *testing.T, counts, minimums map[string]int) {
	t.Helper()
	for name, minimum := range minimums {
		if counts[name] < minimum {
			t.Errorf("%s: %d over all seeds, at least %d wanted", name, counts[name], minimum)
		}
	}
	t.Log(counts)
}

func write(t *testing.T, lines []string) {
	t.Helper()
	if err := os.MkdirAll(filepath.Dir(File), 0o755); err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(File, []byte(strings.Join(lines, "\n")+"\n"), 0o644); err != nil {
		t.Fatal(err)
	}
}

func compare(t *testing.T, lines []string) {
	t.Helper()
	text, err := os.ReadFile(File)
	if err != nil {
		t.Fatalf("%v; the test's flag -update writes it", err)
	}
	want := strings.Split(strings.TrimSpace(string(text)), "\n")
	if len(want) != len(lines) {
		t.Fatalf("%s has %d seeds, %d were played", File, len(want), len(lines))
	}
	differ := 0
	for i, line := range lines {
		if line != want[i] {
			differ++
			t.Errorf("seed, results, digest: %s, want %s", line, want[i])
		}
	}
	if differ > 0 {
		t.Errorf("%d of %d seeds differ: the package behaves otherwise. Write the file with -update only where"+
			" that is meant", differ, len(lines))
	}
}

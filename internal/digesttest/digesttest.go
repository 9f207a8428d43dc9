// Package digesttest detects changes in the behaviour of pure modules: a test applies seeded random events to a module,
// records everything that the module returns as plain words and numbers, and compares a digest per seed with the
// digests in a file. Refactoring leaves the digests equal; a change of behaviour does not.
//
// Invariants: a file has one line per seed, with the seed, the number of recorded results and their digest; a Format
// may omit the number. The file is written only if the test's flag -update is given.
//
// Bounds: memory does not grow with the number of results. An EventQueue holds only events that are still due.
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

// File is the path of a package's digests, relative to the package's directory.
const File = "testdata/decisions.txt"

// digestBytes is the length of a printed digest, long enough to make collisions practically impossible.
const digestBytes = 16

var update = flag.Bool("update", false, "write the digests of this run to "+File+", replacing those there")

// Format describes the lines of a file. The function Check uses the default: seeds from 1 on, with result counts.
type Format struct {
	FirstSeed       uint64
	OmitResultCount bool // lines have only the seed and the digest, not the number of results
}

// Recorder computes the digest of one seed's results.
type Recorder struct {
	digest  hash.Hash
	results int
}

// Add records one result. Its text must not depend on identifiers in the code, so that renames keep the digest.
func (r *Recorder) Add(format string, operands ...any) {
	r.results++
	r.AddUncounted(format, operands...)
}

// AddUncounted adds text to the digest without counting it as a result, for example the state between two results.
func (r *Recorder) AddUncounted(format string, operands ...any) {
	fmt.Fprintf(r.digest, format+"\n", operands...)
}

// line returns the line of the file for a seed.
func (r *Recorder) line(format Format, seed uint64) string {
	digest := r.digest.Sum(nil)[:digestBytes]
	if format.OmitResultCount {
		return fmt.Sprintf("%d %x", seed, digest)
	}
	return fmt.Sprintf("%d %d %x", seed, r.results, digest)
}

// Check calls play for each seed from 1 on and compares the digests with those in File.
func Check(t *testing.T, seeds int, play func(seed uint64, recorder *Recorder)) {
	t.Helper()
	Format{FirstSeed: 1}.Check(t, seeds, play)
}

// Check calls play for each seed from f.FirstSeed on and compares the digests with those in File.
func (f Format) Check(t *testing.T, seeds int, play func(seed uint64, recorder *Recorder)) {
	t.Helper()
	lines := make([]string, seeds)
	for i := range lines {
		seed := f.FirstSeed + uint64(i)
		recorder := &Recorder{digest: sha256.New()}
		play(seed, recorder)
		lines[i] = recorder.line(f, seed)
	}
	if *update {
		write(t, lines)
		return
	}
	compare(t, lines)
}

// CheckCounts fails the test if something happened less often than its minimum: then the digests hardly cover it.
func CheckCounts(t *testing.T, counts, minimums map[string]int) {
	t.Helper()
	for name, minimum := range minimums {
		if counts[name] < minimum {
			t.Errorf("%s: got %d over all seeds, want at least %d: the random events have too little variety",
				name, counts[name], minimum)
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
		t.Fatalf("%v; create the file with: %s", err, updateCommand(t))
	}
	found := differences(string(text), lines)
	for _, difference := range found {
		t.Error(difference)
	}
	if len(found) > 0 {
		t.Errorf("the behaviour of the package has changed; if intended, update the digests: %s", updateCommand(t))
	}
}

// differences describes how lines differ from the expected ones, which are the text of a file.
func differences(text string, lines []string) (found []string) {
	body, endsWithNewline := strings.CutSuffix(text, "\n")
	if !endsWithNewline {
		found = append(found, File+" does not end with a newline")
	}
	want := strings.Split(body, "\n")
	if len(want) != len(lines) {
		return append(found, fmt.Sprintf("%s has %d lines, want one for each of %d seeds", File, len(want), len(lines)))
	}
	differing := 0
	for i, line := range lines {
		if line != want[i] {
			differing++
			found = append(found, fmt.Sprintf("got line %q, want %q", line, want[i]))
		}
	}
	if differing > 0 {
		found = append(found, fmt.Sprintf("%d of %d seeds differ", differing, len(lines)))
	}
	return found
}

// updateCommand returns the command that rewrites File, to be run from the root of the module.
func updateCommand(t *testing.T) string {
	t.Helper()
	directory, err := os.Getwd()
	if err != nil {
		t.Fatal(err)
	}
	root := directory
	for root != filepath.Dir(root) {
		if _, err := os.Stat(filepath.Join(root, "go.mod")); err == nil {
			break
		}
		root = filepath.Dir(root)
	}
	relative, err := filepath.Rel(root, directory)
	if err != nil {
		t.Fatal(err)
	}
	return fmt.Sprintf("go test ./%s -run '^%s$' -update", filepath.ToSlash(relative), t.Name())
}

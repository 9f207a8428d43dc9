// Package digesttest pins the behaviour of pure modules for their tests: a test plays seeded random events against a
// module, writes everything that the module returns as plain words and numbers, and compares a digest for each seed
// with those on file. Refactoring leaves the digests equal; a change of behaviour does not.
//
// Invariants: a file has one line for each seed, with the seed, the number of written results and their digest; a
// Format leaves the number out. The file is written only where the test's flag -update is given.
//
// Bounds: memory does not grow with the number of results. An EventQueue holds no more than what is still due.
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

// Format describes a file. Of the usual one, which Check compares with, the first seed is 1 and results are counted.
type Format struct {
	FirstSeed       uint64
	OmitResultCount bool // a line has the seed and the digest only, not the number of results
}

// Recorder digests the results of one seed.
type Recorder struct {
	digest  hash.Hash
	results int
}

// Add writes one result. Its format and operands must not depend on the names in the code.
func (r *Recorder) Add(format string, operands ...any) {
	r.results++
	r.AddUncounted(format, operands...)
}

// AddUncounted writes what is in the digest as a result is, and not in the number of results: say, the state between
// two results.
func (r *Recorder) AddUncounted(format string, operands ...any) {
	fmt.Fprintf(r.digest, format+"\n", operands...)
}

// line returns the seed's line of the file.
func (r *Recorder) line(format Format, seed uint64) string {
	digest := r.digest.Sum(nil)[:digestBytes]
	if format.OmitResultCount {
		return fmt.Sprintf("%d %x", seed, digest)
	}
	return fmt.Sprintf("%d %d %x", seed, r.results, digest)
}

// Check plays each seed from 1 on and compares the digests with those on file.
func Check(t *testing.T, seeds int, play func(seed uint64, recorder *Recorder)) {
	t.Helper()
	Format{FirstSeed: 1}.Check(t, seeds, play)
}

// Check plays each seed from the format's first one on and compares the digests with those on file.
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

// CheckCounts fails a test in which something happened less often than the digests need to pin it.
func CheckCounts(t *testing.T, counts, minimums map[string]int) {
	t.Helper()
	for name, minimum := range minimums {
		if counts[name] < minimum {
			t.Errorf("%s: %d over all seeds, at least %d wanted: the sequences have too little variety",
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
		t.Fatalf("%v; this writes it: %s", err, updateCommand(t))
	}
	faults := differences(string(text), lines)
	for _, fault := range faults {
		t.Error(fault)
	}
	if len(faults) > 0 {
		t.Errorf("the package behaves otherwise. Only where that is meant: %s", updateCommand(t))
	}
}

// differences says in what a file's text is not exactly these lines.
func differences(text string, lines []string) (faults []string) {
	body, complete := strings.CutSuffix(text, "\n")
	if !complete {
		faults = append(faults, File+" does not end with the end of a line")
	}
	want := strings.Split(body, "\n")
	if len(want) != len(lines) {
		return append(faults, fmt.Sprintf("%s has %d seeds, %d were played", File, len(want), len(lines)))
	}
	differ := 0
	for i, line := range lines {
		if line != want[i] {
			differ++
			faults = append(faults, fmt.Sprintf("the seed's line is %q, want %q", line, want[i]))
		}
	}
	if differ > 0 {
		faults = append(faults, fmt.Sprintf("%d of %d seeds differ", differ, len(lines)))
	}
	return faults
}

// updateCommand is how to write the file anew from the root of the module.
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
	below, err := filepath.Rel(root, directory)
	if err != nil {
		t.Fatal(err)
	}
	return fmt.Sprintf("go test ./%s -run '^%s$' -update", filepath.ToSlash(below), t.Name())
}

// Testgate runs all tests of the module and tolerates exactly the failures that KNOWN-RED.txt lists. It must run in the
// root of the module. Without that file, it only runs "go test -count=1 ./...".
//
// The file has at most three entries, separated by empty lines. Each entry has five lines:
//
//	test: PACKAGE.TestName/sub, with the package relative to the module
//	command: command with which the failure was seen
//	seed: seed of that command, or none
//	seen: message of the test
//	issue: issue in which the failure is tracked
//
// An entry for a test does not cover its subtests. The failure of a test is attributed to its listed subtests alone if
// the test itself wrote nothing by t.Log or t.Error; a bare t.Fail of such a test goes unnoticed. A panic is tolerated
// only if it occurred in a listed test and kept no other test from running to its end.
package main

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"io/fs"
	"os"
	"os/exec"
	"regexp"
	"strings"
)

const listFile = "KNOWN-RED.txt"

// topLevelTest matches a test in the output of "go test -list". Benchmarks do not match, as they are not run.
var topLevelTest = regexp.MustCompile(`^(Test|Fuzz|Example)\S*$`)

// NotPassedError is returned for a run with problems.
type NotPassedError struct {
	Problems []error
}

// Error lists all problems, one per line.
func (err *NotPassedError) Error() string {
	return fmt.Sprintf("%d problems:\n%s", len(err.Problems), errors.Join(err.Problems...))
}

// Unwrap returns the problems.
func (err *NotPassedError) Unwrap() []error { return err.Problems }

func main() {
	if err := run(os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "testgate:", err)
		os.Exit(1)
	}
}

// run reads the list, runs the tests and reports the verdict.
func run(writer io.Writer) error {
	text, err := os.ReadFile(listFile)
	if errors.Is(err, fs.ErrNotExist) {
		return runAll(writer)
	}
	if err != nil {
		return err
	}
	list, err := parseKnownFailures(listFile, string(text))
	if err != nil {
		return err
	}
	module, err := exec.Command("go", "list", "-m").Output()
	if err != nil {
		return fmt.Errorf("go list -m: %w", err)
	}
	existing, err := listTests(list)
	if err != nil {
		return err
	}
	events, failed, err := runTests(writer)
	if err != nil {
		return err
	}
	verdict := decide(Run{
		Module: strings.TrimSpace(string(module)), Events: events, Existing: existing, Failed: failed,
	}, list)
	return report(writer, verdict)
}

// runAll runs the tests without a list of known failures.
func runAll(writer io.Writer) error {
	command := exec.Command("go", "test", "-count=1", "./...")
	command.Stdout, command.Stderr = writer, os.Stderr
	return command.Run()
}

// listTests returns the top-level tests of all packages that the list names.
func listTests(list []KnownFailure) ([]Test, error) {
	var tests []Test
	listed := map[string]bool{}
	for _, known := range list {
		directory := known.Test.Package
		if listed[directory] {
			continue
		}
		listed[directory] = true
		output, err := exec.Command("go", "test", "-list", ".", "./"+directory).CombinedOutput()
		if err != nil {
			return nil, fmt.Errorf("%s: cannot list the tests of %s: %w\n%s", listFile, directory, err, output)
		}
		for line := range strings.Lines(string(output)) {
			if name := strings.TrimSpace(line); topLevelTest.MatchString(name) {
				tests = append(tests, Test{Package: directory, Name: name})
			}
		}
	}
	return tests, nil
}

// runTests runs all tests, prints their output like go test, and returns the events and whether go test failed.
func runTests(writer io.Writer) (events []Event, failed bool, err error) {
	command := exec.Command("go", "test", "-count=1", "-json", "./...")
	command.Stderr = os.Stderr
	pipe, err := command.StdoutPipe()
	if err != nil {
		return nil, false, err
	}
	if err := command.Start(); err != nil {
		return nil, false, err
	}
	events, readErr := readEvents(pipe, newPrinter(writer))
	waitErr := command.Wait()
	var exit *exec.ExitError
	if waitErr != nil && !errors.As(waitErr, &exit) {
		return nil, false, waitErr
	}
	return events, waitErr != nil, readErr
}

// readEvents reads events until the end of the input and prints each.
func readEvents(reader io.Reader, out *printer) ([]Event, error) {
	var events []Event
	decoder := json.NewDecoder(bufio.NewReader(reader))
	for {
		var event Event
		err := decoder.Decode(&event)
		if errors.Is(err, io.EOF) {
			out.flushUnfinished()
			return events, nil
		}
		if err != nil {
			_, _ = io.Copy(io.Discard, reader) // so that go test can exit
			return events, fmt.Errorf("cannot read the events of go test: %w", err)
		}
		out.show(event)
		events = append(events, event)
	}
}

// report prints the listed tests with their outcomes, and returns the problems as an error.
func report(writer io.Writer, verdict Verdict) error {
	for _, known := range verdict.Tolerated {
		fmt.Fprintf(writer, "known failure, tolerated: %v\n", known)
	}
	for _, known := range verdict.Recovered {
		fmt.Fprintf(writer, "known failure, did not fail this time: %v\n", known)
	}
	if len(verdict.Problems) > 0 {
		return &NotPassedError{Problems: verdict.Problems}
	}
	return nil
}

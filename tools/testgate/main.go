// Testgate runs all tests of the module and passes over exactly the failures that KNOWN-RED.txt lists. It is called in
// the root of the module. Without that file it runs the plain command of the README.
//
// The file has at most three entries, each of five lines, with an empty line between two of them:
//
//	test: PACKAGE.TestName/sub, with the package relative to the module
//	command: by which the failure was seen
//	seed: that the command was run with, or none
//	seen: what the test said
//	issue: where the failure is followed
//
// A listed test does not stand for its subtests. A test counts as failed by its listed subtests alone if it wrote
// nothing by t.Log or t.Error; a bare t.Fail of such a test is not seen. A panic is passed over only if it was in a
// listed test and kept no other test from running.
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

// topLevel is a test as "go test -list" prints it. Benchmarks are not run and not counted.
var topLevel = regexp.MustCompile(`^(Test|Fuzz|Example)\S*$`)

// NotPassedError ends a run that has problems.
type NotPassedError struct {
	Problems []error
}

// Error names all problems, one a line.
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

// run reads the list, runs the tests and judges them.
func run(writer io.Writer) error {
	text, err := os.ReadFile(listFile)
	if errors.Is(err, fs.ErrNotExist) {
		return plain(writer)
	}
	if err != nil {
		return err
	}
	list, err := parseKnown(listFile, string(text))
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

// plain runs the tests without a list.
func plain(writer io.Writer) error {
	command := exec.Command("go", "test", "-count=1", "./...")
	command.Stdout, command.Stderr = writer, os.Stderr
	return command.Run()
}

// listTests returns the top-level tests of all packages that the list names.
func listTests(list []Known) ([]Test, error) {
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
			return nil, fmt.Errorf("%s: no tests can be listed in %s: %w\n%s", listFile, directory, err, output)
		}
		for line := range strings.Lines(string(output)) {
			if name := strings.TrimSpace(line); topLevel.MatchString(name) {
				tests = append(tests, Test{Package: directory, Name: name})
			}
		}
	}
	return tests, nil
}

// runTests runs all tests, prints what go test prints, and returns the events and whether go test failed.
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

// readEvents reads events to the end and shows each.
func readEvents(reader io.Reader, out *printer) ([]Event, error) {
	var events []Event
	decoder := json.NewDecoder(bufio.NewReader(reader))
	for {
		var event Event
		err := decoder.Decode(&event)
		if errors.Is(err, io.EOF) {
			out.rest()
			return events, nil
		}
		if err != nil {
			_, _ = io.Copy(io.Discard, reader) // so that go test can end
			return events, fmt.Errorf("events of go test: %w", err)
		}
		out.show(event)
		events = append(events, event)
	}
}

// report prints what was passed over and returns what was not.
func report(writer io.Writer, verdict Verdict) error {
	for _, known := range verdict.PassedOver {
		fmt.Fprintf(writer, "known red, passed over: %v\n", known)
	}
	for _, known := range verdict.Recovered {
		fmt.Fprintf(writer, "known red, did not fail this time: %v\n", known)
	}
	if len(verdict.Problems) > 0 {
		return &NotPassedError{Problems: verdict.Problems}
	}
	return nil
}

package main

import (
	"fmt"
	"regexp"
	"strings"
)

// maxKnown is how many known failures the list may hold.
const maxKnown = 3

// testName is a test as the list writes it: the package relative to the module, a dot, the test and its subtests.
var testName = regexp.MustCompile(`^([^,\s]+?)\.((?:Test|Fuzz|Example)[^,\s]*)$`)

// Test names one test, or one subtest, of the module.
type Test struct {
	Package string // relative to the module
	Name    string // with its subtests, as go test prints it
}

// String returns the test as the list writes it.
func (test Test) String() string { return test.Package + "." + test.Name }

// Known is one line of the list: a test that may fail, why, and where that is followed.
type Known struct {
	Test  Test
	Cause string
	Issue string
}

// MalformedLineError is returned for a line of the list that is not of the form "TEST, cause, issue".
type MalformedLineError struct {
	Line   int
	Text   string
	Reason string
}

// Error says which line is malformed and why.
func (err *MalformedLineError) Error() string {
	return fmt.Sprintf("line %d: %s: %q, want: TEST, cause, issue", err.Line, err.Reason, err.Text)
}

// TooManyLinesError is returned for a list with more lines than it may hold.
type TooManyLinesError struct {
	Lines int
}

// Error says how many lines there are and how many there may be.
func (err *TooManyLinesError) Error() string {
	return fmt.Sprintf("%d known failures are listed, at most %d may be", err.Lines, maxKnown)
}

// parseKnown reads the list. Empty lines are passed over.
func parseKnown(text string) ([]Known, error) {
	var list []Known
	seen := map[Test]bool{}
	for index, line := range strings.Split(text, "\n") {
		line = strings.TrimSpace(line)
		if line == "" {
			continue
		}
		known, reason := parseLine(line)
		if reason == "" && seen[known.Test] {
			reason = "the test is listed twice"
		}
		if reason != "" {
			return nil, &MalformedLineError{Line: index + 1, Text: line, Reason: reason}
		}
		seen[known.Test] = true
		list = append(list, known)
	}
	if len(list) > maxKnown {
		return nil, &TooManyLinesError{Lines: len(list)}
	}
	return list, nil
}

// parseLine reads one line. The cause may hold commas. The reason is empty if the line is well formed.
func parseLine(line string) (known Known, reason string) {
	name, rest, found := strings.Cut(line, ",")
	last := strings.LastIndex(rest, ",")
	if !found || last < 0 {
		return Known{}, "fewer than three fields"
	}
	match := testName.FindStringSubmatch(strings.TrimSpace(name))
	if match == nil {
		return Known{}, "no test of the form package.TestName"
	}
	known = Known{
		Test:  Test{Package: match[1], Name: match[2]},
		Cause: strings.TrimSpace(rest[:last]),
		Issue: strings.TrimSpace(rest[last+1:]),
	}
	if known.Cause == "" || known.Issue == "" {
		return Known{}, "empty cause or issue"
	}
	return known, ""
}

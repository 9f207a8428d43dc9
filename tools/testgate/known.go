package main

import (
	"fmt"
	"regexp"
	"slices"
	"strings"
)

// maxKnown is how many known failures the list may hold.
const maxKnown = 3

// The keys of an entry, each of which it has once.
const (
	keyTest    = "test"
	keyCommand = "command"
	keySeed    = "seed"
	keySeen    = "seen"
	keyIssue   = "issue"
)

var entryKeys = []string{keyTest, keyCommand, keySeed, keySeen, keyIssue}

// testName is a test as the list writes it: the package relative to the module, a dot, the test and its subtests.
var testName = regexp.MustCompile(`^(\S+?)\.((?:Test|Fuzz|Example)\S*)$`)

// Test names one test, or one subtest, of the module.
type Test struct {
	Package string // relative to the module
	Name    string // with its subtests, as go test prints it
}

// String returns the test as the list writes it.
func (test Test) String() string { return test.Package + "." + test.Name }

// Known is one entry of the list: a test that may fail.
type Known struct {
	Test    Test
	Command string // by which the failure was seen
	Seed    string // that the command was run with; "none" of a test that takes none
	Seen    string // what the test said
	Issue   string // where the failure is followed
}

// String returns the entry in one line.
func (known Known) String() string {
	return fmt.Sprintf("%s: %s (issue %s; %s; seed %s)", known.Test, known.Seen, known.Issue, known.Command, known.Seed)
}

// MalformedEntryError is returned for an entry that has not each key once, with a value that can be used.
type MalformedEntryError struct {
	File   string
	Line   int // of the key; the entry's first where a key is missing
	Key    string
	Reason string
}

// Error says which key of which line is malformed and why.
func (err *MalformedEntryError) Error() string {
	return fmt.Sprintf("%s:%d: %s: %s", err.File, err.Line, err.Key, err.Reason)
}

// TooManyEntriesError is returned for a list with more entries than it may hold.
type TooManyEntriesError struct {
	File    string
	Entries int
}

// Error says how many entries there are and how many there may be.
func (err *TooManyEntriesError) Error() string {
	return fmt.Sprintf("%s: %d known failures are listed, at most %d may be", err.File, err.Entries, maxKnown)
}

// value is what one line of an entry says.
type value struct {
	text string
	line int
}

// entry is the lines of one entry, by their keys.
type entry struct {
	line   int // of its first key
	values map[string]value
}

// parseKnown reads the list: entries of one "KEY: VALUE" a line, with an empty line between two entries.
func parseKnown(file, text string) ([]Known, error) {
	entries, err := parseEntries(file, text)
	if err != nil {
		return nil, err
	}
	var list []Known
	for _, read := range entries {
		known, err := read.known(file)
		if err != nil {
			return nil, err
		}
		sameTest := func(other Known) bool { return other.Test == known.Test }
		if slices.ContainsFunc(list, sameTest) {
			line := read.values[keyTest].line
			return nil, &MalformedEntryError{File: file, Line: line, Key: keyTest, Reason: "the test is listed twice"}
		}
		list = append(list, known)
	}
	if len(list) > maxKnown {
		return nil, &TooManyEntriesError{File: file, Entries: len(list)}
	}
	return list, nil
}

// parseEntries divides the list into entries.
func parseEntries(file, text string) ([]entry, error) {
	var entries []entry
	within := false
	for index, line := range strings.Split(text, "\n") {
		line = strings.TrimSpace(line)
		if line == "" {
			within = false
			continue
		}
		number := index + 1
		key, rest, found := strings.Cut(line, ":")
		malformed := func(reason string) error {
			return &MalformedEntryError{File: file, Line: number, Key: key, Reason: reason}
		}
		if !found || !slices.Contains(entryKeys, key) {
			return nil, malformed("no key of an entry, which are " + strings.Join(entryKeys, ", "))
		}
		if !within {
			entries = append(entries, entry{line: number, values: map[string]value{}})
			within = true
		}
		last := entries[len(entries)-1]
		if _, twice := last.values[key]; twice {
			return nil, malformed("the entry has it twice; an empty line ends an entry")
		}
		last.values[key] = value{text: strings.TrimSpace(rest), line: number}
	}
	return entries, nil
}

// known returns the entry as a known failure.
func (read entry) known(file string) (Known, error) {
	malformed := func(line int, key, reason string) (Known, error) {
		return Known{}, &MalformedEntryError{File: file, Line: line, Key: key, Reason: reason}
	}
	for _, key := range entryKeys {
		got, found := read.values[key]
		if !found {
			return malformed(read.line, key, "the entry has no such line")
		}
		if got.text == "" {
			return malformed(got.line, key, "no value")
		}
	}
	test := read.values[keyTest]
	match := testName.FindStringSubmatch(test.text)
	if match == nil {
		return malformed(test.line, keyTest, fmt.Sprintf("expected package.TestName, got %q", test.text))
	}
	return Known{
		Test:    Test{Package: match[1], Name: match[2]},
		Command: read.values[keyCommand].text,
		Seed:    read.values[keySeed].text,
		Seen:    read.values[keySeen].text,
		Issue:   read.values[keyIssue].text,
	}, nil
}

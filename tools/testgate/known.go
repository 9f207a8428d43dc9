package main

import (
	"fmt"
	"regexp"
	"slices"
	"strings"
)

// maxKnownFailures is the maximum number of known failures in the list.
const maxKnownFailures = 3

// The keys of an entry. An entry has each of them exactly once.
const (
	keyTest    = "test"
	keyCommand = "command"
	keySeed    = "seed"
	keySeen    = "seen"
	keyIssue   = "issue"
)

var entryKeys = []string{keyTest, keyCommand, keySeed, keySeen, keyIssue}

// testName matches a test in the form of the list: the package relative to the module, a dot, and the test with its
// subtests.
var testName = regexp.MustCompile(`^(\S+?)\.((?:Test|Fuzz|Example)\S*)$`)

// Test identifies a test or subtest of the module.
type Test struct {
	Package string // path relative to the module
	Name    string // including subtests, as go test prints it
}

// String returns the test in the form of the list.
func (test Test) String() string { return test.Package + "." + test.Name }

// KnownFailure is one entry of the list: a test that is allowed to fail.
type KnownFailure struct {
	Test    Test
	Command string // command with which the failure was seen
	Seed    string // seed of that command; "none" if the test takes none
	Seen    string // message of the test
	Issue   string // issue in which the failure is tracked
}

// String returns the entry as one line.
func (known KnownFailure) String() string {
	return fmt.Sprintf("%s: %s (issue %s; %s; seed %s)", known.Test, known.Seen, known.Issue, known.Command, known.Seed)
}

// MalformedEntryError is returned for an entry that does not have each key exactly once with a valid value, and for an
// entry whose test is already listed.
type MalformedEntryError struct {
	File   string
	Line   int // line of the key; if the key is missing, first line of the entry
	Key    string
	Reason string
}

// Error says which key on which line is malformed and why.
func (err *MalformedEntryError) Error() string {
	return fmt.Sprintf("%s:%d: %s: %s", err.File, err.Line, err.Key, err.Reason)
}

// TooManyEntriesError is returned for a list with more than maxKnownFailures entries.
type TooManyEntriesError struct {
	File    string
	Entries int
}

// Error returns the number of entries and the maximum.
func (err *TooManyEntriesError) Error() string {
	return fmt.Sprintf("%s: got %d known failures, want at most %d", err.File, err.Entries, maxKnownFailures)
}

// value is the value on one line of an entry.
type value struct {
	text string
	line int
}

// entry holds the values of one entry by their keys.
type entry struct {
	line   int // line of its first key
	values map[string]value
}

// parseKnownFailures parses the list. An entry has one "KEY: VALUE" per line; empty lines separate entries.
func parseKnownFailures(file, text string) ([]KnownFailure, error) {
	entries, err := parseEntries(file, text)
	if err != nil {
		return nil, err
	}
	var list []KnownFailure
	for _, parsed := range entries {
		known, err := parsed.knownFailure(file)
		if err != nil {
			return nil, err
		}
		sameTest := func(other KnownFailure) bool { return other.Test == known.Test }
		if slices.ContainsFunc(list, sameTest) {
			line := parsed.values[keyTest].line
			return nil, &MalformedEntryError{File: file, Line: line, Key: keyTest, Reason: "the test is listed twice"}
		}
		list = append(list, known)
	}
	if len(list) > maxKnownFailures {
		return nil, &TooManyEntriesError{File: file, Entries: len(list)}
	}
	return list, nil
}

// parseEntries splits the list into entries.
func parseEntries(file, text string) ([]entry, error) {
	var entries []entry
	inEntry := false
	for index, line := range strings.Split(text, "\n") {
		line = strings.TrimSpace(line)
		if line == "" {
			inEntry = false
			continue
		}
		number := index + 1
		key, rest, found := strings.Cut(line, ":")
		malformed := func(reason string) error {
			return &MalformedEntryError{File: file, Line: number, Key: key, Reason: reason}
		}
		if !found || !slices.Contains(entryKeys, key) {
			return nil, malformed("unknown key, expected one of " + strings.Join(entryKeys, ", "))
		}
		if !inEntry {
			entries = append(entries, entry{line: number, values: map[string]value{}})
			inEntry = true
		}
		last := entries[len(entries)-1]
		if _, isDuplicate := last.values[key]; isDuplicate {
			return nil, malformed("the key occurs twice in the entry; entries are separated by an empty line")
		}
		last.values[key] = value{text: strings.TrimSpace(rest), line: number}
	}
	return entries, nil
}

// knownFailure checks the entry and returns it as a known failure.
func (e entry) knownFailure(file string) (KnownFailure, error) {
	malformed := func(line int, key, reason string) (KnownFailure, error) {
		return KnownFailure{}, &MalformedEntryError{File: file, Line: line, Key: key, Reason: reason}
	}
	for _, key := range entryKeys {
		got, found := e.values[key]
		if !found {
			return malformed(e.line, key, "the entry lacks this key")
		}
		if got.text == "" {
			return malformed(got.line, key, "the value is empty")
		}
	}
	test := e.values[keyTest]
	match := testName.FindStringSubmatch(test.text)
	if match == nil {
		return malformed(test.line, keyTest, fmt.Sprintf("expected package.TestName, got %q", test.text))
	}
	return KnownFailure{
		Test:    Test{Package: match[1], Name: match[2]},
		Command: e.values[keyCommand].text,
		Seed:    e.values[keySeed].text,
		Seen:    e.values[keySeen].text,
		Issue:   e.values[keyIssue].text,
	}, nil
}

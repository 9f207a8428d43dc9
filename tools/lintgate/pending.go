package main

import (
	"fmt"
	"path"
	"slices"
	"strings"
)

// Entry is a package that a linter does not find clean yet.
type Entry struct {
	Directory string // relative to the module
	Linter    string
}

// String returns the entry as the list writes it.
func (entry Entry) String() string { return entry.Directory + " " + entry.Linter }

// MalformedLineError is returned for a line of the list that is not of the form "DIRECTORY LINTER".
type MalformedLineError struct {
	Line   int
	Text   string
	Reason string
}

// Error says which line is malformed and why.
func (err *MalformedLineError) Error() string {
	return fmt.Sprintf("line %d: %s: %q, want: DIRECTORY LINTER", err.Line, err.Reason, err.Text)
}

// parsePending reads the list. Empty lines and lines that start with # are passed over.
func parsePending(text string, linters []string) ([]Entry, error) {
	var list []Entry
	for index, line := range strings.Split(text, "\n") {
		line = strings.TrimSpace(line)
		if line == "" || strings.HasPrefix(line, "#") {
			continue
		}
		fields := strings.Fields(line)
		reason := ""
		switch {
		case len(fields) != 2:
			reason = "not two fields"
		case path.Clean(fields[0]) != fields[0]:
			reason = "no clean path"
		case !slices.Contains(linters, fields[1]):
			reason = "no such linter"
		case slices.Contains(list, Entry{Directory: fields[0], Linter: fields[1]}):
			reason = "listed twice"
		}
		if reason != "" {
			return nil, &MalformedLineError{Line: index + 1, Text: line, Reason: reason}
		}
		list = append(list, Entry{Directory: fields[0], Linter: fields[1]})
	}
	return list, nil
}

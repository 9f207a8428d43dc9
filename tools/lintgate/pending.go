package main

import (
	"fmt"
	"path"
	"slices"
	"strings"
)

// Entry is a line of the list of pending packages: a package in which a linter still has findings.
type Entry struct {
	Directory string // relative to the module root
	Linter    string
}

// String returns the entry in the form of a line of the list.
func (entry Entry) String() string { return entry.Directory + " " + entry.Linter }

// MalformedLineError is returned for a line of the list that is not of the form "DIRECTORY LINTER".
type MalformedLineError struct {
	Line   int
	Text   string
	Reason string
}

// Error says which line is malformed and why.
func (err *MalformedLineError) Error() string {
	return fmt.Sprintf("line %d: %s: got %q, want DIRECTORY LINTER", err.Line, err.Reason, err.Text)
}

// parsePending parses the list. It ignores empty lines and lines that start with #.
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
			reason = "wrong number of fields"
		case path.Clean(fields[0]) != fields[0]:
			reason = "path is not clean"
		case !slices.Contains(linters, fields[1]):
			reason = "unknown linter"
		case slices.Contains(list, Entry{Directory: fields[0], Linter: fields[1]}):
			reason = "duplicate entry"
		}
		if reason != "" {
			return nil, &MalformedLineError{Line: index + 1, Text: line, Reason: reason}
		}
		list = append(list, Entry{Directory: fields[0], Linter: fields[1]})
	}
	return list, nil
}

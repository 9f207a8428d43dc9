package main

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"path/filepath"
)

// Finding is one thing that a linter says of a package.
type Finding struct {
	Entry   Entry // the package and the linter
	File    string
	Line    int
	Rule    string
	Message string
}

// String returns the finding as compilers write theirs.
func (finding Finding) String() string {
	return fmt.Sprintf("%s:%d: %s (%s %s)",
		finding.File, finding.Line, finding.Message, finding.Entry.Linter, finding.Rule)
}

// OutsideError is returned for a finding in a file that is not below the module's root.
type OutsideError struct {
	File string
}

// Error names the file.
func (err *OutsideError) Error() string { return err.File + " is outside the module" }

// staticcheckLine is one line of staticcheck's output with -f json.
type staticcheckLine struct {
	Code     string
	Message  string
	Location struct {
		File string
		Line int
	}
}

// reviveLine is one line of revive's output with -formatter ndjson.
type reviveLine struct {
	RuleName string
	Failure  string
	Position struct {
		Start struct {
			Filename string
			Line     int
		}
	}
}

// readStaticcheck reads staticcheck's output.
func readStaticcheck(output []byte, root string) ([]Finding, error) {
	return readLines(output, root, func(line staticcheckLine) Finding {
		return Finding{
			Entry: Entry{Linter: "staticcheck"}, File: line.Location.File, Line: line.Location.Line,
			Rule: line.Code, Message: line.Message,
		}
	})
}

// readRevive reads revive's output.
func readRevive(output []byte, root string) ([]Finding, error) {
	return readLines(output, root, func(line reviveLine) Finding {
		start := line.Position.Start
		return Finding{
			Entry: Entry{Linter: "revive"}, File: start.Filename, Line: start.Line,
			Rule: line.RuleName, Message: line.Failure,
		}
	})
}

// readLines reads JSON values to the end and puts each finding with the directory of its file.
func readLines[Line any](output []byte, root string, finding func(Line) Finding) ([]Finding, error) {
	var findings []Finding
	decoder := json.NewDecoder(bytes.NewReader(output))
	for {
		var line Line
		err := decoder.Decode(&line)
		if errors.Is(err, io.EOF) {
			return findings, nil
		}
		if err != nil {
			return nil, fmt.Errorf("output of the linter: %w", err)
		}
		found := finding(line)
		if found.File, err = relative(root, found.File); err != nil {
			return nil, err
		}
		found.Entry.Directory = filepath.ToSlash(filepath.Dir(found.File))
		findings = append(findings, found)
	}
}

// relative returns a file's path from the root of the module.
func relative(root, file string) (string, error) {
	if !filepath.IsAbs(file) {
		file = filepath.Join(root, file)
	}
	within, err := filepath.Rel(root, file)
	if err != nil || !filepath.IsLocal(within) {
		return "", &OutsideError{File: file}
	}
	return within, nil
}

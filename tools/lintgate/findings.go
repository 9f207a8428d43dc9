package main

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"path/filepath"
)

// Finding is one finding of a linter.
type Finding struct {
	Entry   Entry  // the package with the finding, and the linter
	File    string // relative to the module root
	Line    int
	Rule    string
	Message string
}

// String returns the finding in the form of a compiler error.
func (finding Finding) String() string {
	return fmt.Sprintf("%s:%d: %s (%s %s)",
		finding.File, finding.Line, finding.Message, finding.Entry.Linter, finding.Rule)
}

// OutsideModuleError is returned for a file or directory that is not below the module root.
type OutsideModuleError struct {
	File string
}

// Error names the file.
func (err *OutsideModuleError) Error() string { return err.File + " is outside the module" }

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

// readStaticcheck parses the output of staticcheck.
func readStaticcheck(output []byte, root string) ([]Finding, error) {
	return readLines(output, root, func(line staticcheckLine) Finding {
		return Finding{
			Entry: Entry{Linter: "staticcheck"}, File: line.Location.File, Line: line.Location.Line,
			Rule: line.Code, Message: line.Message,
		}
	})
}

// readRevive parses the output of revive.
func readRevive(output []byte, root string) ([]Finding, error) {
	return readLines(output, root, func(line reviveLine) Finding {
		start := line.Position.Start
		return Finding{
			Entry: Entry{Linter: "revive"}, File: start.Filename, Line: start.Line,
			Rule: line.RuleName, Message: line.Failure,
		}
	})
}

// readLines decodes JSON values until the end of the output and converts each to a finding. It makes the path of the
// finding relative to root and sets the directory of its entry.
func readLines[Line any](output []byte, root string, convert func(Line) Finding) ([]Finding, error) {
	var findings []Finding
	decoder := json.NewDecoder(bytes.NewReader(output))
	for {
		var line Line
		err := decoder.Decode(&line)
		if errors.Is(err, io.EOF) {
			return findings, nil
		}
		if err != nil {
			return nil, fmt.Errorf("cannot parse the output of the linter: %w", err)
		}
		finding := convert(line)
		if finding.File, err = relativePath(root, finding.File); err != nil {
			return nil, err
		}
		finding.Entry.Directory = filepath.ToSlash(filepath.Dir(finding.File))
		findings = append(findings, finding)
	}
}

// relativePath returns the path of a file relative to the module root.
func relativePath(root, file string) (string, error) {
	if !filepath.IsAbs(file) {
		file = filepath.Join(root, file)
	}
	within, err := filepath.Rel(root, file)
	if err != nil || !filepath.IsLocal(within) {
		return "", &OutsideModuleError{File: file}
	}
	return within, nil
}

package main

import (
	"fmt"
	"slices"
)

// FindingError is returned for a finding in a package that is not listed as pending, and for a failure of a
// linter.
type FindingError struct {
	Finding Finding
}

// Error returns the finding.
func (err *FindingError) Error() string { return err.Finding.String() }

// StaleEntryError is returned for a line of the list whose package is clean.
type StaleEntryError struct {
	Entry Entry
}

// Error names the line and says what to do.
func (err *StaleEntryError) Error() string {
	return fmt.Sprintf("%s: the linter has no findings in the package: remove the line", err.Entry)
}

// NoPackageError is returned for a line of the list whose package does not exist.
type NoPackageError struct {
	Entry Entry
}

// Error names the line and says what to do.
func (err *NoPackageError) Error() string {
	return fmt.Sprintf("%s: the package does not exist: remove the line", err.Entry)
}

// decide returns all problems: findings in packages that are not pending, failures of linters, and lines of the list
// that are not needed. directories holds the directories of all packages of the module.
func decide(findings []Finding, pending []Entry, directories []string) []error {
	var problems []error
	unclean := map[Entry]bool{}
	for _, finding := range findings {
		unclean[finding.Entry] = true
		if !slices.Contains(pending, finding.Entry) || isLinterFailure(finding) {
			problems = append(problems, &FindingError{Finding: finding})
		}
	}
	for _, entry := range pending {
		switch {
		case !slices.Contains(directories, entry.Directory):
			problems = append(problems, &NoPackageError{Entry: entry})
		case !unclean[entry]:
			problems = append(problems, &StaleEntryError{Entry: entry})
		}
	}
	return problems
}

// isLinterFailure reports whether a finding means that the linter could not analyse the package.
func isLinterFailure(finding Finding) bool {
	return finding.Rule == "compile" || finding.Rule == "config" || finding.Rule == ""
}

package main

import (
	"fmt"
	"slices"
)

// NotCleanError is a finding in a package that is not pending.
type NotCleanError struct {
	Finding Finding
}

// Error returns the finding.
func (err *NotCleanError) Error() string { return err.Finding.String() }

// CleanEntryError is a line of the list whose package is clean.
type CleanEntryError struct {
	Entry Entry
}

// Error names the line and says what to do.
func (err *CleanEntryError) Error() string {
	return fmt.Sprintf("%s: the package is clean now: remove its line", err.Entry)
}

// NoPackageError is a line of the list whose package does not exist.
type NoPackageError struct {
	Entry Entry
}

// Error names the line and says what to do.
func (err *NoPackageError) Error() string {
	return fmt.Sprintf("%s: there is no such package: remove its line", err.Entry)
}

// decide returns all that is wrong: findings in packages that are not pending, findings that no package may have, and
// lines of the list that are not needed. Directories are those of all packages of the module.
func decide(findings []Finding, pending []Entry, directories []string) []error {
	var problems []error
	unclean := map[Entry]bool{}
	for _, finding := range findings {
		unclean[finding.Entry] = true
		if !slices.Contains(pending, finding.Entry) || neverPending(finding) {
			problems = append(problems, &NotCleanError{Finding: finding})
		}
	}
	for _, entry := range pending {
		switch {
		case !slices.Contains(directories, entry.Directory):
			problems = append(problems, &NoPackageError{Entry: entry})
		case !unclean[entry]:
			problems = append(problems, &CleanEntryError{Entry: entry})
		}
	}
	return problems
}

// neverPending reports whether a finding means that the linter could not do its work.
func neverPending(finding Finding) bool {
	return finding.Rule == "compile" || finding.Rule == "config" || finding.Rule == ""
}

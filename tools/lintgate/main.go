// Lintgate runs staticcheck and revive on all packages of the module. Packages that are not clean yet are listed in
// .ci/lint-pending.txt, one "DIRECTORY LINTER" a line. All others have to be clean, and a listed one that is clean, or
// that does not exist, fails as well, so that the list can only shrink. It is called in the root of the module.
//
// With -print it prints the lines that the list needs now.
package main

import (
	"errors"
	"flag"
	"fmt"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
)

const pendingFile = ".ci/lint-pending.txt"

// linter is one tool and how its output is read.
type linter struct {
	name      string
	arguments []string
	findings  int // the exit status by which the tool says that it has findings
	read      func(output []byte, root string) ([]Finding, error)
}

var linters = []linter{
	{
		name: "staticcheck", findings: 1, read: readStaticcheck,
		arguments: []string{"tool", "staticcheck", "-checks", "all", "-f", "json", "./..."},
	},
	{
		name: "revive", findings: 1, read: readRevive,
		arguments: []string{
			"tool", "revive", "-set_exit_status", "-config", ".ci/revive.toml", "-formatter", "ndjson", "./...",
		},
	},
}

// LinterError is returned for a linter that could not do its work.
type LinterError struct {
	Linter string
	Cause  error
}

// Error says which linter failed and how.
func (err *LinterError) Error() string { return fmt.Sprintf("%s: %v", err.Linter, err.Cause) }

// Unwrap returns the cause.
func (err *LinterError) Unwrap() error { return err.Cause }

// StatusError is returned for a linter whose exit status does not go with its findings.
type StatusError struct {
	Findings int
	Status   int
}

// Error says what does not go together.
func (err *StatusError) Error() string {
	return fmt.Sprintf("%d findings, and exit status %d", err.Findings, err.Status)
}

func main() {
	onlyPrint := flag.Bool("print", false, "print the lines that the list needs now")
	flag.Parse()
	action := check
	if *onlyPrint {
		action = printNeeded
	}
	if err := action(os.Stdout); err != nil {
		fmt.Fprintf(os.Stderr, "lintgate: %v\n", err)
		os.Exit(1)
	}
}

// check judges the findings by the list.
func check(writer io.Writer) error {
	text, err := os.ReadFile(pendingFile)
	if err != nil {
		return err
	}
	names := make([]string, 0, len(linters))
	for _, tool := range linters {
		names = append(names, tool.name)
	}
	pending, err := parsePending(string(text), names)
	if err != nil {
		return fmt.Errorf("%s: %w", pendingFile, err)
	}
	root, directories, err := packageDirectories()
	if err != nil {
		return err
	}
	findings, err := lint(root)
	if err != nil {
		return err
	}
	if problems := decide(findings, pending, directories); len(problems) > 0 {
		return fmt.Errorf("by %s:\n%w", pendingFile, errors.Join(problems...))
	}
	fmt.Fprintf(writer, "lintgate: ok, %d lines pending\n", len(pending))
	return nil
}

// printNeeded prints the list that would pass now.
func printNeeded(writer io.Writer) error {
	root, err := os.Getwd()
	if err != nil {
		return err
	}
	findings, err := lint(root)
	if err != nil {
		return err
	}
	var lines []string
	for _, finding := range findings {
		lines = append(lines, finding.Entry.String())
	}
	slices.Sort(lines)
	for _, line := range slices.Compact(lines) {
		fmt.Fprintln(writer, line)
	}
	return nil
}

// packageDirectories returns the module's root and the directories of its packages, relative to it.
func packageDirectories() (root string, directories []string, err error) {
	if root, err = os.Getwd(); err != nil {
		return "", nil, err
	}
	output, err := exec.Command("go", "list", "-f", "{{.Dir}}", "./...").Output()
	if err != nil {
		return "", nil, fmt.Errorf("go list: %w", err)
	}
	for line := range strings.Lines(string(output)) {
		directory, err := relative(root, strings.TrimSpace(line))
		if err != nil {
			return "", nil, err
		}
		directories = append(directories, filepath.ToSlash(directory))
	}
	return root, directories, nil
}

// lint runs all linters, one after another, and returns what they find.
func lint(root string) ([]Finding, error) {
	var all []Finding
	for _, tool := range linters {
		findings, err := tool.run(root)
		if err != nil {
			return nil, &LinterError{Linter: tool.name, Cause: err}
		}
		all = append(all, findings...)
	}
	return all, nil
}

// run runs one linter. An exit status that does not go with its findings is an error.
func (tool linter) run(root string) ([]Finding, error) {
	command := exec.Command("go", tool.arguments...)
	command.Stderr = os.Stderr
	output, runErr := command.Output()
	var exit *exec.ExitError
	if runErr != nil && (!errors.As(runErr, &exit) || exit.ExitCode() != tool.findings) {
		return nil, runErr
	}
	findings, err := tool.read(output, root)
	if err != nil {
		return nil, err
	}
	if (runErr != nil) != (len(findings) > 0) {
		return nil, &StatusError{Findings: len(findings), Status: command.ProcessState.ExitCode()}
	}
	return findings, nil
}

// Lintgate runs staticcheck and revive on all packages of the module. It fails if a linter has findings in a package,
// unless .ci/lint-pending.txt lists the package and the linter, one "DIRECTORY LINTER" per line. It also fails if a
// listed package is clean or does not exist, so that the list can only shrink. It must run in the root of the module.
//
// With -print, it prints the list that matches the current findings instead.
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

// linter describes how to run a linter and how to read its output.
type linter struct {
	name      string
	arguments []string
	findings  int // exit status of the tool if it has findings
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

// LinterError is returned if a linter could not be run or its output could not be used.
type LinterError struct {
	Linter string
	Cause  error
}

// Error says which linter failed and how.
func (err *LinterError) Error() string { return fmt.Sprintf("%s: %v", err.Linter, err.Cause) }

// Unwrap returns the cause.
func (err *LinterError) Unwrap() error { return err.Cause }

// ExitStatusError is returned if the exit status of a linter contradicts the number of its findings.
type ExitStatusError struct {
	Findings int
	Status   int
}

// Error returns the number of findings and the exit status.
func (err *ExitStatusError) Error() string {
	return fmt.Sprintf("got %d findings, but exit status %d", err.Findings, err.Status)
}

func main() {
	onlyPrint := flag.Bool("print", false, "print the list that matches the current findings, and check nothing")
	flag.Parse()
	action := check
	if *onlyPrint {
		action = printPendingList
	}
	if err := action(os.Stdout); err != nil {
		fmt.Fprintf(os.Stderr, "lintgate: %v\n", err)
		os.Exit(1)
	}
}

// check compares the findings with the list.
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
		return fmt.Errorf("findings and %s do not match:\n%w", pendingFile, errors.Join(problems...))
	}
	fmt.Fprintf(writer, "lintgate: ok, %d lines pending\n", len(pending))
	return nil
}

// printPendingList prints the list with which check would pass.
func printPendingList(writer io.Writer) error {
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

// packageDirectories returns the module root and the directories of its packages relative to the root.
func packageDirectories() (root string, directories []string, err error) {
	if root, err = os.Getwd(); err != nil {
		return "", nil, err
	}
	output, err := exec.Command("go", "list", "-f", "{{.Dir}}", "./...").Output()
	if err != nil {
		return "", nil, fmt.Errorf("go list: %w", err)
	}
	for line := range strings.Lines(string(output)) {
		directory, err := relativePath(root, strings.TrimSpace(line))
		if err != nil {
			return "", nil, err
		}
		directories = append(directories, filepath.ToSlash(directory))
	}
	return root, directories, nil
}

// lint runs all linters, one after another, and returns their findings.
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

// run runs one linter and returns its findings. It returns an error if the exit status contradicts them.
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
		return nil, &ExitStatusError{Findings: len(findings), Status: command.ProcessState.ExitCode()}
	}
	return findings, nil
}

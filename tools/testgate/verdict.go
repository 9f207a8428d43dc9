package main

import (
	"fmt"
	"maps"
	"regexp"
	"slices"
	"strings"
)

// testLogLine matches a line that t.Error, t.Log or a similar method wrote. The events do not distinguish them, so a
// failed test that wrote such a line is considered to have failed by itself, not only through its subtests.
var testLogLine = regexp.MustCompile(`^\s+\S+\.go:\d+: `)

// Event is one line of the output of "go test -json".
type Event struct {
	Action      string
	Package     string
	Test        string
	Output      string
	FailedBuild string // package that could not be built
}

// Run is the result of one run of the tests, with the tests that should have run.
type Run struct {
	Module   string // module path
	Events   []Event
	Existing []Test // top-level tests of the packages that the list names
	Failed   bool   // go test exited with a failure
}

// Verdict is the outcome of a run under a list of known failures. The run passes if there are no problems.
type Verdict struct {
	Tolerated []KnownFailure // listed tests that failed
	Recovered []KnownFailure // listed tests that finished without failing
	Problems  []error
}

// FailedTestError is returned for a test that failed and is not listed.
type FailedTestError struct {
	Test Test
}

// Error names the test.
func (err *FailedTestError) Error() string {
	return fmt.Sprintf("%s failed and is not listed", err.Test)
}

// UnfinishedTestError is returned for a test that started and did not finish, or that did not start in a failed
// package.
type UnfinishedTestError struct {
	Test Test
}

// Error names the test.
func (err *UnfinishedTestError) Error() string {
	return fmt.Sprintf("%s did not finish", err.Test)
}

// UnknownTestError is returned for an entry of the list whose test did not run.
type UnknownTestError struct {
	Test Test
}

// Error names the test and says what to do.
func (err *UnknownTestError) Error() string {
	return fmt.Sprintf("%s is listed, but no such test ran: correct or remove its entry", err.Test)
}

// FailedPackageError is returned for a failure of a package that no failed test explains.
type FailedPackageError struct {
	Package string
	Reason  string
}

// Error names the package and the reason.
func (err *FailedPackageError) Error() string { return fmt.Sprintf("%s: %s", err.Package, err.Reason) }

// FailedRunError is returned for a failure of go test that no failed package explains.
type FailedRunError struct{}

// Error says what happened.
func (*FailedRunError) Error() string { return "go test failed, but no package did" }

// packageRun collects the events of one package.
type packageRun struct {
	name        string // path relative to the module
	started     map[string]bool
	ended       map[string]string // last action of each finished test: pass, fail or skip
	logged      map[string]bool   // tests that wrote a testLogLine
	result      string            // last action of the package; empty: it did not finish
	failedBuild bool
	crashes     []Event // first output line of each crash
}

// decide compares a run with the list of known failures.
func decide(run Run, list []KnownFailure) Verdict {
	packages := collect(run)
	listed := map[Test]bool{}
	for _, known := range list {
		listed[known.Test] = true
	}
	verdict := Verdict{}
	anyFailed := false
	for _, name := range slices.Sorted(maps.Keys(packages)) {
		verdict.Problems = append(verdict.Problems, packageProblems(packages[name], listed, run.Existing)...)
		anyFailed = anyFailed || packages[name].result == "fail"
	}
	if run.Failed && !anyFailed {
		verdict.Problems = append(verdict.Problems, &FailedRunError{})
	}
	for _, known := range list {
		p := packages[known.Test.Package]
		switch {
		case p == nil || !p.started[known.Test.Name]:
			verdict.Problems = append(verdict.Problems, &UnknownTestError{Test: known.Test})
		case p.ended[known.Test.Name] == "fail":
			verdict.Tolerated = append(verdict.Tolerated, known)
		case p.ended[known.Test.Name] != "":
			verdict.Recovered = append(verdict.Recovered, known)
		}
	}
	return verdict
}

// collect groups the events by package.
func collect(run Run) map[string]*packageRun {
	packages := map[string]*packageRun{}
	for _, event := range run.Events {
		if event.Package == "" {
			continue // event of a build; the failure of the package follows
		}
		name := strings.TrimPrefix(event.Package, run.Module+"/")
		if packages[name] == nil {
			packages[name] = &packageRun{
				name: name, started: map[string]bool{}, ended: map[string]string{}, logged: map[string]bool{},
			}
		}
		packages[name].add(event)
	}
	return packages
}

// add adds an event.
func (p *packageRun) add(event Event) {
	switch event.Action {
	case "run":
		p.started[event.Test] = true
	case "output":
		p.addOutput(event)
	case "pass", "fail", "skip":
		if event.Test != "" {
			p.ended[event.Test] = event.Action
			return
		}
		p.result = event.Action
		p.failedBuild = event.FailedBuild != ""
	}
}

// addOutput records crashes and tests that wrote a testLogLine.
func (p *packageRun) addOutput(event Event) {
	if testLogLine.MatchString(event.Output) {
		p.logged[event.Test] = true
	}
	if strings.HasPrefix(event.Output, "panic: ") || strings.HasPrefix(event.Output, "fatal error: ") {
		p.crashes = append(p.crashes, event)
	}
}

// packageProblems returns the problems of a package, apart from the listed failures.
func packageProblems(p *packageRun, listed map[Test]bool, existing []Test) []error {
	switch {
	case p.result == "":
		return []error{&FailedPackageError{Package: p.name, Reason: "the package did not finish"}}
	case p.result != "fail":
		return nil
	case p.failedBuild:
		return []error{&FailedPackageError{Package: p.name, Reason: "the build failed"}}
	}
	problems := p.crashProblems(listed)
	problems = append(problems, p.testProblems(listed)...)
	for _, test := range existing {
		if test.Package == p.name && !p.started[test.Name] {
			problems = append(problems, &UnfinishedTestError{Test: test})
		}
	}
	if len(problems) == 0 && !slices.Contains(slices.Collect(maps.Values(p.ended)), "fail") {
		reason := "the package failed, but none of its tests did"
		problems = append(problems, &FailedPackageError{Package: p.name, Reason: reason})
	}
	return problems
}

// crashProblems returns the crashes outside of listed tests, and all crashes caused by the timeout of go test.
func (p *packageRun) crashProblems(listed map[Test]bool) []error {
	var problems []error
	for _, crash := range p.crashes {
		timeout := strings.HasPrefix(crash.Output, "panic: test timed out")
		if timeout || !listed[Test{Package: p.name, Name: crash.Test}] {
			reason := strings.TrimSpace(crash.Output)
			problems = append(problems, &FailedPackageError{Package: p.name, Reason: reason})
		}
	}
	return problems
}

// testProblems returns the tests that did not finish, and those whose failures are not tolerated.
func (p *packageRun) testProblems(listed map[Test]bool) []error {
	var problems []error
	for _, name := range slices.Sorted(maps.Keys(p.started)) {
		test := Test{Package: p.name, Name: name}
		switch p.ended[name] {
		case "":
			problems = append(problems, &UnfinishedTestError{Test: test})
		case "fail":
			if !listed[test] && !p.failedOnlyByListed(name, listed) {
				problems = append(problems, &FailedTestError{Test: test})
			}
		}
	}
	return problems
}

// failedOnlyByListed reports whether a test failed only because of listed subtests: it wrote no testLogLine itself, at
// least one listed subtest failed, and each failed subtest is listed or failed only because of listed ones.
func (p *packageRun) failedOnlyByListed(name string, listed map[Test]bool) bool {
	if p.logged[name] {
		return false
	}
	hasListed := false
	for subtest, action := range p.ended {
		if action != "fail" || !strings.HasPrefix(subtest, name+"/") {
			continue
		}
		if listed[Test{Package: p.name, Name: subtest}] {
			hasListed = true
			continue
		}
		if !p.failedOnlyByListed(subtest, listed) {
			return false
		}
	}
	return hasListed
}

package main

import (
	"fmt"
	"maps"
	"regexp"
	"slices"
	"strings"
)

// ownWord is what t.Error, t.Log and their like write. The events do not tell them apart, so that a test which wrote
// one and failed is taken to have failed by itself.
var ownWord = regexp.MustCompile(`^\s+\S+\.go:\d+: `)

// Event is one line of "go test -json".
type Event struct {
	Action      string
	Package     string
	Test        string
	Output      string
	FailedBuild string // the package that could not be built
}

// Run is all that one run of the tests has shown, and what it should have shown.
type Run struct {
	Module   string
	Events   []Event
	Existing []Test // the top-level tests of the packages that the list names
	Failed   bool   // whether go test itself ended with a failure
}

// Verdict is what a run means under a list of known failures. The run passes if there are no problems.
type Verdict struct {
	PassedOver []Known // listed and failed
	Recovered  []Known // listed, ended and not failed
	Problems   []error
}

// FailedTestError is the failure of a test that is not listed.
type FailedTestError struct {
	Test Test
}

// Error names the test.
func (err *FailedTestError) Error() string {
	return fmt.Sprintf("%s failed and is not listed", err.Test)
}

// UnfinishedTestError is a test that was started and did not end, or that never started in a package cut short.
type UnfinishedTestError struct {
	Test Test
}

// Error names the test.
func (err *UnfinishedTestError) Error() string {
	return fmt.Sprintf("%s did not run to its end", err.Test)
}

// UnknownTestError is an entry of the list that names no test.
type UnknownTestError struct {
	Test Test
}

// Error names the test and says what to do.
func (err *UnknownTestError) Error() string {
	return fmt.Sprintf("%s is listed and no such test was run: correct or remove its entry", err.Test)
}

// FailedPackageError is a failure of a package that no test explains.
type FailedPackageError struct {
	Package string
	Reason  string
}

// Error names the package and the reason.
func (err *FailedPackageError) Error() string { return fmt.Sprintf("%s: %s", err.Package, err.Reason) }

// FailedRunError is a failure of go test that no package explains.
type FailedRunError struct{}

// Error says what happened.
func (*FailedRunError) Error() string { return "go test failed and no package did" }

// packageRun is what the events say of one package.
type packageRun struct {
	name        string // relative to the module
	started     map[string]bool
	ended       map[string]string // the action that ended each test
	complaining map[string]bool   // tests that wrote a word of their own
	result      string
	failedBuild bool
	crashes     []Event // the first lines of crashes
}

// decide judges a run by the list of known failures.
func decide(run Run, list []Known) Verdict {
	packages := collect(run)
	listed := map[Test]bool{}
	for _, known := range list {
		listed[known.Test] = true
	}
	verdict := Verdict{}
	anyFailed := false
	for _, name := range slices.Sorted(maps.Keys(packages)) {
		verdict.Problems = append(verdict.Problems, judge(packages[name], listed, run.Existing)...)
		anyFailed = anyFailed || packages[name].result == "fail"
	}
	if run.Failed && !anyFailed {
		verdict.Problems = append(verdict.Problems, &FailedRunError{})
	}
	for _, known := range list {
		tests := packages[known.Test.Package]
		switch {
		case tests == nil || !tests.started[known.Test.Name]:
			verdict.Problems = append(verdict.Problems, &UnknownTestError{Test: known.Test})
		case tests.ended[known.Test.Name] == "fail":
			verdict.PassedOver = append(verdict.PassedOver, known)
		case tests.ended[known.Test.Name] != "":
			verdict.Recovered = append(verdict.Recovered, known)
		}
	}
	return verdict
}

// collect sorts the events by package.
func collect(run Run) map[string]*packageRun {
	packages := map[string]*packageRun{}
	for _, event := range run.Events {
		if event.Package == "" {
			continue // output of a build; the package's own failure follows
		}
		name := strings.TrimPrefix(event.Package, run.Module+"/")
		if packages[name] == nil {
			packages[name] = &packageRun{
				name: name, started: map[string]bool{}, ended: map[string]string{}, complaining: map[string]bool{},
			}
		}
		packages[name].take(event)
	}
	return packages
}

// take adds one event.
func (tests *packageRun) take(event Event) {
	switch event.Action {
	case "run":
		tests.started[event.Test] = true
	case "output":
		tests.takeOutput(event)
	case "pass", "fail", "skip":
		if event.Test != "" {
			tests.ended[event.Test] = event.Action
			return
		}
		tests.result = event.Action
		tests.failedBuild = event.FailedBuild != ""
	}
}

// takeOutput looks for crashes, and for words that a test wrote itself.
func (tests *packageRun) takeOutput(event Event) {
	if ownWord.MatchString(event.Output) {
		tests.complaining[event.Test] = true
	}
	if strings.HasPrefix(event.Output, "panic: ") || strings.HasPrefix(event.Output, "fatal error: ") {
		tests.crashes = append(tests.crashes, event)
	}
}

// judge returns all that is wrong with a package once the listed failures are passed over.
func judge(tests *packageRun, listed map[Test]bool, existing []Test) []error {
	switch {
	case tests.result == "":
		return []error{&FailedPackageError{Package: tests.name, Reason: "the package did not run to its end"}}
	case tests.result != "fail":
		return nil
	case tests.failedBuild:
		return []error{&FailedPackageError{Package: tests.name, Reason: "the build failed"}}
	}
	problems := tests.badCrashes(listed)
	problems = append(problems, tests.badTests(listed)...)
	for _, test := range existing {
		if test.Package == tests.name && !tests.started[test.Name] {
			problems = append(problems, &UnfinishedTestError{Test: test})
		}
	}
	if len(problems) == 0 && !slices.Contains(slices.Collect(maps.Values(tests.ended)), "fail") {
		reason := "failed, and none of its tests did"
		problems = append(problems, &FailedPackageError{Package: tests.name, Reason: reason})
	}
	return problems
}

// badCrashes returns the crashes that are not of a listed test, and those by the time limit.
func (tests *packageRun) badCrashes(listed map[Test]bool) []error {
	var problems []error
	for _, crash := range tests.crashes {
		timeout := strings.HasPrefix(crash.Output, "panic: test timed out")
		if timeout || !listed[Test{Package: tests.name, Name: crash.Test}] {
			reason := strings.TrimSpace(crash.Output)
			problems = append(problems, &FailedPackageError{Package: tests.name, Reason: reason})
		}
	}
	return problems
}

// badTests returns the tests that did not end, and those that failed and may not.
func (tests *packageRun) badTests(listed map[Test]bool) []error {
	var problems []error
	for _, name := range slices.Sorted(maps.Keys(tests.started)) {
		test := Test{Package: tests.name, Name: name}
		switch tests.ended[name] {
		case "":
			problems = append(problems, &UnfinishedTestError{Test: test})
		case "fail":
			if !listed[test] && !tests.failedByListed(name, listed) {
				problems = append(problems, &FailedTestError{Test: test})
			}
		}
	}
	return problems
}

// failedByListed says whether a test failed by listed subtests alone: it wrote no word of its own, and each subtest
// that failed is listed or failed by listed ones itself.
func (tests *packageRun) failedByListed(name string, listed map[Test]bool) bool {
	if tests.complaining[name] {
		return false
	}
	found := false
	for below, action := range tests.ended {
		if action != "fail" || !strings.HasPrefix(below, name+"/") {
			continue
		}
		if listed[Test{Package: tests.name, Name: below}] {
			found = true
			continue
		}
		if !tests.failedByListed(below, listed) {
			return false
		}
	}
	return found
}

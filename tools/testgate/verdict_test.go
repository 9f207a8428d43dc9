package main

import (
	"slices"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
)

// eventsOf returns the events that lines of the form "ACTION [TEST [OUTPUT]]" describe, for the package sloequay/p. A
// TEST of "-" stands for the package itself.
func eventsOf(lines ...string) []Event {
	var events []Event
	for _, line := range lines {
		fields := strings.SplitN(line, " ", 3)
		event := Event{Action: fields[0], Package: "sloequay/p"}
		if len(fields) > 1 && fields[1] != "-" {
			event.Test = fields[1]
		}
		if len(fields) > 2 {
			event.Output = fields[2] + "\n"
		}
		events = append(events, event)
	}
	return events
}

// inP returns the test of package p with a name.
func inP(name string) Test { return Test{Package: "p", Name: name} }

// decideCase is a run and its expected verdict.
type decideCase struct {
	events    []Event
	goFailed  bool
	list      []string // listed tests of p
	existing  []string // top-level tests of p
	tolerated []string
	recovered []string
	problems  []error
}

func passingCases() map[string]decideCase {
	return map[string]decideCase{
		"all pass": {events: eventsOf("run A", "pass A", "pass")},
		"listed fails": {
			events: eventsOf("run A", "output A     a_test.go:3: no", "fail A", "run B", "pass B", "fail"),
			list:   []string{"A"}, existing: []string{"A", "B"}, tolerated: []string{"A"}, goFailed: true,
		},
		"listed passes": {
			events: eventsOf("run A", "pass A", "pass"), list: []string{"A"}, recovered: []string{"A"},
		},
		"listed is skipped": {
			events: eventsOf("run A", "skip A", "pass"), list: []string{"A"}, recovered: []string{"A"},
		},
		"parents of a listed subtest": {
			events: eventsOf("run A", "run A/b", "run A/b/c", "fail A/b/c", "fail A/b", "fail A", "fail"),
			list:   []string{"A/b/c"}, tolerated: []string{"A/b/c"}, goFailed: true,
		},
		"parent wrote output but no error": {
			events: eventsOf("run A", "output A === RUN A", "output A level=info",
				"run A/b", "fail A/b", "fail A", "fail"),
			list: []string{"A/b"}, tolerated: []string{"A/b"}, goFailed: true,
		},
		"panic in a listed test, the last one to run": {
			events: eventsOf("run B", "pass B", "run A", "output A panic: no", "fail A", "fail"),
			list:   []string{"A"}, existing: []string{"A", "B"}, tolerated: []string{"A"}, goFailed: true,
		},
		"package without tests": {events: eventsOf("skip")},
	}
}

func failingCases() map[string]decideCase {
	return map[string]decideCase{
		"unlisted test fails": {
			events: eventsOf("run A", "fail A", "run B", "fail B", "fail"), goFailed: true, list: []string{"A"},
			tolerated: []string{"A"}, problems: []error{&FailedTestError{Test: inP("B")}},
		},
		"unlisted test whose name starts with a listed one": {
			events: eventsOf("run A", "fail A", "run Ab", "fail Ab", "fail"), goFailed: true, list: []string{"A"},
			tolerated: []string{"A"}, problems: []error{&FailedTestError{Test: inP("Ab")}},
		},
		"subtest of a listed test": {
			events: eventsOf("run A", "run A/b", "fail A/b", "fail A", "fail"), goFailed: true, list: []string{"A"},
			tolerated: []string{"A"}, problems: []error{&FailedTestError{Test: inP("A/b")}},
		},
		"sibling of a listed subtest": {
			events:   eventsOf("run A", "run A/b", "fail A/b", "run A/c", "fail A/c", "fail A", "fail"),
			goFailed: true, list: []string{"A/b"}, tolerated: []string{"A/b"},
			problems: []error{&FailedTestError{Test: inP("A")}, &FailedTestError{Test: inP("A/c")}},
		},
		"parent has an error of its own": {
			events:   eventsOf("run A", "run A/b", "fail A/b", "output A     a_test.go:9: own", "fail A", "fail"),
			goFailed: true, list: []string{"A/b"}, tolerated: []string{"A/b"},
			problems: []error{&FailedTestError{Test: inP("A")}},
		},
		"parent fails, its listed subtest passes": {
			events: eventsOf("run A", "run A/b", "pass A/b", "fail A", "fail"), goFailed: true, list: []string{"A/b"},
			recovered: []string{"A/b"}, problems: []error{&FailedTestError{Test: inP("A")}},
		},
		"listed in another package": {
			events: slices.Concat(
				eventsOf("run A", "pass A", "pass"),
				[]Event{
					{Action: "run", Package: "sloequay/q", Test: "A"},
					{Action: "fail", Package: "sloequay/q", Test: "A"}, {Action: "fail", Package: "sloequay/q"},
				}),
			goFailed: true, list: []string{"A"}, recovered: []string{"A"},
			problems: []error{&FailedTestError{Test: Test{Package: "q", Name: "A"}}},
		},
		"no such test": {
			events: eventsOf("run A", "pass A", "pass"), list: []string{"B"},
			problems: []error{&UnknownTestError{Test: inP("B")}},
		},
		"no such subtest": {
			events: eventsOf("run A", "pass A", "pass"), list: []string{"A/b"},
			problems: []error{&UnknownTestError{Test: inP("A/b")}},
		},
		"go test fails but no package does": {
			events: eventsOf("run A", "pass A", "pass"), goFailed: true, problems: []error{&FailedRunError{}},
		},
	}
}

func crashCases() map[string]decideCase {
	failed := func(reason string) error { return &FailedPackageError{Package: "p", Reason: reason} }
	return map[string]decideCase{
		"build failure": {
			events: []Event{
				{Action: "build-fail"},
				{Action: "fail", Package: "sloequay/p", FailedBuild: "sloequay/p"},
			},
			goFailed: true, list: []string{"A"},
			problems: []error{failed("the build failed"), &UnknownTestError{Test: inP("A")}},
		},
		"timeout in the listed test": {
			events: eventsOf("run A", "output A panic: test timed out after 1s", "fail A", "fail"), goFailed: true,
			list: []string{"A"}, tolerated: []string{"A"},
			problems: []error{failed("panic: test timed out after 1s")},
		},
		"panic in an unlisted test": {
			events:   eventsOf("run A", "fail A", "run B", "output B panic: no", "fail B", "fail"),
			goFailed: true, list: []string{"A"}, tolerated: []string{"A"},
			problems: []error{failed("panic: no"), &FailedTestError{Test: inP("B")}},
		},
		"panic outside of tests": {
			events:   eventsOf("run A", "fail A", "output - panic: no", "fail"),
			goFailed: true, list: []string{"A"}, tolerated: []string{"A"}, problems: []error{failed("panic: no")},
		},
		"panic in the listed test keeps another from running": {
			events:   eventsOf("run A", "output A panic: no", "fail A", "fail"),
			goFailed: true, list: []string{"A"}, existing: []string{"A", "B"}, tolerated: []string{"A"},
			problems: []error{&UnfinishedTestError{Test: inP("B")}},
		},
		"panic in the listed test interrupts another": {
			events:   eventsOf("run B", "run A", "output A panic: no", "fail A", "fail"),
			goFailed: true, list: []string{"A"}, tolerated: []string{"A"},
			problems: []error{&UnfinishedTestError{Test: inP("B")}},
		},
		"listed test did not finish": {
			events: eventsOf("run A", "fail"), goFailed: true, list: []string{"A"},
			problems: []error{&UnfinishedTestError{Test: inP("A")}},
		},
		"fatal error of the runtime": {
			events:   eventsOf("run B", "output B fatal error: all asleep", "fail B", "fail"),
			goFailed: true,
			problems: []error{failed("fatal error: all asleep"), &FailedTestError{Test: inP("B")}},
		},
		"process exits outside of tests": {
			events: eventsOf("run A", "pass A", "fail"), goFailed: true, list: []string{"A"}, recovered: []string{"A"},
			problems: []error{failed("the package failed, but none of its tests did")},
		},
		"events end early": {
			events: eventsOf("run A", "fail A"), goFailed: true, list: []string{"A"}, tolerated: []string{"A"},
			problems: []error{failed("the package did not finish"), &FailedRunError{}},
		},
	}
}

func TestDecide(t *testing.T) {
	for _, cases := range []map[string]decideCase{passingCases(), failingCases(), crashCases()} {
		for name, example := range cases {
			t.Run(name, func(t *testing.T) { example.check(t) })
		}
	}
}

// check compares the verdict on the run with the expected one.
func (example decideCase) check(t *testing.T) {
	t.Helper()
	known := func(names []string) (list []KnownFailure) {
		for _, name := range names {
			list = append(list, KnownFailure{Test: inP(name), Command: "command", Seen: "seen", Issue: "issue"})
		}
		return list
	}
	run := Run{Module: "sloequay", Events: example.events, Failed: example.goFailed}
	for _, name := range example.existing {
		run.Existing = append(run.Existing, inP(name))
	}
	want := Verdict{
		Tolerated: known(example.tolerated), Recovered: known(example.recovered), Problems: example.problems,
	}
	if diff := cmp.Diff(want, decide(run, known(example.list))); diff != "" {
		t.Error(diff)
	}
}

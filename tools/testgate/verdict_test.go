package main

import (
	"slices"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
)

// script makes events of lines "ACTION [TEST [OUTPUT]]" for the package sloequay/p; TEST is "-" for the package.
func script(lines ...string) []Event {
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

func inP(name string) Test { return Test{Package: "p", Name: name} }

// decideCase is a run and what is to be said of it.
type decideCase struct {
	events     []Event
	goFailed   bool
	list       []string // tests of p
	existing   []string // top-level tests of p
	passedOver []string
	recovered  []string
	problems   []error
}

func passingCases() map[string]decideCase {
	return map[string]decideCase{
		"all pass": {events: script("run A", "pass A", "pass")},
		"listed fails": {
			events: script("run A", "output A     a_test.go:3: no", "fail A", "run B", "pass B", "fail"),
			list:   []string{"A"}, existing: []string{"A", "B"}, passedOver: []string{"A"}, goFailed: true,
		},
		"listed passes":     {events: script("run A", "pass A", "pass"), list: []string{"A"}, recovered: []string{"A"}},
		"listed is skipped": {events: script("run A", "skip A", "pass"), list: []string{"A"}, recovered: []string{"A"}},
		"parents of a listed subtest": {
			events: script("run A", "run A/b", "run A/b/c", "fail A/b/c", "fail A/b", "fail A", "fail"),
			list:   []string{"A/b/c"}, passedOver: []string{"A/b/c"}, goFailed: true,
		},
		"noise of the parent that is no error": {
			events: script("run A", "output A === RUN A", "output A level=info",
				"run A/b", "fail A/b", "fail A", "fail"),
			list: []string{"A/b"}, passedOver: []string{"A/b"}, goFailed: true,
		},
		"panic in a listed test that was the last": {
			events: script("run B", "pass B", "run A", "output A panic: no", "fail A", "fail"),
			list:   []string{"A"}, existing: []string{"A", "B"}, passedOver: []string{"A"}, goFailed: true,
		},
		"package without tests": {events: script("skip")},
	}
}

func failingCases() map[string]decideCase {
	return map[string]decideCase{
		"another fails": {
			events: script("run A", "fail A", "run B", "fail B", "fail"), goFailed: true, list: []string{"A"},
			passedOver: []string{"A"}, problems: []error{&FailedTestError{Test: inP("B")}},
		},
		"another with the listed name as its start": {
			events: script("run A", "fail A", "run Ab", "fail Ab", "fail"), goFailed: true, list: []string{"A"},
			passedOver: []string{"A"}, problems: []error{&FailedTestError{Test: inP("Ab")}},
		},
		"subtest of a listed one": {
			events: script("run A", "run A/b", "fail A/b", "fail A", "fail"), goFailed: true, list: []string{"A"},
			passedOver: []string{"A"}, problems: []error{&FailedTestError{Test: inP("A/b")}},
		},
		"sibling of a listed subtest": {
			events:   script("run A", "run A/b", "fail A/b", "run A/c", "fail A/c", "fail A", "fail"),
			goFailed: true, list: []string{"A/b"}, passedOver: []string{"A/b"},
			problems: []error{&FailedTestError{Test: inP("A")}, &FailedTestError{Test: inP("A/c")}},
		},
		"parent has an error of its own": {
			events:   script("run A", "run A/b", "fail A/b", "output A     a_test.go:9: own", "fail A", "fail"),
			goFailed: true, list: []string{"A/b"}, passedOver: []string{"A/b"},
			problems: []error{&FailedTestError{Test: inP("A")}},
		},
		"parent fails, its listed subtest passes": {
			events: script("run A", "run A/b", "pass A/b", "fail A", "fail"), goFailed: true, list: []string{"A/b"},
			recovered: []string{"A/b"}, problems: []error{&FailedTestError{Test: inP("A")}},
		},
		"listed in another package": {
			events: slices.Concat(
				script("run A", "pass A", "pass"),
				[]Event{
					{Action: "run", Package: "sloequay/q", Test: "A"},
					{Action: "fail", Package: "sloequay/q", Test: "A"}, {Action: "fail", Package: "sloequay/q"},
				}),
			goFailed: true, list: []string{"A"}, recovered: []string{"A"},
			problems: []error{&FailedTestError{Test: Test{Package: "q", Name: "A"}}},
		},
		"no such test": {
			events: script("run A", "pass A", "pass"), list: []string{"B"},
			problems: []error{&UnknownTestError{Test: inP("B")}},
		},
		"no such subtest": {
			events: script("run A", "pass A", "pass"), list: []string{"A/b"},
			problems: []error{&UnknownTestError{Test: inP("A/b")}},
		},
		"go test fails alone": {
			events: script("run A", "pass A", "pass"), goFailed: true, problems: []error{&FailedRunError{}},
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
			events: script("run A", "output A panic: test timed out after 1s", "fail A", "fail"), goFailed: true,
			list: []string{"A"}, passedOver: []string{"A"},
			problems: []error{failed("panic: test timed out after 1s")},
		},
		"panic in another test": {
			events:   script("run A", "fail A", "run B", "output B panic: no", "fail B", "fail"),
			goFailed: true, list: []string{"A"}, passedOver: []string{"A"},
			problems: []error{failed("panic: no"), &FailedTestError{Test: inP("B")}},
		},
		"panic outside of tests": {
			events:   script("run A", "fail A", "output - panic: no", "fail"),
			goFailed: true, list: []string{"A"}, passedOver: []string{"A"}, problems: []error{failed("panic: no")},
		},
		"panic in the listed test keeps others from running": {
			events:   script("run A", "output A panic: no", "fail A", "fail"),
			goFailed: true, list: []string{"A"}, existing: []string{"A", "B"}, passedOver: []string{"A"},
			problems: []error{&UnfinishedTestError{Test: inP("B")}},
		},
		"panic in the listed test cuts another short": {
			events:   script("run B", "run A", "output A panic: no", "fail A", "fail"),
			goFailed: true, list: []string{"A"}, passedOver: []string{"A"},
			problems: []error{&UnfinishedTestError{Test: inP("B")}},
		},
		"listed test cut short": {
			events: script("run A", "fail"), goFailed: true, list: []string{"A"},
			problems: []error{&UnfinishedTestError{Test: inP("A")}},
		},
		"fatal error of the runtime": {
			events:   script("run B", "output B fatal error: all asleep", "fail B", "fail"),
			goFailed: true,
			problems: []error{failed("fatal error: all asleep"), &FailedTestError{Test: inP("B")}},
		},
		"exit outside of tests": {
			events: script("run A", "pass A", "fail"), goFailed: true, list: []string{"A"}, recovered: []string{"A"},
			problems: []error{failed("failed, and none of its tests did")},
		},
		"events end early": {
			events: script("run A", "fail A"), goFailed: true, list: []string{"A"}, passedOver: []string{"A"},
			problems: []error{failed("the package did not run to its end"), &FailedRunError{}},
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

// check compares what is said of the run with what is to be said.
func (example decideCase) check(t *testing.T) {
	t.Helper()
	known := func(names []string) (list []Known) {
		for _, name := range names {
			list = append(list, Known{Test: inP(name), Command: "command", Seen: "seen", Issue: "issue"})
		}
		return list
	}
	run := Run{Module: "sloequay", Events: example.events, Failed: example.goFailed}
	for _, name := range example.existing {
		run.Existing = append(run.Existing, inP(name))
	}
	want := Verdict{
		PassedOver: known(example.passedOver), Recovered: known(example.recovered), Problems: example.problems,
	}
	if diff := cmp.Diff(want, decide(run, known(example.list))); diff != "" {
		t.Error(diff)
	}
}

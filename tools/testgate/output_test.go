package main

import (
	"errors"
	"strings"
	"testing"
)

// printed returns what a printer prints for events.
func printed(events []Event) string {
	var text strings.Builder
	out := newPrinter(&text)
	for _, event := range events {
		out.show(event)
	}
	out.flushUnfinished()
	return text.String()
}

func TestPrinter(t *testing.T) {
	cases := map[string]struct {
		events []Event
		want   string
	}{
		"package that passed": {
			eventsOf("output A === RUN   A", "output A noise", "pass A",
				"output - PASS", "output - ok  \tp\t0.1s", "pass"),
			"ok  \tp\t0.1s\n",
		},
		"package that failed": {
			eventsOf("output A noise", "pass A", "output B why", "output B --- FAIL: B (0.0s)", "fail B",
				"output - FAIL\tp\t0.1s", "fail"),
			"why\n--- FAIL: B (0.0s)\nFAIL\tp\t0.1s\n",
		},
		"package without tests": {eventsOf("output - ?   \tp\t[no test files]", "skip"), "?   \tp\t[no test files]\n"},
		"unfinished test":       {eventsOf("output A why"), "--- did not finish: sloequay/p A\nwhy\n"},
		"failed build":          {eventsOf("build-output - p.go:1: undefined"), "p.go:1: undefined\n"},
	}
	for name, example := range cases {
		t.Run(name, func(t *testing.T) {
			if got := printed(example.events); got != example.want {
				t.Errorf("got %q, want %q", got, example.want)
			}
		})
	}
}

func TestReadEventsMalformed(t *testing.T) {
	var text strings.Builder
	events, err := readEvents(strings.NewReader(`{"Action":"run","Package":"p"}`+"\nno JSON"), newPrinter(&text))
	if err == nil || len(events) != 1 {
		t.Errorf("got events %v, error %v, want one event and an error", events, err)
	}
}

func TestReport(t *testing.T) {
	var text strings.Builder
	verdict := Verdict{
		Tolerated: []KnownFailure{{Test: inP("TestA"), Command: "go test ./p", Seed: "7", Seen: "late", Issue: "#1"}},
		Recovered: []KnownFailure{{Test: inP("TestB"), Command: "go test ./p", Seed: "8", Seen: "late", Issue: "#2"}},
	}
	if err := report(&text, verdict); err != nil {
		t.Error(err)
	}
	want := "known failure, tolerated: p.TestA: late (issue #1; go test ./p; seed 7)\n" +
		"known failure, did not fail this time: p.TestB: late (issue #2; go test ./p; seed 8)\n"
	if text.String() != want {
		t.Errorf("report: got %q, want %q", text.String(), want)
	}
	verdict.Problems = []error{&FailedRunError{}}
	err := report(&text, verdict)
	var problem *FailedRunError
	if !errors.As(err, &problem) {
		t.Errorf("verdict with a problem: got error %v, want a FailedRunError", err)
	}
}

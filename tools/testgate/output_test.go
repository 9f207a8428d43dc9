package main

import (
	"errors"
	"strings"
	"testing"
)

// show returns what is printed for events.
func show(events []Event) string {
	var text strings.Builder
	out := newPrinter(&text)
	for _, event := range events {
		out.show(event)
	}
	out.rest()
	return text.String()
}

func TestPrinter(t *testing.T) {
	cases := map[string]struct {
		events []Event
		want   string
	}{
		"a package that passed": {
			script("output A === RUN   A", "output A noise", "pass A",
				"output - PASS", "output - ok  \tp\t0.1s", "pass"),
			"ok  \tp\t0.1s\n",
		},
		"a package that failed": {
			script("output A noise", "pass A", "output B why", "output B --- FAIL: B (0.0s)", "fail B",
				"output - FAIL\tp\t0.1s", "fail"),
			"why\n--- FAIL: B (0.0s)\nFAIL\tp\t0.1s\n",
		},
		"a package without tests": {script("output - ?   \tp\t[no test files]", "skip"), "?   \tp\t[no test files]\n"},
		"a test cut short":        {script("output A why"), "--- did not end: sloequay/p A\nwhy\n"},
		"a build":                 {script("build-output - p.go:1: undefined"), "p.go:1: undefined\n"},
	}
	for name, example := range cases {
		t.Run(name, func(t *testing.T) {
			if got := show(example.events); got != example.want {
				t.Errorf("got %q, want %q", got, example.want)
			}
		})
	}
}

func TestReadEventsMalformed(t *testing.T) {
	var text strings.Builder
	events, err := readEvents(strings.NewReader(`{"Action":"run","Package":"p"}`+"\nno JSON"), newPrinter(&text))
	if err == nil || len(events) != 1 {
		t.Errorf("got %v, %v, want one event and an error", events, err)
	}
}

func TestReport(t *testing.T) {
	var text strings.Builder
	verdict := Verdict{
		PassedOver: []Known{{Test: inP("TestA"), Command: "go test ./p", Seed: "7", Seen: "late", Issue: "#1"}},
		Recovered:  []Known{{Test: inP("TestB"), Command: "go test ./p", Seed: "8", Seen: "late", Issue: "#2"}},
	}
	if err := report(&text, verdict); err != nil {
		t.Error(err)
	}
	want := "known red, passed over: p.TestA: late (issue #1; go test ./p; seed 7)\n" +
		"known red, did not fail this time: p.TestB: late (issue #2; go test ./p; seed 8)\n"
	if text.String() != want {
		t.Errorf("got %q, want %q", text.String(), want)
	}
	verdict.Problems = []error{&FailedRunError{}}
	err := report(&text, verdict)
	var problem *FailedRunError
	if !errors.As(err, &problem) {
		t.Errorf("got %v, want the problem", err)
	}
}

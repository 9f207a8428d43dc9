package main

import (
	"errors"
	"testing"

	"github.com/google/go-cmp/cmp"
)

func TestParseKnown(t *testing.T) {
	text := "\n peer/link.TestCut , late, at times, #4 \ncmd/sloequay.TestDays/a.TestB/c, slow, none\n\n"
	got, err := parseKnown(text)
	if err != nil {
		t.Fatal(err)
	}
	want := []Known{
		{Test: Test{Package: "peer/link", Name: "TestCut"}, Cause: "late, at times", Issue: "#4"},
		{Test: Test{Package: "cmd/sloequay", Name: "TestDays/a.TestB/c"}, Cause: "slow", Issue: "none"},
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Error(diff)
	}
}

func TestParseKnownMalformed(t *testing.T) {
	cases := map[string]struct {
		text string
		line int
	}{
		"two fields":      {"a.TestA, b, c\nbroker.TestA, cause", 2},
		"one field":       {"broker.TestA", 1},
		"empty cause":     {"broker.TestA, , #1", 1},
		"empty issue":     {"broker.TestA, cause,", 1},
		"no package":      {"TestA, cause, #1", 1},
		"no test":         {"broker, cause, #1", 1},
		"helper":          {"broker.helper, cause, #1", 1},
		"space in name":   {"broker.Test A, cause, #1", 1},
		"listed twice":    {"broker.TestA, cause, #1\nbroker.TestA, other, #2", 2},
		"comment":         {"# broker.TestA", 1},
		"benchmark":       {"broker.BenchmarkA, cause, #1", 1},
		"separated other": {"broker.TestA; cause; #1", 1},
	}
	for name, example := range cases {
		t.Run(name, func(t *testing.T) {
			list, err := parseKnown(example.text)
			var malformed *MalformedLineError
			if !errors.As(err, &malformed) || malformed.Line != example.line {
				t.Errorf("got %v, %v, want line %d to be malformed", list, err, example.line)
			}
		})
	}
}

func TestParseKnownTooMany(t *testing.T) {
	three := "a.TestA, b, c\na.TestB, b, c\na.TestC, b, c\n"
	if list, err := parseKnown(three); err != nil || len(list) != 3 {
		t.Errorf("three lines: got %v, %v", list, err)
	}
	_, err := parseKnown(three + "a.TestD, b, c\n")
	var many *TooManyLinesError
	if !errors.As(err, &many) || many.Lines != 4 {
		t.Errorf("four lines: got %v", err)
	}
}

package main

import (
	"errors"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
)

// entryText returns a valid entry for a test.
func entryText(test string) string {
	return "test: " + test + "\ncommand: go test ./p\nseed: 7\nseen: late\nissue: #4\n"
}

func TestParseKnownFailures(t *testing.T) {
	text := "\n test:  peer/link.TestCut \ncommand: go test -run 'TestCut$' ./internal/peer/link\nseed: none\n" +
		"seen: late: 1.2 s, want 1 s\nissue: #4\n\n\n" +
		"issue: none\nseen: slow\nseed: 12\ncommand: go test ./test\ntest: test.TestDays/a.TestB/c,d\n\n"
	got, err := parseKnownFailures("LIST", text)
	if err != nil {
		t.Fatal(err)
	}
	want := []KnownFailure{
		{
			Test: Test{Package: "peer/link", Name: "TestCut"}, Command: "go test -run 'TestCut$' ./internal/peer/link",
			Seed: "none", Seen: "late: 1.2 s, want 1 s", Issue: "#4",
		},
		{
			Test: Test{Package: "test", Name: "TestDays/a.TestB/c,d"}, Command: "go test ./test",
			Seed: "12", Seen: "slow", Issue: "none",
		},
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Error(diff)
	}
}

func TestParseMalformedEntries(t *testing.T) {
	without := func(key string) string {
		var lines []string
		for line := range strings.Lines(entryText("broker.TestA")) {
			if !strings.HasPrefix(line, key+":") {
				lines = append(lines, line)
			}
		}
		return strings.Join(lines, "")
	}
	cases := map[string]struct {
		text string
		line int
		key  string
	}{
		"no command":         {without("command"), 1, "command"},
		"no seed":            {without("seed"), 1, "seed"},
		"no seen":            {without("seen"), 1, "seen"},
		"no issue":           {entryText("a.TestA") + "\n" + without("issue"), 7, "issue"},
		"no test":            {without("test"), 1, "test"},
		"empty value":        {strings.Replace(entryText("broker.TestA"), "late", "", 1), 4, "seen"},
		"empty test":         {entryText(""), 1, "test"},
		"no package":         {entryText("TestA"), 1, "test"},
		"no test name":       {entryText("broker"), 1, "test"},
		"no test function":   {entryText("broker.helper"), 1, "test"},
		"space in name":      {entryText("broker.Test A"), 1, "test"},
		"two tests":          {entryText("broker.TestA, broker.TestB"), 1, "test"},
		"benchmark":          {entryText("broker.BenchmarkA"), 1, "test"},
		"listed twice":       {entryText("broker.TestA") + "\n" + entryText("broker.TestA"), 7, "test"},
		"key twice":          {"test: a.TestB\n" + entryText("broker.TestA"), 2, "test"},
		"no empty line":      {entryText("a.TestA") + entryText("a.TestB"), 6, "test"},
		"empty line inside":  {strings.Replace(entryText("a.TestA"), "seed", "\nseed", 1), 1, "seed"},
		"unknown key":        {entryText("a.TestA") + "cause: none\n", 6, "cause"},
		"comment":            {"# " + entryText("broker.TestA"), 1, "# test"},
		"line without a key": {"broker.TestA", 1, "broker.TestA"},
		"one-line entry":     {"broker.TestA, cause, #1", 1, "broker.TestA, cause, #1"},
	}
	for name, example := range cases {
		t.Run(name, func(t *testing.T) {
			list, err := parseKnownFailures("LIST", example.text)
			var malformed *MalformedEntryError
			if !errors.As(err, &malformed) {
				t.Fatalf("got list %v, error %v, want a MalformedEntryError", list, err)
			}
			got := MalformedEntryError{File: malformed.File, Line: malformed.Line, Key: malformed.Key}
			want := MalformedEntryError{File: "LIST", Line: example.line, Key: example.key}
			if got != want || malformed.Reason == "" {
				t.Errorf("got error %v, want LIST:%d: %s and a reason", err, example.line, example.key)
			}
		})
	}
}

func TestMalformedEntryError(t *testing.T) {
	_, err := parseKnownFailures("LIST", entryText("helper"))
	want := `LIST:1: test: expected package.TestName, got "helper"`
	if err == nil || err.Error() != want {
		t.Errorf("got error %v, want %s", err, want)
	}
}

func TestParseTooManyEntries(t *testing.T) {
	three := entryText("a.TestA") + "\n" + entryText("a.TestB") + "\n" + entryText("a.TestC")
	if list, err := parseKnownFailures("LIST", three); err != nil || len(list) != 3 {
		t.Errorf("three entries: got list %v, error %v, want three entries and no error", list, err)
	}
	_, err := parseKnownFailures("LIST", three+"\n"+entryText("a.TestD"))
	var tooMany *TooManyEntriesError
	if !errors.As(err, &tooMany) || tooMany.Entries != 4 {
		t.Errorf("four entries: got error %v, want a TooManyEntriesError with 4 entries", err)
	}
}

package main

import (
	"errors"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
)

// entryOf is the text of a sound entry for a test.
func entryOf(test string) string {
	return "test: " + test + "\ncommand: go test ./p\nseed: 7\nseen: late\nissue: #4\n"
}

func TestParseKnown(t *testing.T) {
	text := "\n test:  peer/link.TestCut \ncommand: go test -run 'TestCut$' ./internal/peer/link\nseed: none\n" +
		"seen: late: 1.2 s, want 1 s\nissue: #4\n\n\n" +
		"issue: none\nseen: slow\nseed: 12\ncommand: go test ./test\ntest: test.TestDays/a.TestB/c,d\n\n"
	got, err := parseKnown("LIST", text)
	if err != nil {
		t.Fatal(err)
	}
	want := []Known{
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

func TestParseKnownMalformed(t *testing.T) {
	without := func(key string) string {
		var lines []string
		for line := range strings.Lines(entryOf("broker.TestA")) {
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
		"nothing seen":       {without("seen"), 1, "seen"},
		"no issue":           {entryOf("a.TestA") + "\n" + without("issue"), 7, "issue"},
		"no test":            {without("test"), 1, "test"},
		"empty value":        {strings.Replace(entryOf("broker.TestA"), "late", "", 1), 4, "seen"},
		"empty test":         {entryOf(""), 1, "test"},
		"no package":         {entryOf("TestA"), 1, "test"},
		"no name of a test":  {entryOf("broker"), 1, "test"},
		"helper":             {entryOf("broker.helper"), 1, "test"},
		"space in name":      {entryOf("broker.Test A"), 1, "test"},
		"two tests":          {entryOf("broker.TestA, broker.TestB"), 1, "test"},
		"benchmark":          {entryOf("broker.BenchmarkA"), 1, "test"},
		"listed twice":       {entryOf("broker.TestA") + "\n" + entryOf("broker.TestA"), 7, "test"},
		"key twice":          {"test: a.TestB\n" + entryOf("broker.TestA"), 2, "test"},
		"no empty line":      {entryOf("a.TestA") + entryOf("a.TestB"), 6, "test"},
		"empty line inside":  {strings.Replace(entryOf("a.TestA"), "seed", "\nseed", 1), 1, "seed"},
		"another key":        {entryOf("a.TestA") + "cause: none\n", 6, "cause"},
		"comment":            {"# " + entryOf("broker.TestA"), 1, "# test"},
		"line without a key": {"broker.TestA", 1, "broker.TestA"},
		"an older form":      {"broker.TestA, cause, #1", 1, "broker.TestA, cause, #1"},
	}
	for name, example := range cases {
		t.Run(name, func(t *testing.T) {
			list, err := parseKnown("LIST", example.text)
			var malformed *MalformedEntryError
			if !errors.As(err, &malformed) {
				t.Fatalf("got %v, %v, want a malformed entry", list, err)
			}
			got := MalformedEntryError{File: malformed.File, Line: malformed.Line, Key: malformed.Key}
			want := MalformedEntryError{File: "LIST", Line: example.line, Key: example.key}
			if got != want || malformed.Reason == "" {
				t.Errorf("got %v, want LIST:%d: %s and a reason", err, example.line, example.key)
			}
		})
	}
}

func TestMalformedEntryError(t *testing.T) {
	_, err := parseKnown("LIST", entryOf("helper"))
	want := `LIST:1: test: expected package.TestName, got "helper"`
	if err == nil || err.Error() != want {
		t.Errorf("got %v, want %s", err, want)
	}
}

func TestParseKnownTooMany(t *testing.T) {
	three := entryOf("a.TestA") + "\n" + entryOf("a.TestB") + "\n" + entryOf("a.TestC")
	if list, err := parseKnown("LIST", three); err != nil || len(list) != 3 {
		t.Errorf("three entries: got %v, %v", list, err)
	}
	_, err := parseKnown("LIST", three+"\n"+entryOf("a.TestD"))
	var many *TooManyEntriesError
	if !errors.As(err, &many) || many.Entries != 4 {
		t.Errorf("four entries: got %v", err)
	}
}

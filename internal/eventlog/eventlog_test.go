package eventlog

import (
	"bytes"
	"encoding/json"
	"errors"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
	"time"
)

func TestText(t *testing.T) {
	var b bytes.Buffer
	l, err := New(&b, "text", "info")
	if err != nil {
		t.Fatal(err)
	}
	l.Event("endpoint-removed", "endpoint", "c1", "reason", "", "error", errors.New("a \"b\"\nevent=forged"),
		"for", 200*time.Millisecond, "n", 3)
	line := b.String()
	want := ` level=info event=endpoint-removed endpoint=c1 reason="" error="a \"b\"\nevent=forged" for=200ms n=3`
	want += "\n"
	if !strings.HasSuffix(line, want) {
		t.Errorf("got %q, want it to end with %q", line, want)
	}
	if _, err := time.Parse(timeForm, strings.Fields(line)[0]); err != nil {
		t.Error(err)
	}
}

func TestJSON(t *testing.T) {
	var b bytes.Buffer
	l, _ := New(&b, "json", "warn")
	l.Event("endpoint-removed", "endpoint", "c1")
	l.Event("upstream-connect-failed", "endpoint", "c1", "error", errors.New("refused"))
	var got map[string]any
	if err := json.Unmarshal(b.Bytes(), &got); err != nil {
		t.Fatalf("%v in %q", err, b.String())
	}
	if got["event"] != "upstream-connect-failed" || got["level"] != "warn" || got["error"] != "refused" {
		t.Errorf("got %v", got)
	}
}

// TestLimit: a flood is cut, and the next second tells by how much.
func TestLimit(t *testing.T) {
	var b bytes.Buffer
	l, _ := New(&b, "text", "info")
	l.Tick(time.Second)
	for range MaxLinesPerSecond + 30 {
		l.Event("upstream-connect-failed")
	}
	if n := strings.Count(b.String(), "\n"); n != MaxLinesPerSecond {
		t.Errorf("%d lines in a second, at most %d wanted", n, MaxLinesPerSecond)
	}
	l.Tick(2 * time.Second)
	if !strings.HasSuffix(b.String(), "event=log-rate-limited lines=30\n") {
		t.Errorf("the count of what was left out is missing: %q", b.String()[b.Len()-80:])
	}
	for _, c := range [][2]string{{"xml", "info"}, {"text", "loud"}} {
		if _, err := New(&b, c[0], c[1]); err == nil {
			t.Errorf("format %s, level %s: no error", c[0], c[1])
		}
	}
}

const (
	endpointEventPrefix = "endpoint-" // the broker writes it with the kind of a change behind it
	minEventsFound      = 55
)

// TestEventsAreDocumented compares the event words with docs/on-call.md, and with the words that the program uses.
func TestEventsAreDocumented(t *testing.T) {
	page, err := os.ReadFile("../../docs/on-call.md")
	if err != nil {
		t.Fatal(err)
	}
	documented := map[string]bool{}
	for _, m := range regexp.MustCompile("(?m)^\\| `([a-z-]+)").FindAllStringSubmatch(string(page), -1) {
		documented[m[1]] = true
	}
	for event := range Events {
		if !documented[event] {
			t.Errorf("docs/on-call.md does not list %s", event)
		}
	}
	for event := range documented {
		if _, ok := Events[event]; !ok {
			t.Errorf("docs/on-call.md lists %s, which is never written", event)
		}
	}
	used := regexp.MustCompile(`(?:Log|Event|log|LogEntry)[({]"([a-z-]+)"`)
	found := map[string]bool{}
	err = filepath.WalkDir("..", func(path string, d os.DirEntry, err error) error {
		if err != nil || d.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return err
		}
		text, err := os.ReadFile(path)
		for _, m := range used.FindAllStringSubmatch(string(text), -1) {
			found[m[1]] = true
			if _, ok := Events[m[1]]; !ok && m[1] != endpointEventPrefix {
				t.Errorf("%s writes the event %s, which is not in Events", path, m[1])
			}
		}
		return err
	})
	if err != nil {
		t.Fatal(err)
	}
	if len(found) < minEventsFound {
		t.Errorf("%d events are found in the code, expected %d: the pattern misses how they are written",
			len(found), minEventsFound)
	}
}

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

func TestTextFormat(t *testing.T) {
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
		t.Errorf("line: got %q, want it to end with %q", line, want)
	}
	if _, err := time.Parse(timeLayout, strings.Fields(line)[0]); err != nil {
		t.Error(err)
	}
}

func TestJSONFormat(t *testing.T) {
	var b bytes.Buffer
	l, _ := New(&b, "json", "warn")
	l.Event("endpoint-removed", "endpoint", "c1")
	l.Event("upstream-connect-failed", "endpoint", "c1", "error", errors.New("refused"))
	var got map[string]any
	if err := json.Unmarshal(b.Bytes(), &got); err != nil {
		t.Fatalf("got error %v, want one JSON object in %q", err, b.String())
	}
	if got["event"] != "upstream-connect-failed" || got["level"] != "warn" || got["error"] != "refused" {
		t.Errorf("got %v, want event upstream-connect-failed, level warn and error refused", got)
	}
}

// TestLineLimit checks that lines beyond the limit are dropped, and that the next second begins with a line that counts
// them. It also checks that New rejects unknown formats and levels.
func TestLineLimit(t *testing.T) {
	var b bytes.Buffer
	l, _ := New(&b, "text", "info")
	l.Tick(time.Second)
	for range MaxLinesPerSecond + 30 {
		l.Event("upstream-connect-failed")
	}
	if n := strings.Count(b.String(), "\n"); n != MaxLinesPerSecond {
		t.Errorf("lines in one second: got %d, want %d", n, MaxLinesPerSecond)
	}
	l.Tick(2 * time.Second)
	if !strings.HasSuffix(b.String(), "event=log-rate-limited lines=30\n") {
		t.Errorf("last 80 bytes: got %q, want a log-rate-limited line that counts 30 lines", b.String()[b.Len()-80:])
	}
	for _, c := range [][2]string{{"xml", "info"}, {"text", "loud"}} {
		if _, err := New(&b, c[0], c[1]); err == nil {
			t.Errorf("format %s, level %s: got no error, want one", c[0], c[1])
		}
	}
}

const (
	endpointEventPrefix = "endpoint-" // the broker appends the kind of the change
	minEventsFound      = 55
)

// TestEventsAreDocumented compares the names in Events with those in docs/on-call.md, and with those in the source.
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
			t.Errorf("docs/on-call.md does not list the event %s", event)
		}
	}
	for event := range documented {
		if _, ok := Events[event]; !ok {
			t.Errorf("docs/on-call.md lists %s, which is not in Events", event)
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
		t.Errorf("events found in the source: got %d, want at least %d; the pattern misses some calls",
			len(found), minEventsFound)
	}
}

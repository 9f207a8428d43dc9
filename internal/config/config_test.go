package config

import (
	"bytes"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// allKinds holds the values of a section with a directive of each kind.
type allKinds struct {
	wait   time.Duration
	open   int
	share  float64
	memory int64
	rate   float64
	on     bool
	name   string
	mode   string
	tags   []string
	teams  []*team
}

type team struct {
	name string
	open int
}

func (a *allKinds) section() *Section {
	a.wait, a.open, a.mode, a.tags = 30*time.Second, 5, "default", []string{"a"}
	s := &Section{}
	s.Duration("wait", &a.wait, time.Second, 10*time.Minute, "")
	s.Int("open", &a.open, 1, 500, "")
	s.Number("share", &a.share, 0, 1, "")
	s.Size("memory", &a.memory, 0, 1<<30, "")
	s.Rate("rate", &a.rate, 0, 1e6, "")
	s.Flag("probe", &a.on, "")
	s.Text("name", &a.name, func(s string) error {
		if strings.Contains(s, "!") {
			return errors.New("no ! in names")
		}
		return nil
	}, "")
	s.Choice("mode", &a.mode, []string{"default", "stale"}, "")
	s.Words("tag", &a.tags, nil, "")
	s.Block("team", true, "", func(words []string) (*Section, error) {
		if len(words) != 1 {
			return nil, fmt.Errorf("expected a name, got %d words", len(words))
		}
		t := &team{name: words[0]}
		a.teams = append(a.teams, t)
		inner := &Section{}
		inner.Int("open", &t.open, 0, 100, "")
		inner.Check(func() error {
			if t.open == 13 {
				return errors.New("open must not be 13")
			}
			return nil
		})
		return inner, nil
	})
	return s
}

func TestParse(t *testing.T) {
	for _, c := range []struct{ name, text, want string }{
		{"nothing", "", ""},
		{"all kinds", "wait 1m\nopen 7 # seven\nshare 0.5\nmemory 64MiB\nrate 200/s\nprobe on\nname 'a b'\n" +
			"mode stale\ntag x y\ntag z\n" +
			"team lanes {\n  open 3\n}\nteam \"the rest\" {\n}\n", ""},
		{"lines that end in CRLF", "open 7\r\nteam x {\r\n}\r\n", ""},
		{"an invalid duration", "\nwait fast", `f:2: wait: expected a duration of 1s to 10m, got "fast"`},
		{"a duration out of bounds", "wait 11m", `f:1: wait: expected a duration of 1s to 10m, got "11m"`},
		{"NaN as a number", "share nan", `f:1: share: expected a number of 0 to 1, got "nan"`},
		{"a size without unit", "memory 64", `f:1: memory: expected a size of 0B to 1GiB, got "64"`},
		{"a size that overflows", "memory 99999999999GiB",
			`f:1: memory: expected a size of 0B to 1GiB, got "99999999999GiB"`},
		{"a rate without unit", "rate 7", `f:1: rate: expected a rate of 0/s to 1e+06/s, got "7"`},
		{"an invalid flag", "probe yes", `f:1: probe: expected on or off, got "yes"`},
		{"an unknown choice", "mode odd", `f:1: mode: expected one of default, stale, got "odd"`},
		{"a failed check of a text", "name a!", `f:1: name: no ! in names`},
		{"two words for one", "open 1 2", `f:1: open: expected one word, got 2`},
		{"no words", "tag", `f:1: tag: expected at least one word`},
		{"an unknown directive", "opne 3", `f:1: opne: unknown directive; similar directives: open`},
		{"a directive given twice", "open 1\nopen 2", `f:2: open: given twice, first at f:1`},
		{"an invalid value in a block", "team lanes {\n  open many\n}",
			`f:2: team.open: expected a whole number of 0 to 100, got "many"`},
		{"a failed check of a block", "\nteam lanes {\n  open 13\n}", `f:2: team: open must not be 13`},
		{"a block without a name", "team {\n}", `f:1: team: expected a name, got 0 words`},
		{"a block directive without a block", "team lanes", `f:1: team: expected a block: end the line with {`},
		{"a block after a directive without one", "open 3 {\n}", `f:1: open: takes no block`},
		{"an unclosed block", "team lanes {\n open 3\n", `f:1: block team is not closed`},
		{"a closing brace without a block", "}\n", `f:1: unexpected }: no block is open`},
		{"an unterminated quote", "name 'a", `f:1: unterminated quote or escape`},
		{"a zero byte", "name a\x00b", `f:1: line contains a zero byte`},
		{"a missing file", "include nowhere.conf", `f:1: include: no file matches nowhere.conf`},
		{"several errors", "opne 3\nwait x\nteam a {\n open x\n",
			"f:1: opne: unknown directive; similar directives: open\n" +
				"f:2: wait: expected a duration of 1s to 10m, got \"x\"\nf:3: block team is not closed"},
	} {
		got := ""
		if err := new(allKinds).section().Parse("f", []byte(c.text)); err != nil {
			got = err.Error()
		}
		if c.name == "several errors" { // the directives in an unclosed block are not checked
			got = strings.Join(strings.Split(got, "\n")[:3], "\n")
		}
		if got != c.want {
			t.Errorf("%s: got error\n%s\nwant\n%s", c.name, got, c.want)
		}
	}
}

func TestInclude(t *testing.T) {
	dir := t.TempDir()
	write := func(name, text string) {
		if err := os.WriteFile(filepath.Join(dir, name), []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	write("main.conf", "open 9\ninclude teams-*.conf\ninclude none-*.conf\n")
	write("teams-b.conf", "team b {\n}\n")
	write("teams-a.conf", "team a {\n open 4\n}\n")
	var a allKinds
	if err := a.section().Load(filepath.Join(dir, "main.conf")); err != nil {
		t.Fatal(err)
	}
	if len(a.teams) != 2 || a.teams[0].name != "a" || a.teams[0].open != 4 || a.open != 9 {
		t.Errorf("got %+v, want open 9 and 2 teams, the first a with open 4", a)
	}
	write("teams-b.conf", "\nteam b {\n open x\n}\n")
	err := new(allKinds).section().Load(filepath.Join(dir, "main.conf"))
	want := filepath.Join(dir, "teams-b.conf") + ":3: team.open: "
	if err == nil || !strings.HasPrefix(err.Error(), want) {
		t.Errorf("got error %v, want it to begin with %s", err, want)
	}
	write("loop.conf", "include loop.conf\n")
	err = new(allKinds).section().Load(filepath.Join(dir, "loop.conf"))
	if err == nil || !strings.Contains(err.Error(), "perhaps in a cycle") {
		t.Errorf("file that includes itself: got error %v, want one about a cycle", err)
	}
}

// printed returns what Print writes.
func printed(t testing.TB, s *Section) string {
	var b bytes.Buffer
	if err := s.Print(&b); err != nil {
		t.Fatal(err)
	}
	return b.String()
}

func TestPrint(t *testing.T) {
	s := new(allKinds).section()
	if err := s.Parse("f", []byte("open 7\nmemory 2048KiB\nname \"a 'b\"\nteam 'x y' {\n open 3\n}")); err != nil {
		t.Fatal(err)
	}
	want := `wait 30s  # default
open 7
share 0  # default
memory 2MiB
# rate: none
probe off  # default
name "a 'b"
mode default  # default
tag a  # default
team 'x y' {
    open 3
}
`
	if diff := cmp.Diff(want, printed(t, s)); diff != "" {
		t.Errorf("printed settings (-want +got):\n%s", diff)
	}
}

// FuzzParse checks that no text causes a panic, that each error has a line, and that printed settings parse to the same
// settings.
func FuzzParse(f *testing.F) {
	for _, seed := range []string{"open 7\n", "team 'a b' {\n open 3\n}\n", "name \"q\\\"'\"\n", "tag a '#' \\{ \n",
		"}\n{\n", "memory 1GiB\nrate 1e3/s\n", "name ''\n", "include x\n"} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, text []byte) {
		if bytes.Contains(text, []byte("include")) {
			return // an include directive reads files
		}
		s := new(allKinds).section()
		err := s.Parse("f", text)
		var errs Errors
		if err != nil {
			if !errors.As(err, &errs) || len(errs) == 0 || errs[0].Line < 1 {
				t.Fatalf("got error %v, want Errors with a line of 1 or more", err)
			}
			return
		}
		once := printed(t, s)
		again := new(allKinds).section()
		if err := again.Parse("f", []byte(once)); err != nil {
			t.Fatalf("parsing the printed settings: got error %v, want none; printed\n%s", err, once)
		}
		twice := printed(t, again)
		if strings.ReplaceAll(twice, "  # default", "") != strings.ReplaceAll(once, "  # default", "") {
			t.Fatalf("printed settings\n%sparse to\n%s", once, twice)
		}
	})
}

// Package pages checks what the pages say of the code: files, declarations, links and commands that they name exist.
package pages

import (
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"testing"
	"unicode/utf8"
)

const root = "../.."

// lineMost is how many characters a line of a page may have.
const lineMost = 140

// longer are the pages that still have longer lines; one that has none any more is to be taken off the list.
var longer = []string{
	"docs/MEASUREMENTS.md",
	"docs/design/coldstart.md",
	"docs/design/contracts.md",
	"docs/design/crossings.md",
	"docs/design/identity.md",
	"docs/design/late-fills.md",
	"docs/design/membership.md",
	"docs/questions.md",
}

// history are pages whose text is kept as it was written, also where the code has moved on.
var history = []string{"CHANGELOG.md"}

// span is a piece of code in a line of a page: `like this`.
var span = regexp.MustCompile("`([^`\n]+)`")

// link is a Markdown link.
var link = regexp.MustCompile(`\]\(([^)#\s]+)(?:#[^)]*)?\)`)

// goName is what would be taken for a name of the code: client.Received, Pool.Send, AttemptEnded.
var goName = regexp.MustCompile(
	`^[A-Za-z][A-Za-z0-9]*(\.[A-Za-z][A-Za-z0-9]*)+(\(\))?$|^[A-Z]+[a-z0-9]+[A-Z][A-Za-z0-9]*$`)

// file is what looks like one, which is no name of the code.
var file = regexp.MustCompile(`\.(go|md|conf|toml|json|txt|pem|svg|sh|list|peers|key)$`)

// places are the folders of the repository that a path in a page may begin with.
var places = []string{"internal/", "cmd/", "test/", "tools/", "docs/", "deploy/", ".ci/", "journal/"}

// checker finds what a page names and the repository lacks.
type checker struct {
	root     string
	declared map[string]map[string]bool // by file
}

// page gives what is wrong in a page. In a strict one each name of the code stands behind its file, as in
// `internal/upstream/upstream.go: Pool.Send, link.write`.
func (c *checker) page(text string, strict bool) (faults []string) {
	for number, line := range strings.Split(text, "\n") {
		for _, match := range span.FindAllStringSubmatch(line, -1) {
			for _, fault := range c.span(match[1], strict) {
				faults = append(faults, fmt.Sprintf("line %d: `%s`: %s", number+1, match[1], fault))
			}
		}
	}
	return faults
}

// span checks one piece of code.
func (c *checker) span(code string, strict bool) (faults []string) {
	path, names, named := strings.Cut(code, ": ")
	if !slices.ContainsFunc(places, func(place string) bool { return strings.HasPrefix(path, place) }) {
		if strict && goName.MatchString(code) && !file.MatchString(code) {
			return []string{"a name of the code without its file"}
		}
		return nil
	}
	if strings.ContainsAny(path, " ") {
		return []string{"a path with a blank; names follow a file as in `internal/x/x.go: A, b.C`"}
	}
	found, err := filepath.Glob(filepath.Join(c.root, path))
	if err != nil || len(found) == 0 {
		return []string{"no such file or folder"}
	}
	if !named {
		return nil
	}
	if !strings.HasSuffix(path, ".go") {
		return []string{"names can follow a Go file only"}
	}
	declared, err := c.declarations(path)
	if err != nil {
		return []string{err.Error()}
	}
	for _, name := range strings.Split(names, ", ") {
		if !declared[name] {
			faults = append(faults, fmt.Sprintf("%s does not declare %s", path, name))
		}
	}
	return faults
}

// declarations are a file's functions, methods as Type.Method, types, constants and variables.
func (c *checker) declarations(path string) (map[string]bool, error) {
	if known := c.declared[path]; known != nil {
		return known, nil
	}
	parsed, err := parser.ParseFile(token.NewFileSet(), filepath.Join(c.root, path), nil, parser.SkipObjectResolution)
	if err != nil {
		return nil, err
	}
	names := map[string]bool{}
	for _, declaration := range parsed.Decls {
		switch d := declaration.(type) {
		case *ast.FuncDecl:
			names[receiver(d)+d.Name.Name] = true
		case *ast.GenDecl:
			for _, spec := range d.Specs {
				switch s := spec.(type) {
				case *ast.TypeSpec:
					names[s.Name.Name] = true
				case *ast.ValueSpec:
					for _, name := range s.Names {
						names[name.Name] = true
					}
				}
			}
		}
	}
	c.declared[path] = names
	return names, nil
}

// receiver is the type that a method is of, with a dot; empty for a function.
func receiver(d *ast.FuncDecl) string {
	if d.Recv == nil || len(d.Recv.List) == 0 {
		return ""
	}
	t := d.Recv.List[0].Type
	for {
		switch of := t.(type) {
		case *ast.StarExpr:
			t = of.X
		case *ast.IndexExpr:
			t = of.X
		case *ast.IndexListExpr:
			t = of.X
		case *ast.Ident:
			return of.Name + "."
		default:
			return ""
		}
	}
}

// links gives the links of a page that lead nowhere.
func (c *checker) links(page, text string) (faults []string) {
	for _, match := range link.FindAllStringSubmatch(text, -1) {
		if strings.Contains(match[1], "://") {
			continue
		}
		if _, err := os.Stat(filepath.Join(c.root, filepath.Dir(page), match[1])); err != nil {
			faults = append(faults, "the link "+match[1]+" leads nowhere")
		}
	}
	return faults
}

// allPages are README.md and all below docs, relative to the root.
func allPages(t *testing.T) []string {
	t.Helper()
	pages := []string{"README.md", "CHANGELOG.md"}
	err := filepath.WalkDir(filepath.Join(root, "docs"), func(path string, _ fs.DirEntry, err error) error {
		if strings.HasSuffix(path, ".md") {
			relative, _ := filepath.Rel(root, path)
			pages = append(pages, relative)
		}
		return err
	})
	if err != nil {
		t.Fatal(err)
	}
	return pages
}

func read(t *testing.T, page string) string {
	t.Helper()
	text, err := os.ReadFile(filepath.Join(root, page))
	if err != nil {
		t.Fatal(err)
	}
	return string(text)
}

// TestArchitecture: each file and each function, method and type that docs/ARCHITECTURE.md names is there, and names
// stand behind the file that declares them.
func TestArchitecture(t *testing.T) {
	text := read(t, "docs/ARCHITECTURE.md")
	c := &checker{root: root, declared: map[string]map[string]bool{}}
	for _, fault := range c.page(text, true) {
		t.Errorf("docs/ARCHITECTURE.md: %s", fault)
	}
	names := 0
	for _, declared := range c.declared {
		names += len(declared)
	}
	if len(c.declared) < 10 || names < 100 {
		t.Errorf("%d files looked at with %d declarations: the page names hardly anything, or is not understood",
			len(c.declared), names)
	}
}

// TestPackagesAreDrawn: docs/ARCHITECTURE.md names each package by its folder's last word at the least.
func TestPackagesAreDrawn(t *testing.T) {
	text := read(t, "docs/ARCHITECTURE.md")
	drawn := map[string]bool{}
	for _, word := range regexp.MustCompile(`[a-z]+`).FindAllString(text, -1) {
		drawn[word] = true
	}
	found := 0
	err := filepath.WalkDir(filepath.Join(root, "internal"), func(path string, d fs.DirEntry, err error) error {
		if err != nil || !d.IsDir() || d.Name() == "testdata" || d.Name() == "internal" {
			return err
		}
		if files, _ := filepath.Glob(filepath.Join(path, "*.go")); len(files) == 0 {
			return nil
		}
		if found++; !drawn[d.Name()] {
			t.Errorf("docs/ARCHITECTURE.md does not name the package in %s", path)
		}
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
	if found < 40 {
		t.Errorf("%d packages found", found)
	}
}

// TestEventsHaveTheirWriters: each event of docs/on-call.md is a string in a package that its section names, whole or
// as the two parts that a prefix and a kind make.
func TestEventsHaveTheirWriters(t *testing.T) {
	c := &checker{root: root}
	event := regexp.MustCompile("(?m)^\\| `([a-z-]+)`")
	found := 0
	for _, section := range strings.Split(read(t, "docs/on-call.md"), "\n### ") {
		events := event.FindAllStringSubmatch(section, -1)
		if len(events) == 0 {
			continue
		}
		title, _, _ := strings.Cut(section, "\n")
		var code strings.Builder
		for _, match := range span.FindAllStringSubmatch(section, -1) {
			if strings.HasPrefix(match[1], "internal/") && !strings.HasSuffix(match[1], ".go") {
				code.WriteString(c.text(match[1], isProgram))
			}
		}
		text := code.String()
		for _, match := range events {
			found++
			prefix, kind, _ := strings.Cut(match[1], "-")
			if !strings.Contains(text, strconv.Quote(match[1])) &&
				!(strings.Contains(text, strconv.Quote(prefix+"-")) && strings.Contains(text, strconv.Quote(kind))) {
				t.Errorf("docs/on-call.md, %s: no package named there writes %s", title, match[1])
			}
		}
	}
	if found < 60 {
		t.Errorf("%d events found", found)
	}
}

// TestLineLength: no line of a page is too long, but in the pages that are listed as longer.
func TestLineLength(t *testing.T) {
	for _, page := range allPages(t) {
		if slices.Contains(history, page) {
			continue
		}
		long := 0
		for number, line := range strings.Split(read(t, page), "\n") {
			if utf8.RuneCountInString(line) <= lineMost {
				continue
			}
			if long++; !slices.Contains(longer, page) {
				t.Errorf("%s: line %d has more than %d characters", page, number+1, lineMost)
			}
		}
		if long == 0 && slices.Contains(longer, page) {
			t.Errorf("%s has no longer lines any more: take it off the list", page)
		}
	}
	for _, page := range longer {
		if _, err := os.Stat(filepath.Join(root, page)); err != nil {
			t.Errorf("listed as longer: %v", err)
		}
	}
}

// TestPaths: what the other pages name of the repository is there, and their links lead somewhere.
func TestPaths(t *testing.T) {
	c := &checker{root: root, declared: map[string]map[string]bool{}}
	for _, page := range allPages(t) {
		text := read(t, page)
		for _, fault := range c.links(page, text) {
			t.Errorf("%s: %s", page, fault)
		}
		if slices.Contains(history, page) {
			continue
		}
		for _, fault := range c.page(text, false) {
			t.Errorf("%s: %s", page, fault)
		}
	}
}

// command is a piece of code with a command of Go's, which may go on in the next line.
var command = regexp.MustCompile(
	"`((?:go (?:test|run|build)|-run|-bench) [^`]+)`|(?m:^    (go (?:test|run|build) .*)$)")

// flagsOfGo are flags of `go test` itself.
var flagsOfGo = []string{"-run", "-bench", "-v", "-count", "-race", "-o", "-benchtime", "-timeout", "-print"}

// commands gives what is wrong with the commands of Go's in a page. One without a folder is of the last one's.
func (c *checker) commands(text string) (faults []string) {
	folder := ""
	for _, match := range command.FindAllStringSubmatch(text, -1) {
		line := strings.Join(strings.Fields(match[1]+match[2]), " ")
		words := strings.Fields(strings.NewReplacer("'", "", "[", "", "]", "").Replace(line))
		for _, word := range words {
			path, ok := strings.CutPrefix(word, "./")
			if !ok || words[0] != "go" {
				continue
			}
			folder = strings.TrimSuffix(strings.TrimSuffix(path, "..."), "/")
			if _, err := os.Stat(filepath.Join(c.root, folder)); err != nil {
				faults = append(faults, fmt.Sprintf("`%s`: there is no folder %s", line, word))
			}
		}
		for i, word := range words {
			if fault := c.flag(folder, word); fault != "" {
				faults = append(faults, fmt.Sprintf("`%s`: %s", line, fault))
			}
			if i > 0 && (words[i-1] == "-run" || words[i-1] == "-bench") && !c.hasTest(folder, words[i-1], word) {
				faults = append(faults, fmt.Sprintf("`%s`: %s has nothing for %s %s", line, folder, words[i-1], word))
			}
		}
	}
	return faults
}

// flag says what is wrong with a flag of a command: one that is not of Go's has to be declared by the folder's tests.
func (c *checker) flag(folder, word string) string {
	word, _, _ = strings.Cut(word, "=")
	if !strings.HasPrefix(word, "-") || slices.Contains(flagsOfGo, word) {
		return ""
	}
	if strings.Contains(c.tests(folder), strconv.Quote(strings.TrimPrefix(word, "-"))) {
		return ""
	}
	return fmt.Sprintf("the tests of %s have no flag %s", folder, word)
}

// hasTest says whether a folder has a test or benchmark for each alternative of a pattern.
func (c *checker) hasTest(folder, kind, pattern string) bool {
	prefix := map[string]string{"-run": "Test", "-bench": "Benchmark"}[kind]
	names := regexp.MustCompile(`(?m)^func (`+prefix+`\w+)\(`).FindAllStringSubmatch(c.tests(folder), -1)
	pattern, _, _ = strings.Cut(pattern, "/")
	for _, alternative := range strings.Split(pattern, "|") {
		fits, err := regexp.Compile(alternative)
		if err != nil || !slices.ContainsFunc(names, func(name []string) bool { return fits.MatchString(name[1]) }) {
			return false
		}
	}
	return true
}

// tests is the text of a folder's test files.
func (c *checker) tests(folder string) string {
	return c.text(folder, func(name string) bool { return !isProgram(name) })
}

// isProgram says whether a Go file is no test.
func isProgram(name string) bool { return !strings.HasSuffix(name, "_test.go") }

// text is that of the folder's Go files whose names fit.
func (c *checker) text(folder string, fits func(name string) bool) string {
	var all strings.Builder
	files, _ := filepath.Glob(filepath.Join(c.root, folder, "*.go"))
	for _, name := range files {
		if text, err := os.ReadFile(name); err == nil && fits(name) {
			all.Write(text)
		}
	}
	return all.String()
}

// TestCommands: the folders, tests, benchmarks and flags that commands of the pages name are there.
func TestCommands(t *testing.T) {
	c := &checker{root: root}
	for _, page := range allPages(t) {
		if slices.Contains(history, page) {
			continue
		}
		for _, fault := range c.commands(read(t, page)) {
			t.Errorf("%s: %s", page, fault)
		}
	}
}

// testName is a test that a page names, with its package or without.
var testName = regexp.MustCompile(`^(?:[a-z]+\.)?((?:Test|Benchmark)[A-Z]\w+)$`)

// TestNamedTests: tests that the pages name are there.
func TestNamedTests(t *testing.T) {
	declared := map[string]bool{"TestName": true} // as docs/ci.md calls any
	for _, top := range []string{"internal", "test", "cmd", "tools"} {
		err := filepath.WalkDir(filepath.Join(root, top), func(path string, _ fs.DirEntry, err error) error {
			if err != nil || isProgram(path) {
				return err
			}
			text, err := os.ReadFile(path)
			for _, match := range regexp.MustCompile(`(?m)^func ((?:Test|Benchmark)\w+)\(`).FindAllSubmatch(text, -1) {
				declared[string(match[1])] = true
			}
			return err
		})
		if err != nil {
			t.Fatal(err)
		}
	}
	for _, page := range allPages(t) {
		if slices.Contains(history, page) {
			continue
		}
		for _, match := range span.FindAllStringSubmatch(read(t, page), -1) {
			if name := testName.FindStringSubmatch(match[1]); name != nil && !declared[name[1]] {
				t.Errorf("%s names the test %s, which is not there", page, match[1])
			}
		}
	}
}

// TestChecker: the checker finds each kind of fault, and passes what is sound.
func TestChecker(t *testing.T) {
	c := &checker{root: root, declared: map[string]map[string]bool{}}
	const here = "test/pages/pages_test.go"
	for _, test := range []struct{ text, want string }{
		{"`" + here + ": checker.page, receiver, root, checker`", ""},
		{"`test/pages`, `test/*/pages_test.go`, `SIGHUP`, `go test ./...`, `sloequay.conf`", ""},
		{"`internal/nowhere/x.go`", "no such file"},
		{"`internal/nowhere/x.go: A`", "no such file"},
		{"`test/nothing/*.go`", "no such file"},
		{"`" + here + ": checker.missing`", "does not declare checker.missing"},
		{"`" + here + ": receiver, missing`", "does not declare missing"},
		{"`" + here + ": page`", "does not declare page"}, // a method without its type
		{"`" + here + " checker`", "a path with a blank"},
		{"`test/pages: checker`", "a Go file only"},
		{"`Pool.Send`", "without its file"},
		{"`AttemptEnded`", "without its file"},
	} {
		faults := strings.Join(c.page(test.text, true), "\n")
		if test.want == "" && faults != "" || !strings.Contains(faults, test.want) {
			t.Errorf("%s: got %q, want %q", test.text, faults, test.want)
		}
	}
	for text, want := range map[string]string{
		"`go test ./test/pages -run TestChecker -v`, and `-run\nTestPaths`": "",
		"`go test -count=1 ./...`, `go run ./tools/lintgate -print`":        "",
		"    go test ./nowhere":                          "no folder ./nowhere",
		"`go test ./test/pages -run 'TestChecker|Nope'`": "has nothing for -run TestChecker|Nope",
		"`go test ./test/pages -bench Checker`":          "has nothing for -bench Checker",
		"`go test ./test/pages -nope 3`":                 "have no flag -nope",
	} {
		faults := strings.Join(c.commands(text), "\n")
		if want == "" && faults != "" || !strings.Contains(faults, want) {
			t.Errorf("%s: got %q, want %q", text, faults, want)
		}
	}
	faults := c.links("docs/x.md", "[a](../README.md#top) [b](nowhere.md) [c](https://x.example)")
	if len(faults) != 1 {
		t.Errorf("links: got %q, want one fault", faults)
	}
}

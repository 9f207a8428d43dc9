package pages

import (
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"testing"
)

const root = "../.."

// codeSpan matches a code span in a line of a page: `like this`.
var codeSpan = regexp.MustCompile("`([^`\n]+)`")

// link matches a Markdown link.
var link = regexp.MustCompile(`\]\(([^)#\s]+)(?:#[^)]*)?\)`)

// goName matches what looks like an identifier of the code: client.Received, Pool.Send, AttemptEnded.
var goName = regexp.MustCompile(
	`^[A-Za-z][A-Za-z0-9]*(\.[A-Za-z][A-Za-z0-9]*)+(\(\))?$|^[A-Z]+[a-z0-9]+[A-Z][A-Za-z0-9]*$`)

// fileName matches file names, which goName may match too.
var fileName = regexp.MustCompile(`\.(go|md|conf|toml|json|txt|pem|svg|sh|list|peers|key)$`)

// repositoryDirs are the directories that a path in a page may begin with.
var repositoryDirs = []string{"internal/", "cmd/", "test/", "tools/", "docs/", "deploy/", ".ci/", "journal/"}

// checker finds references in pages to things that the repository does not contain.
type checker struct {
	root     string
	declared map[string]map[string]bool // by file, then name
}

// checkPage returns the faults in the code spans of a page. In a strict page, each identifier must follow its file, as
// in `internal/upstream/pool.go: Pool.Send, Pool.Flush`.
func (c *checker) checkPage(text string, strict bool) (faults []string) {
	for number, line := range strings.Split(text, "\n") {
		for _, match := range codeSpan.FindAllStringSubmatch(line, -1) {
			for _, fault := range c.checkSpan(match[1], strict) {
				faults = append(faults, fmt.Sprintf("line %d: `%s`: %s", number+1, match[1], fault))
			}
		}
	}
	return faults
}

// checkSpan returns the faults in one code span.
func (c *checker) checkSpan(code string, strict bool) (faults []string) {
	path, names, hasNames := strings.Cut(code, ": ")
	if !slices.ContainsFunc(repositoryDirs, func(place string) bool { return strings.HasPrefix(path, place) }) {
		if strict && goName.MatchString(code) && !fileName.MatchString(code) {
			return []string{"an identifier without its file"}
		}
		return nil
	}
	if strings.ContainsAny(path, " ") {
		return []string{"a path with a blank; identifiers follow a file as in `internal/x/x.go: A, b.C`"}
	}
	found, err := filepath.Glob(filepath.Join(c.root, path))
	if err != nil || len(found) == 0 {
		return []string{"no such file or directory"}
	}
	if !hasNames {
		return nil
	}
	if !strings.HasSuffix(path, ".go") {
		return []string{"identifiers can follow a Go file only"}
	}
	declared, err := c.declarations(path)
	if err != nil {
		return []string{err.Error()}
	}
	for _, name := range strings.Split(names, ", ") {
		if !declared[name] {
			faults = append(faults, fmt.Sprintf("%s does not declare %s%s", path, name, c.elsewhere(path, name)))
		}
	}
	return faults
}

// elsewhere returns a hint if another file in the same directory declares the name. The hint helps after a move.
func (c *checker) elsewhere(path, name string) string {
	files, _ := filepath.Glob(filepath.Join(c.root, filepath.Dir(path), "*.go"))
	for _, other := range files {
		relative, err := filepath.Rel(c.root, other)
		if err != nil || !isProgram(other) {
			continue
		}
		if declared, err := c.declarations(relative); err == nil && declared[name] {
			return "; " + relative + " does"
		}
	}
	return ""
}

// declarations returns the names of a file's functions, types, constants, variables, and methods (as Type.Method).
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

// receiver returns the name of a method's receiver type followed by a dot, or an empty string for a function.
func receiver(d *ast.FuncDecl) string {
	if d.Recv == nil || len(d.Recv.List) == 0 {
		return ""
	}
	t := d.Recv.List[0].Type
	for {
		switch expression := t.(type) {
		case *ast.StarExpr:
			t = expression.X
		case *ast.IndexExpr:
			t = expression.X
		case *ast.IndexListExpr:
			t = expression.X
		case *ast.Ident:
			return expression.Name + "."
		default:
			return ""
		}
	}
}

// checkLinks returns a fault for each broken relative link of a page.
func (c *checker) checkLinks(page, text string) (faults []string) {
	for _, match := range link.FindAllStringSubmatch(text, -1) {
		if strings.Contains(match[1], "://") {
			continue
		}
		if _, err := os.Stat(filepath.Join(c.root, filepath.Dir(page), match[1])); err != nil {
			faults = append(faults, "the target of the link "+match[1]+" does not exist")
		}
	}
	return faults
}

// isProgram reports whether a Go file is not a test file.
func isProgram(name string) bool { return !strings.HasSuffix(name, "_test.go") }

// text returns the concatenated text of the Go files in a directory whose names match.
func (c *checker) text(dir string, match func(name string) bool) string {
	var all strings.Builder
	files, _ := filepath.Glob(filepath.Join(c.root, dir, "*.go"))
	for _, name := range files {
		if text, err := os.ReadFile(name); err == nil && match(name) {
			all.Write(text)
		}
	}
	return all.String()
}

// TestChecker checks that the checker finds each kind of fault and accepts valid references.
func TestChecker(t *testing.T) {
	c := &checker{root: root, declared: map[string]map[string]bool{}}
	const here = "test/pages/checker_test.go"
	for _, test := range []struct{ text, want string }{
		{"`" + here + ": checker.checkPage, receiver, root, checker`", ""},
		{"`test/pages`, `test/*/pages_test.go`, `SIGHUP`, `go test ./...`, `sloequay.conf`", ""},
		{"`internal/nowhere/x.go`", "no such file"},
		{"`internal/nowhere/x.go: A`", "no such file"},
		{"`test/nothing/*.go`", "no such file"},
		{"`" + here + ": checker.missing`", "does not declare checker.missing"},
		{"`" + here + ": receiver, missing`", "does not declare missing"},
		{"`internal/broker/effects.go: Broker.Round`", "; internal/broker/broker.go does"},
		{"`" + here + ": checkPage`", "does not declare checkPage"}, // a method without its type
		{"`" + here + " checker`", "a path with a blank"},
		{"`test/pages: checker`", "a Go file only"},
		{"`Pool.Send`", "without its file"},
		{"`AttemptEnded`", "without its file"},
	} {
		faults := strings.Join(c.checkPage(test.text, true), "\n")
		if test.want == "" && faults != "" || !strings.Contains(faults, test.want) {
			t.Errorf("%s: got %q, want %q", test.text, faults, test.want)
		}
	}
	for text, want := range map[string]string{
		"`go test ./test/pages -run TestChecker -v`, and `-run\nTestPaths`": "",
		"`go test -count=1 ./...`, `go run ./tools/lintgate -print`":        "",
		"    go test ./nowhere":                          "no directory ./nowhere",
		"`go test ./test/pages -run 'TestChecker|Nope'`": "has no match for -run TestChecker|Nope",
		"`go test ./test/pages -bench Checker`":          "has no match for -bench Checker",
		"`go test ./test/pages -nope 3`":                 "have no flag -nope",
	} {
		faults := strings.Join(c.checkCommands(text), "\n")
		if want == "" && faults != "" || !strings.Contains(faults, want) {
			t.Errorf("%s: got %q, want %q", text, faults, want)
		}
	}
	faults := c.checkLinks("docs/x.md", "[a](../README.md#top) [b](nowhere.md) [c](https://x.example)")
	if len(faults) != 1 {
		t.Errorf("links: got %q, want one fault", faults)
	}
}

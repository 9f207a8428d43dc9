package pages

import (
	"bytes"
	"go/ast"
	"go/parser"
	"go/printer"
	"go/token"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
)

// fileHeading and constantRow match the headings of docs/CAPACITY.md, which name files, and the table rows below them,
// which name the constants of the file with their values.
var (
	fileHeading = regexp.MustCompile("^### `([^`]+)`$")
	constantRow = regexp.MustCompile("^\\| `(\\w+)` \\| `([^`]+)` \\|")
)

// TestCapacityValues checks that each constant in docs/CAPACITY.md has the value in its file that the page states.
func TestCapacityValues(t *testing.T) {
	path, rowCount := "", 0
	values := map[string]string{}
	for number, line := range strings.Split(readPage(t, "docs/CAPACITY.md"), "\n") {
		if heading := fileHeading.FindStringSubmatch(line); heading != nil {
			path = heading[1]
			values = constantValues(t, path)
			continue
		}
		row := constantRow.FindStringSubmatch(line)
		if row == nil {
			continue
		}
		rowCount++
		if got := values[row[1]]; got != row[2] {
			t.Errorf("docs/CAPACITY.md: line %d: %s: got %q in %s, want %q as on the page",
				number+1, row[1], got, path, row[2])
		}
	}
	if rowCount < 80 {
		t.Errorf("docs/CAPACITY.md: found %d constants, want at least 80; was the page parsed?", rowCount)
	}
}

// constantValues returns the expressions of a file's constants and variables, by name.
func constantValues(t *testing.T, path string) map[string]string {
	t.Helper()
	fileSet := token.NewFileSet()
	parsed, err := parser.ParseFile(fileSet, filepath.Join(root, path), nil, parser.SkipObjectResolution)
	if err != nil {
		t.Fatalf("docs/CAPACITY.md: %v", err)
	}
	values := map[string]string{}
	for _, declaration := range parsed.Decls {
		general, ok := declaration.(*ast.GenDecl)
		if !ok {
			continue
		}
		for _, spec := range general.Specs {
			value, ok := spec.(*ast.ValueSpec)
			if !ok || len(value.Values) != len(value.Names) {
				continue
			}
			for i, name := range value.Names {
				var text bytes.Buffer
				if err := printer.Fprint(&text, fileSet, value.Values[i]); err != nil {
					t.Fatal(err)
				}
				values[name.Name] = text.String()
			}
		}
	}
	return values
}

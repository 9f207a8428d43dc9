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

// fileHeading and constantRow are how docs/CAPACITY.md names a file, and below it each constant with its value.
var (
	fileHeading = regexp.MustCompile("^### `([^`]+)`$")
	constantRow = regexp.MustCompile("^\\| `(\\w+)` \\| `([^`]+)` \\|")
)

// TestCapacityValues: each constant of docs/CAPACITY.md has the value in its file that the page gives.
func TestCapacityValues(t *testing.T) {
	path, found := "", 0
	values := map[string]string{}
	for number, line := range strings.Split(read(t, "docs/CAPACITY.md"), "\n") {
		if heading := fileHeading.FindStringSubmatch(line); heading != nil {
			path = heading[1]
			values = constantValues(t, path)
			continue
		}
		row := constantRow.FindStringSubmatch(line)
		if row == nil {
			continue
		}
		found++
		if got := values[row[1]]; got != row[2] {
			t.Errorf("docs/CAPACITY.md: line %d: %s is %q in %s, not %q", number+1, row[1], got, path, row[2])
		}
	}
	if found < 80 {
		t.Errorf("%d constants found: the page names hardly any, or is not understood", found)
	}
}

// constantValues is the expressions that a file gives its constants and variables, by their names.
func constantValues(t *testing.T, path string) map[string]string {
	t.Helper()
	files := token.NewFileSet()
	parsed, err := parser.ParseFile(files, filepath.Join(root, path), nil, parser.SkipObjectResolution)
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
				if err := printer.Fprint(&text, files, value.Values[i]); err != nil {
					t.Fatal(err)
				}
				values[name.Name] = text.String()
			}
		}
	}
	return values
}

// Package pages checks what the pages say of the code: files, declarations, links and commands that they name exist.
package pages

import (
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"testing"
	"unicode/utf8"
)

// maxLineLength is how many characters a line of a page may have.
const maxLineLength = 140

// history are pages whose text is kept as it was written, also where the code has moved on.
var history = []string{"CHANGELOG.md"}

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

// operatorsPages are the pages that are built alike, with the headings in this order.
var (
	operatorsPages = []string{"on-call", "membership", "catalogue", "contracts", "peers", "services", "identity",
		"drill", "dns"}
	headings = []string{"What it is", "Settings", "Log events", "When it fails", "Limits"}
)

// TestHeadings: the operators' pages have their five headings and no others of that level.
func TestHeadings(t *testing.T) {
	heading := regexp.MustCompile(`(?m)^## (.*)$`)
	for _, name := range operatorsPages {
		var got []string
		for _, match := range heading.FindAllStringSubmatch(read(t, "docs/"+name+".md"), -1) {
			got = append(got, match[1])
		}
		if !slices.Equal(got, headings) {
			t.Errorf("docs/%s.md has the headings %q, want %q", name, got, headings)
		}
	}
}

// TestLineLength: no line of a page is too long.
func TestLineLength(t *testing.T) {
	for _, page := range allPages(t) {
		if slices.Contains(history, page) {
			continue
		}
		for number, line := range strings.Split(read(t, page), "\n") {
			if utf8.RuneCountInString(line) > maxLineLength {
				t.Errorf("%s: line %d has more than %d characters", page, number+1, maxLineLength)
			}
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

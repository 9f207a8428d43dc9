// Package pages checks that the files, declarations, links and commands that the documentation refers to exist. "Page"
// means a Markdown file of the documentation.
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

// maxLineLength is the maximum length of a line of a page, in characters.
const maxLineLength = 140

// historicalPages are kept as they were written, even where the code has changed since.
var historicalPages = []string{"CHANGELOG.md"}

// allPages returns the paths of README.md, CHANGELOG.md and all pages below docs, relative to the root.
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

func readPage(t *testing.T, page string) string {
	t.Helper()
	text, err := os.ReadFile(filepath.Join(root, page))
	if err != nil {
		t.Fatal(err)
	}
	return string(text)
}

// operatorsPages are the pages for operators, which all have the same headings in the same order.
var (
	operatorsPages = []string{"on-call", "membership", "catalogue", "contracts", "peers", "services", "identity",
		"drill", "dns"}
	headings = []string{"What it is", "Settings", "Log events", "When it fails", "Limits"}
)

// TestHeadings checks that the operators' pages have exactly these headings at their level.
func TestHeadings(t *testing.T) {
	heading := regexp.MustCompile(`(?m)^## (.*)$`)
	for _, name := range operatorsPages {
		var got []string
		for _, match := range heading.FindAllStringSubmatch(readPage(t, "docs/"+name+".md"), -1) {
			got = append(got, match[1])
		}
		if !slices.Equal(got, headings) {
			t.Errorf("docs/%s.md: got the headings %q, want %q", name, got, headings)
		}
	}
}

// TestLineLength checks that no line of a page is longer than maxLineLength.
func TestLineLength(t *testing.T) {
	for _, page := range allPages(t) {
		if slices.Contains(historicalPages, page) {
			continue
		}
		for number, line := range strings.Split(readPage(t, page), "\n") {
			if utf8.RuneCountInString(line) > maxLineLength {
				t.Errorf("%s: line %d is longer than %d characters", page, number+1, maxLineLength)
			}
		}
	}
}

// TestPaths checks that paths and identifiers on all pages exist, and that their links are not broken.
func TestPaths(t *testing.T) {
	c := &checker{root: root, declared: map[string]map[string]bool{}}
	for _, page := range allPages(t) {
		text := readPage(t, page)
		for _, fault := range c.checkLinks(page, text) {
			t.Errorf("%s: %s", page, fault)
		}
		if slices.Contains(historicalPages, page) {
			continue
		}
		for _, fault := range c.checkPage(text, false) {
			t.Errorf("%s: %s", page, fault)
		}
	}
}

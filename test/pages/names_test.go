package pages

import (
	"io/fs"
	"maps"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"testing"
)

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

// qualified is a name with its package, or a method with package and type.
var qualified = regexp.MustCompile(`^([a-z]+)\.(\w+(?:\.\w+)?)$`)

// TestQualifiedNames: the names with their packages that these pages give are declared there.
func TestQualifiedNames(t *testing.T) {
	byPackage := declaredByPackage(t)
	for page, least := range map[string]int{"docs/GLOSSARY.md": 20, "docs/design/crossings.md": 40} {
		found := 0
		for _, match := range span.FindAllStringSubmatch(read(t, page), -1) {
			name := qualified.FindStringSubmatch(match[1])
			if name == nil || file.MatchString(match[1]) || testName.MatchString(match[1]) {
				continue
			}
			if found++; !byPackage[name[1]][name[2]] {
				t.Errorf("%s names %s, which is not declared", page, match[1])
			}
		}
		if found < least {
			t.Errorf("%s: %d names found", page, found)
		}
	}
}

// declaredByPackage is what the packages declare, by the last words of their folders.
func declaredByPackage(t *testing.T) map[string]map[string]bool {
	t.Helper()
	c := &checker{root: root, declared: map[string]map[string]bool{}}
	byPackage := map[string]map[string]bool{}
	err := filepath.WalkDir(filepath.Join(root, "internal"), func(path string, d fs.DirEntry, err error) error {
		if err != nil || d.IsDir() || !strings.HasSuffix(path, ".go") || !isProgram(path) {
			return err
		}
		relative, err := filepath.Rel(root, path)
		if err != nil {
			return err
		}
		names, err := c.declarations(relative)
		in := filepath.Base(filepath.Dir(path))
		if byPackage[in] == nil {
			byPackage[in] = map[string]bool{}
		}
		maps.Copy(byPackage[in], names)
		return err
	})
	if err != nil {
		t.Fatal(err)
	}
	return byPackage
}

// testName is a test that a page names, with its package or without.
var testName = regexp.MustCompile(`^((?:[a-z]+\.)?(?:Test|Benchmark)[A-Z]\w+)$`)

// TestNamedTests: tests that the pages name are there.
func TestNamedTests(t *testing.T) {
	declared := map[string]bool{"TestName": true, "package.TestName": true} // as docs/ci.md calls any
	for _, top := range []string{"internal", "test", "cmd", "tools"} {
		err := filepath.WalkDir(filepath.Join(root, top), func(path string, _ fs.DirEntry, err error) error {
			if err != nil || isProgram(path) {
				return err
			}
			text, err := os.ReadFile(path)
			for _, match := range regexp.MustCompile(`(?m)^func ((?:Test|Benchmark)\w+)\(`).FindAllSubmatch(text, -1) {
				declared[string(match[1])] = true
				declared[filepath.Base(filepath.Dir(path))+"."+string(match[1])] = true
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

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

// TestArchitecture checks that the files and identifiers that docs/ARCHITECTURE.md names exist, and that each
// identifier follows the file that declares it.
func TestArchitecture(t *testing.T) {
	text := readPage(t, "docs/ARCHITECTURE.md")
	c := &checker{root: root, declared: map[string]map[string]bool{}}
	for _, fault := range c.checkPage(text, true) {
		t.Errorf("docs/ARCHITECTURE.md: %s", fault)
	}
	names := 0
	for _, declared := range c.declared {
		names += len(declared)
	}
	if len(c.declared) < 10 || names < 100 {
		t.Errorf("docs/ARCHITECTURE.md: checked %d files with %d declarations, want at least 10 and 100",
			len(c.declared), names)
	}
}

// TestPackagesAreNamed checks that docs/ARCHITECTURE.md names each package, at least by the last element of its path.
func TestPackagesAreNamed(t *testing.T) {
	text := readPage(t, "docs/ARCHITECTURE.md")
	words := map[string]bool{}
	for _, word := range regexp.MustCompile(`[a-z]+`).FindAllString(text, -1) {
		words[word] = true
	}
	found := 0
	err := filepath.WalkDir(filepath.Join(root, "internal"), func(path string, d fs.DirEntry, err error) error {
		if err != nil || !d.IsDir() || d.Name() == "testdata" || d.Name() == "internal" {
			return err
		}
		if files, _ := filepath.Glob(filepath.Join(path, "*.go")); len(files) == 0 {
			return nil
		}
		if found++; !words[d.Name()] {
			t.Errorf("docs/ARCHITECTURE.md does not name the package in %s", path)
		}
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
	if found < 40 {
		t.Errorf("found %d packages, want at least 40", found)
	}
}

// TestEventsAreWritten checks that each log event in docs/on-call.md is a string in a package that its section names,
// either as a whole or as a prefix and a kind.
func TestEventsAreWritten(t *testing.T) {
	c := &checker{root: root}
	event := regexp.MustCompile("(?m)^\\| `([a-z-]+)`")
	found := 0
	for _, section := range strings.Split(readPage(t, "docs/on-call.md"), "\n### ") {
		events := event.FindAllStringSubmatch(section, -1)
		if len(events) == 0 {
			continue
		}
		title, _, _ := strings.Cut(section, "\n")
		var code strings.Builder
		for _, match := range codeSpan.FindAllStringSubmatch(section, -1) {
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
		t.Errorf("found %d events, want at least 60", found)
	}
}

// qualifiedName matches an identifier with its package, or a method with its package and type.
var qualifiedName = regexp.MustCompile(`^([a-z]+)\.(\w+(?:\.\w+)?)$`)

// TestQualifiedNames checks that the identifiers that these pages name with a package are declared in it.
func TestQualifiedNames(t *testing.T) {
	byPackage := declaredByPackage(t)
	for page, minimum := range map[string]int{"docs/GLOSSARY.md": 20, "docs/design/crossings.md": 40} {
		found := 0
		for _, match := range codeSpan.FindAllStringSubmatch(readPage(t, page), -1) {
			name := qualifiedName.FindStringSubmatch(match[1])
			if name == nil || fileName.MatchString(match[1]) || testName.MatchString(match[1]) {
				continue
			}
			if found++; !byPackage[name[1]][name[2]] {
				t.Errorf("%s: %s is not declared", page, match[1])
			}
		}
		if found < minimum {
			t.Errorf("%s: found only %d names", page, found)
		}
	}
}

// declaredByPackage returns what the packages declare, by the last element of their paths.
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
		packageName := filepath.Base(filepath.Dir(path))
		if byPackage[packageName] == nil {
			byPackage[packageName] = map[string]bool{}
		}
		maps.Copy(byPackage[packageName], names)
		return err
	})
	if err != nil {
		t.Fatal(err)
	}
	return byPackage
}

// testName matches the name of a test or benchmark, with or without its package.
var testName = regexp.MustCompile(`^((?:[a-z]+\.)?(?:Test|Benchmark)[A-Z]\w+)$`)

// TestNamedTests checks that the tests that the pages name exist.
func TestNamedTests(t *testing.T) {
	declared := map[string]bool{"TestName": true, "package.TestName": true} // placeholders in docs/ci.md
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
		if slices.Contains(historicalPages, page) {
			continue
		}
		for _, match := range codeSpan.FindAllStringSubmatch(readPage(t, page), -1) {
			if name := testName.FindStringSubmatch(match[1]); name != nil && !declared[name[1]] {
				t.Errorf("%s: the test %s does not exist", page, match[1])
			}
		}
	}
}

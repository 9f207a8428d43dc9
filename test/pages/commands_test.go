package pages

import (
	"fmt"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"testing"
)

// command matches a code span or an indented line with a go command. A span may continue on the next line.
var command = regexp.MustCompile(
	"`((?:go (?:test|run|build)|-run|-bench) [^`]+)`|(?m:^    (go (?:test|run|build) .*)$)")

// goFlags are the flags that no test has to declare, mainly those of `go test` itself.
var goFlags = []string{"-run", "-bench", "-v", "-count", "-race", "-o", "-benchtime", "-timeout", "-print", "-tags"}

// checkCommands returns the faults in the go commands of a page. A command without a directory refers to that of the
// previous command.
func (c *checker) checkCommands(text string) (faults []string) {
	dir := ""
	for _, match := range command.FindAllStringSubmatch(text, -1) {
		line := strings.Join(strings.Fields(match[1]+match[2]), " ")
		words := strings.Fields(strings.NewReplacer("'", "", "[", "", "]", "").Replace(line))
		for _, word := range words {
			path, ok := strings.CutPrefix(word, "./")
			if !ok || words[0] != "go" {
				continue
			}
			dir = strings.TrimSuffix(strings.TrimSuffix(path, "..."), "/")
			if _, err := os.Stat(filepath.Join(c.root, dir)); err != nil {
				faults = append(faults, fmt.Sprintf("`%s`: there is no directory %s", line, word))
			}
		}
		for i, word := range words {
			if fault := c.checkFlag(dir, word); fault != "" {
				faults = append(faults, fmt.Sprintf("`%s`: %s", line, fault))
			}
			if i > 0 && (words[i-1] == "-run" || words[i-1] == "-bench") && !c.hasTest(dir, words[i-1], word) {
				faults = append(faults, fmt.Sprintf("`%s`: %s has no match for %s %s", line, dir, words[i-1], word))
			}
		}
	}
	return faults
}

// checkFlag returns the fault of a flag in a command, or an empty string. The tests of the directory must declare each
// flag that is not in goFlags.
func (c *checker) checkFlag(dir, word string) string {
	word, _, _ = strings.Cut(word, "=")
	if !strings.HasPrefix(word, "-") || slices.Contains(goFlags, word) {
		return ""
	}
	if strings.Contains(c.tests(dir), strconv.Quote(strings.TrimPrefix(word, "-"))) {
		return ""
	}
	return fmt.Sprintf("the tests of %s have no flag %s", dir, word)
}

// hasTest reports whether a directory has a test or benchmark that matches each alternative of a pattern.
func (c *checker) hasTest(dir, kind, pattern string) bool {
	prefix := map[string]string{"-run": "Test", "-bench": "Benchmark"}[kind]
	names := regexp.MustCompile(`(?m)^func (`+prefix+`\w+)\(`).FindAllStringSubmatch(c.tests(dir), -1)
	pattern, _, _ = strings.Cut(pattern, "/")
	for _, alternative := range strings.Split(pattern, "|") {
		matcher, err := regexp.Compile(alternative)
		if err != nil || !slices.ContainsFunc(names, func(name []string) bool { return matcher.MatchString(name[1]) }) {
			return false
		}
	}
	return true
}

// tests returns the text of the test files in a directory.
func (c *checker) tests(dir string) string {
	return c.text(dir, func(name string) bool { return !isProgram(name) })
}

// TestCommands checks that the directories, tests, benchmarks and flags in the go commands on the pages exist.
func TestCommands(t *testing.T) {
	c := &checker{root: root}
	for _, page := range allPages(t) {
		if slices.Contains(historicalPages, page) {
			continue
		}
		for _, fault := range c.checkCommands(readPage(t, page)) {
			t.Errorf("%s: %s", page, fault)
		}
	}
}

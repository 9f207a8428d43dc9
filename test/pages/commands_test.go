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

// command is a piece of code with a command of Go's, which may go on in the next line.
var command = regexp.MustCompile(
	"`((?:go (?:test|run|build)|-run|-bench) [^`]+)`|(?m:^    (go (?:test|run|build) .*)$)")

// flagsOfGo are flags of `go test` itself.
var flagsOfGo = []string{"-run", "-bench", "-v", "-count", "-race", "-o", "-benchtime", "-timeout", "-print", "-tags"}

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

package main

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
)

// printer prints events in the format of go test without -json: one line per package, and all output of tests and
// packages that failed.
type printer struct {
	writer io.Writer
	output map[[2]string][]string // lines by package and test, kept until the test or package ends
}

func newPrinter(writer io.Writer) *printer {
	return &printer{writer: writer, output: map[[2]string][]string{}}
}

// show handles an event and prints the output that is due.
func (out *printer) show(event Event) {
	key := [2]string{event.Package, event.Test}
	switch event.Action {
	case "build-output":
		fmt.Fprint(out.writer, event.Output)
	case "output":
		if !isVerboseLine(event.Output) {
			out.output[key] = append(out.output[key], event.Output)
		}
	case "pass", "skip", "fail":
		out.flush(event, key)
	}
}

// flush prints the output of a test or package that failed, or the summary line of another package, and discards the
// output.
func (out *printer) flush(event Event, key [2]string) {
	for _, line := range out.output[key] {
		if event.Action == "fail" || event.Test == "" && isSummary(line) {
			fmt.Fprint(out.writer, line)
		}
	}
	delete(out.output, key)
}

// flushUnfinished prints the output of tests and packages that did not finish, for example after a crash.
func (out *printer) flushUnfinished() {
	order := func(one, other [2]string) int { return slices.Compare(one[:], other[:]) }
	for _, key := range slices.SortedFunc(maps.Keys(out.output), order) {
		lines := strings.Join(out.output[key], "")
		fmt.Fprintf(out.writer, "--- did not finish: %s %s\n%s", key[0], key[1], lines)
	}
}

// isVerboseLine reports whether a line is one that go test writes only with -v.
func isVerboseLine(line string) bool { return strings.HasPrefix(line, "=== ") }

// isSummary reports whether a line is the last one that go test writes for a package that did not fail.
func isSummary(line string) bool {
	return strings.HasPrefix(line, "ok  \t") || strings.HasPrefix(line, "?   \t")
}

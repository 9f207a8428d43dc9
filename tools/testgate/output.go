package main

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
)

// printer shows events as go test without -json does: a line for each package, and all output of those that failed.
type printer struct {
	writer io.Writer
	tests  map[[2]string][]string // output by package and test, until it is known whether it is wanted
}

func newPrinter(writer io.Writer) *printer {
	return &printer{writer: writer, tests: map[[2]string][]string{}}
}

// show takes one event and prints what is due.
func (out *printer) show(event Event) {
	key := [2]string{event.Package, event.Test}
	switch event.Action {
	case "build-output":
		fmt.Fprint(out.writer, event.Output)
	case "output":
		if !isFrame(event.Output) {
			out.tests[key] = append(out.tests[key], event.Output)
		}
	case "pass", "skip", "fail":
		out.end(event, key)
	}
}

// end prints the output of a package, or of a test that failed, and forgets it.
func (out *printer) end(event Event, key [2]string) {
	for _, line := range out.tests[key] {
		if event.Action == "fail" || event.Test == "" && isSummary(line) {
			fmt.Fprint(out.writer, line)
		}
	}
	delete(out.tests, key)
}

// rest prints what tests wrote that were never ended, as after a crash.
func (out *printer) rest() {
	order := func(one, other [2]string) int { return slices.Compare(one[:], other[:]) }
	for _, key := range slices.SortedFunc(maps.Keys(out.tests), order) {
		lines := strings.Join(out.tests[key], "")
		fmt.Fprintf(out.writer, "--- did not end: %s %s\n%s", key[0], key[1], lines)
	}
}

// isFrame reports whether a line is one that go test writes with -v alone.
func isFrame(line string) bool { return strings.HasPrefix(line, "=== ") }

// isSummary reports whether a line is the one that go test ends a package with.
func isSummary(line string) bool {
	return strings.HasPrefix(line, "ok  \t") || strings.HasPrefix(line, "?   \t")
}

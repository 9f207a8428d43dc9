package config

import (
	"fmt"
	"strings"
)

// Error is one fault in the settings.
type Error struct {
	File string
	Line int
	Key  string // path of the directive, such as catalogue.wait; empty: a fault of the line or file as a whole
	Text string
}

// Error returns the fault as "file:line: key: text".
func (e Error) Error() string {
	where := fmt.Sprintf("%s:%d: ", e.File, e.Line)
	if e.Key != "" {
		where += e.Key + ": "
	}
	return where + e.Text
}

// Errors holds all faults in the settings, in the order of the lines.
type Errors []Error

// Error returns the faults, one per line.
func (e Errors) Error() string {
	lines := make([]string, len(e))
	for i := range e {
		lines[i] = e[i].Error()
	}
	return strings.Join(lines, "\n")
}

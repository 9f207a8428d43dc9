package config

import (
	"fmt"
	"strings"
)

// Error is one thing that is wrong with the settings.
type Error struct {
	File string
	Line int
	Key  string // the directive with the blocks it is in, as catalogue.wait; empty: the line itself
	Text string
}

// Error returns it as file:line: key: text.
func (e Error) Error() string {
	where := fmt.Sprintf("%s:%d: ", e.File, e.Line)
	if e.Key != "" {
		where += e.Key + ": "
	}
	return where + e.Text
}

// Errors is all that is wrong, in the order of the lines.
type Errors []Error

// Error returns one error a line.
func (e Errors) Error() string {
	lines := make([]string, len(e))
	for i := range e {
		lines[i] = e[i].Error()
	}
	return strings.Join(lines, "\n")
}

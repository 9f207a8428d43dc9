// Package config reads the settings files. Each line holds one directive, split into words as by a shell. A # starts a
// comment, "include GLOB" includes other files, and a block starts with { as the last word of a directive's line and
// ends with a line }.
//
// A package declares its directives in a Section, bound to its own variables; an undeclared directive is an error. All
// errors are reported, not just the first, each with file, line and key.
//
// The methods that add a directive take a description of its purpose, which documents the declaration in the source
// and is not stored.
package config

import (
	"fmt"
	"io"
	"slices"
	"strings"
)

// Section holds the directives of the top level or of a block.
type Section struct {
	directives []*directive
	checks     []func() error
}

// directive is a directive that a section declares. One without a block has set and show, one with a block has
// openBlock.
type directive struct {
	name       string
	repeatable bool
	set        func(words []string) error
	show       func() []string // returns the current values, one per line of the settings file
	openBlock  func(words []string) (*Section, error)

	blocks    []block // given so far
	givenFile string
	givenLine int // of the last line that gives the directive; 0: not given
}

// block is a block that a file gives for a directive.
type block struct {
	words   []string
	section *Section
}

func (s *Section) add(d *directive) { s.directives = append(s.directives, d) }

func (s *Section) find(name string) *directive {
	for _, declared := range s.directives {
		if declared.name == name {
			return declared
		}
	}
	return nil
}

// Check adds a check that runs after the section's directives have been set without an error. An error that it returns
// is reported for the line that opens the section's block, or for the first line of the file at the top level.
func (s *Section) Check(check func() error) { s.checks = append(s.checks, check) }

// Load reads a file and sets the section's directives from it. The error is of type Errors.
func (s *Section) Load(path string) error {
	p := &parser{}
	return s.finish(p, p.load(path, nil, 0), path)
}

// Parse sets the section's directives from a text. name is the file name in errors, and relative includes are resolved
// against its directory. The error is of type Errors.
func (s *Section) Parse(name string, text []byte) error {
	p := &parser{}
	return s.finish(p, p.parse(name, text, 0), name)
}

// finish sets the section's directives from the lines of a file, and returns these errors and those of the parser, or
// nil.
func (s *Section) finish(p *parser, lines []line, file string) error {
	errs := append(p.errs, s.apply(blockPosition{file: file, line: 1}, lines)...)
	slices.SortStableFunc(errs, func(a, b Error) int {
		if a.File != b.File {
			return 0 // errors of an included file keep their place
		}
		return a.Line - b.Line
	})
	if len(errs) == 0 {
		return nil
	}
	return errs
}

// blockPosition is the place of a block in the settings.
type blockPosition struct {
	file string
	line int
	path string // of its directive and the enclosing blocks, such as catalogue.tls; empty: top level
}

// key returns the path of a directive of the block.
func (p blockPosition) key(name string) string {
	if p.path == "" {
		return name
	}
	return p.path + "." + name
}

// apply sets the section's directives from the lines of its block. It runs the checks if there is no error.
func (s *Section) apply(at blockPosition, lines []line) Errors {
	var errs Errors
	for _, given := range lines {
		errs = append(errs, s.applyLine(at, given)...)
	}
	if len(errs) > 0 {
		return errs
	}
	for _, check := range s.checks {
		if err := check(); err != nil {
			errs = append(errs, Error{File: at.file, Line: at.line, Key: at.path, Text: err.Error()})
		}
	}
	return errs
}

// applyLine sets the directive of one line and, if it opens a block, the directives in the block.
func (s *Section) applyLine(at blockPosition, given line) Errors {
	key := at.key(given.name)
	fail := func(text string) Errors {
		return Errors{{File: given.file, Line: given.number, Key: key, Text: text}}
	}
	declared := s.find(given.name)
	if declared == nil {
		return fail("unknown directive" + s.suggest(given.name))
	}
	if fault := declared.check(given); fault != "" {
		return fail(fault)
	}
	declared.givenFile = given.file
	declared.givenLine = given.number
	if declared.openBlock == nil {
		if err := declared.set(given.words); err != nil {
			return fail(err.Error())
		}
		return nil
	}
	section, err := declared.openBlock(given.words)
	if err != nil {
		return fail(err.Error())
	}
	declared.blocks = append(declared.blocks, block{given.words, section})
	return section.apply(blockPosition{file: given.file, line: given.number, path: key}, given.block)
}

// check returns why a line is not valid for the directive, or "" if it is valid.
func (d *directive) check(given line) string {
	switch {
	case d.givenLine > 0 && !d.repeatable:
		return fmt.Sprintf("given twice, first at %s:%d", d.givenFile, d.givenLine)
	case d.openBlock == nil && given.isBlock:
		return "takes no block"
	case d.openBlock != nil && !given.isBlock:
		return "expected a block: end the line with {"
	}
	return ""
}

// suggest returns the end of the error about an unknown directive: the similar directives of the section, if any.
func (s *Section) suggest(unknown string) string {
	var similar []string
	for _, declared := range s.directives {
		if isSimilar(declared.name, unknown) {
			similar = append(similar, declared.name)
		}
	}
	if len(similar) == 0 {
		return ""
	}
	return "; similar directives: " + strings.Join(similar, ", ")
}

// isSimilar reports whether an unknown name of two bytes or more has the same first two bytes as name, or one of them
// contains the other.
func isSimilar(name, unknown string) bool {
	if len(unknown) < 2 {
		return false
	}
	return strings.HasPrefix(name, unknown[:2]) || strings.Contains(name, unknown) || strings.Contains(unknown, name)
}

// Print writes the current settings in the syntax that Load reads, and marks the defaults.
func (s *Section) Print(out io.Writer) error {
	p := &printer{out: out}
	p.section(s, "")
	return p.err
}

const indentUnit = "    "

// printer writes settings. It stops at the first error and keeps it.
type printer struct {
	out io.Writer
	err error
}

func (p *printer) line(indent, format string, args ...any) {
	if p.err == nil {
		_, p.err = fmt.Fprintf(p.out, indent+format+"\n", args...)
	}
}

func (p *printer) section(s *Section, indent string) {
	for _, declared := range s.directives {
		if declared.openBlock != nil {
			p.blocks(declared, indent)
		} else {
			p.values(declared, indent)
		}
	}
}

func (p *printer) blocks(declared *directive, indent string) {
	if len(declared.blocks) == 0 {
		p.line(indent, "# %s: none given", declared.name)
	}
	for _, given := range declared.blocks {
		words := append([]string{declared.name}, quoteAll(given.words)...)
		p.line(indent, "%s {", strings.Join(words, " "))
		p.section(given.section, indent+indentUnit)
		p.line(indent, "}")
	}
}

func (p *printer) values(declared *directive, indent string) {
	values := declared.show()
	switch {
	case len(values) == 0:
		p.line(indent, "# %s: none", declared.name)
	case declared.givenLine == 0:
		p.line(indent, "%s %s  # default", declared.name, values[0])
	default:
		for _, value := range values {
			p.line(indent, "%s %s", declared.name, value)
		}
	}
}

// Package config reads the settings files: one directive a line, its words split as a shell does, # comments, include
// GLOB, and blocks that a last word { opens and a line } closes. A package states its directives in a Section, bound
// to its own variables; what it does not state is an error. All errors are found, not the first alone, each with file,
// line and key.
//
// The last argument of a method that adds a directive says what the directive is for. It documents the place where the
// directive is stated, and is not kept.
package config

import (
	"fmt"
	"io"
	"slices"
	"strings"
)

// Section is the directives of the top level or of a block.
type Section struct {
	directives []*directive
	checks     []func() error
}

// directive is a directive that a section states: one with words has set and show, one with a block has open.
type directive struct {
	name       string
	repeatable bool
	set        func(words []string) error
	show       func() []string // the values in force, a line each
	open       func(words []string) (*Section, error)

	blocks    []block // that were given
	givenFile string
	givenLine int // the last one; 0: not given
}

// block is a block that was given.
type block struct {
	words   []string
	section *Section
}

func (s *Section) add(added *directive) { s.directives = append(s.directives, added) }

func (s *Section) find(name string) *directive {
	for _, stated := range s.directives {
		if stated.name == name {
			return stated
		}
	}
	return nil
}

// Check is called once the section was read without a fault; its error is reported for the section's block.
func (s *Section) Check(check func() error) { s.checks = append(s.checks, check) }

// Load reads a file into a section. The error is an Errors.
func (s *Section) Load(path string) error {
	p := &parser{}
	return s.finish(p, p.load(path, nil, 0), path)
}

// Parse reads a text into a section; name stands for its file. The error is an Errors.
func (s *Section) Parse(name string, text []byte) error {
	p := &parser{}
	return s.finish(p, p.parse(name, text, 0), name)
}

// finish sets the section's directives from the lines that were read, and joins all errors.
func (s *Section) finish(p *parser, lines []line, file string) error {
	errs := append(p.errs, s.apply(place{file: file, line: 1}, lines)...)
	slices.SortStableFunc(errs, func(a, b Error) int {
		if a.File != b.File {
			return 0 // included files stay where they are included
		}
		return a.Line - b.Line
	})
	if len(errs) == 0 {
		return nil
	}
	return errs
}

// place is where a block stands.
type place struct {
	file string
	line int
	path string // of its directive with the blocks it is in, as catalogue.tls; empty: the top level
}

// key returns the path of a directive in the block.
func (p place) key(name string) string {
	if p.path == "" {
		return name
	}
	return p.path + "." + name
}

// apply sets the section's directives from the lines of its block.
func (s *Section) apply(at place, lines []line) Errors {
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

// applyLine sets one directive, and the directives of its block.
func (s *Section) applyLine(at place, given line) Errors {
	key := at.key(given.name)
	fail := func(text string) Errors {
		return Errors{{File: given.file, Line: given.number, Key: key, Text: text}}
	}
	stated := s.find(given.name)
	if stated == nil {
		return fail("unknown directive" + s.suggest(given.name))
	}
	if fault := stated.check(given); fault != "" {
		return fail(fault)
	}
	stated.givenFile = given.file
	stated.givenLine = given.number
	if stated.open == nil {
		if err := stated.set(given.words); err != nil {
			return fail(err.Error())
		}
		return nil
	}
	section, err := stated.open(given.words)
	if err != nil {
		return fail(err.Error())
	}
	stated.blocks = append(stated.blocks, block{given.words, section})
	return section.apply(place{file: given.file, line: given.number, path: key}, given.block)
}

// check returns why a line may not be given for the directive; empty: it may.
func (d *directive) check(given line) string {
	switch {
	case d.givenLine > 0 && !d.repeatable:
		return fmt.Sprintf("given twice, first at %s:%d", d.givenFile, d.givenLine)
	case d.open == nil && given.isBlock:
		return "takes no block"
	case d.open != nil && !given.isBlock:
		return "expected a block: end the line with {"
	}
	return ""
}

// suggest names the directives of the section that are like an unknown one.
func (s *Section) suggest(unknown string) string {
	var similar []string
	for _, stated := range s.directives {
		if isSimilar(stated.name, unknown) {
			similar = append(similar, stated.name)
		}
	}
	if len(similar) == 0 {
		return ""
	}
	return "; there is " + strings.Join(similar, ", ")
}

// isSimilar reports whether an unknown name begins like a name that there is, or one contains the other.
func isSimilar(name, unknown string) bool {
	if len(unknown) < 2 {
		return false
	}
	return strings.HasPrefix(name, unknown[:2]) || strings.Contains(name, unknown) || strings.Contains(unknown, name)
}

// Print writes the settings in force in the form that Load reads, with defaults marked.
func (s *Section) Print(out io.Writer) error {
	p := &printer{out: out}
	p.section(s, "")
	return p.err
}

const indentStep = "    "

// printer writes settings, and keeps the first error.
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
	for _, stated := range s.directives {
		if stated.open != nil {
			p.blocks(stated, indent)
		} else {
			p.values(stated, indent)
		}
	}
}

func (p *printer) blocks(stated *directive, indent string) {
	if len(stated.blocks) == 0 {
		p.line(indent, "# %s: none given", stated.name)
	}
	for _, given := range stated.blocks {
		words := append([]string{stated.name}, quoteAll(given.words)...)
		p.line(indent, "%s {", strings.Join(words, " "))
		p.section(given.section, indent+indentStep)
		p.line(indent, "}")
	}
}

func (p *printer) values(stated *directive, indent string) {
	values := stated.show()
	switch {
	case len(values) == 0:
		p.line(indent, "# %s: none", stated.name)
	case stated.givenLine == 0:
		p.line(indent, "%s %s  # default", stated.name, values[0])
	default:
		for _, value := range values {
			p.line(indent, "%s %s", stated.name, value)
		}
	}
}

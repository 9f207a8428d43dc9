// Package config reads our settings: one directive a line, its words split as a shell does, # comments, include GLOB, and
// blocks that a last word { opens and a line } closes. A package states its directives in a Section, bound to its own
// variables; what it does not state is an error. All errors are found, not the first alone, each with file, line and key.
package config

import (
	"errors"
	"fmt"
	"io"
	"math"
	"slices"
	"strconv"
	"strings"
	"time"
)

// Section is the directives of the top level or of a block.
type Section struct {
	fields []*field
	checks []func() error
}

// field is one directive.
type field struct {
	name   string
	help   string
	repeat bool
	set    func(words []string) error
	show   func() []string                        // the values in force, a line each
	open   func(words []string) (*Section, error) // of a block
	blocks []opened                               // that were given
	given  int                                    // the line; 0: not given
	file   string
}

type opened struct {
	words   []string
	section *Section
}

func (s *Section) add(f *field) { s.fields = append(s.fields, f) }

// one makes a directive with exactly one word.
func (s *Section) one(name, help string, set func(word string) error, show func() string) {
	s.add(&field{name: name, help: help, show: func() []string {
		if text := show(); text != "" {
			return []string{text}
		}
		return nil
	}, set: func(words []string) error {
		if len(words) != 1 {
			return fmt.Errorf("expected one word, got %d", len(words))
		}
		return set(words[0])
	}})
}

// Duration is a time such as 300ms or 1m30s, from least to most.
func (s *Section) Duration(name string, to *time.Duration, least, most time.Duration, help string) {
	s.one(name, help, func(word string) error {
		d, err := time.ParseDuration(word)
		if err != nil || d < least || d > most {
			return fmt.Errorf("expected a duration of %s to %s, got %q", shortDuration(least), shortDuration(most), word)
		}
		*to = d
		return nil
	}, func() string { return shortDuration(*to) })
}

// shortDuration leaves out the zeros that Duration's own form ends with: 10m and not 10m0s.
func shortDuration(d time.Duration) string {
	text := d.String()
	if strings.HasSuffix(text, "m0s") {
		text = strings.TrimSuffix(text, "0s")
	}
	if strings.HasSuffix(text, "h0m") {
		text = strings.TrimSuffix(text, "0m")
	}
	return text
}

// Int is a whole number from least to most.
func (s *Section) Int(name string, to *int, least, most int, help string) {
	s.one(name, help, func(word string) error {
		n, err := strconv.Atoi(word)
		if err != nil || n < least || n > most {
			return fmt.Errorf("expected a whole number of %d to %d, got %q", least, most, word)
		}
		*to = n
		return nil
	}, func() string { return strconv.Itoa(*to) })
}

// Number is a number from least to most.
func (s *Section) Number(name string, to *float64, least, most float64, help string) {
	s.one(name, help, func(word string) error {
		n, err := strconv.ParseFloat(word, 64)
		if err != nil || !(n >= least && n <= most) {
			return fmt.Errorf("expected a number of %g to %g, got %q", least, most, word)
		}
		*to = n
		return nil
	}, func() string { return strconv.FormatFloat(*to, 'g', -1, 64) })
}

// sizes are the units of sizes, in bytes.
var sizes = []struct {
	unit  string
	bytes int64
}{{"GiB", 1 << 30}, {"MiB", 1 << 20}, {"KiB", 1 << 10}, {"B", 1}}

// Size is a number of bytes with its unit, such as 64MiB.
func (s *Section) Size(name string, to *int64, least, most int64, help string) {
	s.one(name, help, func(word string) error {
		for _, u := range sizes {
			digits, ok := strings.CutSuffix(word, u.unit)
			if !ok {
				continue
			}
			if n, err := strconv.ParseInt(digits, 10, 64); err == nil && n >= 0 && n <= most/u.bytes && n*u.bytes >= least {
				*to = n * u.bytes
				return nil
			}
			break
		}
		return fmt.Errorf("expected a size of %s to %s, got %q", showSize(least), showSize(most), word)
	}, func() string { return showSize(*to) })
}

func showSize(n int64) string {
	for _, u := range sizes {
		if n != 0 && n%u.bytes == 0 {
			return strconv.FormatInt(n/u.bytes, 10) + u.unit
		}
	}
	return "0B"
}

// Rate is a number a second, such as 200/s.
func (s *Section) Rate(name string, to *float64, least, most float64, help string) {
	s.one(name, help, func(word string) error {
		digits, ok := strings.CutSuffix(word, "/s")
		n, err := strconv.ParseFloat(digits, 64)
		if !ok || err != nil || !(n >= least && n <= most) {
			return fmt.Errorf("expected a rate of %g/s to %g/s, got %q", least, most, word)
		}
		*to = n
		return nil
	}, func() string {
		if math.IsInf(*to, 0) || *to == 0 {
			return ""
		}
		return strconv.FormatFloat(*to, 'g', -1, 64) + "/s"
	})
}

// Flag is on or off.
func (s *Section) Flag(name string, to *bool, help string) {
	s.one(name, help, func(word string) error {
		if word != "on" && word != "off" {
			return fmt.Errorf("expected on or off, got %q", word)
		}
		*to = word == "on"
		return nil
	}, func() string {
		if *to {
			return "on"
		}
		return "off"
	})
}

// Text is one word that check, which may be nil, finds no fault with.
func (s *Section) Text(name string, to *string, check func(string) error, help string) {
	s.one(name, help, func(word string) error {
		if check != nil {
			if err := check(word); err != nil {
				return err
			}
		}
		*to = word
		return nil
	}, func() string {
		if *to == "" {
			return ""
		}
		return quote(*to)
	})
}

// Choice is one of some words.
func (s *Section) Choice(name string, to *string, words []string, help string) {
	s.Text(name, to, func(word string) error {
		if !slices.Contains(words, word) {
			return fmt.Errorf("expected one of %s, got %q", strings.Join(words, ", "), word)
		}
		return nil
	}, help)
}

// Words is a list of words; the directive may be given more than once, and adds.
func (s *Section) Words(name string, to *[]string, check func(string) error, help string) {
	defaults := true
	s.add(&field{name: name, help: help, repeat: true, set: func(words []string) error {
		if len(words) == 0 {
			return errors.New("expected at least one word")
		}
		for _, word := range words {
			if check != nil {
				if err := check(word); err != nil {
					return err
				}
			}
		}
		if defaults { // what is given takes the place of the default
			*to, defaults = nil, false
		}
		*to = append(*to, words...)
		return nil
	}, show: func() []string {
		if len(*to) == 0 {
			return nil
		}
		quoted := make([]string, len(*to))
		for i, word := range *to {
			quoted[i] = quote(word)
		}
		return []string{strings.Join(quoted, " ")}
	}})
}

// Each is a directive that may be given many times, with words that set reads; its lines are printed as they were given.
func (s *Section) Each(name string, set func(words []string) error, help string) {
	var given []string
	s.add(&field{name: name, help: help, repeat: true, set: func(words []string) error {
		if err := set(words); err != nil {
			return err
		}
		quoted := make([]string, len(words))
		for i, word := range words {
			quoted[i] = quote(word)
		}
		given = append(given, strings.Join(quoted, " "))
		return nil
	}, show: func() []string { return given }})
}

// Block is a directive with a block. open gets its words and gives the section that the block's lines are read by; with
// repeat it may be given more than once.
func (s *Section) Block(name string, repeat bool, help string, open func(words []string) (*Section, error)) {
	s.add(&field{name: name, help: help, repeat: repeat, open: open})
}

// Check is called once the section was read without a fault; its error is told for the section's block.
func (s *Section) Check(check func() error) { s.checks = append(s.checks, check) }

// quote puts a word in quotes that would not be read back as one.
func quote(word string) string {
	if word == "" || strings.ContainsAny(word, " \t#\"'\\{}") {
		if !strings.Contains(word, "'") {
			return "'" + word + "'"
		}
		return `"` + strings.NewReplacer(`\`, `\\`, `"`, `\"`).Replace(word) + `"`
	}
	return word
}

// Load reads a file into a section. The error is an Errors.
func (s *Section) Load(path string) error {
	p := &parser{}
	return s.finish(p, p.load(path, nil, 0), path)
}

// Parse reads a text into a section; name stands for its file.
func (s *Section) Parse(name string, text []byte) error {
	p := &parser{}
	return s.finish(p, p.parse(name, text, 0), name)
}

func (s *Section) finish(p *parser, directives []directive, file string) error {
	errs := append(p.errs, s.apply("", directives, file, 0)...)
	slices.SortStableFunc(errs, func(a, b Error) int {
		if a.File != b.File {
			return 0 // included files stand where they are included
		}
		return a.Line - b.Line
	})
	if len(errs) == 0 {
		return nil
	}
	return errs
}

// apply sets the section's directives; file and line are those of its block.
func (s *Section) apply(path string, directives []directive, file string, line int) (errs Errors) {
	for _, d := range directives {
		key := d.name
		if path != "" {
			key = path + "." + key
		}
		fail := func(format string, args ...any) {
			errs = append(errs, Error{d.file, d.line, key, fmt.Sprintf(format, args...)})
		}
		i := slices.IndexFunc(s.fields, func(f *field) bool { return f.name == d.name })
		if i < 0 {
			fail("unknown directive%s", s.near(d.name))
			continue
		}
		f := s.fields[i]
		switch {
		case f.given > 0 && !f.repeat:
			fail("given twice, first at %s:%d", f.file, f.given)
			continue
		case f.open == nil && d.isBlock:
			fail("takes no block")
			continue
		case f.open != nil && !d.isBlock:
			fail("expected a block: end the line with {")
			continue
		}
		f.given, f.file = d.line, d.file
		if f.open == nil {
			if err := f.set(d.words); err != nil {
				fail("%v", err)
			}
			continue
		}
		section, err := f.open(d.words)
		if err != nil {
			fail("%v", err)
			continue
		}
		f.blocks = append(f.blocks, opened{d.words, section})
		errs = append(errs, section.apply(key, d.block, d.file, d.line)...)
	}
	if len(errs) == 0 {
		for _, check := range s.checks {
			if err := check(); err != nil {
				errs = append(errs, Error{file, max(line, 1), path, err.Error()})
			}
		}
	}
	return errs
}

// near names the directives of the section, to choose from.
func (s *Section) near(name string) string {
	var like []string
	for _, f := range s.fields {
		if len(name) > 1 && (strings.HasPrefix(f.name, name[:2]) || strings.Contains(f.name, name) || strings.Contains(name, f.name)) {
			like = append(like, f.name)
		}
	}
	if len(like) == 0 {
		return ""
	}
	return "; there is " + strings.Join(like, ", ")
}

// Print writes the settings in force in the form that Load reads, defaults marked.
func (s *Section) Print(w io.Writer) error { return s.print(w, "") }

func (s *Section) print(w io.Writer, indent string) error {
	var err error
	put := func(format string, args ...any) {
		if err == nil {
			_, err = fmt.Fprintf(w, indent+format+"\n", args...)
		}
	}
	for _, f := range s.fields {
		if f.open != nil {
			if len(f.blocks) == 0 {
				put("# %s: none given", f.name)
			}
			for _, b := range f.blocks {
				line := f.name
				for _, word := range b.words {
					line += " " + quote(word)
				}
				put("%s {", line)
				if err == nil {
					err = b.section.print(w, indent+"    ")
				}
				put("}")
			}
			continue
		}
		values := f.show()
		switch {
		case len(values) == 0:
			put("# %s: none", f.name)
		case f.given == 0:
			put("%s %s  # default", f.name, values[0])
		default:
			for _, v := range values {
				put("%s %s", f.name, v)
			}
		}
	}
	return err
}

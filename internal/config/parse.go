package config

import (
	"bytes"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"

	"github.com/google/shlex"
)

// The bounds of what is read.
const (
	mostBytes = 1 << 20 // a file
	mostFiles = 256
	mostDepth = 16 // of blocks, and of files that include others
)

// Error is one thing that is wrong with the settings.
type Error struct {
	File string
	Line int
	Key  string // the directive with the blocks it is in, as catalogue.wait; empty: the line itself
	Text string
}

// Error gives it as file:line: key: text.
func (e Error) Error() string {
	where := fmt.Sprintf("%s:%d: ", e.File, e.Line)
	if e.Key != "" {
		where += e.Key + ": "
	}
	return where + e.Text
}

// Errors is all that is wrong, in the order of the lines.
type Errors []Error

// Error gives one a line.
func (e Errors) Error() string {
	lines := make([]string, len(e))
	for i := range e {
		lines[i] = e[i].Error()
	}
	return strings.Join(lines, "\n")
}

// directive is a line: a name, its words, and the lines of its block.
type directive struct {
	file    string
	line    int
	name    string
	words   []string
	isBlock bool
	block   []directive
}

// parser reads files into directives.
type parser struct {
	errs  Errors
	files int
}

func (p *parser) fail(file string, line int, format string, args ...any) {
	p.errs = append(p.errs, Error{File: file, Line: line, Text: fmt.Sprintf(format, args...)})
}

// load reads a file and what it includes.
func (p *parser) load(path string, from *directive, depth int) []directive {
	file, line := path, 0
	if from != nil {
		file, line = from.file, from.line
	}
	if p.files++; p.files > mostFiles || depth > mostDepth {
		p.fail(file, line, "more than %d files, or files that include each other", mostFiles)
		return nil
	}
	info, err := os.Stat(path)
	if err == nil && info.Size() > mostBytes {
		err = fmt.Errorf("%s has %d bytes, at most %d are read", path, info.Size(), mostBytes)
	}
	var text []byte
	if err == nil {
		text, err = os.ReadFile(path)
	}
	if err != nil {
		p.fail(file, line, "%v", err)
		return nil
	}
	return p.parse(path, text, depth)
}

// parse reads the lines of one file.
func (p *parser) parse(file string, text []byte, depth int) []directive {
	stack := []directive{{file: file}}
	lines := bytes.Split(text, []byte("\n"))
	for i, line := range lines {
		words, err := shlex.Split(strings.TrimSuffix(string(line), "\r"))
		at := i + 1
		switch {
		case bytes.IndexByte(line, 0) >= 0:
			p.fail(file, at, "the line has a zero byte")
			continue
		case err != nil:
			p.fail(file, at, "a quote is not closed")
			continue
		case len(words) == 0:
			continue
		case len(words) == 1 && words[0] == "}":
			if len(stack) == 1 {
				p.fail(file, at, "a block is closed that was not opened")
				continue
			}
			done := stack[len(stack)-1]
			stack = stack[:len(stack)-1]
			top := &stack[len(stack)-1]
			top.block = append(top.block, done)
			continue
		}
		d := directive{file: file, line: at, name: words[0], words: words[1:]}
		top := &stack[len(stack)-1]
		if n := len(words); words[n-1] == "{" && n > 1 {
			d.words, d.isBlock = d.words[:n-2], true
			if len(stack) > mostDepth {
				p.fail(file, at, "blocks are nested more than %d deep", mostDepth)
				return stack[0].block
			}
			stack = append(stack, d)
			continue
		}
		if d.name == "include" {
			top.block = append(top.block, p.include(d, depth)...)
			continue
		}
		top.block = append(top.block, d)
	}
	for len(stack) > 1 {
		open := stack[len(stack)-1]
		p.fail(file, open.line, "the block %s is not closed", open.name)
		stack = stack[:len(stack)-1]
	}
	return stack[0].block
}

// include reads the files that a pattern matches, by name; it is relative to the file that names it.
func (p *parser) include(d directive, depth int) (out []directive) {
	if len(d.words) != 1 {
		p.fail(d.file, d.line, "include: expected one pattern, got %d words", len(d.words))
		return nil
	}
	pattern := d.words[0]
	if !filepath.IsAbs(pattern) {
		pattern = filepath.Join(filepath.Dir(d.file), pattern)
	}
	paths, err := filepath.Glob(pattern)
	if err != nil || len(paths) == 0 && !strings.ContainsAny(pattern, "*?[") {
		p.fail(d.file, d.line, "include: no file %s", pattern)
		return nil
	}
	slices.Sort(paths)
	for _, path := range paths {
		out = append(out, p.load(path, &d, depth+1)...)
	}
	return out
}

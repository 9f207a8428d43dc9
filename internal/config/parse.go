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
	maxFileSize = 1 << 20 // in bytes
	maxFiles    = 256
	maxDepth    = 16 // of blocks, and of files that include others
)

const (
	blockOpening     = "{"
	blockClosing     = "}"
	includeDirective = "include"
)

// line is a line of a file: a directive's name, its words, and the lines of its block.
type line struct {
	file    string
	number  int // from 1
	name    string
	words   []string
	isBlock bool
	block   []line
}

// parser reads files into lines.
type parser struct {
	errs  Errors
	files int
}

func (p *parser) fail(file string, number int, format string, args ...any) {
	p.errs = append(p.errs, Error{File: file, Line: number, Text: fmt.Sprintf(format, args...)})
}

// load reads a file and what it includes. includedBy is nil for the first.
func (p *parser) load(path string, includedBy *line, depth int) []line {
	file, number := path, 0
	if includedBy != nil {
		file, number = includedBy.file, includedBy.number
	}
	p.files++
	if p.files > maxFiles || depth > maxDepth {
		p.fail(file, number, "more than %d files, or files that include each other", maxFiles)
		return nil
	}
	text, err := readFile(path)
	if err != nil {
		p.fail(file, number, "%v", err)
		return nil
	}
	return p.parse(path, text, depth)
}

// readFile reads a file that is not too large.
func readFile(path string) ([]byte, error) {
	info, err := os.Stat(path)
	if err != nil {
		return nil, err
	}
	if info.Size() > maxFileSize {
		return nil, fmt.Errorf("%s has %d bytes, at most %d are read", path, info.Size(), maxFileSize)
	}
	return os.ReadFile(path)
}

// openBlocks is the stack of the blocks that are open while a file is read; the first stands for the file.
type openBlocks []line

func (o openBlocks) top() *line { return &o[len(o)-1] }

func (o openBlocks) add(lines ...line) { o.top().block = append(o.top().block, lines...) }

// closeTop adds the last block to the one around it.
func (o openBlocks) closeTop() openBlocks {
	closed := *o.top()
	outer := o[:len(o)-1]
	outer.add(closed)
	return outer
}

// parse reads the lines of one file.
func (p *parser) parse(file string, text []byte, depth int) []line {
	blocks := openBlocks{{file: file}}
	for i, raw := range bytes.Split(text, []byte("\n")) {
		number := i + 1
		words, ok := p.split(file, number, raw)
		if !ok || len(words) == 0 {
			continue
		}
		if len(words) == 1 && words[0] == blockClosing {
			if len(blocks) == 1 {
				p.fail(file, number, "a block is closed that was not opened")
				continue
			}
			blocks = blocks.closeTop()
			continue
		}
		read := newLine(file, number, words)
		switch {
		case read.isBlock:
			if len(blocks) > maxDepth {
				p.fail(file, number, "blocks are nested more than %d deep", maxDepth)
				return blocks[0].block
			}
			blocks = append(blocks, read)
		case read.name == includeDirective:
			blocks.add(p.include(read, depth)...)
		default:
			blocks.add(read)
		}
	}
	for i := len(blocks) - 1; i > 0; i-- {
		p.fail(file, blocks[i].number, "the block %s is not closed", blocks[i].name)
	}
	return blocks[0].block
}

// split splits a line into words as a shell does, and reports whether it could.
func (p *parser) split(file string, number int, raw []byte) (words []string, ok bool) {
	if bytes.IndexByte(raw, 0) >= 0 {
		p.fail(file, number, "the line has a zero byte")
		return nil, false
	}
	words, err := shlex.Split(strings.TrimSuffix(string(raw), "\r"))
	if err != nil {
		p.fail(file, number, "a quote is not closed")
		return nil, false
	}
	return words, true
}

// newLine makes a line of its words, of which a last { opens a block.
func newLine(file string, number int, words []string) line {
	read := line{file: file, number: number, name: words[0], words: words[1:]}
	last := len(read.words) - 1
	if last >= 0 && read.words[last] == blockOpening {
		read.words = read.words[:last]
		read.isBlock = true
	}
	return read
}

// include reads the files that a pattern matches, by name; it is relative to the file that names it.
func (p *parser) include(given line, depth int) []line {
	if len(given.words) != 1 {
		p.fail(given.file, given.number, "include: expected one pattern, got %d words", len(given.words))
		return nil
	}
	pattern := given.words[0]
	if !filepath.IsAbs(pattern) {
		pattern = filepath.Join(filepath.Dir(given.file), pattern)
	}
	paths, err := filepath.Glob(pattern)
	isMissing := len(paths) == 0 && !strings.ContainsAny(pattern, "*?[")
	if err != nil || isMissing {
		p.fail(given.file, given.number, "include: no file %s", pattern)
		return nil
	}
	slices.Sort(paths)
	var lines []line
	for _, path := range paths {
		lines = append(lines, p.load(path, &given, depth+1)...)
	}
	return lines
}

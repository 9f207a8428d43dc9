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

// Limits of the parser.
const (
	maxFileSize = 1 << 20 // bytes
	maxFiles    = 256
	maxDepth    = 16 // of nested blocks, and of nested includes
)

const (
	blockOpening     = "{"
	blockClosing     = "}"
	includeDirective = "include"
)

// line is one line of a file: the name of a directive, its words, and the lines of its block.
type line struct {
	file    string
	number  int // from 1
	name    string
	words   []string
	isBlock bool
	block   []line
}

// parser reads files into lines and collects the errors.
type parser struct {
	errs  Errors
	files int
}

func (p *parser) fail(file string, number int, format string, args ...any) {
	p.errs = append(p.errs, Error{File: file, Line: number, Text: fmt.Sprintf(format, args...)})
}

// load reads a file and the files that it includes. includedBy is the include directive, nil for the first file.
func (p *parser) load(path string, includedBy *line, depth int) []line {
	file, number := path, 0
	if includedBy != nil {
		file, number = includedBy.file, includedBy.number
	}
	p.files++
	if p.files > maxFiles || depth > maxDepth {
		p.fail(file, number, "more than %d files, or includes nested too deeply, perhaps in a cycle", maxFiles)
		return nil
	}
	text, err := readFile(path)
	if err != nil {
		p.fail(file, number, "%v", err)
		return nil
	}
	return p.parse(path, text, depth)
}

// readFile reads a file. It returns an error if the file is larger than maxFileSize.
func readFile(path string) ([]byte, error) {
	info, err := os.Stat(path)
	if err != nil {
		return nil, err
	}
	if info.Size() > maxFileSize {
		return nil, fmt.Errorf("%s has %d bytes, expected at most %d", path, info.Size(), maxFileSize)
	}
	return os.ReadFile(path)
}

// blockStack is the stack of the open blocks while a file is parsed. Its first element is the file itself.
type blockStack []line

func (s blockStack) top() *line { return &s[len(s)-1] }

func (s blockStack) add(lines ...line) { s.top().block = append(s.top().block, lines...) }

// closeTop closes the innermost block: it adds the block to the enclosing one and returns the stack without it.
func (s blockStack) closeTop() blockStack {
	closed := *s.top()
	outer := s[:len(s)-1]
	outer.add(closed)
	return outer
}

// parse parses the text of one file. The lines of an included file take the place of the include directive.
func (p *parser) parse(file string, text []byte, depth int) []line {
	blocks := blockStack{{file: file}}
	for i, raw := range bytes.Split(text, []byte("\n")) {
		number := i + 1
		words, ok := p.split(file, number, raw)
		if !ok || len(words) == 0 {
			continue
		}
		if len(words) == 1 && words[0] == blockClosing {
			if len(blocks) == 1 {
				p.fail(file, number, "unexpected }: no block is open")
				continue
			}
			blocks = blocks.closeTop()
			continue
		}
		parsed := newLine(file, number, words)
		switch {
		case parsed.isBlock:
			if len(blocks) > maxDepth {
				p.fail(file, number, "blocks are nested more than %d deep", maxDepth)
				return blocks[0].block
			}
			blocks = append(blocks, parsed)
		case parsed.name == includeDirective:
			blocks.add(p.include(parsed, depth)...)
		default:
			blocks.add(parsed)
		}
	}
	for i := len(blocks) - 1; i > 0; i-- {
		p.fail(file, blocks[i].number, "block %s is not closed", blocks[i].name)
	}
	return blocks[0].block
}

// split splits a line into words as a shell does. If it cannot, it records an error and returns false.
func (p *parser) split(file string, number int, raw []byte) (words []string, ok bool) {
	if bytes.IndexByte(raw, 0) >= 0 {
		p.fail(file, number, "line contains a zero byte")
		return nil, false
	}
	words, err := shlex.Split(strings.TrimSuffix(string(raw), "\r"))
	if err != nil {
		p.fail(file, number, "unterminated quote or escape")
		return nil, false
	}
	return words, true
}

// newLine returns the line with the given words. A last word { opens a block.
func newLine(file string, number int, words []string) line {
	parsed := line{file: file, number: number, name: words[0], words: words[1:]}
	last := len(parsed.words) - 1
	if last >= 0 && parsed.words[last] == blockOpening {
		parsed.words = parsed.words[:last]
		parsed.isBlock = true
	}
	return parsed
}

// include reads the files that a pattern matches, sorted by name. A relative pattern is resolved against the directory
// of the including file. A pattern with wildcards may match no file.
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
		p.fail(given.file, given.number, "include: no file matches %s", pattern)
		return nil
	}
	slices.Sort(paths)
	var lines []line
	for _, path := range paths {
		lines = append(lines, p.load(path, &given, depth+1)...)
	}
	return lines
}

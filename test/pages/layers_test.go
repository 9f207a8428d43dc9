package pages

import (
	"go/parser"
	"go/token"
	"io/fs"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"testing"
)

const module = "sloequay/internal/"

// layers are the layers of docs/ARCHITECTURE.md, from the top. A package may import only packages of its own layer and
// of those below it. A package in a subdirectory belongs to the layer of its parent unless it is listed itself.
var layers = [][]string{
	{"cli"},
	{"proxy", "drill"},
	{"frontend/rpc", "frontend/dns", "upstream", "membership/listwatch", "membership/consul", "peer/transport",
		"snapshot/disk", "identity/keydir", "identity/tlslistener", "identity/tlsclient", "identity/files",
		"platformconfig", "simwire", "emulator"},
	{"broker"},
	{"policy", "quota", "concurrency", "retry", "retryafter", "route", "invalidation", "membership", "identity",
		"bootstrap", "peer", "snapshot", "shutdown", "frontend/connlimit", "frontend/rpc/pacing",
		"frontend/rpc/answersize", "upstream/liveness"},
	{"clock", "config", "eventlog", "eventloop", "expiry", "frontend/rpc/msgpack", "digesttest", "invariant",
		"atomicfile", "memory"},
}

// ioPackages are packages of the standard library that pure packages must not import, as their callers do the I/O.
var ioPackages = []string{"os", "net", "net/http", "os/exec", "os/signal", "syscall"}

// pureAssemblyPackages are the pure packages among those that assemble the proxy.
var pureAssemblyPackages = []string{"proxy/readiness", "proxy/deferral", "proxy/descriptors"}

// isPure reports whether a package only makes decisions and must do no I/O. These are the packages in the layer of the
// broker and in the one below, those below membership/consul, and the pureAssemblyPackages.
func isPure(name string) bool {
	layer := layerOf(name)
	return layer == len(layers)-2 || layer == len(layers)-3 || strings.HasPrefix(name, "membership/consul/") ||
		slices.Contains(pureAssemblyPackages, name)
}

// layerOf returns the index of a package's layer, or -1 if it has none.
func layerOf(name string) int {
	for ; ; name = filepath.Dir(name) {
		for i, layer := range layers {
			if slices.Contains(layer, name) {
				return i
			}
		}
		if !strings.Contains(name, "/") {
			return -1
		}
	}
}

// TestLayers checks that packages import only what docs/ARCHITECTURE.md draws in their own layer or below, and that
// pure packages neither do I/O nor read the clock.
func TestLayers(t *testing.T) {
	checkedFiles := 0
	err := filepath.WalkDir(filepath.Join(root, "internal"), func(path string, d fs.DirEntry, err error) error {
		if err != nil || d.IsDir() || !strings.HasSuffix(path, ".go") || !isProgram(path) {
			return err
		}
		name, err := filepath.Rel(filepath.Join(root, "internal"), filepath.Dir(path))
		if err != nil {
			return err
		}
		parsed, err := parser.ParseFile(token.NewFileSet(), path, nil, parser.ImportsOnly)
		if err != nil {
			return err
		}
		checkedFiles++
		own := layerOf(name)
		if own < 0 {
			t.Errorf("package %s is in no layer", name)
		}
		for _, spec := range parsed.Imports {
			imported, err := strconv.Unquote(spec.Path.Value)
			if err != nil {
				return err
			}
			if importedName, ours := strings.CutPrefix(imported, module); ours && layerOf(importedName) < own {
				t.Errorf("%s imports %s, which is in a layer above it", path, importedName)
			}
			if isPure(name) && slices.Contains(ioPackages, imported) {
				t.Errorf("%s belongs to a pure package, but imports %s", path, imported)
			}
		}
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
	if checkedFiles < 100 {
		t.Errorf("checked %d files, want at least 100", checkedFiles)
	}
	c := &checker{root: root}
	for _, name := range append(slices.Clone(layers[len(layers)-3]), layers[len(layers)-2]...) {
		if text := c.text(filepath.Join("internal", name), isProgram); strings.Contains(text, "time.Now(") ||
			strings.Contains(text, "time.Since(") {
			t.Errorf("package %s must be pure, but reads the clock", name)
		}
	}
}

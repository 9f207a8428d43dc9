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

// layers are those of docs/ARCHITECTURE.md, from the top: a package imports its own layer and what stands below it.
// Folders below a package that is named are of its layer, where they are not named themselves.
var layers = [][]string{
	{"cli"},
	{"proxy", "drill"},
	{"frontend/rpc", "frontend/dns", "upstream", "membership/listwatch", "membership/consul", "peer/transport",
		"snapshot/disk", "identity/keydir", "identity/tlslistener", "identity/tlsclient", "identity/files",
		"platformconfig", "simwire", "emulator"},
	{"broker"},
	{"policy", "quota", "concurrency", "retry", "retryafter", "route", "invalidation", "membership", "identity",
		"bootstrap", "peer", "snapshot", "shutdown", "frontend/connlimit", "frontend/rpc/pacing",
		"upstream/liveness"},
	{"clock", "config", "eventlog", "eventloop", "expiry", "frontend/rpc/msgpack", "digesttest", "invariant",
		"atomicfile"},
}

// ioPackages are of the standard library, and not for what decides: its caller does the I/O.
var ioPackages = []string{"os", "net", "net/http", "os/exec", "os/signal", "syscall"}

// assemblyDecisions are the packages that decide among those of the assembly.
var assemblyDecisions = []string{"proxy/readiness", "proxy/deferral", "proxy/descriptors"}

// decides says whether a package decides and does no I/O: what stands in the layers of the broker and below it, but
// for the last layer, and what the sources and the assembly have decided by.
func decides(name string) bool {
	layer := layerOf(name)
	return layer == len(layers)-2 || layer == len(layers)-3 || strings.HasPrefix(name, "membership/consul/") ||
		slices.Contains(assemblyDecisions, name)
}

// layerOf is the place of a package's layer; -1: it has none.
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

// TestLayers: packages import what docs/ARCHITECTURE.md draws below them, and what decides does no I/O and asks no
// clock.
func TestLayers(t *testing.T) {
	looked := 0
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
		looked++
		own := layerOf(name)
		if own < 0 {
			t.Errorf("%s is in no layer", name)
		}
		for _, spec := range parsed.Imports {
			imported, err := strconv.Unquote(spec.Path.Value)
			if err != nil {
				return err
			}
			if below, ours := strings.CutPrefix(imported, module); ours && layerOf(below) < own {
				t.Errorf("%s imports %s, which stands above it", path, below)
			}
			if decides(name) && slices.Contains(ioPackages, imported) {
				t.Errorf("%s decides, and imports %s", path, imported)
			}
		}
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
	if looked < 100 {
		t.Errorf("%d files looked at", looked)
	}
	c := &checker{root: root}
	for _, name := range append(slices.Clone(layers[len(layers)-3]), layers[len(layers)-2]...) {
		if text := c.text(filepath.Join("internal", name), isProgram); strings.Contains(text, "time.Now(") ||
			strings.Contains(text, "time.Since(") {
			t.Errorf("%s decides, and asks the clock", name)
		}
	}
}

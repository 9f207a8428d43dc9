package proxy

import (
	"go/build"
	"path/filepath"
	"strings"
	"testing"
)

// packagesBelowLoop lists the packages that do no I/O for the proxy: state machines that their callers step, and parts
// of the sources of endpoints.
var packagesBelowLoop = []string{
	"bootstrap", "broker", "clock", "concurrency", "config", "invalidation", "membership", "peer", "policy", "quota",
	"retry", "retryafter", "route", "shutdown", "snapshot", "membership/consul/blockingquery",
	"membership/consul/health", "membership/consul/registrar", "proxy/readiness", "proxy/deferral", "proxy/descriptors",
}

// TestImportsFollowLayers checks that packages below the event loop import nothing from above it, directly or
// indirectly, and that the sources of endpoints do not depend on the broker, which receives their reports.
func TestImportsFollowLayers(t *testing.T) {
	for _, name := range packagesBelowLoop {
		forbidImports(t, name, "eventloop", "proxy", "frontend", "upstream", "emulator", "drill")
	}
	for _, name := range []string{"membership", "membership/consul", "membership/listwatch"} {
		forbidImports(t, name, "broker", "policy", "proxy", "frontend", "upstream", "emulator", "drill")
	}
	for _, name := range []string{"eventloop", "frontend/dns", "frontend/rpc", "upstream", "upstream/resolver"} {
		forbidImports(t, name, "proxy", "emulator", "drill")
	}
	forbidImports(t, "proxy", "emulator", "drill")
}

// forbidImports fails the test if a package of internal/ imports, directly or indirectly, a package in one of the
// directories.
func forbidImports(t *testing.T, name string, directories ...string) {
	t.Helper()
	for imported, chain := range transitiveImports(t, name) {
		for _, directory := range directories {
			if imported == directory || strings.HasPrefix(imported, directory+"/") {
				t.Errorf("internal/%s must not import %s, got the import chain %s", name, directory, chain)
			}
		}
	}
}

// transitiveImports returns the packages of internal/ that a package imports directly or indirectly, each with the
// chain of imports that leads to it. Imports of test files do not count.
func transitiveImports(t *testing.T, name string) map[string]string {
	t.Helper()
	const root = "sloequay/internal/"
	chains := map[string]string{}
	pending := []string{name}
	chainTo := map[string]string{name: name}
	for len(pending) > 0 {
		importer := pending[0]
		pending = pending[1:]
		importerPackage, err := build.ImportDir(filepath.Join("..", filepath.FromSlash(importer)), 0)
		if err != nil {
			t.Fatal(err)
		}
		for _, path := range importerPackage.Imports {
			imported, isInternal := strings.CutPrefix(path, root)
			if _, seen := chainTo[imported]; !isInternal || seen {
				continue
			}
			chainTo[imported] = chainTo[importer] + " > " + imported
			chains[imported] = chainTo[imported]
			pending = append(pending, imported)
		}
	}
	return chains
}

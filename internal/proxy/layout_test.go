package proxy

import (
	"go/build"
	"path/filepath"
	"strings"
	"testing"
)

// packagesBelowLoop are the packages that do no I/O of the proxy's: state machines that their users step, and the sources.
var packagesBelowLoop = []string{
	"bootstrap", "broker", "clock", "concurrency", "config", "invalidation", "membership", "peer", "policy", "quota",
	"retry", "retryafter", "route", "shutdown", "snapshot", "membership/consul/blockingquery",
	"membership/consul/health", "membership/consul/registrar", "proxy/readiness", "proxy/deferral", "proxy/descriptors",
}

// TestImportsFollowLayers: what stands below the event loop imports nothing that stands above, not by way of others either,
// and the sources of endpoints know nothing of the broker that takes what they report.
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

// forbidImports fails when a package of internal/ imports, at whatever depth, one of the folders named or one below it.
func forbidImports(t *testing.T, name string, directories ...string) {
	t.Helper()
	for imported, chain := range transitiveImports(t, name) {
		for _, folder := range directories {
			if imported == folder || strings.HasPrefix(imported, folder+"/") {
				t.Errorf("internal/%s must not import %s: %s", name, folder, chain)
			}
		}
	}
}

// transitiveImports gives the packages of internal/ that one imports at whatever depth, and by which way. Tests' own do not
// count.
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

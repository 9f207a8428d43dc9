package policy

import (
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"testing"
)

const (
	maxFileLines     = 250 // that are not blank, of a file listed under policy in the deploy file
	maxPolicyColumns = 110 // of a line in this package
	maxColumns       = 120 // of a line in the other packages
	repository       = "../.."
)

// decisionPackages are the folders, including those below them, in which every file decides on an endpoint, a retry or
// a rejection, or implements a mechanism that such decisions depend on.
var decisionPackages = []string{
	"internal/policy",
	"internal/retryafter",
	"internal/quota",
	"internal/concurrency",
	"internal/retry",
	"internal/route",
	"internal/shutdown",
	"internal/invalidation",
	"internal/upstream/liveness",
	"internal/eventloop/standstill",
	"internal/frontend/connlimit",
	"internal/frontend/rpc/pacing",
	"internal/proxy/readiness",
	"internal/proxy/deferral",
	"internal/proxy/descriptors",
}

// TestDecisionFilesAreListed: the deploy file lists all files of the decision packages, and no file that does not
// exist.
func TestDecisionFilesAreListed(t *testing.T) {
	listed := policyFiles(t)
	for _, path := range listed {
		if _, err := os.Stat(filepath.Join(repository, path)); err != nil {
			t.Errorf("deploy/balancer.toml lists %s under policy: %v", path, err)
		}
	}
	found := 0
	for _, folder := range decisionPackages {
		walk := func(path string, _ fs.DirEntry, err error) error {
			isDecision := strings.HasSuffix(path, ".go") && !strings.HasSuffix(path, "_test.go") &&
				filepath.Base(path) != "doc.go"
			if err != nil || !isDecision {
				return err
			}
			found++
			relative, err := filepath.Rel(repository, path)
			if !slices.Contains(listed, filepath.ToSlash(relative)) {
				t.Errorf("deploy/balancer.toml does not list %s under policy", relative)
			}
			return err
		}
		if err := filepath.WalkDir(filepath.Join(repository, folder), walk); err != nil {
			t.Fatal(err)
		}
	}
	if found < 20 {
		t.Errorf("got %d files in the decision packages, want at least 20", found)
	}
}

// TestDecisionFilesAreShort limits each decision file to what an auditor can read in one session.
func TestDecisionFilesAreShort(t *testing.T) {
	for _, path := range policyFiles(t) {
		text, err := os.ReadFile(filepath.Join(repository, path))
		if err != nil {
			t.Fatal(err)
		}
		limit := maxColumns
		if filepath.Dir(path) == decisionPackages[0] {
			limit = maxPolicyColumns
		}
		lines := 0
		for i, line := range strings.Split(string(text), "\n") {
			if strings.TrimSpace(line) != "" {
				lines++
			}
			if n := len([]rune(strings.ReplaceAll(line, "\t", "    "))); n > limit {
				t.Errorf("%s:%d: got %d columns, want at most %d", path, i+1, n, limit)
			}
		}
		if lines > maxFileLines {
			t.Errorf("%s: got %d lines that are not blank, want at most %d", path, lines, maxFileLines)
		}
	}
}

// policyFiles returns the files that the deploy file lists under policy.
func policyFiles(t *testing.T) []string {
	t.Helper()
	text, err := os.ReadFile(filepath.Join(repository, "deploy/balancer.toml"))
	if err != nil {
		t.Fatal(err)
	}
	list := regexp.MustCompile(`(?ms)^policy\s*=\s*\[(.*?)\]`).FindSubmatch(text)
	if list == nil {
		t.Fatal("deploy/balancer.toml lists no policy files")
	}
	var paths []string
	for _, quoted := range regexp.MustCompile(`"([^"]+)"`).FindAllSubmatch(list[1], -1) {
		paths = append(paths, string(quoted[1]))
	}
	if len(paths) == 0 {
		t.Fatal("deploy/balancer.toml lists no policy files")
	}
	return paths
}

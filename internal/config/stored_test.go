package config

import (
	"bytes"
	"os"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// TestStoredSettings reads a settings file with one that it includes, compares every value, and wants them printed as
// an earlier build printed them.
func TestStoredSettings(t *testing.T) {
	var got all
	section := got.section()
	if err := section.Load("testdata/settings.conf"); err != nil {
		t.Fatal(err)
	}
	want := all{wait: 90 * time.Second, open: 7, share: 0.25, memory: 64 << 20, rate: 200, on: true,
		name: `a "quoted" name`, mode: "stale", tags: []string{"x", "y z", "it's"},
		teams: []*team{{"cameras", 100}, {"lanes", 3}, {"the rest", 0}}}
	if diff := cmp.Diff(want, got, cmp.AllowUnexported(all{}, team{})); diff != "" {
		t.Errorf("values (-want +got):\n%s", diff)
	}
	comparePrinted(t, section, "testdata/printed.txt")
}

// TestStoredDefaults wants the settings of an empty file printed as an earlier build printed them, marked as defaults.
func TestStoredDefaults(t *testing.T) {
	section := new(all).section()
	if err := section.Parse("empty", nil); err != nil {
		t.Fatal(err)
	}
	comparePrinted(t, section, "testdata/defaults.txt")
}

func comparePrinted(t *testing.T, section *Section, path string) {
	t.Helper()
	stored, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	var printed bytes.Buffer
	if err := section.Print(&printed); err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(string(stored), printed.String()); diff != "" {
		t.Errorf("%s (-stored +printed):\n%s", path, diff)
	}
}

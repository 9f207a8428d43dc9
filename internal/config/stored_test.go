package config

import (
	"bytes"
	"os"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// TestStoredSettings loads a stored settings file, which includes another. It compares every value, and the printed
// settings with those that an earlier build printed.
func TestStoredSettings(t *testing.T) {
	var got allKinds
	section := got.section()
	if err := section.Load("testdata/settings.conf"); err != nil {
		t.Fatal(err)
	}
	want := allKinds{wait: 90 * time.Second, open: 7, share: 0.25, memory: 64 << 20, rate: 200, on: true,
		name: `a "quoted" name`, mode: "stale", tags: []string{"x", "y z", "it's"},
		teams: []*team{{"cameras", 100}, {"lanes", 3}, {"the rest", 0}}}
	if diff := cmp.Diff(want, got, cmp.AllowUnexported(allKinds{}, team{})); diff != "" {
		t.Errorf("loaded values (-want +got):\n%s", diff)
	}
	comparePrinted(t, section, "testdata/printed.txt")
}

// TestStoredDefaults compares the printed settings of an empty file, which are marked as defaults, with those that an
// earlier build printed.
func TestStoredDefaults(t *testing.T) {
	section := new(allKinds).section()
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
		t.Errorf("%s (-want +got):\n%s", path, diff)
	}
}

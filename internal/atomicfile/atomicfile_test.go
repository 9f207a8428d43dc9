package atomicfile

import (
	"os"
	"path/filepath"
	"testing"
)

// TestReplaceKeepsOldFileOnFailure checks that Replace sets content and mode, and that a failed Replace changes nothing
// and leaves no other file in the directory.
func TestReplaceKeepsOldFileOnFailure(t *testing.T) {
	directory := t.TempDir()
	path := filepath.Join(directory, "file")
	for _, text := range []string{"old", "new"} {
		if err := Replace(path, []byte(text), 0o640); err != nil {
			t.Fatal(err)
		}
	}
	info, err := os.Stat(path)
	if err != nil || info.Mode().Perm() != 0o640 {
		t.Errorf("got mode %v, error %v, want 0640", info.Mode(), err)
	}
	occupied := filepath.Join(directory, "occupied")
	if err := os.MkdirAll(filepath.Join(occupied, "child"), 0o700); err != nil {
		t.Fatal(err)
	}
	if err := Replace(occupied, []byte("x"), 0o600); err == nil {
		t.Error("Replace of a directory that is not empty: got no error, want one")
	}
	if text, err := os.ReadFile(path); err != nil || string(text) != "new" {
		t.Errorf("got content %q, error %v, want \"new\"", text, err)
	}
	if entries, err := os.ReadDir(directory); err != nil || len(entries) != 2 {
		t.Errorf("got %d entries in the directory, error %v, want 2", len(entries), err)
	}
}

// TestRemoveTemporaryRemovesOnlyItsOwn checks that temporary files of the path are removed, and no other files.
func TestRemoveTemporaryRemovesOnlyItsOwn(t *testing.T) {
	directory := t.TempDir()
	path := filepath.Join(directory, "file")
	for _, name := range []string{"file", "file.new-1", "file.new-22", "other.new-1"} {
		if err := os.WriteFile(filepath.Join(directory, name), nil, 0o600); err != nil {
			t.Fatal(err)
		}
	}
	RemoveTemporary(path)
	entries, err := os.ReadDir(directory)
	if err != nil || len(entries) != 2 || entries[0].Name() != "file" || entries[1].Name() != "other.new-1" {
		t.Errorf("got entries %v, error %v, want file and other.new-1", entries, err)
	}
}

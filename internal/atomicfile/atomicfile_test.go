package atomicfile

import (
	"os"
	"path/filepath"
	"testing"
)

// TestReplaceKeepsTheOldFileOnFailure: a file is replaced with its mode; where that fails the old one stays, and
// nothing else is left in the folder.
func TestReplaceKeepsTheOldFileOnFailure(t *testing.T) {
	folder := t.TempDir()
	path := filepath.Join(folder, "file")
	for _, text := range []string{"old", "new"} {
		if err := Replace(path, []byte(text), 0o640); err != nil {
			t.Fatal(err)
		}
	}
	info, err := os.Stat(path)
	if err != nil || info.Mode().Perm() != 0o640 {
		t.Errorf("mode %v, %v, want 0640", info.Mode(), err)
	}
	occupied := filepath.Join(folder, "occupied")
	if err := os.MkdirAll(filepath.Join(occupied, "by a folder"), 0o700); err != nil {
		t.Fatal(err)
	}
	if err := Replace(occupied, []byte("x"), 0o600); err == nil {
		t.Error("a folder was replaced by a file")
	}
	if text, err := os.ReadFile(path); err != nil || string(text) != "new" {
		t.Errorf("the file has %q, %v, want the new text", text, err)
	}
	if entries, err := os.ReadDir(folder); err != nil || len(entries) != 2 {
		t.Errorf("%d entries in the folder, %v, want 2", len(entries), err)
	}
}

// TestCleanRemovesWhatACrashLeft: and nothing else.
func TestCleanRemovesWhatACrashLeft(t *testing.T) {
	folder := t.TempDir()
	path := filepath.Join(folder, "file")
	for _, name := range []string{"file", "file.new-1", "file.new-22", "other.new-1"} {
		if err := os.WriteFile(filepath.Join(folder, name), nil, 0o600); err != nil {
			t.Fatal(err)
		}
	}
	RemoveTemporary(path)
	entries, err := os.ReadDir(folder)
	if err != nil || len(entries) != 2 || entries[0].Name() != "file" || entries[1].Name() != "other.new-1" {
		t.Errorf("%v, %v, want file and other.new-1", entries, err)
	}
}

// Package atomicfile replaces files atomically: a reader finds either the complete old content or the complete new
// content, even if the process or the machine stops during the replacement.
//
// Invariants: Replace returns nil only after the new file and its directory are synced; the old file stays until the
// new one is synced and renamed over it; a Replace that fails removes its temporary file if it can.
//
// Bounds: a crash in Replace leaves one temporary file, which RemoveTemporary removes.
package atomicfile

import (
	"errors"
	"os"
	"path/filepath"
)

// temporaryPattern, appended to the name of a file, is the pattern of its temporary files (see os.CreateTemp).
const temporaryPattern = ".new-*"

// Replace writes a temporary file in the directory of path, syncs it, renames it to path and syncs the directory.
func Replace(path string, data []byte, mode os.FileMode) error {
	directory := filepath.Dir(path)
	temporary, err := writeTemporary(directory, filepath.Base(path)+temporaryPattern, data, mode)
	if err != nil {
		return err
	}
	if err := os.Rename(temporary, path); err != nil {
		_ = os.Remove(temporary)
		return err
	}
	return syncDirectory(directory)
}

// writeTemporary creates a temporary file with the data, syncs it and returns its path.
func writeTemporary(directory, pattern string, data []byte, mode os.FileMode) (string, error) {
	file, err := os.CreateTemp(directory, pattern)
	if err != nil {
		return "", err
	}
	_, err = file.Write(data)
	if err == nil {
		err = errors.Join(file.Chmod(mode), file.Sync())
	}
	if err = errors.Join(err, file.Close()); err != nil {
		_ = os.Remove(file.Name())
		return "", err
	}
	return file.Name(), nil
}

func syncDirectory(path string) error {
	directory, err := os.Open(path)
	if err != nil {
		return err
	}
	err = directory.Sync()
	// The directory is open for reading only, so an error of Close loses no data.
	_ = directory.Close()
	return err
}

// RemoveTemporary removes the temporary files of path that a crash in Replace left behind.
func RemoveTemporary(path string) {
	files, _ := filepath.Glob(path + temporaryPattern)
	for _, file := range files {
		_ = os.Remove(file)
	}
}

// Package atomicfile replaces files so that whoever reads one finds the old content or the new one complete, whenever
// the process or the machine stops.
//
// Invariants: Replace returns nil only after the new file and the folder that names it are synced; the old file stays
// until the new one is synced and takes its name; a Replace that fails leaves no temporary file that it can remove.
//
// Bounds: a crash in Replace leaves one temporary file, which Clean removes.
package atomicfile

import (
	"errors"
	"os"
	"path/filepath"
)

// temporaryPattern stands behind a file's name in the name of a temporary one.
const temporaryPattern = ".new-*"

// Replace writes a temporary file in the folder of path, syncs it, renames it to path and syncs the folder.
func Replace(path string, data []byte, mode os.FileMode) error {
	folder := filepath.Dir(path)
	temporary, err := writeTemporary(folder, filepath.Base(path)+temporaryPattern, data, mode)
	if err != nil {
		return err
	}
	if err := os.Rename(temporary, path); err != nil {
		_ = os.Remove(temporary)
		return err
	}
	return syncFolder(folder)
}

// writeTemporary gives the name of a new file whose data is synced.
func writeTemporary(folder, pattern string, data []byte, mode os.FileMode) (string, error) {
	file, err := os.CreateTemp(folder, pattern)
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

func syncFolder(path string) error {
	folder, err := os.Open(path)
	if err != nil {
		return err
	}
	err = folder.Sync()
	// The folder is only read, so that closing it can lose nothing.
	_ = folder.Close()
	return err
}

// RemoveTemporary removes temporary files that a crash in Replace has left beside a file.
func RemoveTemporary(path string) {
	files, _ := filepath.Glob(path + temporaryPattern)
	for _, file := range files {
		_ = os.Remove(file)
	}
}

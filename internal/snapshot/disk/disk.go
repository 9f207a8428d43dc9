// Package disk writes and reads the file of a snapshot, so that whoever reads it finds the old snapshot or the new one
// complete, whenever the process or the machine stops.
//
// Invariants: Write returns nil only after the new snapshot and the folder that names it are synced; the old snapshot
// stays until the new one is synced and takes its name; a Write that fails leaves no temporary file that it can remove.
//
// Bounds: at most snapshot.MaxBytes are read. A crash in Write leaves one temporary file, which Clean removes.
package disk

import (
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"time"

	"sloequay/internal/membership"
	"sloequay/internal/snapshot"
)

// temporaryPattern stands behind the snapshot's name in the name of a temporary file.
const temporaryPattern = ".new-*"

// Write replaces the snapshot at a path.
func Write(path string, data []byte) error {
	if err := replace(path, data); err != nil {
		return fmt.Errorf("snapshot: %w", err)
	}
	return nil
}

// replace writes a temporary file in the snapshot's folder, syncs it, renames it and syncs the folder.
func replace(path string, data []byte) error {
	folder := filepath.Dir(path)
	temporary, err := writeTemporary(folder, filepath.Base(path)+temporaryPattern, data)
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
func writeTemporary(folder, pattern string, data []byte) (string, error) {
	file, err := os.CreateTemp(folder, pattern)
	if err != nil {
		return "", err
	}
	_, err = file.Write(data)
	if err == nil {
		err = file.Sync()
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

// Read reads the snapshot at a path and gives its age; see snapshot.Decode and snapshot.Check for what they refuse.
func Read(
	path string, now time.Duration, limits snapshot.Limits,
) (reports []membership.SourceReport, age time.Duration, err error) {
	data, err := readBounded(path)
	if err != nil {
		return nil, 0, err
	}
	reports, age, err = snapshot.Decode(data, now, limits.MaxAge)
	if err != nil {
		return nil, age, err
	}
	if err = snapshot.Check(reports, limits); err != nil {
		return nil, age, err
	}
	return reports, age, nil
}

func readBounded(path string) ([]byte, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer file.Close()
	data, err := io.ReadAll(io.LimitReader(file, snapshot.MaxBytes+1))
	if err != nil {
		return nil, err
	}
	if len(data) > snapshot.MaxBytes {
		return nil, fmt.Errorf("%w: over %d bytes", snapshot.ErrForeign, snapshot.MaxBytes)
	}
	return data, nil
}

// Clean removes temporary files that a crash in Write has left beside the snapshot.
func Clean(path string) {
	files, _ := filepath.Glob(path + temporaryPattern)
	for _, file := range files {
		_ = os.Remove(file)
	}
}

// Package disk writes and reads the snapshot's file: to a side file, synced, renamed, and the folder synced, so that
// whoever reads it finds the old one or the new one whole.
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

// Write replaces the snapshot at a path. The old one stays where anything fails.
func Write(path string, data []byte) (err error) {
	side, err := os.CreateTemp(filepath.Dir(path), filepath.Base(path)+".new-*")
	if err != nil {
		return fmt.Errorf("snapshot: %w", err)
	}
	defer func() {
		if err != nil {
			_ = os.Remove(side.Name())
			err = fmt.Errorf("snapshot: %w", err)
		}
	}()
	_, err = side.Write(data)
	if err == nil {
		err = side.Sync()
	}
	if err = errors.Join(err, side.Close()); err != nil {
		return err
	}
	if err = os.Rename(side.Name(), path); err != nil {
		return err
	}
	folder, err := os.Open(filepath.Dir(path))
	if err != nil {
		return err
	}
	defer folder.Close()
	return folder.Sync()
}

// Read reads the snapshot at a path; see snapshot.Decode for what is refused.
func Read(path string, now, oldest time.Duration, zones, kinds int) ([]membership.SourceReport, time.Duration, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, 0, err
	}
	defer f.Close()
	data, err := io.ReadAll(io.LimitReader(f, snapshot.MaxBytes+1))
	if err != nil {
		return nil, 0, err
	}
	if len(data) > snapshot.MaxBytes {
		return nil, 0, fmt.Errorf("%w: over %d bytes", snapshot.ErrForeign, snapshot.MaxBytes)
	}
	all, age, err := snapshot.Decode(data, now, oldest)
	if err == nil {
		err = snapshot.Check(all, zones, kinds)
	}
	if err != nil {
		return nil, age, err
	}
	return all, age, nil
}

// Clean removes side files that a crash has left beside the snapshot.
func Clean(path string) {
	left, _ := filepath.Glob(path + ".new-*")
	for _, p := range left {
		_ = os.Remove(p)
	}
}

// Package disk writes and reads the file of a snapshot. A reader finds either the old snapshot or the new one,
// complete, whenever the process or the machine stops.
//
// Invariants: those of atomicfile.Replace.
//
// Bounds: at most snapshot.MaxBytes are read. A crash in Write leaves one temporary file, which Clean removes.
package disk

import (
	"fmt"
	"io"
	"os"
	"time"

	"sloequay/internal/atomicfile"
	"sloequay/internal/membership"
	"sloequay/internal/snapshot"
)

// Write replaces the snapshot at path.
func Write(path string, data []byte) error {
	if err := atomicfile.Replace(path, data, 0o600); err != nil {
		return fmt.Errorf("snapshot: %w", err)
	}
	return nil
}

// Clean removes temporary files that a crash in Write has left next to the snapshot.
func Clean(path string) { atomicfile.RemoveTemporary(path) }

// Read returns the reports in the snapshot at path and the snapshot's age. It rejects what snapshot.Decode and
// snapshot.Check reject.
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
		return nil, fmt.Errorf("%w: larger than %d bytes", snapshot.ErrInvalid, snapshot.MaxBytes)
	}
	return data, nil
}

package disk

import (
	"errors"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"sloequay/internal/membership"
	"sloequay/internal/snapshot"
)

const (
	storedFile = "testdata/sloequay.list"
	storedAt   = 1_790_000_000 * time.Second
)

// TestStoredFile checks that Read reads a file that an earlier build wrote and omits the source that was last seen more
// than a day before; that it rejects the file if the settings lack one of its kinds, or if it is too old; and that
// Write writes the same bytes.
func TestStoredFile(t *testing.T) {
	want := []membership.SourceReport{
		{
			Source: "consul:cache", Version: 71, LastSeen: storedAt - 1500*time.Millisecond,
			Endpoints: []membership.Endpoint{
				{ID: "c1", Address: "10.0.0.1:8080", Zone: 1, Kind: 2, Cell: 3, Weight: 4.5,
					StartedAt: storedAt - time.Hour, Incarnation: 1<<63 + 9, State: membership.Up},
				{ID: "c2", Address: "[fd00::2]:8080", Kind: 1, Weight: 0.1, State: membership.Draining},
			},
		},
		{Source: "bulletin", Version: 1<<64 - 1, LastSeen: storedAt},
	}
	got, age, err := Read(storedFile, storedAt+time.Hour, limits(24*time.Hour, 2, 3))
	if diff := cmp.Diff(want, got); err != nil || age != time.Hour || diff != "" {
		t.Errorf("got age %v, error %v (-want +got):\n%s", age, err, diff)
	}
	if _, _, err := Read(storedFile, storedAt, limits(24*time.Hour, 2, 2)); !errors.Is(err, snapshot.ErrInvalid) {
		t.Errorf("settings with one kind too few: got error %v, want ErrInvalid", err)
	}
	_, _, err = Read(storedFile, storedAt+25*time.Hour, limits(24*time.Hour, 2, 3))
	if !errors.Is(err, snapshot.ErrTooOld) {
		t.Errorf("after 25 hours: got error %v, want ErrTooOld", err)
	}
	stored, err := os.ReadFile(storedFile)
	if err != nil {
		t.Fatal(err)
	}
	path := filepath.Join(t.TempDir(), "sloequay.list")
	if err := Write(path, stored); err != nil {
		t.Fatal(err)
	}
	written, err := os.ReadFile(path)
	if diff := cmp.Diff(string(stored), string(written)); err != nil || diff != "" {
		t.Errorf("error %v (-stored +written):\n%s", err, diff)
	}
}

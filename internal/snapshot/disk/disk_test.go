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

const now = 1_000_000 * time.Second

func limits(maxAge time.Duration, zones, kinds int) snapshot.Limits {
	return snapshot.Limits{MaxAge: maxAge, Zones: zones, Kinds: kinds}
}

func testReports() []membership.SourceReport {
	return []membership.SourceReport{
		{Source: "consul:cache", Version: 71, LastSeen: now - time.Second, Endpoints: []membership.Endpoint{
			{ID: "c1", Address: "10.0.0.1:1", Zone: 1, Kind: 0, Cell: 2, Weight: 4.5, StartedAt: 3 * time.Second,
				Incarnation: 9, State: membership.Up},
			{ID: "c2", Address: "10.0.0.2:1", State: membership.Draining},
		}},
		{Source: "bulletin", LastSeen: now},
	}
}

func encodeTestReports(t testing.TB) []byte {
	t.Helper()
	data, err := snapshot.Encode(now, testReports())
	if err != nil {
		t.Fatal(err)
	}
	return data
}

func TestRoundTrip(t *testing.T) {
	path := filepath.Join(t.TempDir(), "list")
	for range 2 { // the second file replaces the first
		if err := Write(path, encodeTestReports(t)); err != nil {
			t.Fatal(err)
		}
	}
	got, age, err := Read(path, now+time.Hour, limits(2*time.Hour, 2, 1))
	if diff := cmp.Diff(testReports(), got); err != nil || age != time.Hour || diff != "" {
		t.Errorf("got age %v, error %v (-want +got):\n%s", age, err, diff)
	}
	if files, _ := os.ReadDir(filepath.Dir(path)); len(files) != 1 {
		t.Errorf("got %d files, want only the snapshot", len(files))
	}
	if err := os.WriteFile(path+".new-1", []byte("half"), 0o600); err != nil {
		t.Fatal(err)
	}
	Clean(path)
	if files, _ := os.ReadDir(filepath.Dir(path)); len(files) != 1 {
		t.Errorf("got %d files after Clean, want only the snapshot", len(files))
	}
}

// TestCorruptSnapshotIsRejected checks that a snapshot is rejected if it is truncated to any shorter length, or if any
// one of its bytes is changed.
func TestCorruptSnapshotIsRejected(t *testing.T) {
	data := encodeTestReports(t)
	for n := range data {
		_, _, err := snapshot.Decode(data[:n], now, time.Hour)
		if !errors.Is(err, snapshot.ErrCorrupt) && !errors.Is(err, snapshot.ErrInvalid) {
			t.Fatalf("first %d of %d bytes: got error %v, want ErrCorrupt or ErrInvalid", n, len(data), err)
		}
		corrupted := append([]byte(nil), data...)
		corrupted[n] ^= 0x11
		if reports, _, err := snapshot.Decode(corrupted, now, time.Hour); err == nil {
			t.Fatalf("byte %d changed: got reports %+v, want an error", n, reports)
		}
	}
}

func TestReadAndWriteErrors(t *testing.T) {
	data := encodeTestReports(t)
	newer := append([]byte("sloequay-list 2 "), data[len("sloequay-list 1 "):]...)
	for _, c := range []struct {
		name string
		data []byte
		now  time.Duration
		want error
	}{
		{"another program's file", []byte("#!/bin/sh\n"), now, snapshot.ErrInvalid},
		{"a newer version", newer, now, snapshot.ErrVersion},
		{"too old", data, now + 2*time.Hour, snapshot.ErrTooOld},
		{"written in the future", data, now - time.Hour, snapshot.ErrFuture},
		{"empty", nil, now, snapshot.ErrCorrupt},
		{"trailing byte", append(append([]byte(nil), data...), ' '), now, snapshot.ErrCorrupt},
	} {
		path := filepath.Join(t.TempDir(), "list")
		if err := os.WriteFile(path, c.data, 0o600); err != nil {
			t.Fatal(err)
		}
		if _, _, err := Read(path, c.now, limits(time.Hour, 2, 1)); !errors.Is(err, c.want) {
			t.Errorf("%s: got error %v, want %v", c.name, err, c.want)
		}
	}
	path := filepath.Join(t.TempDir(), "list")
	if err := Write(path, data); err != nil {
		t.Fatal(err)
	}
	if _, _, err := Read(path, now, limits(time.Hour, 1, 1)); !errors.Is(err, snapshot.ErrInvalid) {
		t.Errorf("endpoint of a zone that is not in the settings: got error %v, want ErrInvalid", err)
	}
	if err := Write(filepath.Join(t.TempDir(), "no", "such", "directory"), data); err == nil {
		t.Error("Write to a missing directory: got no error, want one")
	}
}

// TestDecodeOmitsStaleSources checks that the report of a source that was last seen too long ago is omitted, however
// recent the snapshot is.
func TestDecodeOmitsStaleSources(t *testing.T) {
	reports := testReports()
	reports[0].LastSeen = now - 2*time.Hour
	data, err := snapshot.Encode(now, reports)
	if err != nil {
		t.Fatal(err)
	}
	got, _, err := snapshot.Decode(data, now, time.Hour)
	if err != nil || len(got) != 1 || got[0].Source != "bulletin" {
		t.Errorf("got reports %+v, error %v, want only that of source bulletin", got, err)
	}
}

// FuzzDecode checks that no input causes a panic, and that decoded reports stay the same when they are encoded and
// decoded again.
func FuzzDecode(f *testing.F) {
	data := encodeTestReports(f)
	f.Add(data)
	f.Add(data[:len(data)/2])
	f.Add([]byte("sloequay-list 1 2 a3f8a34f\n{}"))
	f.Add([]byte("sloequay-list 1 -5 0\n"))
	f.Fuzz(func(t *testing.T, data []byte) {
		reports, _, err := snapshot.Decode(data, now, time.Hour)
		if err != nil {
			return
		}
		encodedAgain, err := snapshot.Encode(now, reports)
		if err != nil {
			return // a weight that JSON cannot represent
		}
		decodedAgain, _, err := snapshot.Decode(encodedAgain, now, time.Hour)
		if diff := cmp.Diff(reports, decodedAgain); err != nil || diff != "" {
			t.Fatalf("error %v (-first +second):\n%s", err, diff)
		}
	})
}

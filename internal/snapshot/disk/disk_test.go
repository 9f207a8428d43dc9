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

func someReports() []membership.SourceReport {
	return []membership.SourceReport{
		{Source: "consul:cache", Version: 71, LastSeen: now - time.Second, Endpoints: []membership.Endpoint{
			{ID: "c1", Address: "10.0.0.1:1", Zone: 1, Kind: 0, Cell: 2, Weight: 4.5, StartedAt: 3 * time.Second,
				Incarnation: 9, State: membership.Up},
			{ID: "c2", Address: "10.0.0.2:1", State: membership.Draining},
		}},
		{Source: "bulletin", LastSeen: now},
	}
}

func encodeSome(t testing.TB) []byte {
	t.Helper()
	data, err := snapshot.Encode(now, someReports())
	if err != nil {
		t.Fatal(err)
	}
	return data
}

func TestRoundTrip(t *testing.T) {
	path := filepath.Join(t.TempDir(), "list")
	for range 2 { // the second replaces the first
		if err := Write(path, encodeSome(t)); err != nil {
			t.Fatal(err)
		}
	}
	got, age, err := Read(path, now+time.Hour, limits(2*time.Hour, 2, 1))
	if diff := cmp.Diff(someReports(), got); err != nil || age != time.Hour || diff != "" {
		t.Errorf("age %v, %v (-want +got):\n%s", age, err, diff)
	}
	if files, _ := os.ReadDir(filepath.Dir(path)); len(files) != 1 {
		t.Errorf("%d files are left, want the snapshot alone", len(files))
	}
	if err := os.WriteFile(path+".new-1", []byte("half"), 0o600); err != nil {
		t.Fatal(err)
	}
	Clean(path)
	if files, _ := os.ReadDir(filepath.Dir(path)); len(files) != 1 {
		t.Errorf("%d files are left after cleaning", len(files))
	}
}

// TestTornAtEveryLength: a snapshot is refused wherever it is cut off, and whichever of its bytes is changed.
func TestTornAtEveryLength(t *testing.T) {
	data := encodeSome(t)
	for n := range data {
		_, _, err := snapshot.Decode(data[:n], now, time.Hour)
		if !errors.Is(err, snapshot.ErrCorrupt) && !errors.Is(err, snapshot.ErrInvalid) {
			t.Fatalf("the first %d bytes of %d: %v", n, len(data), err)
		}
		changed := append([]byte(nil), data...)
		changed[n] ^= 0x11
		if reports, _, err := snapshot.Decode(changed, now, time.Hour); err == nil {
			t.Fatalf("with byte %d changed it reads as %+v", n, reports)
		}
	}
}

func TestRefused(t *testing.T) {
	data := encodeSome(t)
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
		{"from the future", data, now - time.Hour, snapshot.ErrFuture},
		{"empty", nil, now, snapshot.ErrCorrupt},
		{"with something behind", append(append([]byte(nil), data...), ' '), now, snapshot.ErrCorrupt},
	} {
		path := filepath.Join(t.TempDir(), "list")
		if err := os.WriteFile(path, c.data, 0o600); err != nil {
			t.Fatal(err)
		}
		if _, _, err := Read(path, c.now, limits(time.Hour, 2, 1)); !errors.Is(err, c.want) {
			t.Errorf("%s: %v, want %v", c.name, err, c.want)
		}
	}
	path := filepath.Join(t.TempDir(), "list")
	if err := Write(path, data); err != nil {
		t.Fatal(err)
	}
	if _, _, err := Read(path, now, limits(time.Hour, 1, 1)); !errors.Is(err, snapshot.ErrInvalid) {
		t.Errorf("endpoints of a zone that the settings do not have: %v", err)
	}
	if err := Write(filepath.Join(t.TempDir(), "no", "such", "folder"), data); err == nil {
		t.Error("written to a folder that is not there")
	}
}

// TestSilentSource: the report of a source that was silent for too long is left out, however new the snapshot is.
func TestSilentSource(t *testing.T) {
	reports := someReports()
	reports[0].LastSeen = now - 2*time.Hour
	data, err := snapshot.Encode(now, reports)
	if err != nil {
		t.Fatal(err)
	}
	got, _, err := snapshot.Decode(data, now, time.Hour)
	if err != nil || len(got) != 1 || got[0].Source != "bulletin" {
		t.Errorf("%+v, %v, want the bulletin's report alone", got, err)
	}
}

// FuzzDecode: no file ends the program, and what is accepted is written again as the same reports.
func FuzzDecode(f *testing.F) {
	data := encodeSome(f)
	f.Add(data)
	f.Add(data[:len(data)/2])
	f.Add([]byte("sloequay-list 1 2 a3f8a34f\n{}"))
	f.Add([]byte("sloequay-list 1 -5 0\n"))
	f.Fuzz(func(t *testing.T, data []byte) {
		reports, _, err := snapshot.Decode(data, now, time.Hour)
		if err != nil {
			return
		}
		again, err := snapshot.Encode(now, reports)
		if err != nil {
			return // a weight that JSON can't have
		}
		back, _, err := snapshot.Decode(again, now, time.Hour)
		if diff := cmp.Diff(reports, back); err != nil || diff != "" {
			t.Fatalf("%v (-first +second):\n%s", err, diff)
		}
	})
}

package snapshot

import (
	"os"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"sloequay/internal/membership"
)

const storedAt = 1_790_000_000 * time.Second

// storedReports returns the reports that testdata/sloequay.list was written from.
func storedReports() []membership.SourceReport {
	return []membership.SourceReport{
		{
			Source: "consul:cache", Version: 71, LastSeen: storedAt - 1500*time.Millisecond,
			Endpoints: []membership.Endpoint{
				{ID: "c1", Address: "10.0.0.1:8080", Zone: 1, Kind: 2, Cell: 3, Weight: 4.5,
					StartedAt: storedAt - time.Hour, Incarnation: 1<<63 + 9, State: membership.Up},
				{ID: "c2", Address: "[fd00::2]:8080", Kind: 1, Weight: 0.1, State: membership.Draining},
			},
		},
		{Source: "consul:old", Version: 3, LastSeen: storedAt - 48*time.Hour, Endpoints: []membership.Endpoint{
			{ID: "c3", Address: "10.0.0.3:8080", State: membership.Up}}},
		{Source: "bulletin", Version: 1<<64 - 1, LastSeen: storedAt},
	}
}

// TestStoredSnapshot decodes a snapshot that an earlier build wrote, and encodes the same reports to the same bytes.
func TestStoredSnapshot(t *testing.T) {
	stored, err := os.ReadFile("testdata/sloequay.list")
	if err != nil {
		t.Fatal(err)
	}
	got, age, err := Decode(stored, storedAt+time.Minute, 72*time.Hour)
	if diff := cmp.Diff(storedReports(), got); err != nil || age != time.Minute || diff != "" {
		t.Errorf("got age %v, error %v (-want +got):\n%s", age, err, diff)
	}
	written, err := Encode(storedAt, storedReports())
	if diff := cmp.Diff(string(stored), string(written)); err != nil || diff != "" {
		t.Errorf("error %v, the file format has changed (-stored +written):\n%s", err, diff)
	}
}

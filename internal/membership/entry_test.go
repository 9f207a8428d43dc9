package membership

import (
	"errors"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

func TestEntry(t *testing.T) {
	names := Names{Zones: []string{"hub", "edge"}, Kinds: []string{"std", "origin"}}
	valid := Entry{ID: "c1", Address: "10.0.0.1:80", Zone: "edge", Kind: "origin", Cell: 3, State: Up, Weight: 2.5,
		StartedAtMS: 1500, Incarnation: 9}
	got, err := names.Endpoint(valid)
	want := Endpoint{ID: "c1", Address: "10.0.0.1:80", Zone: 1, Kind: 1, Cell: 3, State: Up, Weight: 2.5,
		StartedAt: 1500 * time.Millisecond, Incarnation: 9}
	if diff := cmp.Diff(want, got); err != nil || diff != "" {
		t.Errorf("valid entry: got error %v, endpoint (-want +got):\n%s", err, diff)
	}
	if _, err := names.Endpoint(Entry{ID: "c1", State: Gone}); err != nil {
		t.Errorf("gone entry with only an ID: got error %v, want none", err)
	}
	for _, c := range []struct {
		change func(entry *Entry)
		field  EntryField
		text   string
	}{
		{func(e *Entry) { e.ID = "" }, FieldID, `host ""`},
		{func(e *Entry) { e.ID = "a,b" }, FieldID, `host "a,b"`},
		{func(e *Entry) { e.ID = strings.Repeat("a", 256) }, FieldID, `host "` + strings.Repeat("a", 256) + `"`},
		{func(e *Entry) { e.StartedAtMS = -1 }, FieldStartedAt, "c1: born_ms -1"},
		{func(e *Entry) { e.StartedAtMS = 1<<42 + 1 }, FieldStartedAt, "c1: born_ms 4398046511105"},
		{func(e *Entry) { e.Zone = "moon" }, FieldZone, `c1: site "moon" is not in the settings`},
		{func(e *Entry) { e.Kind = "x\n" }, FieldKind, `c1: class "x\n" is not in the settings`},
		{func(e *Entry) { e.Address = "10.0.0.1" }, FieldAddress, `c1: address "10.0.0.1" is not host:port`},
		{func(e *Entry) { e.Address = "fd00::1:80" }, FieldAddress, `c1: address "fd00::1:80" is not host:port`},
		{func(e *Entry) { e.Address = "a:65536" }, FieldAddress, `c1: address "a:65536" is not host:port`},
	} {
		entry := valid
		c.change(&entry)
		_, err := names.Endpoint(entry)
		var refused *EntryError
		if !errors.As(err, &refused) || refused.Field != c.field || err.Error() != c.text {
			t.Errorf("got error %v, want %s", err, c.text)
		}
	}
}

// TestDescribes guards against endpoints of a peer that the settings do not describe, such as one in a negative zone,
// which is an index out of range.
func TestDescribes(t *testing.T) {
	names := Names{Zones: []string{"a", "b"}, Kinds: []string{"k"}}
	valid := Endpoint{ID: "e1", Address: "10.0.0.1:80", Zone: 1, State: Up}
	for _, c := range []struct {
		name   string
		change func(e *Endpoint)
		want   bool
	}{
		{"valid", func(*Endpoint) {}, true},
		{"negative zone", func(e *Endpoint) { e.Zone = -1 }, false},
		{"unknown zone", func(e *Endpoint) { e.Zone = 2 }, false},
		{"negative kind", func(e *Endpoint) { e.Kind = -1 }, false},
		{"unknown kind", func(e *Endpoint) { e.Kind = 1 }, false},
		{"no address", func(e *Endpoint) { e.Address = "" }, false},
		{"ID with a comma", func(e *Endpoint) { e.ID = "a,b" }, false},
		{"unknown state", func(e *Endpoint) { e.State = Up + 1 }, false},
		{"gone, by its ID alone", func(e *Endpoint) { *e = Endpoint{ID: "e1", Zone: -1, Kind: -1} }, true},
	} {
		endpoint := valid
		c.change(&endpoint)
		if got := names.Describes(endpoint); got != c.want {
			t.Errorf("%s: got %v, want %v", c.name, got, c.want)
		}
	}
}

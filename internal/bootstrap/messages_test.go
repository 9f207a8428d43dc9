package bootstrap_test

import (
	"encoding/hex"
	"flag"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"
	"time"

	"sloequay/internal/bootstrap"
	"sloequay/internal/membership"
	"sloequay/internal/peer/transport"
)

var updateMessages = flag.Bool("update-messages", false, "write the encoded messages to testdata")

// sampleMessages returns one message of each kind, with every field set.
func sampleMessages() []bootstrap.Message {
	version := bootstrap.ListVersion{List: 3, Version: 41, Sum: 1 << 60}
	endpoints := []membership.Endpoint{{ID: "c1", Address: "10.0.0.1:7001", Zone: 1, Kind: 2, Cell: 3, Weight: 1.5,
		StartedAt: 5 * time.Second, Incarnation: 9, State: membership.Draining}}
	delta := &bootstrap.Delta{ListVersion: version, BaseSum: 8, Endpoints: endpoints, Removed: []string{"c2"}}
	digest := []bootstrap.Advertisement{{ListVersion: version, LastSeen: -time.Second}}
	part := &bootstrap.Part{ListVersion: version, Number: 1, Total: 2, Endpoints: endpoints}
	return []bootstrap.Message{
		{From: "p1", Incarnation: 7, Digest: digest},
		{From: "p1", Incarnation: 7, Fetch: &bootstrap.Fetch{ListVersion: version, HaveSum: 6}},
		{From: "p1", Incarnation: 7, Part: part},
		{From: "p1", Incarnation: 7, Delta: delta},
		{From: "p1", Incarnation: 7, Busy: &bootstrap.Busy{ListVersion: version, Peer: "p2"}},
	}
}

// TestHashIsTransmitted checks that the hash of a list survives the encoding, whatever bytes it has.
func TestHashIsTransmitted(t *testing.T) {
	sent := bootstrap.Message{From: "p1", Digest: []bootstrap.Advertisement{{
		ListVersion: bootstrap.VersionOf(0, 1, []membership.Endpoint{{ID: "c1"}}),
	}}}
	data, err := transport.Encode(sent)
	if err != nil {
		t.Fatal(err)
	}
	var got bootstrap.Message
	if err := transport.Decode(data, &got); err != nil || !reflect.DeepEqual(got, sent) {
		t.Errorf("got %+v and error %v, want %+v", got, err, sent)
	}
}

// TestMessagesKeepTheirEncoding compares the encoded messages with those that commit 1dcc078 wrote, since proxies of
// several versions exchange messages during a release.
func TestMessagesKeepTheirEncoding(t *testing.T) {
	path := filepath.Join("testdata", "messages.hex")
	var lines []string
	for _, message := range sampleMessages() {
		data, err := transport.Encode(message)
		if err != nil {
			t.Fatal(err)
		}
		lines = append(lines, hex.EncodeToString(data))
	}
	if *updateMessages {
		if err := os.WriteFile(path, []byte(strings.Join(lines, "\n")+"\n"), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	text, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	recorded := strings.Split(strings.TrimSpace(string(text)), "\n")
	if len(recorded) != len(lines) {
		t.Fatalf("got %d messages in %s, want %d", len(recorded), path, len(lines))
	}
	for i, message := range sampleMessages() {
		if recorded[i] != lines[i] {
			t.Errorf("message %d: got encoding\n%s, want\n%s", i, lines[i], recorded[i])
		}
		data, err := hex.DecodeString(recorded[i])
		if err != nil {
			t.Fatal(err)
		}
		var got bootstrap.Message
		if err := transport.Decode(data, &got); err != nil || !reflect.DeepEqual(got, message) {
			t.Errorf("message %d: decoded as %+v (%v), want %+v", i, got, err, message)
		}
	}
}

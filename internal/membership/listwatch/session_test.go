package listwatch

import (
	"testing"
	"time"

	"sloequay/internal/eventloop"
	"sloequay/internal/membership"
)

// TestSupersededSession checks that data received on a connection is ignored once a new connection has replaced it.
func TestSupersededSession(t *testing.T) {
	const purge = `{"no":5,"recall":{"lot":3,"issued":1}}` + "\n"
	var events []membership.SourceEvent
	watcher := &Watcher{
		LastEvent: 4,
		Publish:   func(event membership.SourceEvent) { events = append(events, event) },
		Now:       func() time.Duration { return time.Second },
		Log:       func(string, ...any) {},
	}
	old := &session{watcher: watcher}
	watcher.session = &session{watcher: watcher}
	for _, text := range []string{"5\n", purge, "{\"no\":"} {
		conn := &eventloop.Conn{In: []byte(text)}
		if old.Received(conn); len(conn.In) > 0 {
			t.Errorf("%q: got %d bytes left unread, want 0", text, len(conn.In))
		}
	}
	old.Closed(nil, nil)
	if watcher.LastEvent != 4 || len(events) > 0 || watcher.stale || watcher.session == nil {
		t.Errorf("old connection: got last event %d, %d events, stale %v; want 4, none, false",
			watcher.LastEvent, len(events), watcher.stale)
	}
	conn := &eventloop.Conn{In: []byte(purge)}
	if watcher.session.Received(conn); watcher.LastEvent != 5 || len(events) == 0 {
		t.Errorf("new connection: got last event %d, %d events; want 5, at least one", watcher.LastEvent, len(events))
	}
}

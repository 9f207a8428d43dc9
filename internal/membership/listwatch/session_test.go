package listwatch

import (
	"testing"
	"time"

	"sloequay/internal/eventloop"
	"sloequay/internal/membership"
)

// TestOldSessionsWords: what an old connection still brings after the next one has begun counts for nothing.
func TestOldSessionsWords(t *testing.T) {
	var events []membership.SourceEvent
	r := &Watcher{LastEvent: 4, Publish: func(e membership.SourceEvent) { events = append(events, e) }, Now: func() time.Duration { return time.Second },
		Log: func(string, ...any) {}}
	old := &session{watcher: r}
	r.session = &session{watcher: r}
	for _, text := range []string{"5\n", `{"no":5,"recall":{"lot":3,"issued":1}}` + "\n", "{\"no\":"} {
		c := &eventloop.Conn{In: []byte(text)}
		if old.Received(c); len(c.In) > 0 {
			t.Errorf("%q: %d bytes are kept", text, len(c.In))
		}
	}
	old.Closed(nil, nil)
	if r.LastEvent != 4 || len(events) > 0 || r.stale || r.session == nil {
		t.Errorf("last event %d, %d events, down %v: want 4, none, false", r.LastEvent, len(events), r.stale)
	}
	c := &eventloop.Conn{In: []byte(`{"no":5,"recall":{"lot":3,"issued":1}}` + "\n")}
	if r.session.Received(c); r.LastEvent != 5 || len(events) == 0 {
		t.Errorf("the new connection's words: last event %d, %d events", r.LastEvent, len(events))
	}
}

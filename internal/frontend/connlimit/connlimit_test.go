package connlimit

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

const testIdleTimeout = 6 * time.Second

// TestFlushingClients checks that a client with unsent responses does not count as idle. It is evicted neither by
// CloseIdle nor in favour of another client, but only when it takes no more of its responses for the idle timeout. Its
// idle time starts when it has taken all of them. Only evictions that lose responses are counted.
func TestFlushingClients(t *testing.T) {
	const tick = 100 * time.Millisecond
	for _, c := range []struct {
		name   string
		unsent func(after time.Duration) int // bytes of its response that are unsent, by the time since it was sent
		want   time.Duration                 // when it is evicted, or up to 3 ticks later
	}{
		{"takes everything at once", func(time.Duration) int { return 0 }, testIdleTimeout},
		{"takes everything within 10 s", func(after time.Duration) int { return max(0, 100-int(after/tick)) },
			16 * time.Second},
		{"takes nothing", func(time.Duration) int { return 100 }, testIdleTimeout},
		{"takes half within 5 s", func(after time.Duration) int { return max(50, 100-int(after/tick)) },
			11 * time.Second},
	} {
		t.Run(c.name, func(t *testing.T) {
			start := 100 * time.Second
			now := start
			limiter := New(1, testIdleTimeout)
			evictedAfter := time.Duration(0)
			stalled := 0
			var client *Client
			client = limiter.Admit(now, func() {
				evictedAfter = now - start
				client.Remove()
			}, func() int { return c.unsent(now - start) })
			client.Received(now, Input{Complete: true})
			client.SetOpen(now, 1)
			client.SetOpen(now, 0)
			for ; evictedAfter == 0 && now-start < 30*time.Second; now += tick {
				stalled += limiter.Tick(now).Stalled
				if evictedAfter != 0 || c.unsent(now-start) == 0 {
					continue
				}
				if limiter.CloseIdle(now); evictedAfter != 0 || limiter.Admit(now, nil, nil) != nil {
					t.Fatalf("client evicted or replaced after %v with %d bytes of its response unsent, want neither",
						now-start, c.unsent(now-start))
				}
			}
			if evictedAfter < c.want || evictedAfter > c.want+3*tick {
				t.Errorf("client evicted after %v, want %v", evictedAfter, c.want)
			}
			if want := min(1, c.unsent(30*time.Second)); stalled != want {
				t.Errorf("got %d stalled clients counted, want %d", stalled, want)
			}
			if limiter.Len() != 0 || len(limiter.flushing) != 0 {
				t.Errorf("after the eviction: got %d clients and %d flushing ones, want none",
					limiter.Len(), len(limiter.flushing))
			}
		})
	}
}

// TestCloseIdleAfterFlush guards against a connection that stays open while its proxy drains: its last response counted
// as unsent until the next Tick, and the client's next request came before that.
func TestCloseIdleAfterFlush(t *testing.T) {
	limiter := New(4, time.Second)
	unsent, evicted := 100, false
	var client *Client
	evict := func() {
		evicted = true
		client.Remove()
	}
	client = limiter.Admit(0, evict, func() int { return unsent })
	client.Received(1, Input{Complete: true})
	client.SetOpen(1, 1)
	client.SetOpen(2, 0)
	if limiter.CloseIdle(3); evicted {
		t.Fatal("CloseIdle evicted a client with an unsent response, want it to stay")
	}
	unsent = 0
	if limiter.CloseIdle(4); !evicted {
		t.Error("CloseIdle did not evict a client whose response has been sent, want it evicted")
	}
}

// TestCloseIdle checks that CloseIdle evicts an idle client, but not one that is busy, is new or has begun a message.
func TestCloseIdle(t *testing.T) {
	limiter := New(10, testIdleTimeout)
	evicted := map[string]bool{}
	for name, prepare := range map[string]func(client *Client){
		"new":     func(*Client) {},
		"idle":    func(client *Client) { client.Received(0, Input{Complete: true}) },
		"partial": func(client *Client) { client.Received(0, Input{Complete: true, Partial: true}) },
		"busy": func(client *Client) {
			client.Received(0, Input{Complete: true})
			client.SetOpen(0, 1)
		},
	} {
		var client *Client
		client = limiter.Admit(0, func() {
			evicted[name] = true
			client.Remove()
		}, func() int { return 0 })
		prepare(client)
	}
	if limiter.CloseIdle(time.Second); len(evicted) != 1 || !evicted["idle"] {
		t.Errorf("CloseIdle evicted %v, want only the idle client", evicted)
	}
}

// modelClient is a client in the reference model of TestEvictions.
type modelClient struct {
	client       *Client
	unsent       int
	open         int
	sentMessage  bool
	partial      bool
	stateSince   time.Duration // when it connected, last got a response, or last took bytes of one
	partialSince time.Duration
	evicted      bool
}

// flushing reports whether the client has no open request and has not taken all of its responses.
func (m *modelClient) flushing() bool { return m.open == 0 && m.unsent > 0 }

// TestEvictions runs random clients and checks that evictions and refused admissions follow the rules in the package's
// doc comment.
func TestEvictions(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const maxClients = 4
		limiter := New(maxClients, testIdleTimeout)
		now := time.Second
		var clients []*modelClient // the connected ones
		connect := func() {
			wasFull := len(clients) == maxClients
			evictable := false
			for _, other := range clients {
				evictable = evictable || other.open == 0 && other.unsent == 0
			}
			model := &modelClient{stateSince: now}
			model.client = limiter.Admit(now, func() {
				model.evicted = true
				model.client.Remove()
			}, func() int { return model.unsent })
			switch {
			case model.client != nil:
				clients = append(clients, model)
			case !wasFull || evictable:
				t.Fatalf("client not admitted with %d connected; one could be evicted: %v", len(clients), evictable)
			}
		}
		removeEvicted := func() {
			connected := clients[:0]
			for _, model := range clients {
				if !model.evicted {
					connected = append(connected, model)
					continue
				}
				if model.open > 0 {
					t.Fatalf("client evicted with %d open requests, want none", model.open)
				}
				if model.flushing() && now-model.stateSince <= testIdleTimeout {
					t.Fatalf("client evicted with %d bytes unsent, %v after its last progress, want a longer wait",
						model.unsent, now-model.stateSince)
				}
			}
			clients = connected
		}
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(1, 1500).Draw(t, "milliseconds")) * time.Millisecond
			if len(clients) == 0 || rapid.IntRange(0, 4).Draw(t, "connect") == 0 {
				connect()
				removeEvicted()
			}
			model := rapid.SampledFrom(clients).Draw(t, "client")
			switch rapid.SampledFrom([]string{"read", "respond", "flush", "part"}).Draw(t, "what") {
			case "read":
				model.sentMessage = true
				model.partial = false
				model.client.Received(now, Input{Complete: true})
				model.open++
				model.client.SetOpen(now, model.open)
			case "respond":
				if model.open > 0 {
					model.open--
					model.unsent += rapid.IntRange(0, 10).Draw(t, "bytes")
					model.stateSince = now
					model.client.SetOpen(now, model.open)
				}
			case "flush":
				if model.unsent > 0 {
					model.unsent -= rapid.IntRange(1, model.unsent).Draw(t, "taken")
					model.stateSince = now
				}
			case "part":
				if !model.partial {
					model.partial = true
					model.partialSince = now
				}
				model.client.Received(now, Input{Partial: true})
			}
			limiter.Tick(now)
			removeEvicted()
			for _, model := range clients {
				age := now - model.stateSince
				switch {
				case model.open > 0 || model.unsent > 0:
				case !model.sentMessage && age > MessageTimeout:
					t.Fatalf("new client not evicted: connected for %v without a complete message", age)
				case model.sentMessage && age > testIdleTimeout:
					t.Fatalf("idle client not evicted: idle for %v", age)
				case model.partial && min(age, now-model.partialSince) > MessageTimeout:
					t.Fatalf("client not evicted: message incomplete for %v, all responses taken for %v",
						now-model.partialSince, age)
				}
			}
			if limiter.Len() != len(clients) || len(clients) > maxClients {
				t.Fatalf("got %d clients, want %d, at most %d", limiter.Len(), len(clients), maxClients)
			}
		}
	})
}

// TestAdmitEvicts checks which client Admit evicts at the limit: the oldest new one if firstMessageGrace has passed,
// otherwise the one that has been idle longest, otherwise the oldest new one, and never a busy one.
func TestAdmitEvicts(t *testing.T) {
	const admitAt = 10 * time.Second // when another client connects
	idle := func(client *Client, at time.Duration) { client.Received(at, Input{Complete: true}) }
	busy := func(client *Client, at time.Duration) { client.SetOpen(at, 1) }
	fresh := func(*Client, time.Duration) {}
	type testClient struct {
		name    string
		at      time.Duration // when it connected
		prepare func(client *Client, at time.Duration)
	}
	for name, c := range map[string]struct {
		clients []testClient
		want    string // the evicted client; empty: none, and the connecting client is not admitted
	}{
		"new client after its grace period": {
			[]testClient{{"idle", 0, idle}, {"new", admitAt - firstMessageGrace, fresh}, {"newer", admitAt, fresh}},
			"new",
		},
		"longest idle client within the grace period": {
			[]testClient{
				{"idle", 0, idle}, {"idle later", time.Second, idle}, {"new", admitAt - firstMessageGrace/2, fresh},
			},
			"idle",
		},
		"new client if none is idle": {
			[]testClient{{"busy", 0, busy}, {"new", admitAt, fresh}, {"newer", admitAt, fresh}}, "new",
		},
		"only busy clients": {
			[]testClient{{"busy", 0, busy}, {"busy second", 0, busy}, {"busy third", 0, busy}}, "",
		},
	} {
		limiter := New(len(c.clients), testIdleTimeout)
		evicted := ""
		for _, existing := range c.clients {
			var client *Client
			client = limiter.Admit(existing.at, func() {
				evicted += existing.name
				client.Remove()
			}, func() int { return 0 })
			existing.prepare(client, existing.at)
		}
		admitted := limiter.Admit(admitAt, nil, nil)
		if evicted != c.want || (admitted != nil) != (c.want != "") {
			t.Errorf("%s: got client %q evicted, admission %v, want those of the case", name, evicted, admitted != nil)
		}
	}
}

package test

import (
	"fmt"
	"net"
	"testing"
	"time"
)

// TestListWatchResumes: lines that can't be read, gaps and lost connections end in the stream being resumed behind
// the last event, and nothing of it is lost.
func TestListWatchResumes(t *testing.T) {
	const unreadable = `{"no":3,"roster":{"hosts":[{"host":"c9","health":"dancing"}]}}`
	w := newTestbed(t, nil, "c2")
	w.start()
	w.expectListPoll("after 1")
	w.listFeed <- invalidateObject(2, "00000000000000aa", 1)
	w.listFeed <- "2"
	w.listFeed <- "!" // the connection ends
	w.listFeed <- "!" // may meet the old connection
	w.expectListPoll("after 2")
	select { // and then the program has asked twice
	case <-w.listPolls:
	case <-time.After(time.Second):
	}
	w.listFeed <- invalidateGroup(4, 3, 1) // 3 is missing
	w.listFeed <- "!"
	w.expectListPoll("after 2")
	w.listFeed <- unreadable
	w.listFeed <- "!"
	w.expectListPoll("after 2") // asked for again
	w.listFeed <- unreadable    // it has it so
	w.listFeed <- listEvent(4, false, w.entry("c1", "removed"), w.entry("c2", "up"))
	client := w.dial()
	id := uint64(0)
	w.waitUntil("c2 serves, and c1 no more", func() bool {
		id++
		client.ask(id, "footage", map[string]string{"item": hexID(id)})
		return w.lastAttempt().Endpoint == "c2"
	})
}

// TestListWatchFaults: a watch that falls silent, or whose numbers show that something is missing, is followed anew
// behind the last event that came complete, and what it then tells holds for requests that are asked right after.
func TestListWatchFaults(t *testing.T) {
	for _, c := range []struct {
		name string
		feed []string
		why  string // as the log has it: each would be noticed by its silence in the end
	}{
		{"silent in the middle of a line", []string{`~{"no":2,"roster":{"seq":2,"who`}, "nothing came for"},
		{"a heartbeat beyond what was told", []string{"1", "5"}, "event 2 was missed"},
		{"events in another order", []string{invalidateGroup(3, 3, 1)}, "event 3 came after event 1"},
		{"the connection ends", []string{"1", "!"}, "connection ended"},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			w := newTestbed(t, nil)
			w.start()
			w.waitListPoll()
			for _, text := range c.feed {
				w.listFeed <- text
			}
			w.waitLogMatches(`event=endpoint-list-stale error="?` + c.why)
			w.listFeed <- "!" // the emulator serves one connection at a time
			w.expectListPoll("after 1")
			w.listFeed <- w.listChange(2, "c1", "draining")
			w.listFeed <- w.listChange(2, "c1", "up") // a repeat: it has this number
			w.expectDrained("c1")
		})
	}
}

// TestStalledListWatchResumes: a list service that stops and stays open is asked again from the last complete event.
func TestStalledListWatchResumes(t *testing.T) {
	w := newTestbed(t, nil)
	listener := w.listenOn("127.0.0.1:0")
	w.config["bulletin"] = listener.Addr().String()
	w.start()
	first, _ := w.acceptListPoll(listener)
	event := invalidateObject(2, "00000000000000aa", 1) + "\n"
	_, _ = first.Write([]byte(event + event + `{"no":3,"rec`)) // one event twice, and half of another
	if _, after := w.acceptListPoll(listener); after != "after 2" {
		t.Errorf("the program asked for %q, want all after event 2", after)
	}
}

// TestSilentListServiceAtStart: a list service that takes connections and says nothing, from the first byte, keeps
// nobody from being served by what was known, and is asked again.
func TestSilentListServiceAtStart(t *testing.T) {
	w := newTestbed(t, nil)
	w.start()
	client := w.dial()
	for id := uint64(1); id <= 2; id++ {
		w.waitListPoll()
		if a := client.ask(id, "lookup", nil); a.Error != "" {
			t.Errorf("%+v, want it served", a)
		}
		if id == 1 {
			w.waitLogged("event=endpoint-list-stale")
			w.listFeed <- "!" // the emulator serves one connection at a time
		}
	}
}

// TestInvalidationBoundsAge: after a purge no copy from before it will do, for the object and for its group.
func TestInvalidationBoundsAge(t *testing.T) {
	w := newTestbed(t, nil)
	w.start()
	w.waitListPoll()
	client := w.dial()
	issued := time.Now().Add(-100 * time.Millisecond).UnixMilli()
	w.listFeed <- invalidateObject(2, "7f3a9c21e0b4d655", issued)
	w.listFeed <- invalidateGroup(3, 9, issued)
	id := uint64(0)
	for _, fields := range []map[string]string{{}, {"item": "00000000000000bb", "batch": "9"}} {
		w.waitUntil("requests ask for younger copies", func() bool {
			id++
			client.ask(id, "footage", fields)
			last := w.lastAttempt()
			var maxAge int64
			_, _ = fmt.Sscan(last.Fields["fresh"], &maxAge)
			if oldest := last.At.UnixMilli() - maxAge; maxAge > 0 && oldest < issued {
				t.Fatalf("a copy of %d ms before the purge would do, want none from before it", issued-oldest)
			}
			return maxAge > 0
		})
	}
}

// TestEndpointReplacedAtSameAddress: a new endpoint at the address of one that has gone has connections of its own,
// and what was out to the old one is tried again.
func TestEndpointReplacedAtSameAddress(t *testing.T) {
	w := newTestbed(t, func(a *receivedRequest) {
		if a.Endpoint == "c1" && a.Fields["nth"] == "0" {
			return // silent
		}
		a.Answer("ACK", "-", a.Fields["nth"])
	}, "c2")
	w.start()
	client := w.dial()
	client.send(request(1, "footage", nil, ""))
	w.waitAttempts(1)
	old := w.attempts()[0].Conn
	successor := listEntry("c7", w.endpointAddress("c1"), "edge", "std", "up", time.Now().UnixMilli())
	w.listFeed <- listEvent(2, false, w.entry("c1", "removed"), successor)
	w.waitUntil("the attempt to the old endpoint is tried again", func() bool { return len(w.attempts()) > 1 })
	client.send(request(2, "footage", map[string]string{"nth": "1"}, ""))
	a := client.mustRead()
	for a.ID != 2 {
		a = client.mustRead()
	}
	if a.Body != "1" {
		t.Errorf("%+v, want it served by the new endpoint", a)
	}
	for _, a := range w.attempts()[1:] {
		if a.Conn == old {
			t.Errorf("%+v went out on the old endpoint's connection, want one of the new endpoint's own", a)
		}
	}
}

// TestEndpointDrainsDuringDial: an attempt waits for the connection to an endpoint that begins to drain. It goes
// elsewhere, and nothing is written when the connection comes up.
func TestEndpointDrainsDuringDial(t *testing.T) {
	w := newTestbed(t, nil, "c2")
	address := w.listenWithFullBacklog()
	w.listAt("c1", address)
	w.platformLimits()["dial-timeout-ms"] = 60000
	w.start()
	w.waitListPoll()
	client := w.dial()
	client.send(request(1, "footage", map[string]string{"limit": "60000"}, ""))
	if a := client.ask(2, "status", nil); !a.Ready {
		t.Fatalf("%+v came first, want the status while the request waits", a)
	}
	w.listFeed <- listEvent(2, false, listEntry("c1", address, "edge", "std", "draining", 0))
	if a := client.mustRead(); a.ID != 1 || a.Error != "" {
		t.Errorf("%+v, want the request served elsewhere", a)
	}
	go w.endpoints.Serve("c1", w.fullListener) // what comes up now must stay empty
	waiting, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer waiting.Close()
	if sent := w.received(func(a *receivedRequest) bool { return a.Endpoint == "c1" }); len(sent) > 0 {
		t.Errorf("the draining endpoint was sent %+v, want nothing", sent[0])
	}
}

// TestSlowListServiceIsFollowed: the list service answers each connection only after 2 s, which is longer than a
// watch may be silent. What it has to tell still arrives.
func TestSlowListServiceIsFollowed(t *testing.T) {
	t.Parallel()
	w := newTestbed(t, nil)
	slow := w.listenOn("127.0.0.1:0")
	w.config["bulletin"] = slow.Addr().String()
	go func() {
		for {
			conn, err := slow.Accept()
			if err != nil {
				return
			}
			time.AfterFunc(2*time.Second, func() {
				_, _ = conn.Write([]byte(w.listChange(2, "c1", "draining") + "\n"))
			})
		}
	}()
	w.start()
	w.waitLogged("event=endpoint-draining")
}

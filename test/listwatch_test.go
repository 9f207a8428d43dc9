package test

import (
	"fmt"
	"net"
	"strings"
	"testing"
	"time"
)

// TestListWatchResumes: lines that can't be read, gaps and lost connections end in the stream being resumed behind the last
// event, and nothing of it is lost.
func TestListWatchResumes(t *testing.T) {
	w := newTestbed(t, nil, "c2")
	w.start()
	after := func(want string) {
		t.Helper()
		select {
		case got := <-w.listPolls:
			if got != want {
				t.Fatalf("the program asked for %q, want %q", got, want)
			}
		case <-time.After(waitLimit):
			t.Fatalf("the program did not ask for %q", want)
		}
	}
	after("after 1")
	w.listFeed <- `{"no":2,"recall":{"item":"00000000000000aa","issued":1}}`
	w.listFeed <- "2"
	w.listFeed <- "!" // the connection ends
	w.listFeed <- "!" // may meet the old connection
	after("after 2")
	select {
	case <-w.listPolls:
	case <-time.After(time.Second):
	}
	w.listFeed <- `{"no":4,"recall":{"lot":3,"issued":1}}` // 3 is missing
	w.listFeed <- "!"
	after("after 2")
	w.listFeed <- `{"no":3,"roster":{"hosts":[{"host":"c9","health":"dancing"}]}}`
	w.listFeed <- "!"
	after("after 2")                                                               // asked for again
	w.listFeed <- `{"no":3,"roster":{"hosts":[{"host":"c9","health":"dancing"}]}}` // it has it so
	w.listFeed <- listEvent(4, false, listEntry("c1", w.listeners["c1"].Addr().String(), "edge", "std", "removed", 0),
		listEntry("c2", w.listeners["c2"].Addr().String(), "edge", "std", "up", 0))
	client := w.dial()
	id := uint64(0)
	w.waitUntil("c2 serves, and c1 no more", func() bool {
		id++
		client.send(request(id, "footage", map[string]string{"item": fmt.Sprintf("%016x", id)}, ""))
		client.mustRead()
		asks := w.received(hasWord("ASK"))
		return asks[len(asks)-1].Endpoint == "c2"
	})
}

// TestListWatchFaults: a watch that falls silent, or whose numbers show that something is missing, is followed anew behind the last event that came
// whole, and what it then tells holds for requests that are asked right after.
func TestListWatchFaults(t *testing.T) {
	for _, c := range []struct {
		name string
		feed []string
		why  string // as the log has it: each would be noticed by its silence in the end
	}{
		{"silent in the middle of a line", []string{`~{"no":2,"roster":{"seq":2,"who`}, "nothing came for"},
		{"a heartbeat beyond what was told", []string{"1", "5"}, "event 2 was missed"},
		{"events in another order", []string{`{"no":3,"recall":{"lot":3,"issued":1}}`}, "event 3 came after event 1"},
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
			w.waitUntil("it is noticed", func() bool { return matches("event=endpoint-list-stale error=\"?"+c.why, w.log.String()) })
			w.listFeed <- "!" // the stand-in serves one connection at a time
			if after := w.waitListPoll(); after != "after 1" {
				t.Fatalf("the program asks for %q, want what came after the last whole event", after)
			}
			address := w.listeners["c1"].Addr().String()
			w.listFeed <- listEvent(2, false, listEntry("c1", address, "edge", "std", "draining", 0))
			w.listFeed <- listEvent(2, false, listEntry("c1", address, "edge", "std", "up", 0)) // a repeat: it has this number
			w.waitDrained("c1")
		})
	}
}

// TestStalledListWatchResumes: a bulletin that stops and stays open is asked again from the last whole event.
func TestStalledListWatchResumes(t *testing.T) {
	w := newTestbed(t, nil)
	ln := w.listenOn("127.0.0.1:0")
	w.config["bulletin"] = ln.Addr().String()
	w.start()
	first, _ := w.acceptListPoll(ln)
	event := `{"no":2,"recall":{"item":"00000000000000aa","issued":1}}` + "\n"
	_, _ = first.Write([]byte(event + event + `{"no":3,"rec`)) // one event twice, and half of another
	if _, after := w.acceptListPoll(ln); after != "after 2" {
		t.Errorf("the program asked for %q, want all after event 2", after)
	}
}

// TestSilentListServiceAtStart: a bulletin that takes connections and says nothing, from the first byte, keeps nobody from being served by
// what was known, and is asked again.
func TestSilentListServiceAtStart(t *testing.T) {
	w := newTestbed(t, nil)
	w.start()
	client := w.dial()
	for id := uint64(1); id <= 2; id++ {
		w.waitListPoll()
		client.send(request(id, "lookup", nil, ""))
		if got := client.mustRead(); got.Error != "" {
			t.Errorf("%+v, want it served", got)
		}
		if id == 1 {
			w.waitUntil("the silence is noticed", func() bool { return strings.Contains(w.log.String(), "event=endpoint-list-stale") })
			w.listFeed <- "!" // the stand-in serves one connection at a time
		}
	}
}

// TestInvalidationBoundsAge: after a purge no copy from before it will do, for the object and for its group.
func TestInvalidationBoundsAge(t *testing.T) {
	w := newTestbed(t, nil)
	w.start()
	<-w.listPolls
	client := w.dial()
	issued := time.Now().Add(-100 * time.Millisecond).UnixMilli()
	w.listFeed <- fmt.Sprintf(`{"no":2,"recall":{"item":"7f3a9c21e0b4d655","issued":%d}}`, issued)
	w.listFeed <- fmt.Sprintf(`{"no":3,"recall":{"lot":9,"issued":%d}}`, issued)
	id := uint64(0)
	for _, fields := range []map[string]string{{}, {"item": "00000000000000bb", "batch": "9"}} {
		w.waitUntil("requests ask for younger copies", func() bool {
			id++
			client.send(request(id, "footage", fields, ""))
			client.mustRead()
			asks := w.received(hasWord("ASK"))
			last := asks[len(asks)-1]
			var fresh int64
			_, _ = fmt.Sscan(last.Fields["fresh"], &fresh)
			if oldest := last.At.UnixMilli() - fresh; fresh > 0 && oldest < issued {
				t.Fatalf("a copy of %d ms before the purge would do", issued-oldest)
			}
			return fresh > 0
		})
	}
}

// TestEndpointReplacedAtSameAddress: a new box at the address of one that has gone has connections of its own, and what was out to the
// old one is tried again.
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
	w.waitUntil("the attempt is out", func() bool { return len(w.received(hasWord("ASK"))) == 1 })
	old := w.received(hasWord("ASK"))[0].Conn
	address := w.listeners["c1"].Addr().String()
	w.listFeed <- listEvent(2, false, listEntry("c1", address, "edge", "std", "removed", 0),
		listEntry("c7", address, "edge", "std", "up", time.Now().UnixMilli()))
	w.waitUntil("the attempt to the old box is tried again", func() bool { return len(w.received(hasWord("ASK"))) > 1 })
	client.send(request(2, "footage", map[string]string{"nth": "1"}, ""))
	for {
		if a := client.mustRead(); a.ID == 2 {
			if a.Body != "1" {
				t.Errorf("%+v, want it served by the new box", a)
			}
			break
		}
	}
	for _, a := range w.received(hasWord("ASK"))[1:] {
		if a.Conn == old {
			t.Errorf("%+v went out on the old box's connection", a)
		}
	}
}

// TestEndpointDrainsDuringDial: an attempt waits for the connection to a box that begins to drain. It goes elsewhere, and
// nothing is written when the connection comes up.
func TestEndpointDrainsDuringDial(t *testing.T) {
	w := newTestbed(t, nil, "c2")
	address := w.listenWithFullBacklog()
	w.listed[0]["dial"] = address
	w.config["settings"].(map[string]any)["limits"].(map[string]any)["dial-timeout-ms"] = 60000
	w.start()
	<-w.listPolls
	client := w.dial()
	client.send(request(1, "footage", map[string]string{"limit": "60000"}, ""))
	client.send(request(2, "status", nil, ""))
	if a := client.mustRead(); !a.Ready {
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
	if asks := w.received(func(a *receivedRequest) bool { return a.Endpoint == "c1" }); len(asks) > 0 {
		t.Errorf("the draining box was sent %+v", asks[0])
	}
}

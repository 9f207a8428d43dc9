package test

import (
	"fmt"
	"net"
	"testing"
	"time"
)

// TestListWatchResumes checks that after malformed lines, missing events and lost connections the program resumes the
// event stream after the last event that it applied, and loses no event.
func TestListWatchResumes(t *testing.T) {
	const malformedEvent = `{"no":3,"roster":{"hosts":[{"host":"c9","health":"dancing"}]}}`
	bed := newTestbed(t, nil, "c2")
	bed.start()
	bed.expectListPoll("after 1")
	bed.listFeed <- objectInvalidation(2, "00000000000000aa", 1)
	bed.listFeed <- "2"
	bed.listFeed <- "!" // the emulator closes the connection
	bed.listFeed <- "!" // the first may have reached the previous connection
	bed.expectListPoll("after 2")
	select { // then the program has polled twice
	case <-bed.listPolls:
	case <-time.After(time.Second):
	}
	bed.listFeed <- groupInvalidation(4, 3, 1) // 3 is missing
	bed.listFeed <- "!"
	bed.expectListPoll("after 2")
	bed.listFeed <- malformedEvent
	bed.listFeed <- "!"
	bed.expectListPoll("after 2")  // the program polls again
	bed.listFeed <- malformedEvent // malformed again, and hence skipped
	bed.listFeed <- listEvent(4, false, bed.endpointEntry("c1", "removed"), bed.endpointEntry("c2", "up"))
	client := bed.dial()
	id := uint64(0)
	bed.waitUntil("c2 serves instead of c1", func() bool {
		id++
		client.call(id, "footage", map[string]string{"item": hexID(id)})
		return bed.lastAttempt().Endpoint == "c2"
	})
}

// TestListWatchFaults checks that a watch which falls silent, or whose event numbers show a gap, is resumed after the
// last complete event, and that requests sent right after the next event follow that event.
func TestListWatchFaults(t *testing.T) {
	for _, c := range []struct {
		name       string
		feed       []string
		wantLogged string // in the log; without its own check, each fault would only be noticed as silence
	}{
		{"silent in the middle of a line", []string{`~{"no":2,"roster":{"seq":2,"who`}, "nothing received for"},
		{"a heartbeat with a later event number", []string{"1", "5"}, "event 2 was missed"},
		{"an event is missing", []string{groupInvalidation(3, 3, 1)}, "event 3 came after event 1"},
		{"the connection ends", []string{"1", "!"}, "connection ended"},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			bed := newTestbed(t, nil)
			bed.start()
			bed.waitListPoll()
			for _, text := range c.feed {
				bed.listFeed <- text
			}
			bed.waitLogMatches(`event=endpoint-list-stale error="?` + c.wantLogged)
			bed.listFeed <- "!" // closes the connection: the emulator serves one at a time
			bed.expectListPoll("after 1")
			bed.listFeed <- bed.healthChangeEvent(2, "c1", "draining")
			bed.listFeed <- bed.healthChangeEvent(2, "c1", "up") // a duplicate event number, to be ignored
			bed.expectDrained("c1")
		})
	}
}

// TestStalledListWatchResumes checks that a list service which stalls without closing the connection is polled again
// from the last complete event.
func TestStalledListWatchResumes(t *testing.T) {
	bed := newTestbed(t, nil)
	listener := bed.listenOn("127.0.0.1:0")
	bed.config["bulletin"] = listener.Addr().String()
	bed.start()
	first, _ := bed.acceptListPoll(listener)
	event := objectInvalidation(2, "00000000000000aa", 1) + "\n"
	_, _ = first.Write([]byte(event + event + `{"no":3,"rec`)) // one event twice, and a truncated one
	if _, after := bed.acceptListPoll(listener); after != "after 2" {
		t.Errorf("poll: got %q, want \"after 2\"", after)
	}
}

// TestSilentListServiceAtStart checks that while a list service accepts connections but never sends a byte, requests
// are served with the initial list, and the service is polled again.
func TestSilentListServiceAtStart(t *testing.T) {
	bed := newTestbed(t, nil)
	bed.start()
	client := bed.dial()
	for id := uint64(1); id <= 2; id++ {
		bed.waitListPoll()
		if answer := client.call(id, "lookup", nil); answer.Error != "" {
			t.Errorf("answer: got %+v, want it served", answer)
		}
		if id == 1 {
			bed.waitLogged("event=endpoint-list-stale")
			bed.listFeed <- "!" // closes the connection: the emulator serves one at a time
		}
	}
}

// TestInvalidationBoundsAge checks that after a purge of an object or its group, no copy from before the purge may be
// served.
func TestInvalidationBoundsAge(t *testing.T) {
	bed := newTestbed(t, nil)
	bed.start()
	bed.waitListPoll()
	client := bed.dial()
	issuedAt := time.Now().Add(-100 * time.Millisecond).UnixMilli()
	bed.listFeed <- objectInvalidation(2, "7f3a9c21e0b4d655", issuedAt)
	bed.listFeed <- groupInvalidation(3, 9, issuedAt)
	id := uint64(0)
	for _, fields := range []map[string]string{{}, {"item": "00000000000000bb", "batch": "9"}} {
		bed.waitUntil("requests bound the age of copies", func() bool {
			id++
			client.call(id, "footage", fields)
			last := bed.lastAttempt()
			var maxAge int64
			_, _ = fmt.Sscan(last.Fields["fresh"], &maxAge)
			if oldest := last.At.UnixMilli() - maxAge; maxAge > 0 && oldest < issuedAt {
				t.Fatalf("the maximum age allows copies from %d ms before the purge, want none from before it",
					issuedAt-oldest)
			}
			return maxAge > 0
		})
	}
}

// TestEndpointReplacedAtSameAddress checks that a new endpoint at the address of a removed one gets connections of its
// own, and that attempts in flight to the old endpoint are retried.
func TestEndpointReplacedAtSameAddress(t *testing.T) {
	bed := newTestbed(t, func(attempt *receivedRequest) {
		if attempt.Endpoint == "c1" && attempt.Fields["nth"] == "0" {
			return // silent
		}
		attempt.Answer("ACK", "-", attempt.Fields["nth"])
	}, "c2")
	bed.start()
	client := bed.dial()
	client.send(request(1, "footage", nil, ""))
	bed.waitAttempts(1)
	old := bed.attempts()[0].Conn
	replacement := listEntry("c7", bed.endpointAddress("c1"), "edge", "std", "up", time.Now().UnixMilli())
	bed.listFeed <- listEvent(2, false, bed.endpointEntry("c1", "removed"), replacement)
	bed.waitUntil("the attempt to the old endpoint is retried", func() bool { return len(bed.attempts()) > 1 })
	client.send(request(2, "footage", map[string]string{"nth": "1"}, ""))
	answer := client.mustRead()
	for answer.ID != 2 {
		answer = client.mustRead()
	}
	if answer.Body != "1" {
		t.Errorf("request 2: got %+v, want it served by the new endpoint", answer)
	}
	for _, attempt := range bed.attempts()[1:] {
		if attempt.Conn == old {
			t.Errorf("attempt %+v was sent on the old endpoint's connection, want a new connection", attempt)
		}
	}
}

// TestEndpointDrainsDuringDial checks an endpoint that begins to drain while an attempt waits for the connection to it.
// The attempt must go to another endpoint, and nothing may be written once the connection is established.
func TestEndpointDrainsDuringDial(t *testing.T) {
	bed := newTestbed(t, nil, "c2")
	address := bed.listenWithFullBacklog()
	bed.setListedAddress("c1", address)
	bed.platformLimits()["dial-timeout-ms"] = 60000
	bed.start()
	bed.waitListPoll()
	client := bed.dial()
	client.send(request(1, "footage", map[string]string{"limit": "60000"}, ""))
	if answer := client.call(2, "status", nil); !answer.Ready {
		t.Fatalf("first answer: got %+v, want the status while the request waits", answer)
	}
	bed.listFeed <- listEvent(2, false, listEntry("c1", address, "edge", "std", "draining", 0))
	if answer := client.mustRead(); answer.ID != 1 || answer.Error != "" {
		t.Errorf("got answer %+v, want request 1 served by another endpoint", answer)
	}
	go bed.endpoints.Serve("c1", bed.fullBacklogListener) // connections accepted from now on must carry no attempts
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	if sent := bed.received(func(attempt *receivedRequest) bool { return attempt.Endpoint == "c1" }); len(sent) > 0 {
		t.Errorf("the draining endpoint received %+v, want nothing", sent[0])
	}
}

// TestSlowListServiceIsFollowed checks a list service that answers each connection only after 2 s, which is longer than
// a watch may be silent. Its events must still arrive.
func TestSlowListServiceIsFollowed(t *testing.T) {
	t.Parallel()
	bed := newTestbed(t, nil)
	slow := bed.listenOn("127.0.0.1:0")
	bed.config["bulletin"] = slow.Addr().String()
	go func() {
		for {
			conn, err := slow.Accept()
			if err != nil {
				return
			}
			time.AfterFunc(2*time.Second, func() {
				_, _ = conn.Write([]byte(bed.healthChangeEvent(2, "c1", "draining") + "\n"))
			})
		}
	}()
	bed.start()
	bed.waitLogged("event=endpoint-draining")
}

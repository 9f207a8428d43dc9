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
	bed := newTestbed(t, nil, "c2")
	bed.start()
	bed.expectListPoll("after 1")
	bed.listFeed <- objectInvalidation(2, "00000000000000aa", 1)
	bed.listFeed <- "2"
	bed.listFeed <- "!" // the connection ends
	bed.listFeed <- "!" // may meet the old connection
	bed.expectListPoll("after 2")
	select { // and then the program has asked twice
	case <-bed.listPolls:
	case <-time.After(time.Second):
	}
	bed.listFeed <- groupInvalidation(4, 3, 1) // 3 is missing
	bed.listFeed <- "!"
	bed.expectListPoll("after 2")
	bed.listFeed <- unreadable
	bed.listFeed <- "!"
	bed.expectListPoll("after 2") // asked for again
	bed.listFeed <- unreadable    // it has it so
	bed.listFeed <- listEvent(4, false, bed.endpointEntry("c1", "removed"), bed.endpointEntry("c2", "up"))
	client := bed.dial()
	id := uint64(0)
	bed.waitUntil("c2 serves, and c1 no more", func() bool {
		id++
		client.call(id, "footage", map[string]string{"item": hexID(id)})
		return bed.lastAttempt().Endpoint == "c2"
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
		{"silent in the middle of a line", []string{`~{"no":2,"roster":{"seq":2,"who`}, "nothing received for"},
		{"a heartbeat beyond what was told", []string{"1", "5"}, "event 2 was missed"},
		{"events in another order", []string{groupInvalidation(3, 3, 1)}, "event 3 came after event 1"},
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
			bed.waitLogMatches(`event=endpoint-list-stale error="?` + c.why)
			bed.listFeed <- "!" // the emulator serves one connection at a time
			bed.expectListPoll("after 1")
			bed.listFeed <- bed.healthChangeEvent(2, "c1", "draining")
			bed.listFeed <- bed.healthChangeEvent(2, "c1", "up") // a repeat: it has this number
			bed.expectDrained("c1")
		})
	}
}

// TestStalledListWatchResumes: a list service that stops and stays open is asked again from the last complete event.
func TestStalledListWatchResumes(t *testing.T) {
	bed := newTestbed(t, nil)
	listener := bed.listenOn("127.0.0.1:0")
	bed.config["bulletin"] = listener.Addr().String()
	bed.start()
	first, _ := bed.acceptListPoll(listener)
	event := objectInvalidation(2, "00000000000000aa", 1) + "\n"
	_, _ = first.Write([]byte(event + event + `{"no":3,"rec`)) // one event twice, and half of another
	if _, after := bed.acceptListPoll(listener); after != "after 2" {
		t.Errorf("the program asked for %q, want all after event 2", after)
	}
}

// TestSilentListServiceAtStart: a list service that takes connections and says nothing, from the first byte, keeps
// nobody from being served by what was known, and is asked again.
func TestSilentListServiceAtStart(t *testing.T) {
	bed := newTestbed(t, nil)
	bed.start()
	client := bed.dial()
	for id := uint64(1); id <= 2; id++ {
		bed.waitListPoll()
		if answer := client.call(id, "lookup", nil); answer.Error != "" {
			t.Errorf("%+v, want it served", answer)
		}
		if id == 1 {
			bed.waitLogged("event=endpoint-list-stale")
			bed.listFeed <- "!" // the emulator serves one connection at a time
		}
	}
}

// TestInvalidationBoundsAge: after a purge no copy from before it will do, for the object and for its group.
func TestInvalidationBoundsAge(t *testing.T) {
	bed := newTestbed(t, nil)
	bed.start()
	bed.waitListPoll()
	client := bed.dial()
	issued := time.Now().Add(-100 * time.Millisecond).UnixMilli()
	bed.listFeed <- objectInvalidation(2, "7f3a9c21e0b4d655", issued)
	bed.listFeed <- groupInvalidation(3, 9, issued)
	id := uint64(0)
	for _, fields := range []map[string]string{{}, {"item": "00000000000000bb", "batch": "9"}} {
		bed.waitUntil("requests ask for younger copies", func() bool {
			id++
			client.call(id, "footage", fields)
			last := bed.lastAttempt()
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
	successor := listEntry("c7", bed.endpointAddress("c1"), "edge", "std", "up", time.Now().UnixMilli())
	bed.listFeed <- listEvent(2, false, bed.endpointEntry("c1", "removed"), successor)
	bed.waitUntil("the attempt to the old endpoint is tried again", func() bool { return len(bed.attempts()) > 1 })
	client.send(request(2, "footage", map[string]string{"nth": "1"}, ""))
	answer := client.mustRead()
	for answer.ID != 2 {
		answer = client.mustRead()
	}
	if answer.Body != "1" {
		t.Errorf("%+v, want it served by the new endpoint", answer)
	}
	for _, attempt := range bed.attempts()[1:] {
		if attempt.Conn == old {
			t.Errorf("%+v went out on the old endpoint's connection, want one of the new endpoint's own", attempt)
		}
	}
}

// TestEndpointDrainsDuringDial: an attempt waits for the connection to an endpoint that begins to drain. It goes
// elsewhere, and nothing is written when the connection comes up.
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
		t.Fatalf("%+v came first, want the status while the request waits", answer)
	}
	bed.listFeed <- listEvent(2, false, listEntry("c1", address, "edge", "std", "draining", 0))
	if answer := client.mustRead(); answer.ID != 1 || answer.Error != "" {
		t.Errorf("%+v, want the request served elsewhere", answer)
	}
	go bed.endpoints.Serve("c1", bed.fullBacklogListener) // what comes up now must stay empty
	waiting, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer waiting.Close()
	if sent := bed.received(func(attempt *receivedRequest) bool { return attempt.Endpoint == "c1" }); len(sent) > 0 {
		t.Errorf("the draining endpoint was sent %+v, want nothing", sent[0])
	}
}

// TestSlowListServiceIsFollowed: the list service answers each connection only after 2 s, which is longer than a
// watch may be silent. What it has to tell still arrives.
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

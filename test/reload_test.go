package test

import (
	"fmt"
	"os"
	"syscall"
	"testing"
	"time"
)

// TestReload: SIGHUP ended the program. It reads the configuration again: a bad one changes nothing, a good one has
// the list service followed to its new address from the last event, and a connection to the old one says nothing any
// more.
func TestReload(t *testing.T) {
	bed := newTestbed(t, nil, "c2")
	old, next := bed.listenOn("127.0.0.1:0"), bed.listenOn("127.0.0.1:0")
	bed.config["bulletin"] = old.Addr().String()
	bed.start()
	first, _ := bed.acceptListPoll(old)
	_, _ = first.Write([]byte(objectInvalidation(2, "00000000000000aa", 1) + "\n"))
	writeFile(t, bed.configPath, `{"listen":`)
	bed.signal(syscall.SIGHUP)
	bed.waitLogged("reload-failed")
	bed.config["bulletin"] = next.Addr().String()
	bed.writeConfig()
	bed.signal(syscall.SIGHUP)
	second, after := bed.acceptListPoll(next)
	if after != "after 2" {
		t.Errorf("the program asked the new list service for %q, want all after event 2", after)
	}
	_, _ = first.Write([]byte(listEvent(3, true) + "\n")) // all endpoints gone, says the old one
	list := listEvent(3, true, bed.endpointEntry("c2", "up"), bed.endpointEntry("p1", "up"),
		bed.endpointEntry("o1", "up"))
	_, _ = second.Write([]byte(list + "\n"))
	client := bed.dial()
	id := uint64(0)
	bed.waitUntil("c2 serves, which the new list service has named", func() bool {
		id++
		answer := client.call(id, "footage", nil)
		return answer.Error == "" && bed.lastAttempt().Endpoint == "c2"
	})
}

// TestReloadToListServiceNotYetUp: SIGHUP names a list service that is not there yet. It is asked until it is, behind
// the last event, and what it tells holds.
func TestReloadToListServiceNotYetUp(t *testing.T) {
	bed := newTestbed(t, nil)
	bed.start()
	bed.waitListPoll()
	bed.listFeed <- groupInvalidation(2, 3, time.Now().UnixMilli())
	client, id := bed.dial(), uint64(0)
	bed.waitUntil("event 2 has come", func() bool {
		id++
		client.call(id, "footage", map[string]string{"batch": "3"})
		return bed.lastAttempt().Fields["fresh"] != ""
	})
	later := bed.freeAddress()
	bed.config["bulletin"] = later
	bed.writeConfig()
	bed.signal(syscall.SIGHUP)
	bed.waitLogged("event=endpoint-list-stale")
	next, err := newListServiceAt(later)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(next.close)
	select {
	case after := <-next.polls:
		if after != "after 2" {
			t.Errorf("the new list service is asked for %q, want what comes after event 2", after)
		}
	case <-time.After(waitLimit):
		t.Fatalf("the new list service is not asked within %v", waitLimit)
	}
	next.feed <- bed.healthChangeEvent(3, "c1", "draining")
	bed.expectDrained("c1")
}

// TestSIGHUPWhileConfigIsReplaced: the file is taken away, empty and cut off in turn as SIGHUP comes, while requests
// are open; the old settings stay, nothing that is open is lost, and the next sound file is taken.
func TestSIGHUPWhileConfigIsReplaced(t *testing.T) {
	pending := make(chan *receivedRequest, 100)
	bed := newTestbed(t, func(attempt *receivedRequest) { pending <- attempt })
	bed.start()
	sound := readFile(t, bed.configPath)
	client := bed.dial()
	for i, c := range []struct {
		file   string // what becomes of it
		exists bool
		text   string
		event  string
	}{
		{"taken away", false, "", "event=reload-failed"},
		{"empty", true, "", "event=reload-failed"},
		{"cut off", true, sound[:len(sound)/2], "event=reload-failed"},
		{"sound", true, sound, "event=reloaded"},
	} {
		client.send(request(uint64(i+1), "charge", map[string]string{"unique": fmt.Sprint("k", i)}, ""))
		attempt := nextReceived(t, pending)
		bed.log.reset()
		if err := os.Remove(bed.configPath); err != nil {
			t.Fatal(err)
		}
		if c.exists {
			writeFile(t, bed.configPath, c.text)
		}
		bed.signal(syscall.SIGHUP)
		bed.waitLogged(c.event)
		answerDone(attempt)
		if got := client.mustRead(); got.Body != "done" {
			t.Errorf("with the file %s: %+v, want it served", c.file, got)
		}
		if !c.exists {
			writeFile(t, bed.configPath, "")
		}
	}
}

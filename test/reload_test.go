package test

import (
	"fmt"
	"os"
	"syscall"
	"testing"
	"time"
)

// TestReload guards against SIGHUP ending the program. SIGHUP must reload the configuration: an invalid one changes
// nothing; with a valid one the program polls the list service at its new address from the last event on, and ignores
// events on the connection to the old address.
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
		t.Errorf("poll of the new list service: got %q, want \"after 2\"", after)
	}
	_, _ = first.Write([]byte(listEvent(3, true) + "\n")) // the old list service removes all endpoints
	list := listEvent(3, true, bed.endpointEntry("c2", "up"), bed.endpointEntry("p1", "up"),
		bed.endpointEntry("o1", "up"))
	_, _ = second.Write([]byte(list + "\n"))
	client := bed.dial()
	id := uint64(0)
	bed.waitUntil("c2 serves, which is in the new list service's list", func() bool {
		id++
		answer := client.call(id, "footage", nil)
		return answer.Error == "" && bed.lastAttempt().Endpoint == "c2"
	})
}

// TestReloadToListServiceNotYetUp reloads a configuration with the address of a list service that is not up yet. The
// program must poll it until it is up, from the last event on, and apply its events.
func TestReloadToListServiceNotYetUp(t *testing.T) {
	bed := newTestbed(t, nil)
	bed.start()
	bed.waitListPoll()
	bed.listFeed <- groupInvalidation(2, 3, time.Now().UnixMilli())
	client, id := bed.dial(), uint64(0)
	bed.waitUntil("event 2 is applied", func() bool {
		id++
		client.call(id, "footage", map[string]string{"batch": "3"})
		return bed.lastAttempt().Fields["fresh"] != ""
	})
	address := bed.freeAddress()
	bed.config["bulletin"] = address
	bed.writeConfig()
	bed.signal(syscall.SIGHUP)
	bed.waitLogged("event=endpoint-list-stale")
	next, err := newListServiceAt(address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(next.close)
	select {
	case after := <-next.polls:
		if after != "after 2" {
			t.Errorf("poll of the new list service: got %q, want \"after 2\"", after)
		}
	case <-time.After(waitLimit):
		t.Fatalf("the new list service was not polled within %v", waitLimit)
	}
	next.feed <- bed.healthChangeEvent(3, "c1", "draining")
	bed.expectDrained("c1")
}

// TestSIGHUPWhileConfigIsReplaced sends SIGHUP while requests are open and the configuration file is missing, empty or
// truncated. The old settings stay in effect, no open request is lost, and the next valid file is loaded.
func TestSIGHUPWhileConfigIsReplaced(t *testing.T) {
	pending := make(chan *receivedRequest, 100)
	bed := newTestbed(t, func(attempt *receivedRequest) { pending <- attempt })
	bed.start()
	valid := readFile(t, bed.configPath)
	client := bed.dial()
	for i, c := range []struct {
		file   string // its state at SIGHUP
		exists bool
		text   string
		event  string
	}{
		{"missing", false, "", "event=reload-failed"},
		{"empty", true, "", "event=reload-failed"},
		{"truncated", true, valid[:len(valid)/2], "event=reload-failed"},
		{"valid", true, valid, "event=reloaded"},
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
			t.Errorf("configuration file %s: got %+v, want it served", c.file, got)
		}
		if !c.exists {
			writeFile(t, bed.configPath, "")
		}
	}
}

package test

import (
	"fmt"
	"os"
	"strings"
	"syscall"
	"testing"
	"time"

	"sloequay/internal/emulator"
)

// TestReload: SIGHUP ended the program. It reads the configuration again: a bad one changes nothing, a good one has the
// bulletin followed to its new address from the last event, and a connection to the old one says nothing any more.
func TestReload(t *testing.T) {
	w := newTestbed(t, nil, "c2")
	old, next := w.listenOn("127.0.0.1:0"), w.listenOn("127.0.0.1:0")
	w.config["bulletin"] = old.Addr().String()
	w.start()
	first, _ := w.acceptListPoll(old)
	_, _ = first.Write([]byte(`{"no":2,"recall":{"item":"00000000000000aa","issued":1}}` + "\n"))
	if err := os.WriteFile(w.configPath, []byte(`{"listen":`), 0o600); err != nil {
		t.Fatal(err)
	}
	w.signal(syscall.SIGHUP)
	w.waitUntil("the bad file is logged", func() bool { return strings.Contains(w.log.String(), "reload-failed") })
	w.config["bulletin"] = next.Addr().String()
	w.writeConfig()
	w.signal(syscall.SIGHUP)
	second, after := w.acceptListPoll(next)
	if after != "after 2" {
		t.Errorf("the program asked the new bulletin for %q, want all after event 2", after)
	}
	c2 := listEntry("c2", w.listeners["c2"].Addr().String(), "edge", "std", "up", 0)
	_, _ = first.Write([]byte(listEvent(3, true) + "\n")) // all boxes gone, says the old one
	_, _ = second.Write([]byte(listEvent(3, true, c2, w.listed[1], w.listed[2]) + "\n"))
	client := w.dial()
	id := uint64(0)
	w.waitUntil("c2 serves, which the new bulletin has named", func() bool {
		id++
		client.send(request(id, "footage", nil, ""))
		a := client.mustRead()
		asks := w.received(hasWord("ASK"))
		return a.Error == "" && asks[len(asks)-1].Endpoint == "c2"
	})
}

// TestReloadToListServiceNotYetUp: SIGHUP names a bulletin that is not there yet. It is asked until it is, behind the last event, and what it tells
// holds.
func TestReloadToListServiceNotYetUp(t *testing.T) {
	w := newTestbed(t, nil)
	w.start()
	w.waitListPoll()
	w.listFeed <- `{"no":2,"recall":{"lot":3,"issued":1}}`
	w.listFeed <- "2"
	later := w.freeAddress()
	w.config["bulletin"] = later
	w.writeConfig()
	w.signal(syscall.SIGHUP)
	w.waitUntil("the new one is missed", func() bool { return strings.Contains(w.log.String(), "event=endpoint-list-stale") })
	next, err := emulator.NewListServiceAt(later)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(next.Close)
	select {
	case after := <-next.After:
		if after != "after 2" {
			t.Errorf("the new bulletin is asked for %q, want what comes after event 2", after)
		}
	case <-time.After(waitLimit):
		t.Fatal("the new bulletin is not asked")
	}
	next.Feed <- listEvent(3, false, listEntry("c1", w.listeners["c1"].Addr().String(), "edge", "std", "draining", 0))
	w.waitDrained("c1")
}

// TestSIGHUPWhileConfigIsReplaced: the file is taken away, empty and cut off in turn as SIGHUP comes, while requests are open; the old settings
// stay, nothing that is open is lost, and the next sound file is taken.
func TestSIGHUPWhileConfigIsReplaced(t *testing.T) {
	held := make(chan *receivedRequest, 100)
	w := newTestbed(t, func(a *receivedRequest) { held <- a })
	w.start()
	whole, err := os.ReadFile(w.configPath)
	if err != nil {
		t.Fatal(err)
	}
	client := w.dial()
	for i, text := range [][]byte{nil, {}, whole[:len(whole)/2], whole} {
		client.send(request(uint64(i+1), "charge", map[string]string{"unique": fmt.Sprint("k", i)}, ""))
		a := nextReceived(t, held)
		w.log.reset()
		if err := os.Remove(w.configPath); err != nil {
			t.Fatal(err)
		}
		if text != nil {
			if err := os.WriteFile(w.configPath, text, 0o600); err != nil {
				t.Fatal(err)
			}
		}
		w.signal(syscall.SIGHUP)
		word := []string{"event=reload-failed", "event=reloaded"}[i/3]
		w.waitUntil(word, func() bool { return strings.Contains(w.log.String(), word) })
		a.Answer("ACK", "tag=t1", "done")
		if got := client.mustRead(); got.Body != "done" {
			t.Errorf("file %d: %+v, want it served", i, got)
		}
		if text == nil {
			_ = os.WriteFile(w.configPath, nil, 0o600)
		}
	}
}

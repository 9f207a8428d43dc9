package test

import (
	"bufio"
	"fmt"
	"net"
	"strings"
	"sync"
	"testing"
	"time"
)

// silentEndpoint is an endpoint that answers health checks and no requests. It can stop listening without closing its
// connections, so that only the endpoint list tells that it is gone.
type silentEndpoint struct {
	listener net.Listener

	mu       sync.Mutex
	conns    []net.Conn
	requests []string // the ids of the requests that it has read
}

// startSilentEndpoint has a silent endpoint take the place of a listed one.
func (bed *testbed) startSilentEndpoint(id string) *silentEndpoint {
	bed.t.Helper()
	silent := &silentEndpoint{listener: bed.listenOn(bed.ip + ":0")}
	bed.setListedAddress(id, silent.listener.Addr().String())
	go func() {
		for {
			conn, err := silent.listener.Accept()
			if err != nil {
				return
			}
			bed.t.Cleanup(func() { _ = conn.Close() })
			silent.mu.Lock()
			silent.conns = append(silent.conns, conn)
			silent.mu.Unlock()
			go silent.read(conn)
		}
	}()
	return silent
}

func (e *silentEndpoint) read(conn net.Conn) {
	for lines := bufio.NewScanner(conn); lines.Scan(); {
		words := strings.Fields(lines.Text())
		if len(words) < 2 {
			continue
		}
		switch words[0] {
		case "ASK":
			e.mu.Lock()
			e.requests = append(e.requests, words[1])
			e.mu.Unlock()
		case "NOOP":
			_, _ = fmt.Fprintf(conn, "%s READY - 0\r\n\r\n", words[1])
		}
	}
}

// received returns the number of requests that the endpoint has read.
func (e *silentEndpoint) received() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.requests)
}

// vanish stops listening, and leaves the connections open unless they are reset.
func (e *silentEndpoint) vanish(isReset bool) {
	_ = e.listener.Close()
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, conn := range e.conns {
		if isReset {
			_ = conn.(*net.TCPConn).SetLinger(0)
			_ = conn.Close()
		}
	}
}

// replacedEndpointCase is a way in which the list tells that a process has taken the address of another.
type replacedEndpointCase struct {
	name   string
	newID  string
	events func(removed, added map[string]any) []string
}

var replacedEndpointCases = []replacedEndpointCase{
	{"another id, in one event", "o9", func(removed, added map[string]any) []string {
		return []string{listEvent(2, false, removed, added)}
	}},
	{"another id, added first", "o9", func(removed, added map[string]any) []string {
		return []string{listEvent(2, false, added), listEvent(3, false, removed)}
	}},
	{"the same id, with a new start", "o1", func(_, added map[string]any) []string {
		return []string{listEvent(2, false, added)}
	}},
	{"the same id, gone and back", "o1", func(removed, added map[string]any) []string {
		return []string{listEvent(2, false, removed), listEvent(3, false, added)}
	}},
}

// TestReplacedEndpointIsNotTakenForTheOldOne guards against a process that takes the address of one that is gone, and
// is then taken for it: the request that was open there must not run again, and what comes later must reach the new
// one.
func TestReplacedEndpointIsNotTakenForTheOldOne(t *testing.T) {
	for _, c := range replacedEndpointCases {
		for _, isReset := range []bool{false, true} {
			t.Run(c.name+map[bool]string{false: ", connections stay open", true: ", connections are reset"}[isReset],
				func(t *testing.T) {
					t.Parallel()
					testReplacedEndpoint(t, c, isReset)
				})
		}
	}
}

func testReplacedEndpoint(t *testing.T, c replacedEndpointCase, isReset bool) {
	bed := newTestbed(t, nil)
	for _, class := range bed.platformSettings()["classes"].([]any) {
		if settings := class.(map[string]any); settings["name"] == "charge" {
			settings["idempotency"] = "once"
		}
	}
	bed.freeAddress()
	silent := bed.startSilentEndpoint("o1")
	address := silent.listener.Addr().String()
	bed.start()
	bed.waitListPoll()
	client := bed.dial()
	client.send(request(1, "charge", map[string]string{"unique": "key1", "limit": "3000"}, "body"))
	bed.waitUntil("the old process has the request", func() bool { return silent.received() == 1 })
	silent.vanish(isReset)
	bed.endpoints.Kill("o1")
	if _, err := bed.endpoints.Add(c.newID, address); err != nil {
		t.Fatal(err)
	}
	removed := listEntry("o1", address, "hub", "origin", "removed", 0)
	added := listEntry(c.newID, address, "hub", "origin", "up", time.Now().UnixMilli())
	for _, event := range c.events(removed, added) {
		bed.listFeed <- event
	}
	if answer := client.mustRead(); answer.Error != "Internal" {
		t.Errorf("open request: got response %+v, want it failed", answer)
	}
	bed.waitUntil("later requests are served", func() bool {
		fields := map[string]string{"unique": "key2", "txn": hexID(time.Now().UnixNano())}
		return bed.dial().call(2, "charge", fields).Error == ""
	})
	if silent.received() != 1 {
		t.Errorf("the old process got %d requests, want 1", silent.received())
	}
	for _, attempt := range bed.attemptsOfClass("charge") {
		if attempt.ID == hexID(1) {
			t.Error("the new process got the request that was open at the old one")
		}
	}
}

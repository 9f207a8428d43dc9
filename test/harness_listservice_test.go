package test

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net"
	"strings"
	"time"
)

func listEntry(id, dial, site, class, health string, born int64) map[string]any {
	return map[string]any{"host": id, "dial": dial, "site": site, "class": class, "block": 0, "health": health,
		"share": 4, "born_ms": born}
}

func listEvent(no int, whole bool, hosts ...map[string]any) string {
	text, _ := json.Marshal(map[string]any{"no": no, "roster": map[string]any{"seq": no, "whole": whole, "hosts": hosts}})
	return string(text)
}

// emptyList is a whole list without boxes.
func emptyList(no int) string {
	return strings.Replace(listEvent(no, true), `"hosts":null`, `"hosts":[]`, 1)
}

// waitListPoll waits until the program has asked the bulletin.
func (w *testbed) waitListPoll() string {
	w.t.Helper()
	select {
	case after := <-w.listPolls:
		return after
	case <-time.After(waitLimit):
		w.t.Fatal("the bulletin is not asked")
		return ""
	}
}

// acceptListPoll is the next connection to a stand-in bulletin with what the program asked for there.
func (w *testbed) acceptListPoll(ln net.Listener) (net.Conn, string) {
	w.t.Helper()
	conn, err := ln.Accept()
	if err != nil {
		w.t.Fatal(err)
	}
	w.t.Cleanup(func() { _ = conn.Close() })
	line, err := bufio.NewReader(conn).ReadString('\n')
	if err != nil {
		w.t.Fatal(err)
	}
	return conn, strings.TrimSpace(line)
}

// waitDrained waits until the program knows that a box drains, and has requests go elsewhere.
func (w *testbed) waitDrained(box string) {
	w.t.Helper()
	w.waitUntil("the drain is known", func() bool { return matches("event=endpoint-draining endpoint="+box, w.log.String()) })
	client := w.dial()
	before := len(w.received(func(a *receivedRequest) bool { return a.Word == "ASK" && a.Endpoint == box }))
	for id := range uint64(20) {
		client.send(request(id+1, "lookup", map[string]string{"item": fmt.Sprintf("%016x", id+1)}, ""))
		if a := client.mustRead(); a.Error != "" {
			w.t.Errorf("%+v, want it served elsewhere", a)
		}
	}
	if asks := w.received(func(a *receivedRequest) bool { return a.Word == "ASK" && a.Endpoint == box }); len(asks) > before {
		w.t.Errorf("%d attempts went to the draining box", len(asks)-before)
	}
}

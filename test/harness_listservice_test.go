package test

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net"
	"strings"
	"time"
)

// listEntry is an endpoint as the list service tells it; startedAt is in Unix milliseconds, 0 if it was not told.
func listEntry(id, address, site, class, health string, startedAt int64) map[string]any {
	return map[string]any{"host": id, "dial": address, "site": site, "class": class, "block": 0, "health": health,
		"share": 4, "born_ms": startedAt}
}

// endpointEntry is the entry of one of the testbed's endpoints.
func (bed *testbed) endpointEntry(id, health string) map[string]any {
	_, class, site := placement(id)
	return listEntry(id, bed.endpointAddress(id), site, class, health, 0)
}

// setListedAddress has the list that the program starts with name an address for an endpoint.
func (bed *testbed) setListedAddress(id, address string) {
	bed.t.Helper()
	for _, entry := range bed.listedEndpoints {
		if entry["host"] == id {
			entry["dial"] = address
			return
		}
	}
	bed.t.Fatalf("the endpoint %s is not in the list", id)
}

// listEvent is a numbered line of the list service: the complete list, or the entries that have changed.
func listEvent(number int, complete bool, entries ...map[string]any) string {
	list := map[string]any{"seq": number, "whole": complete, "hosts": entries}
	text, _ := json.Marshal(map[string]any{"no": number, "roster": list})
	return string(text)
}

// healthChangeEvent is the event that tells a new health of one endpoint.
func (bed *testbed) healthChangeEvent(number int, id, health string) string {
	return listEvent(number, false, bed.endpointEntry(id, health))
}

// emptyListEvent is the event of a complete list that has no endpoint.
func emptyListEvent(number int) string { return listEvent(number, true, []map[string]any{}...) }

// objectInvalidation is the event that refuses copies of an object from before a Unix millisecond.
func objectInvalidation(number int, object string, issued int64) string {
	return fmt.Sprintf(`{"no":%d,"recall":{"item":%q,"issued":%d}}`, number, object, issued)
}

// groupInvalidation is the same for all objects of a group.
func groupInvalidation(number, group int, issued int64) string {
	return fmt.Sprintf(`{"no":%d,"recall":{"lot":%d,"issued":%d}}`, number, group, issued)
}

// waitListPoll waits until the program has asked the list service, and gives what for.
func (bed *testbed) waitListPoll() string {
	bed.t.Helper()
	select {
	case after := <-bed.listPolls:
		return after
	case <-time.After(waitLimit):
		bed.t.Fatalf("the program has not asked the list service within %v", waitLimit)
		return ""
	}
}

// expectListPoll waits until the program has asked the list service, and fails unless it was for what is wanted.
func (bed *testbed) expectListPoll(want string) {
	bed.t.Helper()
	if got := bed.waitListPoll(); got != want {
		bed.t.Fatalf("the program asked the list service for %q, want %q", got, want)
	}
}

// acceptListPoll takes the next connection to a list service of the test's own, with what the program asks for there.
func (bed *testbed) acceptListPoll(listener net.Listener) (net.Conn, string) {
	bed.t.Helper()
	conn, err := listener.Accept()
	if err != nil {
		bed.t.Fatal(err)
	}
	bed.t.Cleanup(func() { _ = conn.Close() })
	line, err := bufio.NewReader(conn).ReadString('\n')
	if err != nil {
		bed.t.Fatal(err)
	}
	return conn, strings.TrimSpace(line)
}

// expectDrained waits until the program knows that an endpoint drains, and fails unless requests go elsewhere then.
func (bed *testbed) expectDrained(id string) {
	bed.t.Helper()
	bed.waitLogMatches("event=endpoint-draining endpoint=" + id)
	client := bed.dial()
	before := len(bed.attemptsAt(id))
	for n := range uint64(20) {
		if answer := client.call(n+1, "lookup", map[string]string{"item": hexID(n + 1)}); answer.Error != "" {
			bed.t.Errorf("%+v, want it served elsewhere", answer)
		}
	}
	if sent := len(bed.attemptsAt(id)) - before; sent > 0 {
		bed.t.Errorf("%d attempts went to the draining endpoint %s, want none", sent, id)
	}
}

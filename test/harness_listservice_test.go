package test

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net"
	"strings"
	"time"
)

// listEntry returns the list service's entry for an endpoint. startedAt is in Unix milliseconds; 0: unknown.
func listEntry(id, address, site, class, health string, startedAt int64) map[string]any {
	return map[string]any{"host": id, "dial": address, "site": site, "class": class, "block": 0, "health": health,
		"share": 4, "born_ms": startedAt}
}

// endpointEntry returns the list entry of one of the testbed's endpoints.
func (bed *testbed) endpointEntry(id, health string) map[string]any {
	_, class, site := placement(id)
	return listEntry(id, bed.endpointAddress(id), site, class, health, 0)
}

// setListedAddress sets the address of an endpoint in the list that the program starts with.
func (bed *testbed) setListedAddress(id, address string) {
	bed.t.Helper()
	for _, entry := range bed.listedEndpoints {
		if entry["host"] == id {
			entry["dial"] = address
			return
		}
	}
	bed.t.Fatalf("endpoint %s is not in the initial list", id)
}

// listEvent returns a numbered event of the list service: the complete list, or only the entries that changed.
func listEvent(number int, complete bool, entries ...map[string]any) string {
	list := map[string]any{"seq": number, "whole": complete, "hosts": entries}
	text, _ := json.Marshal(map[string]any{"no": number, "roster": list})
	return string(text)
}

// healthChangeEvent returns the event that sets the health of one endpoint.
func (bed *testbed) healthChangeEvent(number int, id, health string) string {
	return listEvent(number, false, bed.endpointEntry(id, health))
}

// emptyListEvent returns the event with a complete list of no endpoints.
func emptyListEvent(number int) string { return listEvent(number, true, []map[string]any{}...) }

// objectInvalidation returns the event that invalidates the copies of an object from before issued, in Unix
// milliseconds.
func objectInvalidation(number int, object string, issued int64) string {
	return fmt.Sprintf(`{"no":%d,"recall":{"item":%q,"issued":%d}}`, number, object, issued)
}

// groupInvalidation is like objectInvalidation for all objects of a group.
func groupInvalidation(number, group int, issued int64) string {
	return fmt.Sprintf(`{"no":%d,"recall":{"lot":%d,"issued":%d}}`, number, group, issued)
}

// waitListPoll waits until the program polls the list service, and returns the line that it sent.
func (bed *testbed) waitListPoll() string {
	bed.t.Helper()
	select {
	case poll := <-bed.listPolls:
		return poll
	case <-time.After(waitLimit):
		bed.t.Fatalf("the program did not poll the list service within %v", waitLimit)
		return ""
	}
}

// expectListPoll waits until the program polls the list service, and fails the test unless it sent the line want.
func (bed *testbed) expectListPoll(want string) {
	bed.t.Helper()
	if got := bed.waitListPoll(); got != want {
		bed.t.Fatalf("list service poll: got %q, want %q", got, want)
	}
}

// acceptListPoll accepts the program's next connection to the test's own list service, and returns it with the line
// that the program sent.
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

// expectDrained waits until the program knows that an endpoint is draining, and fails the test unless other endpoints
// serve all requests from then on.
func (bed *testbed) expectDrained(id string) {
	bed.t.Helper()
	bed.waitLogMatches("event=endpoint-draining endpoint=" + id)
	client := bed.dial()
	before := len(bed.attemptsAt(id))
	for n := range uint64(20) {
		if answer := client.call(n+1, "lookup", map[string]string{"item": hexID(n + 1)}); answer.Error != "" {
			bed.t.Errorf("got response %+v, want it served by another endpoint", answer)
		}
	}
	if sent := len(bed.attemptsAt(id)) - before; sent > 0 {
		bed.t.Errorf("%d attempts went to the draining endpoint %s, want none", sent, id)
	}
}

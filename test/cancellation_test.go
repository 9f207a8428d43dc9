package test

import (
	"fmt"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// TestCanceledAttempts checks that attempts are canceled when the client cancels the request or disconnects, that a
// canceled request gets no response, and that a late response to its attempt is not mistaken for the response to a
// later attempt with the same id.
func TestCanceledAttempts(t *testing.T) {
	pending := make(chan *receivedRequest, 8)
	bed := newTestbed(t, func(attempt *receivedRequest) { pending <- attempt })
	bed.start()
	waitCancellations := func(count int) {
		t.Helper()
		bed.waitUntil(fmt.Sprint(count, " QUIT lines have arrived"), func() bool {
			return len(bed.cancellations()) == count
		})
	}
	one, two := bed.dial(), bed.dial()
	longLimit := map[string]string{"limit": "60000"} // otherwise the deadline would cancel the attempts
	one.send(request(1, "footage", longLimit, ""))
	first := nextReceived(t, pending)
	one.send(cancelNotification(1))
	waitCancellations(1)
	two.send(request(2, "footage", longLimit, ""))
	nextReceived(t, pending)
	_ = two.conn.Close()
	waitCancellations(2)
	one.send(request(3, "footage", map[string]string{"txn": first.ID}, "")) // the id of the canceled attempt
	second := nextReceived(t, pending)
	first.Answer("ACK", "-", "old")
	second.Answer("ACK", "-", "new")
	if diff := cmp.Diff(reply{ID: 3, Body: "new", Fields: map[string]string{}}, one.mustRead()); diff != "" {
		t.Errorf("response (-want +got):\n%s", diff)
	}
}

// TestNoCancellationWhenDisabled checks that no QUIT is sent when the platform's settings disable cancellation. An
// abandoned attempt must keep its place on the connection until the time limit that the endpoint was told is over, and
// no other attempt with its id may be sent on that connection meanwhile.
func TestNoCancellationWhenDisabled(t *testing.T) {
	for _, c := range []struct {
		name, limit string
		endRequest  func(bed *testbed, c *client)
	}{
		{"the client cancels", "1500", func(_ *testbed, c *client) {
			c.send(cancelNotification(1))
			c.waitRequestsRead(9)
		}},
		{"the client disconnects", "1500", func(_ *testbed, c *client) { _ = c.conn.Close() }},
		{"the time limit passes", "400", func(bed *testbed, c *client) {
			if answer := c.mustRead(); answer.Error == "" {
				bed.t.Errorf("got response %+v, want an error", answer)
			}
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			pending := make(chan *receivedRequest, 100)
			bed := newTestbed(t, func(attempt *receivedRequest) { pending <- attempt }, "c2")
			limits := bed.platformLimits()
			limits["cancelling"], limits["streams-per-conn"] = false, 1
			bed.start()
			client := bed.dial()
			client.send(request(1, "lookup", map[string]string{"limit": c.limit}, ""))
			first := nextReceived(t, pending)
			c.endRequest(bed, client)
			other := bed.dial()
			other.send(request(2, "lookup", map[string]string{"limit": "3000"}, ""))
			second := nextReceived(t, pending)
			if first.Conn == second.Conn && c.limit != "400" {
				t.Error("got two attempts on one connection, want at most one (streams-per-conn)")
			}
			first.Answer("ACK", "tag=t1", "late") // no client waits for this response
			answerDone(second)
			if answer := other.mustRead(); answer.Body != "done" {
				t.Errorf("got response %+v, want the second request served", answer)
			}
			// The response to a further request shows that a QUIT sent before it would have arrived.
			bed.setResponder(answerDone)
			other.call(3, "lookup", nil)
			if quits := bed.cancellations(); len(quits) > 0 {
				t.Errorf("got %d QUIT lines, want none", len(quits))
			}
		})
	}
}

// waitingRequest is a state in which a client's first request waits when the client abandons it.
type waitingRequest struct {
	name string
	// wait brings the request into that state, and returns a function that ends the wait.
	wait         func(bed *testbed, c *client, pending chan *receivedRequest) (release func())
	attemptsSent int // attempts sent for the request until then
}

var waitingRequests = []waitingRequest{
	{"waiting for a dial", func(bed *testbed, c *client, _ chan *receivedRequest) func() {
		c.send(request(1, "lookup", map[string]string{"limit": "3000"}, ""))
		c.waitRequestsRead(2)
		return func() { go bed.endpoints.Serve("c1", bed.fullBacklogListener) }
	}, 0},
	{"waiting for a response", func(bed *testbed, c *client, pending chan *receivedRequest) func() {
		c.send(request(1, "lookup", nil, ""))
		attempt := nextReceived(bed.t, pending)
		return func() { attempt.Answer("NOENT", "-", "") } // after which another endpoint would be tried
	}, 1},
}

// TestClientAbandonsWaitingRequest checks that nothing is forwarded for a request after its client has abandoned it, in
// each of the abandonWays, and that an attempt that was already sent is canceled.
func TestClientAbandonsWaitingRequest(t *testing.T) {
	for _, c := range waitingRequests {
		for _, way := range abandonWays {
			t.Run(c.name+", by "+way.name, func(t *testing.T) {
				t.Parallel()
				pending := make(chan *receivedRequest, 100)
				bed := newTestbed(t, func(attempt *receivedRequest) { pending <- attempt }, "c2")
				if c.attemptsSent == 0 {
					bed.setListedAddress("c1", bed.listenWithFullBacklog())
					bed.platformLimits()["dial-timeout-ms"] = 60000
				}
				bed.start()
				client := bed.dial()
				release := c.wait(bed, client, pending)
				way.abandon(client, 1)
				if c.attemptsSent > 0 {
					bed.waitUntil("the attempt is canceled", func() bool { return len(bed.cancellations()) > 0 })
				} else {
					bed.waitUntil("the program has noticed that the client left", func() bool {
						return abandonNoticed(bed, client, way.name)
					})
				}
				release()
				// Once another client is served by the same endpoints, any further attempt for the first client would
				// have arrived as well.
				bed.setResponder(answerDone)
				other, id := bed.dial(), uint64(100)
				bed.waitUntil("another client is served", func() bool {
					id++
					return other.call(id, "lookup", map[string]string{"item": hexID(id)}).Error == ""
				})
				sent := bed.received(func(attempt *receivedRequest) bool {
					return attempt.Word == "ASK" && attempt.ID == hexID(1)
				})
				if len(sent) != c.attemptsSent {
					t.Errorf("got %d attempts for the client that left, want %d", len(sent), c.attemptsSent)
				}
			})
		}
	}
}

// TestClientsAbandonRequestsDuringDial checks that no abandoned request is forwarded once a dial completes. Hundreds of
// requests wait for the connection to one endpoint; most clients leave, and the connection is established 0.4 s later.
// A request whose client stayed must be served.
func TestClientsAbandonRequestsDuringDial(t *testing.T) {
	bed := newTestbed(t, nil, "c2")
	bed.setListedAddress("c1", bed.listenWithFullBacklog())
	limits := bed.platformLimits()
	limits["dial-timeout-ms"], limits["streams-per-conn"] = 60000, 1000
	bed.start()
	const clientCount, perClient = 20, 20
	attemptID := func(client int, id uint64) string { return fmt.Sprintf("%08x%08x", client, id) }
	var clients []*client
	for n := range clientCount {
		c := bed.dial()
		clients = append(clients, c)
		for id := range uint64(perClient) {
			c.send(request(id+1, "lookup", map[string]string{"limit": "60000", "ram": "0.01",
				"txn": attemptID(n, id+1), "item": attemptID(n, id+1)}, ""))
		}
		c.send(request(perClient+1, "status", nil, ""))
		for c.mustRead().ID != perClient+1 { // responses to requests that were rejected meanwhile
		}
	}
	abandoned := map[string]bool{}
	for n, c := range clients {
		if n%5 == 0 {
			continue
		}
		for id := range uint64(perClient) {
			abandoned[attemptID(n, id+1)] = true
			abandonWays[n%len(abandonWays)].abandon(c, id+1)
		}
	}
	time.Sleep(400 * time.Millisecond) // the program must read that the clients left before the dial completes
	go bed.endpoints.Serve("c1", bed.fullBacklogListener)
	stayed, served := clients[0], false
	for deadline := time.Now().Add(waitLimit); !served && time.Now().Before(deadline); {
		answer, err := stayed.read()
		served = err == nil && answer.Error == ""
	}
	attempts, forwarded := bed.attempts(), 0
	for _, attempt := range attempts {
		if abandoned[attempt.ID] {
			forwarded++
		}
	}
	if forwarded > 0 || !served || len(attempts) == 0 {
		t.Errorf("%d of %d abandoned requests were forwarded, want none; a kept request was served: %v, want true",
			forwarded, len(abandoned), served)
	}
	t.Logf("%d of %d abandoned requests were forwarded, %d attempts in all", forwarded, len(abandoned),
		len(attempts))
}

// TestClientsAbandonRequestsWhileProxyIsStopped checks requests that clients send and then abandon, in each of the
// abandonWays, while the program is stopped (SIGSTOP). When it continues, it reads the requests and their ends at once
// and must forward none of them. The request of a client that stayed is served.
func TestClientsAbandonRequestsWhileProxyIsStopped(t *testing.T) {
	bed := newTestbed(t, nil)
	bed.start()
	const clientsPerWay, perClient = 40, 4
	var clients []*client
	for range len(abandonWays)*clientsPerWay + 1 {
		c := bed.dial()
		c.waitRequestsRead(9) // shows that the program has accepted the connection
		clients = append(clients, c)
	}
	stayed := clients[0]
	bed.suspend()
	stayed.send(request(1, "lookup", map[string]string{"limit": "60000"}, ""))
	for n, c := range clients[1:] {
		for id := range uint64(perClient) {
			fields := map[string]string{"txn": fmt.Sprintf("aa%06x%08x", n, id), "item": hexID(n + 1)}
			c.send(request(id+1, "lookup", fields, ""))
		}
		for id := range uint64(perClient) {
			abandonWays[n%len(abandonWays)].abandon(c, id+1)
		}
	}
	time.Sleep(400 * time.Millisecond) // lets the kernel deliver everything; the stopped program cannot confirm it
	bed.signal(syscall.SIGCONT)
	if answer := stayed.mustRead(); answer.Error != "" {
		t.Errorf("got response %+v, want the request served", answer)
	}
	bed.waitUntil("the attempt for the client that stayed has arrived", func() bool {
		return len(bed.received(func(attempt *receivedRequest) bool { return attempt.ID == hexID(1) })) == 1
	})
	// Once this request is served, any attempt sent before it would have arrived as well.
	stayed.call(2, "lookup", nil)
	forwarded := bed.received(func(attempt *receivedRequest) bool {
		return attempt.Word == "ASK" && strings.HasPrefix(attempt.ID, "aa")
	})
	if len(forwarded) > 0 {
		t.Errorf("%d of %d abandoned requests were forwarded, want none", len(forwarded),
			len(abandonWays)*clientsPerWay*perClient)
	}
}

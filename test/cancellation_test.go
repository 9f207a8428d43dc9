package test

import (
	"fmt"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// TestCanceledAttempts: a withdrawal and a client that disconnects call their attempts off; nothing is owed for them,
// and a late answer is not taken for that of another attempt.
func TestCanceledAttempts(t *testing.T) {
	pending := make(chan *receivedRequest, 8)
	bed := newTestbed(t, func(attempt *receivedRequest) { pending <- attempt })
	bed.start()
	waitCancellations := func(count int) {
		t.Helper()
		bed.waitUntil(fmt.Sprint(count, " QUIT lines came"), func() bool { return len(bed.cancellations()) == count })
	}
	one, two := bed.dial(), bed.dial()
	patient := map[string]string{"limit": "60000"} // or the deadline would call the attempts off
	one.send(request(1, "footage", patient, ""))
	first := <-pending
	one.send(cancelNotification(1))
	waitCancellations(1)
	two.send(request(2, "footage", patient, ""))
	<-pending
	_ = two.conn.Close()
	waitCancellations(2)
	one.send(request(3, "footage", map[string]string{"txn": first.ID}, "")) // the very id that was given up
	second := <-pending
	first.Answer("ACK", "-", "old")
	second.Answer("ACK", "-", "new")
	if diff := cmp.Diff(reply{ID: 3, Body: "new", Fields: map[string]string{}}, one.mustRead()); diff != "" {
		t.Errorf("answer (-want +got):\n%s", diff)
	}
}

// TestNoCancellationWhenDisabled: the settings forbid that attempts are called off, and a QUIT went out all the
// same. Now the attempt stays where it is: it takes its place on the connection until the time that the endpoint was
// told is up, and no other one joins it under its id.
func TestNoCancellationWhenDisabled(t *testing.T) {
	for _, c := range []struct {
		name, limit string
		ends        func(bed *testbed, c *client)
	}{
		{"the client takes it back", "1500", func(_ *testbed, c *client) {
			c.send(cancelNotification(1))
			c.waitRequestsRead(9)
		}},
		{"the client goes", "1500", func(_ *testbed, c *client) { _ = c.conn.Close() }},
		{"its time is up", "400", func(bed *testbed, c *client) {
			if answer := c.mustRead(); answer.Error == "" {
				bed.t.Errorf("%+v, want an error", answer)
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
			c.ends(bed, client)
			other := bed.dial()
			other.send(request(2, "lookup", map[string]string{"limit": "3000"}, ""))
			second := nextReceived(t, pending)
			if first.Conn == second.Conn && c.limit != "400" {
				t.Error("a second attempt is on a connection that carries one at most")
			}
			first.Answer("ACK", "tag=t1", "late") // nobody waits for it
			answerDone(second)
			if answer := other.mustRead(); answer.Body != "done" {
				t.Errorf("%+v, want it served", answer)
			}
			// An answer for each further connection shows that all before was read.
			bed.setResponder(answerDone)
			other.call(3, "lookup", nil)
			if quits := bed.cancellations(); len(quits) > 0 {
				t.Errorf("%d QUIT went out, want none", len(quits))
			}
		})
	}
}

// waitingRequest is where the first request of a client waits when the client leaves.
type waitingRequest struct {
	name string
	// wait brings the request to where it waits, and gives what ends that wait.
	wait         func(bed *testbed, c *client, pending chan *receivedRequest) (release func())
	attemptsSent int // attempts for it that were sent by then
}

var waitingRequests = []waitingRequest{
	{"for a dial", func(bed *testbed, c *client, _ chan *receivedRequest) func() {
		c.send(request(1, "lookup", map[string]string{"limit": "3000"}, ""))
		c.waitRequestsRead(2)
		return func() { go bed.endpoints.Serve("c1", bed.fullBacklogListener) }
	}, 0},
	{"for its answer", func(bed *testbed, c *client, pending chan *receivedRequest) func() {
		c.send(request(1, "lookup", nil, ""))
		attempt := nextReceived(bed.t, pending)
		return func() { attempt.Answer("NOENT", "-", "") } // at which it would go on elsewhere
	}, 1},
}

// TestClientAbandonsWaitingRequest: a client leaves while its request waits, in each way in which it can. Nothing is
// forwarded for it from then on; what is out is called off.
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
					bed.waitUntil("its attempt is called off", func() bool { return len(bed.cancellations()) > 0 })
				} else {
					bed.waitUntil("its leaving is noticed", func() bool {
						return abandonNoticed(bed, client, way.name)
					})
				}
				release()
				// Requests of another client, by the same ways, show that what had to come for the first one would
				// have come.
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
					t.Errorf("%d attempts were sent for the client that left, want %d", len(sent), c.attemptsSent)
				}
			})
		}
	}
}

// TestClientsAbandonRequestsDuringDial: hundreds of requests wait for one endpoint's connection to come up, most of
// their clients leave meanwhile, and it comes up 0.4 s later. None of theirs is forwarded, and one that stayed is
// served.
func TestClientsAbandonRequestsDuringDial(t *testing.T) {
	bed := newTestbed(t, nil, "c2")
	bed.setListedAddress("c1", bed.listenWithFullBacklog())
	limits := bed.platformLimits()
	limits["dial-timeout-ms"], limits["streams-per-conn"] = 60000, 1000
	bed.start()
	const clientCount, each = 20, 20
	attemptID := func(client int, id uint64) string { return fmt.Sprintf("%08x%08x", client, id) }
	var clients []*client
	for n := range clientCount {
		c := bed.dial()
		clients = append(clients, c)
		for id := range uint64(each) {
			c.send(request(id+1, "lookup", map[string]string{"limit": "60000", "ram": "0.01",
				"txn": attemptID(n, id+1), "item": attemptID(n, id+1)}, ""))
		}
		c.send(request(each+1, "status", nil, ""))
		for c.mustRead().ID != each+1 { // what is rejected meanwhile has its answer
		}
	}
	left := map[string]bool{}
	for n, c := range clients {
		if n%5 == 0 {
			continue
		}
		for id := range uint64(each) {
			left[attemptID(n, id+1)] = true
			abandonWays[n%len(abandonWays)].abandon(c, id+1)
		}
	}
	time.Sleep(400 * time.Millisecond) // the case's own time, in which the clients' leaving is read
	go bed.endpoints.Serve("c1", bed.fullBacklogListener)
	stayed, served := clients[0], false
	for deadline := time.Now().Add(waitLimit); !served && time.Now().Before(deadline); {
		answer, err := stayed.read()
		served = err == nil && answer.Error == ""
	}
	attempts, forwarded := bed.attempts(), 0
	for _, attempt := range attempts {
		if left[attempt.ID] {
			forwarded++
		}
	}
	if forwarded > 0 || !served || len(attempts) == 0 {
		t.Errorf("%d of %d requests whose clients had left were forwarded, want none; one that stayed was served: %v",
			forwarded, len(left), served)
	}
	t.Logf("%d of %d requests whose clients had left were forwarded, %d attempts in all", forwarded, len(left),
		len(attempts))
}

// TestClientsAbandonRequestsWhileProxyIsStopped: the program stands still; meanwhile clients ask and leave, in each
// way in which they can. When it goes on it reads both at once, and nothing is forwarded for any of them; who stayed
// is served.
func TestClientsAbandonRequestsWhileProxyIsStopped(t *testing.T) {
	bed := newTestbed(t, nil)
	bed.start()
	const each, requests = 40, 4
	var clients []*client
	for range len(abandonWays)*each + 1 {
		c := bed.dial()
		c.waitRequestsRead(9) // so that it was let in
		clients = append(clients, c)
	}
	stayed := clients[0]
	bed.suspend()
	stayed.send(request(1, "lookup", map[string]string{"limit": "60000"}, ""))
	for n, c := range clients[1:] {
		for id := range uint64(requests) {
			fields := map[string]string{"txn": fmt.Sprintf("aa%06x%08x", n, id), "item": hexID(n + 1)}
			c.send(request(id+1, "lookup", fields, ""))
		}
		for id := range uint64(requests) {
			abandonWays[n%len(abandonWays)].abandon(c, id+1)
		}
	}
	time.Sleep(400 * time.Millisecond) // until the system has passed all on; the program can't tell
	bed.signal(syscall.SIGCONT)
	if answer := stayed.mustRead(); answer.Error != "" {
		t.Errorf("%+v, want it served", answer)
	}
	// What is sent now comes later than all that was written before.
	bed.waitUntil("the others' ends were read", func() bool {
		return len(bed.received(func(attempt *receivedRequest) bool { return attempt.ID == hexID(1) })) == 1
	})
	stayed.call(2, "lookup", nil)
	forwarded := bed.received(func(attempt *receivedRequest) bool {
		return attempt.Word == "ASK" && strings.HasPrefix(attempt.ID, "aa")
	})
	if len(forwarded) > 0 {
		t.Errorf("%d of %d requests whose clients had left were forwarded, want none", len(forwarded),
			len(abandonWays)*each*requests)
	}
}

package test

import (
	"fmt"
	"net"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// TestCanceledAttempts: a withdrawal and a client that disconnects call their attempts off; nothing is owed for them, and a
// late answer is not taken for that of another try.
func TestCanceledAttempts(t *testing.T) {
	late := make(chan *receivedRequest, 8)
	w := newTestbed(t, func(a *receivedRequest) { late <- a })
	w.start()
	quits := func(n int) {
		t.Helper()
		w.waitUntil(fmt.Sprint(n, " QUIT lines came"), func() bool { return len(w.received(hasWord("QUIT"))) == n })
	}
	one, two := w.dial(), w.dial()
	patient := map[string]string{"limit": "60000"} // or the deadline would call the attempts off
	one.send(request(1, "footage", patient, ""))
	first := <-late
	one.send([]byte("\x93\x02\xa8withdraw\x91\x01"))
	quits(1)
	two.send(request(2, "footage", patient, ""))
	<-late
	_ = two.conn.Close()
	quits(2)
	one.send(request(3, "footage", map[string]string{"txn": first.ID}, "")) // the very id that was given up
	second := <-late
	first.Answer("ACK", "-", "old")
	second.Answer("ACK", "-", "new")
	if diff := cmp.Diff(reply{ID: 3, Body: "new", Fields: map[string]string{}}, one.mustRead()); diff != "" {
		t.Errorf("answer (-want +got):\n%s", diff)
	}
}

// TestCancelNotSentWhereForbidden: the settings forbid that attempts are called off, and a QUIT went out all the same. Now the attempt stays
// where it is: it takes its place on the connection until the time that the box was told is up, and no other one joins it under its id.
func TestCancelNotSentWhereForbidden(t *testing.T) {
	for _, c := range []struct {
		name, limit string
		ends        func(w *testbed, c *client)
	}{
		{"the client takes it back", "1500", func(w *testbed, c *client) {
			c.send(withdraw(1))
			c.send(request(9, "status", nil, ""))
			c.mustRead()
		}},
		{"the client goes", "1500", func(w *testbed, c *client) { _ = c.conn.Close() }},
		{"its time is up", "400", func(w *testbed, c *client) {
			if a := c.mustRead(); a.Error == "" {
				w.t.Errorf("%+v, want an error", a)
			}
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			held := make(chan *receivedRequest, 100)
			w := newTestbed(t, func(a *receivedRequest) { held <- a }, "c2")
			w.platformLimits()["cancelling"], w.platformLimits()["streams-per-conn"] = false, 1
			w.start()
			client := w.dial()
			client.send(request(1, "lookup", map[string]string{"limit": c.limit}, ""))
			first := nextReceived(t, held)
			c.ends(w, client)
			other := w.dial()
			other.send(request(2, "lookup", map[string]string{"limit": "3000"}, ""))
			second := nextReceived(t, held)
			if first.Conn == second.Conn && c.limit != "400" {
				t.Error("a second attempt is on a connection that carries one at most")
			}
			first.Answer("ACK", "tag=t1", "late") // nobody waits for it
			second.Answer("ACK", "tag=t1", "done")
			if a := other.mustRead(); a.Body != "done" {
				t.Errorf("%+v, want it served", a)
			}
			// An answer for each further connection shows that all before was read.
			w.setResponder(func(a *receivedRequest) { a.Answer("ACK", "tag=t1", "done") })
			other.send(request(3, "lookup", nil, ""))
			other.mustRead()
			if quits := w.received(hasWord("QUIT")); len(quits) > 0 {
				t.Errorf("%d QUIT went out", len(quits))
			}
		})
	}
}

// TestClientLeavesWaitingRequest: a client leaves while its request waits, in each way in which it can. Nothing is sent on for it from then on;
// what is out is called off.
func TestClientLeavesWaitingRequest(t *testing.T) {
	leave := map[string]func(c *client){
		"withdraw": func(c *client) { c.send(withdraw(1)) },
		"close":    func(c *client) { _ = c.conn.Close() },
		"reset": func(c *client) {
			_ = c.conn.(*net.TCPConn).SetLinger(0)
			_ = c.conn.Close()
		},
		"half-close": func(c *client) { _ = c.conn.(*net.TCPConn).CloseWrite() },
	}
	for _, c := range []struct {
		name string
		// wait brings the request to where it waits, and gives what ends that wait.
		wait func(w *testbed, c *client, held chan *receivedRequest) (release func())
		sent int // attempts for it that were sent by then
	}{
		{"for a dial", func(w *testbed, c *client, _ chan *receivedRequest) func() {
			c.send(request(1, "lookup", map[string]string{"limit": "3000"}, ""))
			c.send(request(2, "status", nil, ""))
			c.mustRead() // so the first one was read
			return func() { go w.endpoints.Serve("c1", w.fullListener) }
		}, 0},
		{"for its answer", func(w *testbed, c *client, held chan *receivedRequest) func() {
			c.send(request(1, "lookup", nil, ""))
			a := nextReceived(w.t, held)
			return func() { a.Answer("NOENT", "-", "") } // at which it would go on elsewhere
		}, 1},
	} {
		for way, goes := range leave {
			t.Run(c.name+", by "+way, func(t *testing.T) {
				t.Parallel()
				held := make(chan *receivedRequest, 100)
				w := newTestbed(t, func(a *receivedRequest) { held <- a }, "c2")
				if c.sent == 0 {
					w.listed[0]["dial"] = w.listenWithFullBacklog()
					w.config["settings"].(map[string]any)["limits"].(map[string]any)["dial-timeout-ms"] = 60000
				}
				w.start()
				client := w.dial()
				release := c.wait(w, client, held)
				goes(client)
				if c.sent > 0 {
					w.waitUntil("its attempt is called off", func() bool { return len(w.received(hasWord("QUIT"))) > 0 })
				} else {
					w.waitUntil("it is noticed", func() bool { return leaveNoticed(w, client, way) })
				}
				release()
				// Requests of another client, by the same ways, show that what had to come for the first one would have come.
				w.setResponder(func(a *receivedRequest) { a.Answer("ACK", "tag=t1", "done") })
				other, id := w.dial(), uint64(100)
				w.waitUntil("another client is served", func() bool {
					id++
					other.send(request(id, "lookup", map[string]string{"item": fmt.Sprintf("%016x", id)}, ""))
					return other.mustRead().Error == ""
				})
				asks := w.received(func(a *receivedRequest) bool { return a.Word == "ASK" && a.ID == "0000000000000001" })
				if len(asks) != c.sent {
					t.Errorf("%d attempts were sent for the client that left, want %d", len(asks), c.sent)
				}
			})
		}
	}
}

// TestClientsLeaveDuringDial: hundreds of requests wait for one box's connection to come up, most of their clients leave meanwhile, and it comes
// up 0.4 s later. None of theirs is sent on, and each of the others is served once.
func TestClientsLeaveDuringDial(t *testing.T) {
	w := newTestbed(t, nil, "c2")
	w.listed[0]["dial"] = w.listenWithFullBacklog()
	w.platformLimits()["dial-timeout-ms"], w.platformLimits()["streams-per-conn"] = 60000, 1000
	w.start()
	const many, each = 20, 20
	var clients []*client
	for n := range many {
		c := w.dial()
		clients = append(clients, c)
		for id := range uint64(each) {
			c.send(request(id+1, "lookup", map[string]string{"limit": "60000", "ram": "0.01", "txn": fmt.Sprintf("%08x%08x", n, id+1),
				"item": fmt.Sprintf("%08x%08x", n, id+1)}, ""))
		}
		c.send(request(each+1, "status", nil, ""))
		for c.mustRead().ID != each+1 { // what is refused meanwhile has its answer
		}
	}
	left := map[string]bool{}
	for n, c := range clients {
		if n%5 == 0 {
			continue
		}
		for id := range byte(each) {
			left[fmt.Sprintf("%08x%08x", n, id+1)] = true
			leaveWays[n%len(leaveWays)].leave(c, id+1)
		}
	}
	time.Sleep(400 * time.Millisecond)
	go w.endpoints.Serve("c1", w.fullListener)
	stayed, served := clients[0], 0
	for end := time.Now().Add(waitLimit); served == 0 && time.Now().Before(end); {
		if a, err := stayed.read(); err == nil && a.Error == "" {
			served++
		}
	}
	asks := w.received(hasWord("ASK"))
	sent := 0
	for _, a := range asks {
		if left[a.ID] {
			sent++
		}
	}
	if sent > 0 || served == 0 || len(asks) == 0 {
		t.Errorf("%d of %d requests whose clients had left were sent on; %d attempts in all", sent, len(left), len(asks))
	}
	t.Logf("%d of %d requests whose clients had left were sent on, %d attempts in all", sent, len(left), len(asks))
}

// TestClientsLeaveWhileProxyIsStopped: the program stands still; meanwhile clients ask and leave, in each way in which they can. When it goes on
// it reads both at once, and nothing is sent on for any of them; who stayed is served.
func TestClientsLeaveWhileProxyIsStopped(t *testing.T) {
	w := newTestbed(t, nil)
	w.start()
	const each = 40
	var clients []*client
	for range len(leaveWays)*each + 1 {
		c := w.dial()
		c.send(request(9, "status", nil, "")) // so that it was let in
		c.mustRead()
		clients = append(clients, c)
	}
	stayed := clients[0]
	w.signal(syscall.SIGSTOP)
	stayed.send(request(1, "lookup", map[string]string{"limit": "60000"}, ""))
	for i, c := range clients[1:] {
		for id := range uint64(4) {
			c.send(request(id+1, "lookup", map[string]string{"txn": fmt.Sprintf("aa%06x%08x", i, id), "item": fmt.Sprintf("%016x", i+1)}, ""))
		}
		for id := range byte(4) {
			leaveWays[i%len(leaveWays)].leave(c, id+1)
		}
	}
	time.Sleep(400 * time.Millisecond)
	w.signal(syscall.SIGCONT)
	if a := stayed.mustRead(); a.Error != "" {
		t.Errorf("%+v, want it served", a)
	}
	// What is sent now comes later than all that was written before.
	w.waitUntil("the others' ends were read", func() bool {
		return len(w.received(func(a *receivedRequest) bool { return a.ID == "0000000000000001" })) == 1
	})
	stayed.send(request(2, "lookup", nil, ""))
	stayed.mustRead()
	if asks := w.received(func(a *receivedRequest) bool { return a.Word == "ASK" && strings.HasPrefix(a.ID, "aa") }); len(asks) > 0 {
		t.Errorf("%d of %d requests whose clients had left were sent on", len(asks), len(leaveWays)*each*4)
	}
}

package test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"sloequay/internal/emulator"
)

// TestDuplicateResponse: a box answers an attempt twice, the second time when the next one for the same request is out on the same
// connection. It was taken for that one's answer, and a third attempt went out beside it.
func TestDuplicateResponse(t *testing.T) {
	for _, c := range []struct{ name, method, word, remark string }{
		{"a write that was over already", "charge", "STALE", "-"},
		{"a read that found nothing", "lookup", "NOENT", "remark=src_lacks"},
		{"a box that failed", "lookup", "EIO", "-"},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			var mu sync.Mutex
			told := map[string]bool{} // what each box was asked once
			w := newTestbed(t, func(a *receivedRequest) {
				mu.Lock()
				defer mu.Unlock()
				if key := a.Endpoint + a.ID; !told[key] {
					told[key] = true
					a.Answer(c.word, c.remark, "")
					return
				}
				a.Answer(c.word, c.remark, "") // of the attempt before; this one is being worked on
			}, "c2")
			w.start()
			client := w.dial()
			client.send(request(1, c.method, map[string]string{"unique": "k1", "limit": "1500"}, ""))
			client.mustRead()
			var out *receivedRequest // the attempt that is out for all that its box said
			seen := map[string]bool{}
			for _, a := range w.received(func(a *receivedRequest) bool { return a.ID == "0000000000000001" }) {
				switch key := fmt.Sprint(a.Endpoint, a.Conn.LocalAddr(), a.Conn.RemoteAddr()); {
				case a.Word == "QUIT":
					if out != nil && out.Conn == a.Conn {
						out = nil
					}
				case out != nil:
					t.Fatalf("an attempt to %s went out while one was out at %s", a.Endpoint, out.Endpoint)
				case seen[key]:
					out = a
				default:
					seen[key] = true
				}
			}
		})
	}
}

// listenWithoutReading is a box that takes connections and reads nothing until it is let.
func (w *testbed) listenWithoutReading() (address string, read chan chan []int) {
	w.t.Helper()
	ln := w.listenOn("127.0.0.1:0")
	if raw, err := ln.(*net.TCPListener).SyscallConn(); err == nil {
		_ = raw.Control(func(fd uintptr) { _ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, 4096) })
	}
	var mu sync.Mutex
	var conns []net.Conn
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			mu.Lock()
			conns = append(conns, conn)
			mu.Unlock()
		}
	}()
	read = make(chan chan []int)
	go func() {
		out := <-read
		mu.Lock()
		defer mu.Unlock()
		var whole []int
		for _, conn := range conns {
			_ = conn.SetReadDeadline(time.Now().Add(time.Second))
			whole = append(whole, countAttempts(conn))
		}
		out <- whole
	}()
	return ln.Addr().String(), read
}

// countAttempts counts the attempts that come whole on a connection, until it ends.
func countAttempts(conn net.Conn) (n int) {
	for r := bufio.NewReader(conn); ; {
		line, err := r.ReadString('\n')
		words := strings.Fields(line)
		if err != nil {
			return n
		}
		if len(words) == 4 && words[0] == "ASK" {
			var size int64
			_, _ = fmt.Sscan(words[3], &size)
			if _, err := io.CopyN(io.Discard, r, size+2); err != nil {
				return n
			}
			n++
		}
	}
}

// TestEndpointThatDoesNotRead: what was written for a box that does not read waited with us, and went out whenever it read
// again: after a drain, a purge, or the client's leaving.
func TestEndpointThatDoesNotRead(t *testing.T) {
	for _, c := range []struct {
		name    string
		probes  bool
		streams int
	}{
		{"many connections, each within what the system holds", true, 32},
		{"one connection beyond that, and no word that it lives may be asked for", false, 1000},
	} {
		t.Run(c.name, func(t *testing.T) { testEndpointThatDoesNotRead(t, c.probes, c.streams) })
	}
}

func testEndpointThatDoesNotRead(t *testing.T, probes bool, streams int) {
	w := newTestbed(t, nil, "c1", "c2", "p1")
	limits := w.config["settings"].(map[string]any)["limits"].(map[string]any)
	limits["may-probe"], limits["streams-per-conn"] = probes, streams
	address, read := w.listenWithoutReading()
	w.listed[0]["dial"] = address
	w.start()
	const many = 150
	body := strings.Repeat("x", 48000)
	var clients []*client
	for n := range uint64(many) {
		if n%25 == 0 {
			clients = append(clients, w.dial())
		}
		c := clients[len(clients)-1]
		c.send(request(n+1, "charge", map[string]string{"unique": fmt.Sprint("k", n), "limit": "3000", "item": fmt.Sprintf("%016x", n+1)}, body))
	}
	w.waitUntil("the connections that are not read are closed", func() bool { return strings.Contains(w.log.String(), "event=upstream-unresponsive") })
	for _, c := range clients {
		_ = c.conn.Close()
	}
	left := time.Now()
	time.Sleep(time.Until(left.Add(300 * time.Millisecond))) // from here on nothing may go out for them
	whole := make(chan []int)
	read <- whole
	const holds = 3 // attempts that the box's own socket holds, and that nobody can call back
	got, few := <-whole, 0
	for _, n := range got {
		if n <= holds {
			few++
		}
	}
	if closed := strings.Count(w.log.String(), "event=upstream-unresponsive"); few < closed {
		t.Errorf("%d connections were closed; on its connections the box read %v whole attempts later", closed, got)
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

// leaveNoticed says whether the program knows that the client has left: it answers no more on a connection that still is, and closes one that is
// half closed.
func leaveNoticed(w *testbed, c *client, way string) bool {
	switch way {
	case "withdraw":
		c.send(request(3, "status", nil, ""))
		return c.mustRead().ID == 3
	case "half-close":
		_ = c.conn.SetReadDeadline(time.Now().Add(waitLimit))
		_, err := c.conn.Read(make([]byte, 1))
		return err == io.EOF
	}
	// Another client that connects and asks afterwards is read in a later round.
	return emulator.Ready(w.address)
}

// withdraw is the notice that takes a request back.
func withdraw(id byte) []byte {
	return slices.Concat([]byte{0x93, 2, 0xa8}, []byte("withdraw"), []byte{0x91, id})
}

// TestListWatchFaults: a watch that falls silent, or whose numbers show that something is missing, is followed anew behind the last event that came
// whole, and what it then tells holds for requests that are asked right after.
func TestListWatchFaults(t *testing.T) {
	for _, c := range []struct {
		name string
		feed []string
		why  string // as the log has it: each would be noticed by its silence in the end
	}{
		{"silent in the middle of a line", []string{`~{"no":2,"roster":{"seq":2,"who`}, "nothing came for"},
		{"a heartbeat beyond what was told", []string{"1", "5"}, "event 2 was missed"},
		{"events in another order", []string{`{"no":3,"recall":{"lot":3,"issued":1}}`}, "event 3 came after event 1"},
		{"the connection ends", []string{"1", "!"}, "connection ended"},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			w := newTestbed(t, nil)
			w.start()
			w.waitListPoll()
			for _, text := range c.feed {
				w.listFeed <- text
			}
			w.waitUntil("it is noticed", func() bool { return matches("event=endpoint-list-stale error=\"?"+c.why, w.log.String()) })
			w.listFeed <- "!" // the stand-in serves one connection at a time
			if after := w.waitListPoll(); after != "after 1" {
				t.Fatalf("the program asks for %q, want what came after the last whole event", after)
			}
			address := w.listeners["c1"].Addr().String()
			w.listFeed <- listEvent(2, false, listEntry("c1", address, "edge", "std", "draining", 0))
			w.listFeed <- listEvent(2, false, listEntry("c1", address, "edge", "std", "up", 0)) // a repeat: it has this number
			w.waitDrained("c1")
		})
	}
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

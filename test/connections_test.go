package test

import (
	"fmt"
	"io"
	"net"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// TestBusyConnectionTakesAttempts: a busy connection had further attempts wait for a new one's dial, and on a day at
// full load that took longer than the wanted time. Here new ones never come up, and the old one must do.
func TestBusyConnectionTakesAttempts(t *testing.T) {
	release := make(chan struct{})
	w := newTestbed(t, func(a *receivedRequest) {
		<-release
		a.Answer("ACK", "-", a.Endpoint)
	}, "c2")
	w.start()
	client := w.dial()
	client.send(request(1, "footage", nil, ""))
	w.waitUntil("the first attempt is out", func() bool { return len(w.received(hasWord("ASK"))) == 1 })
	_ = w.listeners["c1"].Close()
	const many = 30
	for id := uint64(2); id <= many; id++ {
		client.send(request(id, "footage", map[string]string{"ram": "1"}, ""))
	}
	w.waitUntil("all attempts are out", func() bool { return len(w.received(hasWord("ASK"))) == many })
	close(release)
	for range many {
		if a := client.mustRead(); a.Body != "c1" {
			t.Errorf("%+v, want it from c1", a)
		}
	}
}

// TestUnresponsiveConnection: a connection that was cut off stays open and says nothing; what waited on it did so until its
// deadline, and a QUIT on it does not arrive. It is found by a NOOP and closed, and its requests go out on another.
func TestUnresponsiveConnection(t *testing.T) {
	var w *testbed
	cut := func(a *receivedRequest) bool { return a.Conn == w.received(hasWord("ASK"))[0].Conn }
	w = newTestbed(t, func(a *receivedRequest) {
		if !cut(a) {
			a.Answer("ACK", "-", "again")
		}
	}, "c2")
	w.endpoints.StopReading(cut)
	w.start()
	client := w.dial()
	for id := range uint64(3) {
		client.send(request(id, "footage", map[string]string{"limit": "60000"}, ""))
	}
	for range 3 {
		if a := client.mustRead(); a.Body != "again" {
			t.Errorf("%+v, want it from another connection", a)
		}
	}
	if !strings.Contains(w.log.String(), "upstream-unresponsive") {
		t.Error("the silent connection is not in the log")
	}
}

// TestLostResponse: one answer never comes, on a connection that lives. Its attempt is called off once later ones for more
// have come, and the next one is sent only when the box has read the QUIT: it answers the NOOP behind it.
func TestLostResponse(t *testing.T) {
	var w *testbed
	read := make(chan bool)
	w = newTestbed(t, func(a *receivedRequest) {
		if first := w.received(hasWord("ASK"))[0]; a != first {
			a.Answer("ACK", "-", a.Fields["nth"])
		}
	}, "c2")
	w.endpoints.StopReading(func(a *receivedRequest) bool {
		if quits := w.received(hasWord("QUIT")); len(quits) > 0 && a.Conn == quits[0].Conn {
			time.Sleep(50 * time.Millisecond)
			if asks := w.received(func(a *receivedRequest) bool { return a.Word == "ASK" && a.ID == quits[0].ID }); len(asks) > 1 {
				t.Error("the next attempt went out before the QUIT was read for certain")
			}
			close(read)
		}
		return false
	})
	w.start()
	client := w.dial()
	patient := func(nth, ram string) map[string]string {
		return map[string]string{"nth": nth, "ram": ram, "limit": "60000"}
	}
	client.send(request(1, "footage", patient("1", "40"), ""))
	w.waitUntil("it is out", func() bool { return len(w.received(hasWord("ASK"))) == 1 })
	for id := uint64(2); id <= 4; id++ {
		client.send(request(id, "footage", patient(strconv.FormatUint(id, 10), "80"), ""))
		client.mustRead()
	}
	<-read
	if a := client.mustRead(); a.ID != 1 || a.Body != "1" {
		t.Errorf("%+v, want the answer of the second attempt", a)
	}
}

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

// TestResetNewConnectionsDoNotEject: two connections that were reset as they came up had the box ejected for seconds, as each request that
// waited for them was held against it.
func TestResetNewConnectionsDoNotEject(t *testing.T) {
	w := newTestbed(t, nil, "c2")
	ln := w.listenOn("127.0.0.1:0")
	w.listed[0]["dial"] = ln.Addr().String()
	next := make(chan net.Conn)
	go func() {
		for n := 0; ; n++ {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			if n < 2 {
				_ = conn.(*net.TCPConn).SetLinger(0)
				_ = conn.Close()
				continue
			}
			next <- conn
		}
	}()
	go w.endpoints.Serve("c1", channelListener{ln, next})
	w.start()
	client := w.dial()
	for id := range uint64(4) {
		client.send(request(id, "footage", nil, ""))
	}
	for range 4 {
		if a := client.mustRead(); a.Error != "" {
			t.Errorf("%+v, want it served", a)
		}
	}
	if strings.Contains(w.log.String(), "ejected") {
		t.Error("the box was ejected")
	}
}

// TestLivenessChecks: when a connection on which an answer waits is asked by NOOP whether it lives. Every
// check is priced and answered from the box's budget of probes, which all doormans of a fleet share. Checks after each
// 100 ms of quiet, due or not, came with a fifth of all attempts on a fleet day, and a slow box drew dozens for one
// answer; all were answered READY. Its size makes the answer due in about 0.47 s.
func TestLivenessChecks(t *testing.T) {
	for _, c := range []struct {
		name        string
		takes       time.Duration
		least, most int
	}{
		{"an answer that is not late is waited for without a check", 300 * time.Millisecond, 0, 0},
		{"a late answer of a box that answers the check is slow: one check, two at most", 1200 * time.Millisecond, 1, 2},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			w := newTestbed(t, func(a *receivedRequest) {
				time.Sleep(c.takes)
				a.Answer("ACK", "-", "sound")
			}, "c2")
			w.start()
			client := w.dial()
			client.send(request(1, "footage", map[string]string{"ram": "2000", "limit": "60000"}, ""))
			if a := client.mustRead(); a.Body != "sound" {
				t.Fatalf("%+v, want it served", a)
			}
			if n := len(w.received(hasWord("NOOP"))); n < c.least || n > c.most {
				t.Errorf("%d NOOPs, want %d to %d", n, c.least, c.most)
			}
		})
	}
}

// TestTrickledResponseReleasesWaiting: an answer comes byte by byte and does not end. What stands behind it on its connection is late until the request of that
// answer is over, and goes elsewhere then; and nothing new is put behind it.
func TestTrickledResponseReleasesWaiting(t *testing.T) {
	over := make(chan struct{})
	t.Cleanup(func() { close(over) })
	var first atomic.Pointer[net.Conn]
	held := make(chan *receivedRequest, 100)
	w := newTestbed(t, func(a *receivedRequest) {
		if a.ID != "0000000000000001" {
			if conn := first.Load(); conn == nil || a.Conn != *conn {
				a.Answer("ACK", "tag=t1", "done")
			}
			held <- a
			return
		}
		if !first.CompareAndSwap(nil, &a.Conn) {
			a.Answer("ACK", "tag=t1", "done")
			return
		}
		_, err := fmt.Fprintf(a.Conn, "%s ACK tag=t1 200000\r\n", a.ID)
		for held <- a; err == nil; {
			select {
			case <-over:
				return
			case <-time.After(10 * time.Millisecond):
				_, err = io.WriteString(a.Conn, "x")
			}
		}
	}, "c2")
	w.platformLimits()["attempts-cap"] = 6
	w.start()
	client := w.dial()
	client.send(request(1, "lookup", map[string]string{"limit": "2000"}, ""))
	nextReceived(t, held)
	begun := time.Now()
	client.send(request(2, "lookup", map[string]string{"limit": "9000"}, ""))
	if behind := nextReceived(t, held); behind.Conn != *first.Load() {
		t.Fatal("the second request went by another connection: nothing is tried")
	}
	time.Sleep(time.Until(begun.Add(1200 * time.Millisecond))) // longer than anything new is put behind it
	other := w.dial()
	other.send(request(3, "lookup", map[string]string{"limit": "9000"}, ""))
	if a := other.mustRead(); a.Body != "done" || nextReceived(t, held).Conn == *first.Load() {
		t.Errorf("%+v, want it served by another connection", a)
	}
	if a := client.mustRead(); a.ID != 1 || a.Error == "" {
		t.Errorf("%+v, want the first request failed when its time is up", a)
	}
	if a, took := client.mustRead(), time.Since(begun); a.ID != 2 || a.Body != "done" || took > 6*time.Second {
		t.Errorf("%+v after %v, want the second request served soon after that", a, took)
	}
}

// TestEndpointHalfCloses: a box ends its side of a connection, with a request out or just answered. That is read as the end of both
// sides: the request goes on by another connection, once.
func TestEndpointHalfCloses(t *testing.T) {
	for _, method := range []string{"lookup", "charge"} {
		t.Run(method, func(t *testing.T) {
			t.Parallel()
			var n atomic.Int64
			w := newTestbed(t, func(a *receivedRequest) {
				if n.Add(1)%2 == 1 {
					_ = a.Conn.(*net.TCPConn).CloseWrite()
					return
				}
				a.Answer("ACK", "tag=t1", "done")
			}, "c2")
			w.start()
			client := w.dial()
			for id := range uint64(10) {
				client.send(request(id+1, method, map[string]string{"unique": fmt.Sprint("k", id)}, ""))
				if a := client.mustRead(); a.Body != "done" {
					t.Fatalf("%+v, want it served", a)
				}
			}
			if asks := w.received(hasWord("ASK")); len(asks) != 20 {
				t.Errorf("%d attempts went out for ten requests, want two for each", len(asks))
			}
		})
	}
}

// TestEndpointClosesAsNextRequestArrives: a box ends a connection with its answer, and the client's next request comes as that end does, in both orders.
func TestEndpointClosesAsNextRequestArrives(t *testing.T) {
	for _, reset := range []bool{false, true} {
		t.Run(fmt.Sprint("by reset ", reset), func(t *testing.T) {
			t.Parallel()
			w := newTestbed(t, func(a *receivedRequest) {
				a.Answer("ACK", "tag=t1", "done")
				if reset {
					time.Sleep(time.Millisecond) // or it would take the answer with it
					_ = a.Conn.(*net.TCPConn).SetLinger(0)
				}
				_ = a.Conn.Close()
			}, "c2")
			w.start()
			client := w.dial()
			for id := range uint64(200) {
				method := []string{"lookup", "charge"}[id%2]
				client.send(request(id+1, method, map[string]string{"unique": fmt.Sprint("k", id)}, ""))
				if a := client.mustRead(); a.Body != "done" {
					t.Fatalf("request %d: %+v, want it served", id, a)
				}
				if reset {
					time.Sleep(time.Duration(id%8) * 300 * time.Microsecond) // round the moment of the reset
				}
			}
		})
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

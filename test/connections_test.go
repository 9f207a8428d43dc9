package test

import (
	"fmt"
	"io"
	"net"
	"strconv"
	"strings"
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
	w.waitAttempts(1)
	_ = w.listeners["c1"].Close()
	const count = 30
	for id := uint64(2); id <= count; id++ {
		client.send(request(id, "footage", map[string]string{"ram": "1"}, ""))
	}
	w.waitAttempts(count)
	close(release)
	for range count {
		if a := client.mustRead(); a.Body != "c1" {
			t.Errorf("%+v, want it from c1", a)
		}
	}
}

// TestUnresponsiveConnection: a connection that was cut off stays open and says nothing; what waited on it did so
// until its deadline, and a QUIT on it does not arrive. It is found by a NOOP and closed, and its requests go out on
// another.
func TestUnresponsiveConnection(t *testing.T) {
	w := newTestbed(t, nil, "c2")
	cut := func(a *receivedRequest) bool { return a.Conn == w.attempts()[0].Conn }
	w.setResponder(func(a *receivedRequest) {
		if !cut(a) {
			a.Answer("ACK", "-", "again")
		}
	})
	w.endpoints.IgnoreHealthChecks(cut)
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
	if !w.logged("upstream-unresponsive") {
		t.Error("the unresponsive connection is not in the log")
	}
}

// TestLostResponse: one answer never comes, on a connection that lives. Its attempt is called off once later ones for
// more have come, and the next one is sent only when the endpoint has read the QUIT: it answers the NOOP behind it.
func TestLostResponse(t *testing.T) {
	w := newTestbed(t, nil, "c2")
	w.setResponder(func(a *receivedRequest) {
		if first := w.attempts()[0]; a != first {
			a.Answer("ACK", "-", a.Fields["nth"])
		}
	})
	read := make(chan bool)
	w.endpoints.IgnoreHealthChecks(func(a *receivedRequest) bool {
		if quits := w.cancellations(); len(quits) > 0 && a.Conn == quits[0].Conn {
			time.Sleep(50 * time.Millisecond) // in which a next attempt that does not wait would come
			same := func(a *receivedRequest) bool { return a.Word == "ASK" && a.ID == quits[0].ID }
			if sent := w.received(same); len(sent) > 1 {
				t.Errorf("%d attempts went out before the QUIT was read for certain, want the first alone", len(sent))
			}
			close(read)
		}
		return false
	})
	w.start()
	client := w.dial()
	patient := func(nth, size string) map[string]string {
		return map[string]string{"nth": nth, "ram": size, "limit": "60000"}
	}
	client.send(request(1, "footage", patient("1", "40"), ""))
	w.waitAttempts(1)
	for id := uint64(2); id <= 4; id++ {
		client.ask(id, "footage", patient(strconv.FormatUint(id, 10), "80"))
	}
	<-read
	if a := client.mustRead(); a.ID != 1 || a.Body != "1" {
		t.Errorf("%+v, want the answer of the second attempt", a)
	}
}

// TestDuplicateResponse: an endpoint answers an attempt twice, the second time when the next one for the same request
// is out on the same connection. It was taken for that one's answer, and a third attempt went out beside it.
func TestDuplicateResponse(t *testing.T) {
	for _, c := range []struct{ name, class, word, fields string }{
		{"a write that was over already", "charge", "STALE", "-"},
		{"a read that found nothing", "lookup", "NOENT", "remark=src_lacks"},
		{"an endpoint that failed", "lookup", "EIO", "-"},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			// At the second attempt the answer is one more to that before; the second itself is being worked on.
			w := newTestbed(t, func(a *receivedRequest) { a.Answer(c.word, c.fields, "") }, "c2")
			w.start()
			client := w.dial()
			client.ask(1, c.class, map[string]string{"unique": "k1", "limit": "1500"})
			var out *receivedRequest // the attempt that is out for all that its endpoint said
			seen := map[string]bool{}
			for _, a := range w.received(func(a *receivedRequest) bool { return a.ID == hexID(1) }) {
				switch key := fmt.Sprint(a.Endpoint, a.Conn.LocalAddr(), a.Conn.RemoteAddr()); {
				case a.Word == "QUIT":
					if out != nil && out.Conn == a.Conn {
						out = nil
					}
				case out != nil:
					t.Fatalf("an attempt to %s went out beside one at %s, want one at a time", a.Endpoint, out.Endpoint)
				case seen[key]:
					out = a
				default:
					seen[key] = true
				}
			}
		})
	}
}

// TestResetNewConnectionsDoNotEject: two connections that were reset as they came up had the endpoint ejected for
// seconds, as each request that waited for them was held against it.
func TestResetNewConnectionsDoNotEject(t *testing.T) {
	w := newTestbed(t, nil, "c2")
	listener := w.listenOn("127.0.0.1:0")
	w.listAt("c1", listener.Addr().String())
	sound := make(chan net.Conn)
	go func() {
		for n := 0; ; n++ {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			if n < 2 {
				_ = conn.(*net.TCPConn).SetLinger(0)
				_ = conn.Close()
				continue
			}
			sound <- conn
		}
	}()
	go w.endpoints.Serve("c1", channelListener{listener, sound})
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
	if w.logged("ejected") {
		t.Error("the endpoint was ejected")
	}
}

// TestLivenessChecks: when a connection on which an answer waits is asked by NOOP whether it lives. Every check is
// priced and answered from the endpoint's budget of health checks, which all proxies of a fleet share. Checks after
// each 100 ms of quiet, due or not, came with a fifth of all attempts on a fleet day, and a slow endpoint drew dozens
// for one answer; all were answered READY. Its size makes the answer due in about 0.47 s.
func TestLivenessChecks(t *testing.T) {
	for _, c := range []struct {
		name     string
		takes    time.Duration
		min, max int
	}{
		{"an answer that is not late is waited for without a check", 300 * time.Millisecond, 0, 0},
		{"a late answer of an endpoint that answers the check is slow: one check, two at most",
			1200 * time.Millisecond, 1, 2},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			w := newTestbed(t, func(a *receivedRequest) {
				time.Sleep(c.takes)
				a.Answer("ACK", "-", "sound")
			}, "c2")
			w.start()
			client := w.dial()
			if a := client.ask(1, "footage", map[string]string{"ram": "2000", "limit": "60000"}); a.Body != "sound" {
				t.Fatalf("%+v, want it served", a)
			}
			if n := len(w.received(hasWord("NOOP"))); n < c.min || n > c.max {
				t.Errorf("%d NOOPs, want %d to %d", n, c.min, c.max)
			}
		})
	}
}

// trickle is a responder by which the first attempt of request 1 is answered byte by byte without end, on the first
// connection; what stands behind it there waits, and all else is served. What it was asked goes to pending.
type trickle struct {
	pending chan *receivedRequest
	first   atomic.Pointer[net.Conn] // on which the answer trickles
	over    chan struct{}            // closed when the test ends
}

// respond is for newTestbed.
func (r *trickle) respond(a *receivedRequest) {
	if a.ID != hexID(1) {
		if conn := r.first.Load(); conn == nil || a.Conn != *conn {
			answerDone(a)
		}
		r.pending <- a
		return
	}
	if !r.first.CompareAndSwap(nil, &a.Conn) {
		answerDone(a)
		return
	}
	_, err := fmt.Fprintf(a.Conn, "%s ACK tag=t1 200000\r\n", a.ID)
	for r.pending <- a; err == nil; {
		select {
		case <-r.over:
			return
		case <-time.After(10 * time.Millisecond):
			_, err = io.WriteString(a.Conn, "x")
		}
	}
}

// TestTrickledResponseReleasesWaiting: an answer comes byte by byte and does not end. What stands behind it on its
// connection is late until the request of that answer is over, and goes elsewhere then; and nothing new is put behind
// it.
func TestTrickledResponseReleasesWaiting(t *testing.T) {
	responder := &trickle{pending: make(chan *receivedRequest, 100), over: make(chan struct{})}
	t.Cleanup(func() { close(responder.over) })
	w := newTestbed(t, responder.respond, "c2")
	w.platformLimits()["attempts-cap"] = 6
	w.start()
	client := w.dial()
	client.send(request(1, "lookup", map[string]string{"limit": "2000"}, ""))
	nextReceived(t, responder.pending)
	began := time.Now()
	client.send(request(2, "lookup", map[string]string{"limit": "9000"}, ""))
	if waiting := nextReceived(t, responder.pending); waiting.Conn != *responder.first.Load() {
		t.Fatal("the second request went by another connection: nothing is tried")
	}
	time.Sleep(time.Until(began.Add(1200 * time.Millisecond))) // longer than anything new is put behind it
	other := w.dial()
	a := other.ask(3, "lookup", map[string]string{"limit": "9000"})
	if a.Body != "done" || nextReceived(t, responder.pending).Conn == *responder.first.Load() {
		t.Errorf("%+v, want it served by another connection", a)
	}
	if a := client.mustRead(); a.ID != 1 || a.Error == "" {
		t.Errorf("%+v, want the first request failed when its time is up", a)
	}
	a = client.mustRead()
	if took := time.Since(began); a.ID != 2 || a.Body != "done" || took > 6*time.Second {
		t.Errorf("%+v after %v, want the second request served soon after that", a, took)
	}
}

// TestEndpointHalfCloses: an endpoint ends its side of a connection, with a request out or just answered. That is
// read as the end of both sides: the request goes on by another connection, once.
func TestEndpointHalfCloses(t *testing.T) {
	for _, class := range []string{"lookup", "charge"} {
		t.Run(class, func(t *testing.T) {
			t.Parallel()
			var n atomic.Int64
			w := newTestbed(t, func(a *receivedRequest) {
				if n.Add(1)%2 == 1 {
					_ = a.Conn.(*net.TCPConn).CloseWrite()
					return
				}
				answerDone(a)
			}, "c2")
			w.start()
			client := w.dial()
			for id := range uint64(10) {
				if a := client.ask(id+1, class, map[string]string{"unique": fmt.Sprint("k", id)}); a.Body != "done" {
					t.Fatalf("%+v, want it served", a)
				}
			}
			if attempts := w.attempts(); len(attempts) != 20 {
				t.Errorf("%d attempts went out for ten requests, want two for each", len(attempts))
			}
		})
	}
}

// TestEndpointClosesAsNextRequestArrives: an endpoint ends a connection with its answer, and the client's next
// request comes as that end does, in both orders.
func TestEndpointClosesAsNextRequestArrives(t *testing.T) {
	for _, reset := range []bool{false, true} {
		t.Run(fmt.Sprint("by reset ", reset), func(t *testing.T) {
			t.Parallel()
			w := newTestbed(t, func(a *receivedRequest) {
				answerDone(a)
				if reset {
					time.Sleep(time.Millisecond) // or it would take the answer with it
					_ = a.Conn.(*net.TCPConn).SetLinger(0)
				}
				_ = a.Conn.Close()
			}, "c2")
			w.start()
			client := w.dial()
			for id := range uint64(200) {
				class := []string{"lookup", "charge"}[id%2]
				if a := client.ask(id+1, class, map[string]string{"unique": fmt.Sprint("k", id)}); a.Body != "done" {
					t.Fatalf("request %d: %+v, want it served", id, a)
				}
				if reset {
					time.Sleep(time.Duration(id%8) * 300 * time.Microsecond) // round the moment of the reset
				}
			}
		})
	}
}

// TestEndpointThatDoesNotRead: what was written for an endpoint that does not read waited with us, and went out
// whenever it read again: after a drain, a purge, or the client's leaving.
func TestEndpointThatDoesNotRead(t *testing.T) {
	for _, c := range []struct {
		name    string
		checks  bool // whether the settings allow NOOP
		streams int  // attempts on a connection
	}{
		{"many connections, each within what the system holds", true, 32},
		{"one connection beyond that, and no word that it lives may be asked for", false, 1000},
	} {
		t.Run(c.name, func(t *testing.T) {
			w := newTestbed(t, nil, "c1", "c2", "p1")
			limits := w.platformLimits()
			limits["may-probe"], limits["streams-per-conn"] = c.checks, c.streams
			expectUnreadAttemptsDropped(t, w)
		})
	}
}

// expectUnreadAttemptsDropped has the origin read nothing while clients send large requests and leave. It fails
// unless, of each connection that the program closed, the origin reads no more than its own socket holds.
func expectUnreadAttemptsDropped(t *testing.T, w *testbed) {
	t.Helper()
	address, read := w.listenWithoutReading()
	w.listAt("o1", address)
	w.start()
	const requests, each = 150, 25
	body := strings.Repeat("x", 48000)
	var clients []*client
	for n := range uint64(requests) {
		if n%each == 0 {
			clients = append(clients, w.dial())
		}
		fields := map[string]string{"unique": fmt.Sprint("k", n), "limit": "3000", "item": hexID(n + 1)}
		clients[len(clients)-1].send(request(n+1, "charge", fields, body))
	}
	w.waitLogged("event=upstream-unresponsive")
	for _, c := range clients {
		_ = c.conn.Close()
	}
	time.Sleep(300 * time.Millisecond) // from here on nothing may go out for them
	counts := make(chan []int)
	read <- counts
	const holds = 3 // attempts that the endpoint's own socket holds, and that nobody can call back
	got, within := <-counts, 0
	for _, n := range got {
		if n <= holds {
			within++
		}
	}
	if closed := w.timesLogged("event=upstream-unresponsive"); within < closed {
		t.Errorf("%d connections were closed, and of its connections the endpoint read %v complete attempts later, "+
			"want at most %d on as many as were closed", closed, got, holds)
	}
}

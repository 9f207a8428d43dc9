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
	bed := newTestbed(t, func(attempt *receivedRequest) {
		<-release
		attempt.Answer("ACK", "-", attempt.Endpoint)
	}, "c2")
	bed.start()
	client := bed.dial()
	client.send(request(1, "footage", nil, ""))
	bed.waitAttempts(1)
	_ = bed.listeners["c1"].Close()
	const count = 30
	for id := uint64(2); id <= count; id++ {
		client.send(request(id, "footage", map[string]string{"ram": "1"}, ""))
	}
	bed.waitAttempts(count)
	close(release)
	for range count {
		if answer := client.mustRead(); answer.Body != "c1" {
			t.Errorf("%+v, want it from c1", answer)
		}
	}
}

// TestUnresponsiveConnection: a connection that was cut off stays open and says nothing; what waited on it did so
// until its deadline, and a QUIT on it does not arrive. It is found by a NOOP and closed, and its requests go out on
// another.
func TestUnresponsiveConnection(t *testing.T) {
	bed := newTestbed(t, nil, "c2")
	cut := func(attempt *receivedRequest) bool { return attempt.Conn == bed.attempts()[0].Conn }
	bed.setResponder(func(attempt *receivedRequest) {
		if !cut(attempt) {
			attempt.Answer("ACK", "-", "again")
		}
	})
	bed.endpoints.IgnoreHealthChecks(cut)
	bed.start()
	client := bed.dial()
	for id := range uint64(3) {
		client.send(request(id, "footage", map[string]string{"limit": "60000"}, ""))
	}
	for range 3 {
		if answer := client.mustRead(); answer.Body != "again" {
			t.Errorf("%+v, want it from another connection", answer)
		}
	}
	if !bed.logged("upstream-unresponsive") {
		t.Error("the unresponsive connection is not in the log")
	}
}

// TestLostResponse: one answer never comes, on a connection that lives. Its attempt is called off once later ones for
// more have come, and the next one is sent only when the endpoint has read the QUIT: it answers the NOOP behind it.
func TestLostResponse(t *testing.T) {
	bed := newTestbed(t, nil, "c2")
	bed.setResponder(func(attempt *receivedRequest) {
		if first := bed.attempts()[0]; attempt != first {
			attempt.Answer("ACK", "-", attempt.Fields["nth"])
		}
	})
	read := make(chan bool)
	bed.endpoints.IgnoreHealthChecks(func(attempt *receivedRequest) bool {
		if quits := bed.cancellations(); len(quits) > 0 && attempt.Conn == quits[0].Conn {
			time.Sleep(50 * time.Millisecond) // in which a next attempt that does not wait would come
			same := func(attempt *receivedRequest) bool { return attempt.Word == "ASK" && attempt.ID == quits[0].ID }
			if sent := bed.received(same); len(sent) > 1 {
				t.Errorf("%d attempts went out before the QUIT was read for certain, want the first alone", len(sent))
			}
			close(read)
		}
		return false
	})
	bed.start()
	client := bed.dial()
	patient := func(nth, size string) map[string]string {
		return map[string]string{"nth": nth, "ram": size, "limit": "60000"}
	}
	client.send(request(1, "footage", patient("1", "40"), ""))
	bed.waitAttempts(1)
	for id := uint64(2); id <= 4; id++ {
		client.call(id, "footage", patient(strconv.FormatUint(id, 10), "80"))
	}
	<-read
	if answer := client.mustRead(); answer.ID != 1 || answer.Body != "1" {
		t.Errorf("%+v, want the answer of the second attempt", answer)
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
			bed := newTestbed(t, func(attempt *receivedRequest) { attempt.Answer(c.word, c.fields, "") }, "c2")
			bed.start()
			client := bed.dial()
			client.call(1, c.class, map[string]string{"unique": "k1", "limit": "1500"})
			var out *receivedRequest // the attempt that is out for all that its endpoint said
			seen := map[string]bool{}
			ofRequest := func(line *receivedRequest) bool { return line.ID == hexID(1) }
			for _, line := range bed.received(ofRequest) {
				switch key := fmt.Sprint(line.Endpoint, line.Conn.LocalAddr(), line.Conn.RemoteAddr()); {
				case line.Word == "QUIT":
					if out != nil && out.Conn == line.Conn {
						out = nil
					}
				case out != nil:
					t.Fatalf("an attempt to %s went out beside one at %s, want one at a time",
						line.Endpoint, out.Endpoint)
				case seen[key]:
					out = line
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
	bed := newTestbed(t, nil, "c2")
	listener := bed.listenOn("127.0.0.1:0")
	bed.setListedAddress("c1", listener.Addr().String())
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
	go bed.endpoints.Serve("c1", channelListener{listener, sound})
	bed.start()
	client := bed.dial()
	for id := range uint64(4) {
		client.send(request(id, "footage", nil, ""))
	}
	for range 4 {
		if answer := client.mustRead(); answer.Error != "" {
			t.Errorf("%+v, want it served", answer)
		}
	}
	if bed.logged("ejected") {
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
			bed := newTestbed(t, func(attempt *receivedRequest) {
				time.Sleep(c.takes)
				attempt.Answer("ACK", "-", "sound")
			}, "c2")
			bed.start()
			client := bed.dial()
			answer := client.call(1, "footage", map[string]string{"ram": "2000", "limit": "60000"})
			if answer.Body != "sound" {
				t.Fatalf("%+v, want it served", answer)
			}
			if n := len(bed.received(hasWord("NOOP"))); n < c.min || n > c.max {
				t.Errorf("%d NOOPs, want %d to %d", n, c.min, c.max)
			}
		})
	}
}

// trickleResponder is a responder by which the first attempt of request 1 is answered byte by byte without end, on the first
// connection; what stands behind it there waits, and all else is served. What it was asked goes to pending.
type trickleResponder struct {
	pending     chan *receivedRequest
	trickleConn atomic.Pointer[net.Conn] // on which the answer trickles
	done        chan struct{}            // closed when the test ends
}

// respond is for newTestbed.
func (r *trickleResponder) respond(attempt *receivedRequest) {
	if attempt.ID != hexID(1) {
		if conn := r.trickleConn.Load(); conn == nil || attempt.Conn != *conn {
			answerDone(attempt)
		}
		r.pending <- attempt
		return
	}
	if !r.trickleConn.CompareAndSwap(nil, &attempt.Conn) {
		answerDone(attempt)
		return
	}
	_, err := fmt.Fprintf(attempt.Conn, "%s ACK tag=t1 200000\r\n", attempt.ID)
	for r.pending <- attempt; err == nil; {
		select {
		case <-r.done:
			return
		case <-time.After(10 * time.Millisecond):
			_, err = io.WriteString(attempt.Conn, "x")
		}
	}
}

// TestTrickledResponseReleasesWaiting: an answer comes byte by byte and does not end. What stands behind it on its
// connection is late until the request of that answer is over, and goes elsewhere then; and nothing new is put behind
// it.
func TestTrickledResponseReleasesWaiting(t *testing.T) {
	responder := &trickleResponder{pending: make(chan *receivedRequest, 100), done: make(chan struct{})}
	t.Cleanup(func() { close(responder.done) })
	bed := newTestbed(t, responder.respond, "c2")
	bed.platformLimits()["attempts-cap"] = 6
	bed.start()
	client := bed.dial()
	client.send(request(1, "lookup", map[string]string{"limit": "2000"}, ""))
	nextReceived(t, responder.pending)
	began := time.Now()
	client.send(request(2, "lookup", map[string]string{"limit": "9000"}, ""))
	if waiting := nextReceived(t, responder.pending); waiting.Conn != *responder.trickleConn.Load() {
		t.Fatal("the second request went by another connection: nothing is tried")
	}
	time.Sleep(time.Until(began.Add(1200 * time.Millisecond))) // longer than anything new is put behind it
	other := bed.dial()
	answer := other.call(3, "lookup", map[string]string{"limit": "9000"})
	if answer.Body != "done" || nextReceived(t, responder.pending).Conn == *responder.trickleConn.Load() {
		t.Errorf("%+v, want it served by another connection", answer)
	}
	if answer := client.mustRead(); answer.ID != 1 || answer.Error == "" {
		t.Errorf("%+v, want the first request failed when its time is up", answer)
	}
	answer = client.mustRead()
	if took := time.Since(began); answer.ID != 2 || answer.Body != "done" || took > 6*time.Second {
		t.Errorf("%+v after %v, want the second request served soon after that", answer, took)
	}
}

// TestEndpointHalfCloses: an endpoint ends its side of a connection, with a request out or just answered. That is
// read as the end of both sides: the request goes on by another connection, once.
func TestEndpointHalfCloses(t *testing.T) {
	for _, class := range []string{"lookup", "charge"} {
		t.Run(class, func(t *testing.T) {
			t.Parallel()
			var n atomic.Int64
			bed := newTestbed(t, func(attempt *receivedRequest) {
				if n.Add(1)%2 == 1 {
					_ = attempt.Conn.(*net.TCPConn).CloseWrite()
					return
				}
				answerDone(attempt)
			}, "c2")
			bed.start()
			client := bed.dial()
			for id := range uint64(10) {
				answer := client.call(id+1, class, map[string]string{"unique": fmt.Sprint("k", id)})
				if answer.Body != "done" {
					t.Fatalf("%+v, want it served", answer)
				}
			}
			if attempts := bed.attempts(); len(attempts) != 20 {
				t.Errorf("%d attempts went out for ten requests, want two for each", len(attempts))
			}
		})
	}
}

// TestEndpointClosesAsNextRequestArrives: an endpoint ends a connection with its answer, and the client's next
// request comes as that end does, in both orders.
func TestEndpointClosesAsNextRequestArrives(t *testing.T) {
	for _, c := range []struct {
		name  string
		reset bool
	}{{"closed", false}, {"reset", true}} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			bed := newTestbed(t, func(attempt *receivedRequest) {
				answerDone(attempt)
				if c.reset {
					time.Sleep(time.Millisecond) // or it would take the answer with it
					_ = attempt.Conn.(*net.TCPConn).SetLinger(0)
				}
				_ = attempt.Conn.Close()
			}, "c2")
			bed.start()
			client := bed.dial()
			for id := range uint64(200) {
				class := []string{"lookup", "charge"}[id%2]
				answer := client.call(id+1, class, map[string]string{"unique": fmt.Sprint("k", id)})
				if answer.Body != "done" {
					t.Fatalf("request %d: %+v, want it served", id, answer)
				}
				if c.reset {
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
			bed := newTestbed(t, nil, "c1", "c2", "p1")
			limits := bed.platformLimits()
			limits["may-probe"], limits["streams-per-conn"] = c.checks, c.streams
			expectUnreadAttemptsDropped(t, bed)
		})
	}
}

// expectUnreadAttemptsDropped has the origin read nothing while clients send large requests and leave. It fails
// unless, of each connection that the program closed, the origin reads no more than its own socket holds.
func expectUnreadAttemptsDropped(t *testing.T, bed *testbed) {
	t.Helper()
	address, read := bed.listenWithoutReading()
	bed.setListedAddress("o1", address)
	bed.start()
	const requests, each = 150, 25
	body := strings.Repeat("x", 48000)
	var clients []*client
	for n := range uint64(requests) {
		if n%each == 0 {
			clients = append(clients, bed.dial())
		}
		fields := map[string]string{"unique": fmt.Sprint("k", n), "limit": "3000", "item": hexID(n + 1)}
		clients[len(clients)-1].send(request(n+1, "charge", fields, body))
	}
	bed.waitLogged("event=upstream-unresponsive")
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
	if closed := bed.timesLogged("event=upstream-unresponsive"); within < closed {
		t.Errorf("%d connections were closed, and of its connections the endpoint read %v complete attempts later, "+
			"want at most %d on as many as were closed", closed, got, holds)
	}
}

package test

import (
	"crypto/tls"
	"fmt"
	"io"
	"net"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"
)

// TestBusyConnectionTakesAttempts guards against attempts that wait for the dial of a new connection because the
// existing one is busy: at full load that took longer than the latency objective. Here no new connection can be
// established, so the existing one must carry all attempts.
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
			t.Errorf("got response %+v, want it from c1", answer)
		}
	}
}

// TestUnresponsiveConnection checks that the program detects by a NOOP that a connection was cut off without a close,
// closes it, and sends its requests on another connection. It guards against requests that wait on such a connection
// until their deadlines; a QUIT sent on it does not arrive.
func TestUnresponsiveConnection(t *testing.T) {
	bed := newTestbed(t, nil, "c2")
	onFirstConnection := func(attempt *receivedRequest) bool { return attempt.Conn == bed.attempts()[0].Conn }
	bed.setResponder(func(attempt *receivedRequest) {
		if !onFirstConnection(attempt) {
			attempt.Answer("ACK", "-", "again")
		}
	})
	bed.endpoints.IgnoreHealthChecks(onFirstConnection)
	bed.start()
	client := bed.dial()
	for id := range uint64(3) {
		client.send(request(id, "footage", map[string]string{"limit": "60000"}, ""))
	}
	for range 3 {
		if answer := client.mustRead(); answer.Body != "again" {
			t.Errorf("got response %+v, want it from another connection", answer)
		}
	}
	if !bed.logged("upstream-unresponsive") {
		t.Error("got no event upstream-unresponsive, want the connection logged")
	}
}

// TestLostResponse checks a response that never arrives on a live connection. Its attempt must be canceled once
// responses to later attempts for more data have arrived, and the next attempt may be sent only when the endpoint has
// read the QUIT, which it shows by answering the NOOP that follows.
func TestLostResponse(t *testing.T) {
	bed := newTestbed(t, nil, "c2")
	bed.setResponder(func(attempt *receivedRequest) {
		if first := bed.attempts()[0]; attempt != first {
			attempt.Answer("ACK", "-", attempt.Fields["nth"])
		}
	})
	quitRead := make(chan bool)
	bed.endpoints.IgnoreHealthChecks(func(attempt *receivedRequest) bool {
		if quits := bed.cancellations(); len(quits) > 0 && attempt.Conn == quits[0].Conn {
			time.Sleep(50 * time.Millisecond) // a second attempt that does not wait would arrive meanwhile
			sameID := func(attempt *receivedRequest) bool { return attempt.Word == "ASK" && attempt.ID == quits[0].ID }
			if sent := bed.received(sameID); len(sent) > 1 {
				t.Errorf("got %d attempts before the NOOP after the QUIT was answered, want only the first", len(sent))
			}
			close(quitRead)
		}
		return false
	})
	bed.start()
	client := bed.dial()
	requestFields := func(nth, size string) map[string]string {
		return map[string]string{"nth": nth, "ram": size, "limit": "60000"}
	}
	client.send(request(1, "footage", requestFields("1", "40"), ""))
	bed.waitAttempts(1)
	for id := uint64(2); id <= 4; id++ {
		client.call(id, "footage", requestFields(strconv.FormatUint(id, 10), "80"))
	}
	<-quitRead
	if answer := client.mustRead(); answer.ID != 1 || answer.Body != "1" {
		t.Errorf("got response %+v, want the response to the second attempt", answer)
	}
}

// TestDuplicateResponse checks an endpoint that responds twice to an attempt, the second time when the next attempt for
// the same request is open on the same connection. It guards against mistaking the duplicate for the response to the
// open attempt and sending a third one in parallel.
func TestDuplicateResponse(t *testing.T) {
	for _, c := range []struct{ name, class, word, fields string }{
		{"a write that had already ended", "charge", "STALE", "-"},
		{"a read that finds nothing", "lookup", "NOENT", "remark=src_lacks"},
		{"an endpoint that fails", "lookup", "EIO", "-"},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			// The response to the second attempt stands in for a duplicate response to the first: the second attempt
			// counts as open.
			bed := newTestbed(t, func(attempt *receivedRequest) { attempt.Answer(c.word, c.fields, "") }, "c2")
			bed.start()
			client := bed.dial()
			client.call(1, c.class, map[string]string{"unique": "k1", "limit": "1500"})
			var open *receivedRequest // the attempt that has no response of its own yet
			seen := map[string]bool{}
			ofRequest := func(line *receivedRequest) bool { return line.ID == hexID(1) }
			for _, line := range bed.received(ofRequest) {
				switch key := fmt.Sprint(line.Endpoint, line.Conn.LocalAddr(), line.Conn.RemoteAddr()); {
				case line.Word == "QUIT":
					if open != nil && open.Conn == line.Conn {
						open = nil
					}
				case open != nil:
					t.Fatalf("got an attempt at %s while one is open at %s, want one at a time",
						line.Endpoint, open.Endpoint)
				case seen[key]:
					open = line
				default:
					seen[key] = true
				}
			}
		})
	}
}

// TestResetNewConnectionsDoNotEject guards against ejecting an endpoint for seconds after two new connections were
// reset, because each request that waited for them counted as a failure.
func TestResetNewConnectionsDoNotEject(t *testing.T) {
	bed := newTestbed(t, nil, "c2")
	listener := bed.listenOn("127.0.0.1:0")
	bed.setListedAddress("c1", listener.Addr().String())
	accepted := make(chan net.Conn)
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
			accepted <- conn
		}
	}()
	go bed.endpoints.Serve("c1", channelListener{listener, accepted})
	bed.start()
	client := bed.dial()
	for id := range uint64(4) {
		client.send(request(id, "footage", nil, ""))
	}
	for range 4 {
		if answer := client.mustRead(); answer.Error != "" {
			t.Errorf("got response %+v, want the request served", answer)
		}
	}
	if bed.logged("ejected") {
		t.Error("got the endpoint ejected, want it kept")
	}
}

// TestLivenessChecks checks when a NOOP is sent on a connection with an open attempt. Every check counts against the
// endpoint's budget of health checks, which all proxies of a fleet share. The test guards against checks after each
// 100 ms without data, whether the response is late or not: they came with a fifth of all attempts, a slow endpoint
// got dozens for one response, and all were answered READY. The object's size makes the response due in about 0.47 s.
func TestLivenessChecks(t *testing.T) {
	for _, c := range []struct {
		name     string
		takes    time.Duration
		min, max int
	}{
		{"no check while the response is not late", 300 * time.Millisecond, 0, 0},
		{"one or two checks if the response is late and the endpoint answers them",
			1200 * time.Millisecond, 1, 2},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			bed := newTestbed(t, func(attempt *receivedRequest) {
				time.Sleep(c.takes)
				attempt.Answer("ACK", "-", "served")
			}, "c2")
			bed.start()
			client := bed.dial()
			answer := client.call(1, "footage", map[string]string{"ram": "2000", "limit": "60000"})
			if answer.Body != "served" {
				t.Fatalf("got response %+v, want the request served", answer)
			}
			if n := len(bed.received(hasWord("NOOP"))); n < c.min || n > c.max {
				t.Errorf("got %d NOOPs, want %d to %d", n, c.min, c.max)
			}
		})
	}
}

// trickleResponder responds to the first attempt of request 1 byte by byte without end. Later attempts on the same
// connection get no response, as it would have to follow that one; all others are served. Every attempt is sent to
// pending.
type trickleResponder struct {
	pending     chan *receivedRequest
	trickleConn atomic.Pointer[net.Conn] // connection of the endless response
	done        chan struct{}            // closed when the test ends
}

// respond is the responder to pass to newTestbed.
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

// TestTrickledResponseReleasesWaitingAttempts checks a response that arrives byte by byte and does not end. An attempt
// behind it on the same connection must go to another connection once the request of that response is over, and no new
// attempt may be sent behind it.
func TestTrickledResponseReleasesWaitingAttempts(t *testing.T) {
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
		t.Fatal("got the second request on another connection, want it behind the endless response")
	}
	time.Sleep(time.Until(began.Add(1200 * time.Millisecond))) // from now on nothing new may be sent on that connection
	other := bed.dial()
	answer := other.call(3, "lookup", map[string]string{"limit": "9000"})
	if answer.Body != "done" || nextReceived(t, responder.pending).Conn == *responder.trickleConn.Load() {
		t.Errorf("got response %+v, want the request served on another connection", answer)
	}
	if answer := client.mustRead(); answer.ID != 1 || answer.Error == "" {
		t.Errorf("got response %+v, want an error for the first request at its time limit", answer)
	}
	answer = client.mustRead()
	if took := time.Since(began); answer.ID != 2 || answer.Body != "done" || took > 6*time.Second {
		t.Errorf("got response %+v after %v, want the second request served within 6 s", answer, took)
	}
}

// TestEndpointHalfCloses checks that a connection counts as closed when the endpoint closes its side of it, with a
// request open or just answered. The request must be sent once more, on another connection.
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
					t.Fatalf("got response %+v, want the request served", answer)
				}
			}
			if attempts := bed.attempts(); len(attempts) != 20 {
				t.Errorf("got %d attempts for ten requests, want two for each", len(attempts))
			}
		})
	}
}

// TestEndpointClosesAsNextRequestArrives checks an endpoint that closes or resets its connection right after a
// response, while the client's next request arrives, in both orders.
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
					time.Sleep(time.Millisecond) // otherwise the reset would discard the response
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
					t.Fatalf("request %d: got response %+v, want it served", id, answer)
				}
				if c.reset {
					time.Sleep(time.Duration(id%8) * 300 * time.Microsecond) // around the time of the reset
				}
			}
		})
	}
}

// TestEndpointThatDoesNotRead guards against attempts that are buffered in the proxy while an endpoint does not read,
// and are sent whenever it reads again: after a drain, a purge, or the client's disconnection.
func TestEndpointThatDoesNotRead(t *testing.T) {
	for _, c := range []struct {
		name     string
		checks   bool // whether the platform's settings allow NOOP
		streams  int  // maximum number of attempts on a connection
		requests int
		byTLS    bool
	}{
		{"many connections, each within the kernel's buffers", true, 32, 150, false},
		{"one connection beyond the kernel's buffers, without health checks", false, 1000, 150, false},
		{"one TLS connection, within the socket pair to it, without health checks", false, 1000, 4, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			bed := newTestbed(t, nil, "c1", "c2", "p1")
			limits := bed.platformLimits()
			limits["may-probe"], limits["streams-per-conn"] = c.checks, c.streams
			var config *tls.Config
			if c.byTLS {
				authority := newAuthority(t)
				certificate := makeCertificate(t, authority, "o1.endpoints.test")
				config = &tls.Config{Certificates: []tls.Certificate{certificate}}
				bed.addSettings("box-tls {", "ca "+authority.CertFile, "suffix .endpoints.test", "}")
			}
			expectUnreadAttemptsDropped(t, bed, c.requests, config)
		})
	}
}

// expectUnreadAttemptsDropped makes the origin read nothing while clients send large requests and leave. It fails the
// test unless, on each connection that the program closed, the origin reads no more attempts than its own socket holds.
// With a config, the origin is reached by TLS.
func expectUnreadAttemptsDropped(t *testing.T, bed *testbed, requests int, config *tls.Config) {
	t.Helper()
	address, read := bed.listenWithoutReading(config)
	bed.setListedAddress("o1", address)
	bed.start()
	const perClient = 25
	body := strings.Repeat("x", 48000)
	var clients []*client
	for n := range uint64(requests) {
		if n%perClient == 0 {
			clients = append(clients, bed.dial())
		}
		fields := map[string]string{"unique": fmt.Sprint("k", n), "limit": "3000", "item": hexID(n + 1)}
		clients[len(clients)-1].send(request(n+1, "charge", fields, body))
	}
	bed.waitLogged("event=upstream-unresponsive")
	for _, c := range clients {
		_ = c.conn.Close()
	}
	time.Sleep(300 * time.Millisecond) // from now on nothing may be sent for these clients
	counts := make(chan []int)
	read <- counts
	const maxBuffered = 3 // attempts in the endpoint's own socket buffer, which cannot be canceled
	got, withinLimit := <-counts, 0
	for _, n := range got {
		if n <= maxBuffered {
			withinLimit++
		}
	}
	if closed := bed.timesLogged("event=upstream-unresponsive"); withinLimit < closed {
		t.Errorf("%d connections were closed, and the endpoint then read %v complete attempts on its connections, "+
			"want at most %d on as many as were closed", closed, got, maxBuffered)
	}
}

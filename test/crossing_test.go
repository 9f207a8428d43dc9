package test

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/miekg/dns"
)

// platformLimits is the settings' block of that name.
func (w *testbed) platformLimits() map[string]any {
	return w.config["settings"].(map[string]any)["limits"].(map[string]any)
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

// TestRetryAfterNotSentWhereForbidden: whoever refuses, a client is told when to come back only where the settings allow that, and no longer than
// they say.
func TestRetryAfterNotSentWhereForbidden(t *testing.T) {
	for _, c := range []struct {
		name    string
		allowed bool
		most    int
		want    string
	}{{"not allowed", false, 500, ""}, {"allowed", true, 500, "100"}, {"allowed for less", true, 40, "40"}} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			held := make(chan *receivedRequest, 100)
			w := newTestbed(t, func(a *receivedRequest) { held <- a })
			w.platformLimits()["retry-after"], w.platformLimits()["max-retry-after-ms"] = c.allowed, c.most
			w.addSettings("contracts {\nteam lanes {\nclass lookup\n}\n}")
			w.enableDNS("")
			w.start()
			client := w.dial()
			for id := range uint64(33) { // one more than may be open
				client.send(request(id, "lookup", map[string]string{"team": "lanes", "ram": "0.1", "item": fmt.Sprintf("%016x", id)}, ""))
			}
			if a := client.mustRead(); a.Error != "Overloaded" || a.Fields["later"] != c.want {
				t.Errorf("too much open: %+v, want a refusal with later=%q", a, c.want)
			}
			other := w.dial()
			other.send(request(99, "footage", map[string]string{"team": "lanes"}, ""))
			if a := other.mustRead(); a.Error != "Overloaded" || (a.Fields["later"] == "") == c.allowed {
				t.Errorf("not in the contract: %+v, want advice: %v", a, c.allowed)
			}
			query := w.dialDNS("udp")
			query.query(1, "n0.00000000000000aa.footage.lanes", dns.TypeA)
			if a := query.mustRead(); a.Rcode != "REFUSED" || strings.Contains(a.Text, "later=") != c.allowed || !strings.Contains(a.Text, "budget=") {
				t.Errorf("not in the contract, by DNS: %+v, want advice: %v", a, c.allowed)
			}
		})
	}
}

// TestCompleteRequestIsAnsweredBeforeProtocolError: a client sends a sound request, and on the same connection what can't be read, or half of something. The
// connection ended, and the sound request with it had no answer.
func TestCompleteRequestIsAnsweredBeforeProtocolError(t *testing.T) {
	half := request(2, "charge", map[string]string{"unique": "k2"}, "body")
	for _, c := range []struct {
		name string
		then []byte
		want string // error of the sound request; empty: it is served
		log  string
	}{
		{"noise", []byte("\xc1\xc1"), "Internal", "event=client-protocol-error"},
		{"a text of 4 GB", append(requestHead(2), 0x81, 0xdb, 0xff, 0xff, 0xff, 0xff), "Internal", "event=client-protocol-error"},
		{"the same number again", request(1, "lookup", nil, ""), "Internal", "event=client-duplicate-id"},
		{"half a request", half[:len(half)-3], "", ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			held := make(chan *receivedRequest, 100)
			w := newTestbed(t, func(a *receivedRequest) { held <- a })
			w.start()
			client := w.dial()
			client.send(request(1, "lookup", map[string]string{"limit": "9000"}, ""))
			a := nextReceived(t, held)
			client.send(c.then)
			if c.want == "" { // longer than a half may wait by itself: another client's is closed meanwhile
				other := w.dial()
				other.send(half[:len(half)-3])
				if a, err := other.read(); err != io.EOF {
					t.Errorf("%+v, %v: want the half alone to be closed", a, err)
				}
				a.Answer("ACK", "tag=t1", "done")
			}
			var got *reply // to the sound request
			for {
				a, err := client.read()
				if err != nil {
					if err != io.EOF && !errors.Is(err, syscall.ECONNRESET) {
						t.Errorf("%v, want the end of the connection", err)
					}
					break
				}
				switch {
				case a.ID == 1 && got == nil:
					got = &a
				case a.ID == 1 || a.Error != "Malformed":
					t.Errorf("%+v came besides", a)
				}
			}
			if got == nil || got.Error != c.want || c.want == "" && got.Body != "done" {
				t.Errorf("the sound request: %+v, want it answered, with the error %q", got, c.want)
			}
			w.waitUntil("the log says why", func() bool { return strings.Contains(w.log.String(), c.log) })
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

// TestSIGTERMDuringAttempt: SIGTERM while an attempt waits for its dial, or is half read by its box: it goes on as always.
func TestSIGTERMDuringAttempt(t *testing.T) {
	t.Run("its dial", func(t *testing.T) {
		t.Parallel()
		w := newTestbed(t, nil, "c2")
		w.listed[0]["dial"] = w.listenWithFullBacklog()
		w.platformLimits()["dial-timeout-ms"] = 60000
		w.start()
		client := w.dial()
		client.send(request(1, "lookup", map[string]string{"limit": "3000"}, ""))
		client.send(request(2, "status", nil, ""))
		client.mustRead() // so the first one was read
		w.terminate()
		go w.endpoints.Serve("c1", w.fullListener)
		if a := client.mustRead(); a.Error != "" {
			t.Errorf("%+v, want it served", a)
		}
		w.waitExit()
	})
	t.Run("half read", func(t *testing.T) {
		t.Parallel()
		w := newTestbed(t, nil)
		ln := w.listenOn("127.0.0.1:0")
		w.listed[len(w.listed)-1]["dial"] = ln.Addr().String() // the origin
		w.start()
		half, termed := make(chan struct{}), make(chan struct{})
		go func() {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			r := bufio.NewReaderSize(conn, 16)
			_, _ = io.ReadFull(r, make([]byte, 20000))
			close(half)
			<-termed
			rest, _ := r.ReadString('#') // which ends the body
			_, _ = fmt.Fprintf(conn, "0000000000000001 ACK tag=t1 4\r\n%04d\r\n", len(rest)%10000)
		}()
		client := w.dial()
		client.send(request(1, "charge", map[string]string{"unique": "k1"}, strings.Repeat("x", 47999)+"#"))
		<-half
		w.terminate()
		close(termed)
		if a := client.mustRead(); a.Error != "" || len(a.Body) != 4 {
			t.Errorf("%+v, want it served", a)
		}
		w.waitExit()
	})
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

// leaveWays are the ways in which a client leaves a request.
var leaveWays = []struct {
	name  string
	leave func(c *client, id byte)
}{
	{"withdraw", func(c *client, id byte) { c.send(withdraw(id)) }},
	{"close", func(c *client, _ byte) { _ = c.conn.Close() }},
	{"reset", func(c *client, _ byte) {
		_ = c.conn.(*net.TCPConn).SetLinger(0)
		_ = c.conn.Close()
	}},
	{"half-close", func(c *client, _ byte) { _ = c.conn.(*net.TCPConn).CloseWrite() }},
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

// TestSIGHUPWhileConfigIsReplaced: the file is taken away, empty and cut off in turn as SIGHUP comes, while requests are open; the old settings
// stay, nothing that is open is lost, and the next sound file is taken.
func TestSIGHUPWhileConfigIsReplaced(t *testing.T) {
	held := make(chan *receivedRequest, 100)
	w := newTestbed(t, func(a *receivedRequest) { held <- a })
	w.start()
	whole, err := os.ReadFile(w.configPath)
	if err != nil {
		t.Fatal(err)
	}
	client := w.dial()
	for i, text := range [][]byte{nil, {}, whole[:len(whole)/2], whole} {
		client.send(request(uint64(i+1), "charge", map[string]string{"unique": fmt.Sprint("k", i)}, ""))
		a := nextReceived(t, held)
		w.log.reset()
		if err := os.Remove(w.configPath); err != nil {
			t.Fatal(err)
		}
		if text != nil {
			if err := os.WriteFile(w.configPath, text, 0o600); err != nil {
				t.Fatal(err)
			}
		}
		w.signal(syscall.SIGHUP)
		word := []string{"event=reload-failed", "event=reloaded"}[i/3]
		w.waitUntil(word, func() bool { return strings.Contains(w.log.String(), word) })
		a.Answer("ACK", "tag=t1", "done")
		if got := client.mustRead(); got.Body != "done" {
			t.Errorf("file %d: %+v, want it served", i, got)
		}
		if text == nil {
			_ = os.WriteFile(w.configPath, nil, 0o600)
		}
	}
}

// TestRetryDroppedAfterDedupWindow: a write may have run when its connection breaks. The next attempt is decided at once, but its connection
// comes up when boxes drop repeats no more: it must not go out.
func TestRetryDroppedAfterDedupWindow(t *testing.T) {
	w := newTestbed(t, nil)
	w.listed[len(w.listed)-1]["dial"] = w.listenWithFullBacklog() // the origin; its queue holds one connection, which nobody has taken
	w.platformLimits()["dial-timeout-ms"] = 60000
	for _, c := range w.config["settings"].(map[string]any)["classes"].([]any) {
		if class := c.(map[string]any); class["name"] == "charge" {
			class["window-ms"], class["deadline-ms"] = 500, 9000
		}
	}
	w.start()
	take := func() net.Conn {
		conn, err := w.fullListener.Accept()
		if err != nil {
			t.Fatal(err)
		}
		return conn
	}
	client := w.dial()
	client.send(request(1, "charge", map[string]string{"unique": "k1", "limit": "8000"}, "body"))
	_ = take().Close() // now the program's own connection comes up
	first := take()
	if n := readAttempt(first); n != 1 {
		t.Fatalf("%d attempts came", n)
	}
	filler, err := net.Dial("tcp", w.fullListener.Addr().String()) // no further one does
	if err != nil {
		t.Fatal(err)
	}
	defer filler.Close()
	_ = first.Close()
	time.Sleep(700 * time.Millisecond) // it is the time that is tried: boxes drop repeats for 500 ms
	_ = take().Close()
	late := make(chan int, 1)
	go func() {
		conn := take()
		_ = conn.SetReadDeadline(time.Now().Add(waitLimit))
		late <- readAttempt(conn)
	}()
	if a := client.mustRead(); a.Error == "" {
		t.Errorf("%+v, want it given up", a)
	}
	w.kill() // so that the late connection ends
	if n := <-late; n != 0 {
		t.Error("the attempt went out again when repeats were not dropped any more")
	}
}

// readAttempt reads one attempt, and says whether one came whole before the connection ended.
func readAttempt(conn net.Conn) int {
	r := bufio.NewReaderSize(conn, 16)
	line, err := r.ReadString('\n')
	if err == nil && strings.HasPrefix(line, "ASK ") {
		if _, err = r.ReadString('\n'); err == nil {
			return 1
		}
	}
	return 0
}

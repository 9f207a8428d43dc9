package test

import (
	"fmt"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/miekg/dns"
)

// TestRequests sends one request each and compares what the boxes read and what the client gets.
func TestRequests(t *testing.T) {
	for _, c := range []struct {
		name   string
		method string
		fields map[string]string
		body   string
		script func(*receivedRequest)
		want   reply
		heard  []string
	}{
		{name: "a hit is served with the fields of the box", method: "footage",
			want: reply{ID: 5, Body: "7f3a9c21e0b4d655", Fields: map[string]string{"tag": "t1", "minted": "1", "remark": "hit"}},
		},
		{name: "the client's copy holds", method: "footage", fields: map[string]string{"got": "t1"},
			script: func(a *receivedRequest) { a.Answer("NOMOD", "tag=t1", "") },
			want:   reply{ID: 5, Fields: map[string]string{"tag": "t1", "ok304": "1"}},
		},
		{name: "a miss is filled", method: "footage",
			script: func(a *receivedRequest) {
				if a.Fields["via"] == "" {
					a.Answer("NOENT", "-", "")
				} else {
					a.Answer("ACK", "tag=t2,remark=filled,lag=3", "bytes\r\nwith a line")
				}
			},
			want: reply{ID: 5, Body: "bytes\r\nwith a line",
				Fields: map[string]string{"tag": "t2", "remark": "filled", "lag": "3"}},
		},
		{name: "a write goes to the origin with its key and body", method: "charge",
			fields: map[string]string{"unique": "5c0f"}, body: "post\x00",
			script: func(a *receivedRequest) { a.Answer("ACK", "-", a.Endpoint+" "+a.Fields["replay"]+" "+a.Body) },
			want:   reply{ID: 5, Body: "o1 5c0f post\x00", Fields: map[string]string{}},
		},
		{name: "all are full: refused with a wait", method: "footage",
			script: func(a *receivedRequest) { a.Answer("AGAIN", "-", "") },
			want:   reply{ID: 5, Error: "Overloaded", Fields: map[string]string{"later": "250"}},
		},
		{name: "a silent box: answered before the client gives up", method: "footage",
			fields: map[string]string{"limit": "300"}, script: func(*receivedRequest) {},
			want: reply{ID: 5, Error: "Overloaded", Fields: map[string]string{"later": "250"}},
		},
		{name: "unknown class", method: "nonsense", want: reply{ID: 5, Error: "Malformed", Fields: map[string]string{}}},
		{name: "no key in a keyed class", method: "charge", want: reply{ID: 5, Error: "Malformed", Fields: map[string]string{}}},
		{name: "a bad object", method: "footage", fields: map[string]string{"item": "7f3a9c21e0b4d65"},
			want: reply{ID: 5, Error: "Malformed", Fields: map[string]string{}}},
		{name: "a key that would break the line", method: "footage", fields: map[string]string{"unique": "a\r\nQUIT 1"},
			want: reply{ID: 5, Error: "Malformed", Fields: map[string]string{}}},
		{name: "a bad limit", method: "footage", fields: map[string]string{"limit": "NaN"},
			want: reply{ID: 5, Error: "Malformed", Fields: map[string]string{}}},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			w := newTestbed(t, c.script)
			w.start()
			client := w.dial()
			client.send(request(5, c.method, c.fields, c.body))
			if diff := cmp.Diff(c.want, client.mustRead()); diff != "" {
				t.Errorf("answer (-want +got):\n%s", diff)
			}
		})
	}
}

// TestMarkedRetryIsNotCounted: a client's own retry, marked as such, is no new wish for the object and must not have it kept. The mark was
// not read, so that the tables counted what one client wanted once as wanted twice.
func TestMarkedRetryIsNotCounted(t *testing.T) {
	for _, c := range []struct {
		name, second string
		want         string // the rank at which the second request has the copy kept; empty: passed through
	}{{"a new request", "", "1"}, {"marked", "1", ""}} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			ranks := make(chan string, 10)
			w := newTestbed(t, func(a *receivedRequest) {
				if a.Fields["via"] == "" {
					a.Answer("NOENT", "-", "")
					return
				}
				ranks <- a.Fields["tier"]
				a.Answer("EIO", "remark=no_slot", "")
			})
			w.start()
			client := w.dial()
			client.send(request(5, "footage", map[string]string{"txn": "00000000000000a1"}, ""))
			client.mustRead()
			for len(ranks) > 0 {
				<-ranks
			}
			fields := map[string]string{"txn": "00000000000000a2"}
			if c.second != "" {
				fields["second"] = c.second
			}
			client.send(request(6, "footage", fields, ""))
			client.mustRead()
			if got := <-ranks; got != c.want {
				t.Errorf("the second request is kept at rank %q, want %q", got, c.want)
			}
		})
	}
}

// TestAttemptOutcomes has the first attempt of a request end in each way, and compares what follows from it.
func TestAttemptOutcomes(t *testing.T) {
	served := func(boxes ...string) []string { return boxes }
	for _, c := range []struct {
		name, method string
		first        func(*receivedRequest) // what the first attempt meets
		want         string                 // body or error
		boxes        []string               // that were asked, in order; nil: not looked at
	}{
		{"reset after sending: a read may run again", "footage", func(a *receivedRequest) { _ = a.Conn.Close() }, "second", nil},
		{"reset after sending: a keyed write goes on to the same group", "charge",
			func(a *receivedRequest) { _ = a.Conn.Close() }, "second", served("o1", "o1")},
		{"an answer that can't be read ends the connection", "charge",
			func(a *receivedRequest) { _, _ = a.Conn.Write([]byte("what is this\r\n")) }, "second", served("o1", "o1")},
		{"a length beyond all bounds", "charge",
			func(a *receivedRequest) { _, _ = fmt.Fprintf(a.Conn, "%s ACK - 999999999\r\n", a.ID) }, "second", served("o1", "o1")},
		{"a word for another question", "charge", func(a *receivedRequest) { a.Answer("READY", "-", "") }, "second", served("o1", "o1")},
		{"unchanged without a copy to hold against", "charge", func(a *receivedRequest) { a.Answer("NOMOD", "-", "") }, "second",
			served("o1", "o1")},
		{"over already: never ran", "charge", func(a *receivedRequest) { a.Answer("STALE", "-", "") }, "second", served("o1", "o1")},
		{"an error goes on by way of the parent", "charge", func(a *receivedRequest) { a.Answer("EIO", "-", "") }, "second", served("o1", "p1")},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			var w *testbed
			w = newTestbed(t, func(a *receivedRequest) {
				if len(w.received(hasWord("ASK"))) == 1 {
					c.first(a)
					return
				}
				a.Answer("ACK", "-", "second")
			}, "c2")
			w.start()
			client := w.dial()
			client.send(request(1, c.method, map[string]string{"unique": "k1"}, ""))
			if a := client.mustRead(); a.Error+a.Body != c.want {
				t.Errorf("answer %+v, want %q", a, c.want)
			}
			var boxes []string
			for _, a := range w.received(hasWord("ASK")) {
				boxes = append(boxes, a.Endpoint)
			}
			if diff := cmp.Diff(c.boxes, boxes); c.boxes != nil && diff != "" {
				t.Errorf("boxes (-want +got):\n%s", diff)
			}
		})
	}
}

// TestRefusedWriteIsRetriedElsewhere: a write whose connection is refused may be tried elsewhere, and be refused.
func TestRefusedWriteIsRetriedElsewhere(t *testing.T) {
	w := newTestbed(t, nil)
	_ = w.listeners["o1"].Close()
	w.start()
	client := w.dial()
	client.send(request(1, "charge", map[string]string{"unique": "k1"}, ""))
	if a := client.mustRead(); a.Error != "" {
		t.Errorf("%+v, want it served by way of a cache", a)
	}
	if asks := w.received(hasWord("ASK")); len(asks) != 1 || asks[0].Fields["via"] != "o1" {
		t.Errorf("%d attempts reached boxes, want one by way of a cache", len(asks))
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

// TestUnsentRequestRejectedByHalfTime: a request whose only attempt waits for a connection is refused by half of its time.
func TestUnsentRequestRejectedByHalfTime(t *testing.T) {
	t.Parallel()
	w := newTestbed(t, nil, "c2")
	address := w.listenWithFullBacklog()
	w.listed[0]["dial"] = address
	w.config["settings"].(map[string]any)["limits"].(map[string]any)["dial-timeout-ms"] = 60000
	w.start()
	client := w.dial()
	begun := time.Now()
	client.send(request(1, "footage", map[string]string{"limit": "6000"}, ""))
	if a := client.mustRead(); a.Error != "Overloaded" || a.Fields["later"] == "" {
		t.Errorf("%+v, want a refusal with a wait", a)
	}
	if took := time.Since(begun); took > 4500*time.Millisecond {
		t.Errorf("the refusal took %v of 6 s", took)
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

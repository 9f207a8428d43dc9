package test

import (
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/miekg/dns"
)

// malformed is the answer to request 5 if it is invalid.
var malformed = reply{ID: 5, Error: "Malformed", Fields: map[string]string{}}

// overloaded is the answer to request 5 if no endpoint accepts it.
var overloaded = reply{ID: 5, Error: "Overloaded", Fields: map[string]string{"later": "250"}}

// TestRequests sends one request in each case and compares the client's answer.
func TestRequests(t *testing.T) {
	for _, c := range []struct {
		name    string
		class   string
		fields  map[string]string
		body    string
		respond func(*receivedRequest)
		want    reply
	}{
		{name: "a hit is served with the endpoint's fields", class: "footage",
			want: reply{ID: 5, Body: "7f3a9c21e0b4d655",
				Fields: map[string]string{"tag": "t1", "minted": "1", "remark": "hit"}}},
		{name: "the client's copy is still valid", class: "footage", fields: map[string]string{"got": "t1"},
			respond: func(attempt *receivedRequest) { attempt.Answer("NOMOD", "tag=t1", "") },
			want:    reply{ID: 5, Fields: map[string]string{"tag": "t1", "ok304": "1"}}},
		{name: "a miss is filled", class: "footage",
			respond: func(attempt *receivedRequest) {
				if attempt.Fields["via"] == "" {
					attempt.Answer("NOENT", "-", "")
				} else {
					attempt.Answer("ACK", "tag=t2,remark=filled,lag=3", "bytes\r\nwith a line")
				}
			},
			want: reply{ID: 5, Body: "bytes\r\nwith a line",
				Fields: map[string]string{"tag": "t2", "remark": "filled", "lag": "3"}}},
		{name: "a write goes to the origin with its idempotency key and body", class: "charge",
			fields: map[string]string{"unique": "5c0f"}, body: "post\x00",
			respond: func(attempt *receivedRequest) {
				body := attempt.Endpoint + " " + attempt.Fields["replay"] + " " + attempt.Body
				attempt.Answer("ACK", "-", body)
			},
			want: reply{ID: 5, Body: "o1 5c0f post\x00", Fields: map[string]string{}}},
		{name: "all endpoints are full: rejected with a Retry-After", class: "footage",
			respond: func(attempt *receivedRequest) { attempt.Answer("AGAIN", "-", "") }, want: overloaded},
		{name: "a silent endpoint: rejected within the client's time limit", class: "footage",
			fields: map[string]string{"limit": "300"}, respond: func(*receivedRequest) {}, want: overloaded},
		{name: "unknown class", class: "nonsense", want: malformed},
		{name: "no idempotency key in a keyed class", class: "charge", want: malformed},
		{name: "an invalid object id", class: "footage", fields: map[string]string{"item": "7f3a9c21e0b4d65"},
			want: malformed},
		{name: "an idempotency key with a line break", class: "footage",
			fields: map[string]string{"unique": "a\r\nQUIT 1"}, want: malformed},
		{name: "an invalid time limit", class: "footage", fields: map[string]string{"limit": "NaN"}, want: malformed},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			bed := newTestbed(t, c.respond)
			bed.start()
			client := bed.dial()
			client.send(request(5, c.class, c.fields, c.body))
			if diff := cmp.Diff(c.want, client.mustRead()); diff != "" {
				t.Errorf("answer (-want +got):\n%s", diff)
			}
		})
	}
}

// TestMarkedRetryIsNotCounted checks that a retry which the client marks as such does not count as another request for
// the object, and so does not make a cache keep it. The program once ignored the mark, so that the gap tables counted
// one request of one client as two.
func TestMarkedRetryIsNotCounted(t *testing.T) {
	for _, c := range []struct {
		name, second string
		want         string // the cache rank of the second request's copy; empty: not kept
	}{{"a new request", "", "1"}, {"a marked retry", "1", ""}} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			ranks := make(chan string, 10)
			bed := newTestbed(t, func(attempt *receivedRequest) {
				if attempt.Fields["via"] == "" {
					attempt.Answer("NOENT", "-", "")
					return
				}
				ranks <- attempt.Fields["tier"]
				attempt.Answer("EIO", "remark=no_slot", "")
			})
			bed.start()
			client := bed.dial()
			client.call(5, "footage", map[string]string{"txn": "00000000000000a1"})
			for len(ranks) > 0 {
				<-ranks
			}
			fields := map[string]string{"txn": "00000000000000a2"}
			if c.second != "" {
				fields["second"] = c.second
			}
			client.call(6, "footage", fields)
			if got := <-ranks; got != c.want {
				t.Errorf("cache rank of the second request: got %q, want %q", got, c.want)
			}
		})
	}
}

// respondWith returns a responder that answers an attempt with a word and no fields.
func respondWith(word string) func(*receivedRequest) {
	return func(attempt *receivedRequest) { attempt.Answer(word, "-", "") }
}

// TestAttemptOutcomes ends the first attempt of a request in each possible way, and checks what the proxy does next.
func TestAttemptOutcomes(t *testing.T) {
	reset := func(attempt *receivedRequest) { _ = attempt.Conn.Close() }
	unreadable := func(attempt *receivedRequest) { _, _ = io.WriteString(attempt.Conn, "what is this\r\n") }
	tooLong := func(attempt *receivedRequest) { _, _ = fmt.Fprintf(attempt.Conn, "%s ACK - 999999999\r\n", attempt.ID) }
	for _, c := range []struct {
		name, class string
		first       func(*receivedRequest) // responder of the first attempt
		want        string                 // body or error of the answer
		endpoints   []string               // that received attempts, in order; nil: not checked
	}{
		{"reset after sending: a read is retried", "footage", reset, "second", nil},
		{"reset after sending: a keyed write is retried in the same group", "charge", reset, "second",
			[]string{"o1", "o1"}},
		{"malformed answer: the connection is closed", "charge", unreadable, "second", []string{"o1", "o1"}},
		{"body length above the limit", "charge", tooLong, "second", []string{"o1", "o1"}},
		{"answer to another kind of line", "charge", respondWith("READY"), "second", []string{"o1", "o1"}},
		{"not modified without a copy to revalidate", "charge", respondWith("NOMOD"), "second", []string{"o1", "o1"}},
		{"already expired: never ran", "charge", respondWith("STALE"), "second", []string{"o1", "o1"}},
		{"error: retried by way of the parent", "charge", respondWith("EIO"), "second", []string{"o1", "p1"}},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			bed := newTestbed(t, nil, "c2")
			bed.setResponder(func(attempt *receivedRequest) {
				if len(bed.attempts()) == 1 {
					c.first(attempt)
					return
				}
				attempt.Answer("ACK", "-", "second")
			})
			bed.start()
			client := bed.dial()
			if answer := client.call(1, c.class,
				map[string]string{"unique": "k1"}); answer.Error+answer.Body != c.want {
				t.Errorf("answer: got %+v, want %q", answer, c.want)
			}
			var endpoints []string
			for _, attempt := range bed.attempts() {
				endpoints = append(endpoints, attempt.Endpoint)
			}
			if diff := cmp.Diff(c.endpoints, endpoints); c.endpoints != nil && diff != "" {
				t.Errorf("endpoints (-want +got):\n%s", diff)
			}
		})
	}
}

// TestRefusedWriteIsRetriedElsewhere checks that a write whose connection is refused, and which hence never ran, is
// retried at another endpoint.
func TestRefusedWriteIsRetriedElsewhere(t *testing.T) {
	bed := newTestbed(t, nil)
	_ = bed.listeners["o1"].Close()
	bed.start()
	client := bed.dial()
	if answer := client.call(1, "charge", map[string]string{"unique": "k1"}); answer.Error != "" {
		t.Errorf("answer: got %+v, want it served by way of a cache", answer)
	}
	if attempts := bed.attempts(); len(attempts) != 1 || attempts[0].Fields["via"] != "o1" {
		t.Errorf("attempts that reached endpoints: got %d, want one by way of a cache", len(attempts))
	}
}

// TestRetryDroppedAfterDedupWindow breaks the connection of a write, which may have run. The next attempt is decided at
// once, but its connection is only established after the window in which endpoints drop duplicates. The attempt must
// not be sent.
func TestRetryDroppedAfterDedupWindow(t *testing.T) {
	bed := newTestbed(t, nil)
	bed.setListedAddress("o1", bed.listenWithFullBacklog()) // its backlog holds one connection that is not accepted yet
	bed.platformLimits()["dial-timeout-ms"] = 60000
	for _, entry := range bed.platformSettings()["classes"].([]any) {
		if class := entry.(map[string]any); class["name"] == "charge" {
			class["window-ms"], class["deadline-ms"] = 500, 9000
		}
	}
	bed.start()
	accept := func() net.Conn {
		conn, err := bed.fullBacklogListener.Accept()
		if err != nil {
			t.Fatal(err)
		}
		return conn
	}
	_ = accept().Close() // makes room first: a dial that finds none is repeated after 1 s, too late for a retry
	client := bed.dial()
	client.send(request(1, "charge", map[string]string{"unique": "k1", "limit": "8000"}, "body"))
	first := accept()
	if !readAttempt(first) {
		t.Fatal("the first attempt is incomplete")
	}
	filler, err := net.Dial("tcp", bed.fullBacklogListener.Addr().String()) // fills the backlog again
	if err != nil {
		t.Fatal(err)
	}
	defer filler.Close()
	_ = first.Close()
	time.Sleep(700 * time.Millisecond) // the time under test: endpoints drop duplicates for 500 ms
	_ = accept().Close()
	reached := make(chan bool, 1)
	_ = bed.fullBacklogListener.(*net.TCPListener).SetDeadline(time.Now().Add(waitLimit))
	go func() {
		conn, err := bed.fullBacklogListener.Accept()
		if err != nil {
			t.Errorf("accept of the late connection: %v", err)
			reached <- false
			return
		}
		_ = conn.SetReadDeadline(time.Now().Add(waitLimit))
		reached <- readAttempt(conn)
	}()
	if answer := client.mustRead(); answer.Error == "" {
		t.Errorf("answer: got %+v, want an error", answer)
	}
	bed.kill() // so that the late connection ends
	if <-reached {
		t.Error("the attempt was sent after the window in which endpoints drop duplicates, want it dropped")
	}
}

// TestUnsentRequestRejectedByHalfTime checks that a request whose only attempt waits for a connection is rejected by
// half of its time.
func TestUnsentRequestRejectedByHalfTime(t *testing.T) {
	t.Parallel()
	bed := newTestbed(t, nil, "c2")
	bed.setListedAddress("c1", bed.listenWithFullBacklog())
	bed.platformLimits()["dial-timeout-ms"] = 60000
	bed.start()
	client := bed.dial()
	began := time.Now()
	answer := client.call(1, "footage", map[string]string{"limit": "6000"})
	if answer.Error != "Overloaded" || answer.Fields["later"] == "" {
		t.Errorf("answer: got %+v, want it rejected with a Retry-After", answer)
	}
	if took := time.Since(began); took > 4500*time.Millisecond {
		t.Errorf("the rejection took %v of 6 s, want at most 4.5 s", took)
	}
}

// TestRetryAfterNotSentWhereForbidden checks that rejections by the connection limit and by a contract, also over DNS,
// carry a Retry-After only if the settings allow it, and never a longer one than they allow.
func TestRetryAfterNotSentWhereForbidden(t *testing.T) {
	for _, c := range []struct {
		name       string
		allowed    bool
		retryAfter int // the maximum, in milliseconds
		want       string
	}{{"not allowed", false, 500, ""}, {"allowed", true, 500, "100"}, {"allowed up to 40 ms", true, 40, "40"}} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			bed := newTestbed(t, func(*receivedRequest) {})
			limits := bed.platformLimits()
			limits["retry-after"], limits["max-retry-after-ms"] = c.allowed, c.retryAfter
			bed.addSettings("contracts {", "team lanes {", "class lookup", "}", "}")
			bed.enableDNS("")
			bed.start()
			client := bed.dial()
			for id := range uint64(33) { // one more than may be open on a connection
				fields := map[string]string{"team": "lanes", "ram": "0.1", "item": hexID(id)}
				client.send(request(id, "lookup", fields, ""))
			}
			if answer := client.mustRead(); answer.Error != "Overloaded" || answer.Fields["later"] != c.want {
				t.Errorf("too many open requests: got %+v, want it rejected with later=%q", answer, c.want)
			}
			other := bed.dial()
			answer := other.call(99, "footage", map[string]string{"team": "lanes"})
			if answer.Error != "Overloaded" || (answer.Fields["later"] != "") != c.allowed {
				t.Errorf("class not in the contract: got %+v, want it rejected, with a Retry-After: %v",
					answer, c.allowed)
			}
			resolver := bed.dialDNS("udp")
			resolver.query(1, "n0.00000000000000aa.footage.lanes", dns.TypeA)
			byDNS := resolver.mustRead()
			if byDNS.Rcode != "REFUSED" || !strings.Contains(byDNS.Text, "budget=") {
				t.Errorf("class not in the contract, by DNS: got %+v, want it rejected with the budget named", byDNS)
			}
			if strings.Contains(byDNS.Text, "later=") != c.allowed {
				t.Errorf("class not in the contract, by DNS: got %+v, want a Retry-After in it: %v", byDNS, c.allowed)
			}
		})
	}
}

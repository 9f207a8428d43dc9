package test

import (
	"fmt"
	"io"
	"syscall"
	"testing"

	"github.com/google/go-cmp/cmp"
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

// TestMalformedFrames: what can't be read ends its connection, after an error answer where the id is known, and the
// program goes on.
func TestMalformedFrames(t *testing.T) {
	w := newTestbed(t, nil)
	w.start()
	for _, c := range []struct {
		name, frame string
		answers     []reply
	}{
		{"not an array", "\xc1", nil},
		{"an id of nine bytes", "\x94\x00\xcf\x01\x00\x00\x00\x00\x00\x00\x00\xa1m\x90", nil},
		{"a never used code behind the id", "\x94\x00\x09\xa1m\xc1",
			[]reply{{ID: 9, Error: "Malformed", Fields: map[string]string{}}}},
		{"nested without end", "\x94\x00\x09\xa1m\x91\x91\x91\x91\x91\x91\x91\x91\x91\x91",
			[]reply{{ID: 9, Error: "Malformed", Fields: map[string]string{}}}},
		{"an answer instead of a request", "\x94\x01\x09\xc0\xc0", nil},
	} {
		client := w.dial()
		client.send([]byte(c.frame))
		var got []reply
		for {
			a, err := client.read()
			if err != nil {
				if err != io.EOF {
					t.Errorf("%s: %v, want the end of the connection", c.name, err)
				}
				break
			}
			got = append(got, a)
		}
		if diff := cmp.Diff(c.answers, got); diff != "" {
			t.Errorf("%s (-want +got):\n%s", c.name, diff)
		}
	}
	client := w.dial()
	client.send(request(1, "footage", nil, ""))
	if a := client.mustRead(); a.Error != "" {
		t.Errorf("after all that: %+v", a)
	}
}

// TestRestartWithoutDelay: a doorman that was killed with connections open left them in TIME_WAIT; the next one exited with
// "address already in use", because the sockets had SO_REUSEPORT without SO_REUSEADDR.
func TestRestartWithoutDelay(t *testing.T) {
	w := newTestbed(t, nil)
	for round := range 3 {
		w.start()
		client := w.dial()
		client.send(request(1, "footage", nil, ""))
		if a := client.mustRead(); a.Error != "" {
			t.Fatalf("round %d: %+v", round, a)
		}
		w.kill()
		_ = client.conn.Close()
	}
}

// TestSecondProcessIsRejected: with SO_REUSEPORT a second program would share the address unnoticed.
func TestSecondProcessIsRejected(t *testing.T) {
	w := newTestbed(t, nil)
	w.start()
	other := newTestbed(t, nil)
	other.config["listen"] = w.address
	other.address = w.address
	other.start() // the first one answers its status
	if err := <-other.exited; err == nil {
		t.Error("a second program listens on the same address")
	}
	other.cmd = nil
}

// TestSIGTERMServesOpenRequest: after SIGTERM status says false, what is open is answered, and the program ends by itself.
func TestSIGTERMServesOpenRequest(t *testing.T) {
	release := make(chan struct{})
	w := newTestbed(t, func(a *receivedRequest) {
		<-release
		a.Answer("ACK", "-", "late")
	})
	w.start()
	client := w.dial()
	client.send(request(1, "footage", map[string]string{"limit": "9000"}, ""))
	w.waitUntil("the attempt is out", func() bool { return len(w.received(hasWord("ASK"))) == 1 })
	w.signal(syscall.SIGTERM)
	w.waitUntil("status says false", func() bool {
		c := w.dial()
		defer c.conn.Close()
		c.send(request(1, "status", nil, ""))
		a, err := c.read()
		return err == nil && !a.Ready
	})
	close(release)
	if a := client.mustRead(); a.Body != "late" {
		t.Errorf("the request that was open at SIGTERM: %+v", a)
	}
	if err := <-w.exited; err != nil {
		t.Errorf("the program ended with %v", err)
	}
	w.cmd = nil
}

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

package main

import (
	"errors"
	"fmt"
	"io"
	"net"
	"strings"
	"syscall"
	"testing"
	"time"
)

// limits is the settings' block of that name.
func (w *world) limits() map[string]any {
	return w.config["settings"].(map[string]any)["limits"].(map[string]any)
}

// TestNoAdviceWhereNotAllowed: whoever refuses, a client is told when to come back only where the settings allow that, and no longer than
// they say.
func TestNoAdviceWhereNotAllowed(t *testing.T) {
	for _, c := range []struct {
		name    string
		allowed bool
		most    int
		want    string
	}{{"not allowed", false, 500, ""}, {"allowed", true, 500, "100"}, {"allowed for less", true, 40, "40"}} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			held := make(chan *asked, 100)
			w := newWorld(t, func(a *asked) { held <- a })
			w.limits()["retry-after"], w.limits()["max-retry-after-ms"] = c.allowed, c.most
			w.own("contracts {\nteam lanes {\nclass lookup\n}\n}")
			w.run()
			client := w.dial()
			for id := range uint64(33) { // one more than may be open
				client.send(request(id, "lookup", map[string]string{"team": "lanes", "ram": "0.1", "item": fmt.Sprintf("%016x", id)}, ""))
			}
			if a := client.want(); a.Error != "Overloaded" || a.Fields["later"] != c.want {
				t.Errorf("too much open: %+v, want a refusal with later=%q", a, c.want)
			}
			other := w.dial()
			other.send(request(99, "footage", map[string]string{"team": "lanes"}, ""))
			if a := other.want(); a.Error != "Overloaded" || (a.Fields["later"] == "") == c.allowed {
				t.Errorf("not in the contract: %+v, want advice: %v", a, c.allowed)
			}
		})
	}
}

// TestWhatCameWholeIsAnswered: a client sends a sound request, and on the same connection what can't be read, or half of something. The
// connection ended, and the sound request with it had no answer.
func TestWhatCameWholeIsAnswered(t *testing.T) {
	half := request(2, "charge", map[string]string{"unique": "k2"}, "body")
	for _, c := range []struct {
		name string
		then []byte
		want string // error of the sound request; empty: it is served
		log  string
	}{
		{"noise", []byte("\xc1\xc1"), "Internal", "event=client-frame"},
		{"a text of 4 GB", append(head(2), 0x81, 0xdb, 0xff, 0xff, 0xff, 0xff), "Internal", "event=client-frame"},
		{"the same number again", request(1, "lookup", nil, ""), "Internal", "event=client-id"},
		{"half a request", half[:len(half)-3], "", ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			held := make(chan *asked, 100)
			w := newWorld(t, func(a *asked) { held <- a })
			w.run()
			client := w.dial()
			client.send(request(1, "lookup", map[string]string{"limit": "9000"}, ""))
			a := next(t, held)
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
			w.until("the log says why", func() bool { return strings.Contains(w.log.String(), c.log) })
		})
	}
}

// TestLeftWhileNothingWasRead: the program stands still; meanwhile clients ask and leave, in each way in which they can. When it goes on
// it reads both at once, and nothing is sent on for any of them; who stayed is served.
func TestLeftWhileNothingWasRead(t *testing.T) {
	w := newWorld(t, nil)
	w.run()
	const each = 40
	var clients []*client
	for range len(leavings)*each + 1 {
		c := w.dial()
		c.send(request(9, "status", nil, "")) // so that it was let in
		c.want()
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
			leavings[i%len(leavings)].leave(c, id+1)
		}
	}
	time.Sleep(400 * time.Millisecond)
	w.signal(syscall.SIGCONT)
	if a := stayed.want(); a.Error != "" {
		t.Errorf("%+v, want it served", a)
	}
	// What is sent now comes later than all that was written before.
	w.until("the others' ends were read", func() bool {
		return len(w.lines(func(a *asked) bool { return a.ID == "0000000000000001" })) == 1
	})
	stayed.send(request(2, "lookup", nil, ""))
	stayed.want()
	if asks := w.lines(func(a *asked) bool { return a.Word == "ASK" && strings.HasPrefix(a.ID, "aa") }); len(asks) > 0 {
		t.Errorf("%d of %d requests whose clients had left were sent on", len(asks), len(leavings)*each*4)
	}
}

// leavings are the ways in which a client leaves a request.
var leavings = []struct {
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

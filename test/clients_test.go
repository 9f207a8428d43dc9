package test

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"math/rand"
	"os"
	"strings"
	"sync"
	"syscall"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/miekg/dns"

	"sloequay/internal/frontend/rpc/msgpack"
)

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

// TestMalformedClients: all that can't be used ends in an error or a close, though the client goes on sending and reading, and
// is never served; nothing of it reaches a box.
func TestMalformedClients(t *testing.T) {
	var w *testbed
	w = newTestbed(t, func(a *receivedRequest) {
		if a.Fields["thing"] == "7f3a9c21e0b4d655" {
			a.Answer("ACK", "-", "served")
		}
	})
	w.start()
	w.dial().send(request(77, "footage", map[string]string{"item": "00000000000000aa", "limit": "60000"}, "")) // stays open
	w.waitUntil("the open request is out", func() bool { return len(w.received(hasWord("ASK"))) == 1 })
	for name, frame := range map[string][]byte{
		"says nothing":                     {},
		"half a request":                   request(1, "footage", nil, "body")[:40],
		"a body of 60 MB":                  append(msgpack.AppendMap(requestHead(1), 0), 0xc6, 0x03, 0x93, 0x87, 0x00),
		"a map of 4 billion":               append(requestHead(1), 0xdf, 0xff, 0xff, 0xff, 0xff),
		"a text of 4 GB":                   append(msgpack.AppendMap(requestHead(1), 1), 0xdb, 0xff, 0xff, 0xff, 0xff),
		"thousands of values":              append(requestHead(1), bytes.Repeat([]byte{0x9f}, 400)...),
		"a negative id":                    {0x94, 0x00, 0xff},
		"no id":                            request(1, "footage", map[string]string{"txn": ""}, ""),
		"the id of an open request":        request(77, "footage", nil, ""),
		"a part that is no whole number":   request(1, "footage", map[string]string{"nth": "1.5"}, ""),
		"a part in another notation":       request(1, "footage", map[string]string{"nth": "0x1p2"}, ""),
		"a part out of range":              request(1, "footage", map[string]string{"nth": "99999999"}, ""),
		"a group out of range":             request(1, "footage", map[string]string{"batch": "256"}, ""),
		"a size that is no number":         request(1, "footage", map[string]string{"ram": "nan"}, ""),
		"a size beyond all":                request(1, "footage", map[string]string{"ram": "99999999999"}, ""),
		"a key that a box might not read":  request(1, "footage", map[string]string{"unique": "a;b"}, ""),
		"a key without end":                request(1, "footage", map[string]string{"unique": strings.Repeat("k", 200)}, ""),
		"a tag that a box might not read":  request(1, "footage", map[string]string{"got": "\xff"}, ""),
		"two requests under one number":    append(request(1, "footage", nil, ""), request(1, "footage", nil, "")...),
		"a request taken back at once":     append(request(1, "footage", nil, ""), "\x93\x02\xa8withdraw\x91\x01\xc1"...),
		"hundreds of requests at once":     requestFlood(300),
		"an answer instead of a request":   {0x94, 0x01, 0x09, 0xc0, 0xc0},
		"a limit that is none":             request(1, "footage", map[string]string{"limit": "-5"}, ""),
		"a class that does not exist":      request(1, "footage_x", nil, ""),
		"more than a frame, byte for byte": append(requestHead(1), bytes.Repeat([]byte{0xc4, 0xff}, 60<<10)...),
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := w.dial()
			go func() { _, _ = c.conn.Write(frame) }()
			for {
				a, err := c.read()
				if errors.Is(err, os.ErrDeadlineExceeded) {
					t.Error("neither an answer nor a close came")
				}
				if err == nil && a.Error == "" {
					t.Errorf("served: %+v", a)
				}
				if err != nil || !strings.HasPrefix(name, "hundreds") {
					break
				}
			}
		})
	}
	t.Cleanup(func() {
		// What comes with the same read as its end is not taken up at all; of the flood a part may come before.
		if asks := w.received(func(a *receivedRequest) bool { return a.Fields["thing"] == "7f3a9c21e0b4d655" }); len(asks) > 0 {
			t.Errorf("%d attempts of bad clients reached the boxes", len(asks))
		}
	})
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

// TestIdleClientsAreEvicted: clients by hundreds that say nothing, or ask once and stay, took all places; others were turned away. Now
// the silent ones and then the longest idle ones make way, and one that waits for an answer never does.
func TestIdleClientsAreEvicted(t *testing.T) {
	release := make(chan struct{})
	w := newTestbed(t, func(a *receivedRequest) {
		if a.Fields["nth"] == "1" {
			<-release
		}
		a.Answer("ACK", "-", a.ID)
	})
	w.config["limits"] = map[string]any{"cores": 1, "memory_mb": 32, "sockets": 64}
	w.start()
	patient := w.dial()
	patient.send(request(9999, "footage", map[string]string{"nth": "1", "limit": "60000"}, ""))
	w.waitUntil("it is out", func() bool { return len(w.received(hasWord("ASK"))) == 1 })
	for id := range uint64(200) {
		w.dial() // and says nothing
		c := w.dial()
		c.send(request(id+1, "footage", nil, ""))
		if a := c.mustRead(); a.Error != "" {
			t.Fatalf("client %d: %+v", id, a)
		}
	}
	close(release)
	if a := patient.mustRead(); a.Error != "" {
		t.Errorf("the one that waited: %+v", a)
	}
}

// TestCorruptedMessages spoils sound messages at random places on every socket. Whatever comes, the program goes on.
func TestCorruptedMessages(t *testing.T) {
	rnd := rand.New(rand.NewSource(1))
	var mu sync.Mutex
	spoil := func(b []byte) []byte {
		mu.Lock()
		defer mu.Unlock()
		b = append([]byte(nil), b...)
		for range 1 + rnd.Intn(4) {
			b[rnd.Intn(len(b))] = byte(rnd.Intn(256))
		}
		return b[:len(b)-rnd.Intn(len(b))/8]
	}
	sound := func(a *receivedRequest) { a.Answer("ACK", "tag=t1", "bytes") }
	w := newTestbed(t, func(a *receivedRequest) {
		line := fmt.Sprintf("%s ACK tag=t1,minted=1,remark=hit,lag=2 5\r\nbytes\r\n", a.ID)
		_, _ = a.Conn.Write(spoil([]byte(line)))
	})
	w.enableDNS("")
	w.start()
	<-w.listPolls
	udp := w.dialDNS("udp")
	for id := uint64(1); id <= 400; id++ {
		c := w.dial()
		_, _ = c.conn.Write(request(id, "footage", map[string]string{"limit": "200"}, "body"))
		_, _ = c.conn.Write(spoil(request(id+1, "charge", map[string]string{"unique": "k1"}, "body")))
		m, _ := new(dns.Msg).SetQuestion("k-1.n0.00000000000000aa.charge._."+zone, dns.TypeSRV).Pack()
		_, _ = udp.conn.Write(spoil(m))
		if id%20 == 0 {
			w.listFeed <- string(bytes.ReplaceAll(spoil([]byte(listEvent(2, false, listEntry("c9", "127.0.0.1:1", "edge", "std", "draining", 0)))),
				[]byte("\n"), nil))
		}
		if id%3 == 0 {
			_ = c.conn.Close()
		}
	}
	w.setResponder(sound)
	c, id := w.dial(), uint64(0)
	w.waitUntil("sound requests are served again", func() bool {
		id++
		c.send(request(id, "footage", nil, ""))
		return c.mustRead().Error == ""
	})
	select {
	case err := <-w.exited:
		w.cmd = nil
		t.Errorf("the program ended: %v", err)
	default:
	}
}

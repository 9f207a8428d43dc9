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

// TestMalformedFrames checks that a frame that cannot be parsed closes its connection, after an error response if the
// id of the request is known, and that the program goes on serving.
func TestMalformedFrames(t *testing.T) {
	bed := newTestbed(t, nil)
	bed.start()
	malformedResponse := []reply{{ID: 9, Error: "Malformed", Fields: map[string]string{}}}
	for _, c := range []struct {
		name, frame string
		want        []reply
	}{
		{"not an array", "\xc1", nil},
		{"an id of nine bytes", "\x94\x00\xcf\x01\x00\x00\x00\x00\x00\x00\x00\xa1m\x90", nil},
		{"an invalid msgpack code after the id", "\x94\x00\x09\xa1m\xc1", malformedResponse},
		{"arrays nested too deeply", "\x94\x00\x09\xa1m\x91\x91\x91\x91\x91\x91\x91\x91\x91\x91", malformedResponse},
		{"a response instead of a request", "\x94\x01\x09\xc0\xc0", nil},
	} {
		client := bed.dial()
		client.send([]byte(c.frame))
		var got []reply
		answer, err := client.read()
		for ; err == nil; answer, err = client.read() {
			got = append(got, answer)
		}
		if !errors.Is(err, io.EOF) {
			t.Errorf("%s: got error %v, want EOF", c.name, err)
		}
		if diff := cmp.Diff(c.want, got); diff != "" {
			t.Errorf("%s (-want +got):\n%s", c.name, diff)
		}
	}
	client := bed.dial()
	if answer := client.call(1, "footage", nil); answer.Error != "" {
		t.Errorf("after malformed frames: got response %+v, want the request served", answer)
	}
}

// malformedFrames returns invalid inputs that clients can send, keyed by their defects. The request with the id 77 is
// expected to be open.
func malformedFrames() map[string][]byte {
	with := func(field, value string) []byte { return request(1, "footage", map[string]string{field: value}, "") }
	head := func(rest ...byte) []byte { return append(requestPrefix(1), rest...) }
	plain := request(1, "footage", nil, "")
	hugeText := append(msgpack.AppendMapHeader(requestPrefix(1), 1), 0xdb, 0xff, 0xff, 0xff, 0xff)
	return map[string][]byte{
		"no data":                          {},
		"half a request":                   request(1, "footage", nil, "body")[:40],
		"a body of 60 MB":                  head(0x80, 0xc6, 0x03, 0x93, 0x87, 0x00),
		"a map of 4 billion entries":       head(0xdf, 0xff, 0xff, 0xff, 0xff),
		"a text of 4 GB":                   hugeText,
		"thousands of values":              head(bytes.Repeat([]byte{0x9f}, 400)...),
		"a negative id":                    {0x94, 0x00, 0xff},
		"no id":                            with("txn", ""),
		"the id of an open request":        request(77, "footage", nil, ""),
		"a part that is not an integer":    with("nth", "1.5"),
		"a part in hexadecimal notation":   with("nth", "0x1p2"),
		"a part out of range":              with("nth", "99999999"),
		"a group out of range":             with("batch", "256"),
		"a size that is not a number":      with("ram", "nan"),
		"a size out of range":              with("ram", "99999999999"),
		"a key with an invalid character":  with("unique", "a;b"),
		"a key that is too long":           with("unique", strings.Repeat("k", 200)),
		"a tag with an invalid byte":       with("got", "\xff"),
		"two requests with one id":         append(bytes.Clone(plain), plain...),
		"a request canceled at once":       append(append(bytes.Clone(plain), cancelNotification(1)...), 0xc1),
		"hundreds of requests at once":     requestBatch(300),
		"a response instead of a request":  {0x94, 0x01, 0x09, 0xc0, 0xc0},
		"a negative limit":                 with("limit", "-5"),
		"a class that does not exist":      request(1, "footage_x", nil, ""),
		"more bytes than a frame may have": head(bytes.Repeat([]byte{0xc4, 0xff}, 60<<10)...),
	}
}

// TestMalformedClients checks that all malformed input ends in an error response or a closed connection, even if the
// client goes on sending and reading, and that no malformed request is served or reaches an endpoint.
func TestMalformedClients(t *testing.T) {
	const object = "7f3a9c21e0b4d655" // object that requests ask for by default
	bed := newTestbed(t, func(attempt *receivedRequest) {
		if attempt.Fields["thing"] == object {
			attempt.Answer("ACK", "-", "served")
		}
	})
	bed.start()
	open := map[string]string{"item": "00000000000000aa", "limit": "60000"}
	bed.dial().send(request(77, "footage", open, ""))
	bed.waitAttempts(1)
	for name, frame := range malformedFrames() {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			client := bed.dial()
			go func() { _, _ = client.conn.Write(frame) }()
			for {
				answer, err := client.read()
				if errors.Is(err, os.ErrDeadlineExceeded) {
					t.Errorf("got neither a response nor a close within %v", waitLimit)
				}
				if err == nil && answer.Error == "" {
					t.Errorf("got response %+v, want an error", answer)
				}
				if err != nil || !strings.HasPrefix(name, "hundreds") {
					break
				}
			}
		})
	}
	t.Cleanup(func() {
		// A request that is read together with the end of its connection is not processed. Of the hundreds of requests
		// some may be processed before; they ask for another object.
		sent := bed.received(func(attempt *receivedRequest) bool { return attempt.Fields["thing"] == object })
		if len(sent) > 0 {
			t.Errorf("got %d attempts for malformed requests, want none", len(sent))
		}
	})
}

// TestCompleteRequestIsAnsweredBeforeProtocolError checks that a valid request gets a response although malformed or
// incomplete data follows it on the connection. It guards against closing the connection without that response.
func TestCompleteRequestIsAnsweredBeforeProtocolError(t *testing.T) {
	halfRequest := request(2, "charge", map[string]string{"unique": "k2"}, "body")
	halfRequest = halfRequest[:len(halfRequest)-3]
	hugeText := append(requestPrefix(2), 0x81, 0xdb, 0xff, 0xff, 0xff, 0xff)
	for _, c := range []struct {
		name string
		next []byte // data after the valid request
		want string // error of the response to the valid request; empty: it is served
		log  string // text that must be logged
	}{
		{"invalid bytes", []byte("\xc1\xc1"), "Internal", "event=client-protocol-error"},
		{"a text of 4 GB", hugeText, "Internal", "event=client-protocol-error"},
		{"the same id again", request(1, "lookup", nil, ""), "Internal", "event=client-duplicate-id"},
		{"half a request", halfRequest, "", ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			pending := make(chan *receivedRequest, 100)
			bed := newTestbed(t, func(attempt *receivedRequest) { pending <- attempt })
			bed.start()
			client := bed.dial()
			client.send(request(1, "lookup", map[string]string{"limit": "9000"}, ""))
			attempt := nextReceived(t, pending)
			client.send(c.next)
			if c.want == "" { // wait longer than an incomplete frame may take: until that of another client is closed
				other := bed.dial()
				other.send(halfRequest)
				if answer, err := other.read(); !errors.Is(err, io.EOF) {
					t.Errorf("incomplete frame alone: got response %+v, error %v, want EOF", answer, err)
				}
				answerDone(attempt)
			}
			var got *reply // response to the valid request
			answer, err := client.read()
			for ; err == nil; answer, err = client.read() {
				switch {
				case answer.ID == 1 && got == nil:
					first := answer
					got = &first
				case answer.ID == 1 || answer.Error != "Malformed":
					t.Errorf("got unexpected response %+v", answer)
				}
			}
			if !errors.Is(err, io.EOF) && !errors.Is(err, syscall.ECONNRESET) {
				t.Errorf("got error %v, want EOF or ECONNRESET", err)
			}
			if got == nil || got.Error != c.want || c.want == "" && got.Body != "done" {
				t.Errorf("valid request: got response %+v, want one with the error %q", got, c.want)
			}
			bed.waitLogged(c.log)
		})
	}
}

// TestIdleClientsAreEvicted guards against hundreds of idle connections taking all places, so that further clients are
// rejected. Connections that have sent nothing must be evicted first, then those that have been idle longest, and never
// one that waits for a response.
func TestIdleClientsAreEvicted(t *testing.T) {
	release := make(chan struct{})
	bed := newTestbed(t, func(attempt *receivedRequest) {
		if attempt.Fields["nth"] == "1" {
			<-release
		}
		attempt.Answer("ACK", "-", attempt.ID)
	})
	bed.config["limits"] = map[string]any{"cores": 1, "memory_mb": 32, "sockets": 64}
	bed.start()
	waiting := bed.dial()
	waiting.send(request(9999, "footage", map[string]string{"nth": "1", "limit": "60000"}, ""))
	bed.waitAttempts(1)
	for id := range uint64(200) {
		bed.dial() // sends nothing
		client := bed.dial()
		if answer := client.call(id+1, "footage", nil); answer.Error != "" {
			t.Fatalf("client %d: got response %+v, want the request served", id, answer)
		}
	}
	close(release)
	if answer := waiting.mustRead(); answer.Error != "" {
		t.Errorf("waiting client: got response %+v, want the request served", answer)
	}
}

// corruptor corrupts messages at random places. It is safe for concurrent use.
type corruptor struct {
	mu     sync.Mutex
	random *rand.Rand
}

// corrupt returns a copy of a message with one to four bytes changed and up to an eighth cut off.
func (c *corruptor) corrupt(message []byte) []byte {
	c.mu.Lock()
	defer c.mu.Unlock()
	message = bytes.Clone(message)
	for range 1 + c.random.Intn(4) {
		message[c.random.Intn(len(message))] = byte(c.random.Intn(256))
	}
	return message[:len(message)-c.random.Intn(len(message))/8]
}

// TestCorruptedMessages sends corrupted messages on every socket, and checks that the program keeps running and serves
// valid requests afterwards. The seed is fixed.
func TestCorruptedMessages(t *testing.T) {
	messages := &corruptor{random: rand.New(rand.NewSource(1))}
	bed := newTestbed(t, func(attempt *receivedRequest) {
		line := fmt.Sprintf("%s ACK tag=t1,minted=1,remark=hit,lag=2 5\r\nbytes\r\n", attempt.ID)
		_, _ = attempt.Conn.Write(messages.corrupt([]byte(line)))
	})
	bed.enableDNS("")
	bed.start()
	bed.waitListPoll()
	resolver := bed.dialDNS("udp")
	listLine := []byte(listEvent(2, false, listEntry("c9", "127.0.0.1:1", "edge", "std", "draining", 0)))
	for id := uint64(1); id <= 400; id++ {
		client := bed.dial()
		_, _ = client.conn.Write(request(id, "footage", map[string]string{"limit": "200"}, "body"))
		charge := request(id+1, "charge", map[string]string{"unique": "k1"}, "body")
		_, _ = client.conn.Write(messages.corrupt(charge))
		query, _ := new(dns.Msg).SetQuestion("k-1.n0.00000000000000aa.charge._."+zone, dns.TypeSRV).Pack()
		_, _ = resolver.conn.Write(messages.corrupt(query))
		if id%20 == 0 {
			bed.listFeed <- string(bytes.ReplaceAll(messages.corrupt(listLine), []byte("\n"), nil))
		}
		if id%3 == 0 {
			_ = client.conn.Close()
		}
	}
	bed.setResponder(func(attempt *receivedRequest) { attempt.Answer("ACK", "tag=t1", "bytes") })
	client, id := bed.dial(), uint64(0)
	bed.waitUntil("valid requests are served again", func() bool {
		id++
		return client.call(id, "footage", nil).Error == ""
	})
	bed.expectRunning()
}

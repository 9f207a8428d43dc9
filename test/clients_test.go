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
	bed := newTestbed(t, nil)
	bed.start()
	answered := []reply{{ID: 9, Error: "Malformed", Fields: map[string]string{}}}
	for _, c := range []struct {
		name, frame string
		answers     []reply
	}{
		{"not an array", "\xc1", nil},
		{"an id of nine bytes", "\x94\x00\xcf\x01\x00\x00\x00\x00\x00\x00\x00\xa1m\x90", nil},
		{"a never used code behind the id", "\x94\x00\x09\xa1m\xc1", answered},
		{"nested without end", "\x94\x00\x09\xa1m\x91\x91\x91\x91\x91\x91\x91\x91\x91\x91", answered},
		{"an answer instead of a request", "\x94\x01\x09\xc0\xc0", nil},
	} {
		client := bed.dial()
		client.send([]byte(c.frame))
		var got []reply
		answer, err := client.read()
		for ; err == nil; answer, err = client.read() {
			got = append(got, answer)
		}
		if !errors.Is(err, io.EOF) {
			t.Errorf("%s: %v, want the end of the connection", c.name, err)
		}
		if diff := cmp.Diff(c.answers, got); diff != "" {
			t.Errorf("%s (-want +got):\n%s", c.name, diff)
		}
	}
	client := bed.dial()
	if answer := client.call(1, "footage", nil); answer.Error != "" {
		t.Errorf("after all that: %+v, want it served", answer)
	}
}

// malformedFrames is what clients can send that can't be used, by what is wrong with it. Request 77 is open.
func malformedFrames() map[string][]byte {
	with := func(field, value string) []byte { return request(1, "footage", map[string]string{field: value}, "") }
	head := func(rest ...byte) []byte { return append(requestPrefix(1), rest...) }
	plain := request(1, "footage", nil, "")
	hugeText := append(msgpack.AppendMapHeader(requestPrefix(1), 1), 0xdb, 0xff, 0xff, 0xff, 0xff)
	return map[string][]byte{
		"says nothing":                          {},
		"half a request":                        request(1, "footage", nil, "body")[:40],
		"a body of 60 MB":                       head(0x80, 0xc6, 0x03, 0x93, 0x87, 0x00),
		"a map of 4 billion":                    head(0xdf, 0xff, 0xff, 0xff, 0xff),
		"a text of 4 GB":                        hugeText,
		"thousands of values":                   head(bytes.Repeat([]byte{0x9f}, 400)...),
		"a negative id":                         {0x94, 0x00, 0xff},
		"no id":                                 with("txn", ""),
		"the id of an open request":             request(77, "footage", nil, ""),
		"a part that is no whole number":        with("nth", "1.5"),
		"a part in another notation":            with("nth", "0x1p2"),
		"a part out of range":                   with("nth", "99999999"),
		"a group out of range":                  with("batch", "256"),
		"a size that is no number":              with("ram", "nan"),
		"a size beyond all":                     with("ram", "99999999999"),
		"a key that an endpoint might not read": with("unique", "a;b"),
		"a key without end":                     with("unique", strings.Repeat("k", 200)),
		"a tag that an endpoint might not read": with("got", "\xff"),
		"two requests under one number":         append(bytes.Clone(plain), plain...),
		"a request taken back at once":          append(append(bytes.Clone(plain), cancelNotification(1)...), 0xc1),
		"hundreds of requests at once":          requestBatch(300),
		"an answer instead of a request":        {0x94, 0x01, 0x09, 0xc0, 0xc0},
		"a limit that is none":                  with("limit", "-5"),
		"a class that does not exist":           request(1, "footage_x", nil, ""),
		"more than a frame, byte for byte":      head(bytes.Repeat([]byte{0xc4, 0xff}, 60<<10)...),
	}
}

// TestMalformedClients: all that can't be used ends in an error or a close, though the client goes on sending and
// reading, and is never served; nothing of it reaches an endpoint.
func TestMalformedClients(t *testing.T) {
	const object = "7f3a9c21e0b4d655" // that requests ask for, unless they name another
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
					t.Errorf("neither an answer nor a close came within %v", waitLimit)
				}
				if err == nil && answer.Error == "" {
					t.Errorf("%+v, want an error", answer)
				}
				if err != nil || !strings.HasPrefix(name, "hundreds") {
					break
				}
			}
		})
	}
	t.Cleanup(func() {
		// What comes with the same read as its end is not taken up at all; of the flood a part may come before.
		sent := bed.received(func(attempt *receivedRequest) bool { return attempt.Fields["thing"] == object })
		if len(sent) > 0 {
			t.Errorf("%d attempts of malformed clients reached endpoints, want none", len(sent))
		}
	})
}

// TestCompleteRequestIsAnsweredBeforeProtocolError: a client sends a sound request, and on the same connection what
// can't be read, or half of something. The connection ended, and the sound request with it had no answer.
func TestCompleteRequestIsAnsweredBeforeProtocolError(t *testing.T) {
	half := request(2, "charge", map[string]string{"unique": "k2"}, "body")
	half = half[:len(half)-3]
	hugeText := append(requestPrefix(2), 0x81, 0xdb, 0xff, 0xff, 0xff, 0xff)
	for _, c := range []struct {
		name string
		then []byte
		want string // error of the sound request; empty: it is served
		log  string
	}{
		{"noise", []byte("\xc1\xc1"), "Internal", "event=client-protocol-error"},
		{"a text of 4 GB", hugeText, "Internal", "event=client-protocol-error"},
		{"the same number again", request(1, "lookup", nil, ""), "Internal", "event=client-duplicate-id"},
		{"half a request", half, "", ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			pending := make(chan *receivedRequest, 100)
			bed := newTestbed(t, func(attempt *receivedRequest) { pending <- attempt })
			bed.start()
			client := bed.dial()
			client.send(request(1, "lookup", map[string]string{"limit": "9000"}, ""))
			attempt := nextReceived(t, pending)
			client.send(c.then)
			if c.want == "" { // longer than a half may wait by itself: another client's is closed meanwhile
				other := bed.dial()
				other.send(half)
				if answer, err := other.read(); !errors.Is(err, io.EOF) {
					t.Errorf("%+v, %v: want the half alone to be closed", answer, err)
				}
				answerDone(attempt)
			}
			var got *reply // to the sound request
			answer, err := client.read()
			for ; err == nil; answer, err = client.read() {
				switch {
				case answer.ID == 1 && got == nil:
					first := answer
					got = &first
				case answer.ID == 1 || answer.Error != "Malformed":
					t.Errorf("%+v came besides", answer)
				}
			}
			if !errors.Is(err, io.EOF) && !errors.Is(err, syscall.ECONNRESET) {
				t.Errorf("%v, want the end of the connection", err)
			}
			if got == nil || got.Error != c.want || c.want == "" && got.Body != "done" {
				t.Errorf("the sound request: %+v, want it answered, with the error %q", got, c.want)
			}
			bed.waitLogged(c.log)
		})
	}
}

// TestIdleClientsAreEvicted: clients by hundreds that say nothing, or ask once and stay, took all places; others were
// rejected. Now the silent ones and then the longest idle ones make way, and one that waits for an answer never does.
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
	patient := bed.dial()
	patient.send(request(9999, "footage", map[string]string{"nth": "1", "limit": "60000"}, ""))
	bed.waitAttempts(1)
	for id := range uint64(200) {
		bed.dial() // and says nothing
		client := bed.dial()
		if answer := client.call(id+1, "footage", nil); answer.Error != "" {
			t.Fatalf("client %d: %+v, want it served", id, answer)
		}
	}
	close(release)
	if answer := patient.mustRead(); answer.Error != "" {
		t.Errorf("the one that waited: %+v, want it served", answer)
	}
}

// corruptor spoils messages at random places; its seed is fixed. It may be used by several goroutines.
type corruptor struct {
	mu     sync.Mutex
	random *rand.Rand
}

// corrupt gives a copy of a message with one to four bytes changed, and up to an eighth cut off.
func (c *corruptor) corrupt(message []byte) []byte {
	c.mu.Lock()
	defer c.mu.Unlock()
	message = bytes.Clone(message)
	for range 1 + c.random.Intn(4) {
		message[c.random.Intn(len(message))] = byte(c.random.Intn(256))
	}
	return message[:len(message)-c.random.Intn(len(message))/8]
}

// TestCorruptedMessages spoils sound messages at random places on every socket. Whatever comes, the program goes on.
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
	bed.waitUntil("sound requests are served again", func() bool {
		id++
		return client.call(id, "footage", nil).Error == ""
	})
	bed.expectRunning()
}

package test

import (
	"bufio"
	"bytes"
	"errors"
	"net"
	"os"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"sloequay/internal/frontend/rpc/msgpack"
)

// acceptListPoll is the next connection to a stand-in bulletin with what the program asked for there.
func (w *testbed) acceptListPoll(ln net.Listener) (net.Conn, string) {
	w.t.Helper()
	conn, err := ln.Accept()
	if err != nil {
		w.t.Fatal(err)
	}
	w.t.Cleanup(func() { _ = conn.Close() })
	line, err := bufio.NewReader(conn).ReadString('\n')
	if err != nil {
		w.t.Fatal(err)
	}
	return conn, strings.TrimSpace(line)
}

// TestReload: SIGHUP ended the program. It reads the configuration again: a bad one changes nothing, a good one has the
// bulletin followed to its new address from the last event, and a connection to the old one says nothing any more.
func TestReload(t *testing.T) {
	w := newTestbed(t, nil, "c2")
	old, next := w.listenOn("127.0.0.1:0"), w.listenOn("127.0.0.1:0")
	w.config["bulletin"] = old.Addr().String()
	w.start()
	first, _ := w.acceptListPoll(old)
	_, _ = first.Write([]byte(`{"no":2,"recall":{"item":"00000000000000aa","issued":1}}` + "\n"))
	if err := os.WriteFile(w.configPath, []byte(`{"listen":`), 0o600); err != nil {
		t.Fatal(err)
	}
	w.signal(syscall.SIGHUP)
	w.waitUntil("the bad file is logged", func() bool { return strings.Contains(w.log.String(), "reload-failed") })
	w.config["bulletin"] = next.Addr().String()
	w.writeConfig()
	w.signal(syscall.SIGHUP)
	second, after := w.acceptListPoll(next)
	if after != "after 2" {
		t.Errorf("the program asked the new bulletin for %q, want all after event 2", after)
	}
	c2 := listEntry("c2", w.listeners["c2"].Addr().String(), "edge", "std", "up", 0)
	_, _ = first.Write([]byte(listEvent(3, true) + "\n")) // all boxes gone, says the old one
	_, _ = second.Write([]byte(listEvent(3, true, c2, w.listed[1], w.listed[2]) + "\n"))
	client := w.dial()
	id := uint64(0)
	w.waitUntil("c2 serves, which the new bulletin has named", func() bool {
		id++
		client.send(request(id, "footage", nil, ""))
		a := client.mustRead()
		asks := w.received(hasWord("ASK"))
		return a.Error == "" && asks[len(asks)-1].Endpoint == "c2"
	})
}

// TestStalledListWatchResumes: a bulletin that stops and stays open is asked again from the last whole event.
func TestStalledListWatchResumes(t *testing.T) {
	w := newTestbed(t, nil)
	ln := w.listenOn("127.0.0.1:0")
	w.config["bulletin"] = ln.Addr().String()
	w.start()
	first, _ := w.acceptListPoll(ln)
	event := `{"no":2,"recall":{"item":"00000000000000aa","issued":1}}` + "\n"
	_, _ = first.Write([]byte(event + event + `{"no":3,"rec`)) // one event twice, and half of another
	if _, after := w.acceptListPoll(ln); after != "after 2" {
		t.Errorf("the program asked for %q, want all after event 2", after)
	}
}

// requestHead is a request up to the place of its fields.
func requestHead(id uint64) []byte {
	b := msgpack.AppendUint(msgpack.AppendUint(msgpack.AppendArray(nil, 4), 0), id)
	return msgpack.AppendArray(msgpack.AppendText(b, "footage"), 2)
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

func requestFlood(n int) (b []byte) {
	for id := range uint64(n) {
		b = append(b, request(id+1, "footage", map[string]string{"item": "00000000000000bb"}, "")...)
	}
	return b
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

// TestUnresponsiveConnection: a connection that was cut off stays open and says nothing; what waited on it did so until its
// deadline, and a QUIT on it does not arrive. It is found by a NOOP and closed, and its requests go out on another.
func TestUnresponsiveConnection(t *testing.T) {
	var w *testbed
	cut := func(a *receivedRequest) bool { return a.Conn == w.received(hasWord("ASK"))[0].Conn }
	w = newTestbed(t, func(a *receivedRequest) {
		if !cut(a) {
			a.Answer("ACK", "-", "again")
		}
	}, "c2")
	w.endpoints.StopReading(cut)
	w.start()
	client := w.dial()
	for id := range uint64(3) {
		client.send(request(id, "footage", map[string]string{"limit": "60000"}, ""))
	}
	for range 3 {
		if a := client.mustRead(); a.Body != "again" {
			t.Errorf("%+v, want it from another connection", a)
		}
	}
	if !strings.Contains(w.log.String(), "upstream-unresponsive") {
		t.Error("the silent connection is not in the log")
	}
}

// TestLostResponse: one answer never comes, on a connection that lives. Its attempt is called off once later ones for more
// have come, and the next one is sent only when the box has read the QUIT: it answers the NOOP behind it.
func TestLostResponse(t *testing.T) {
	var w *testbed
	read := make(chan bool)
	w = newTestbed(t, func(a *receivedRequest) {
		if first := w.received(hasWord("ASK"))[0]; a != first {
			a.Answer("ACK", "-", a.Fields["nth"])
		}
	}, "c2")
	w.endpoints.StopReading(func(a *receivedRequest) bool {
		if quits := w.received(hasWord("QUIT")); len(quits) > 0 && a.Conn == quits[0].Conn {
			time.Sleep(50 * time.Millisecond)
			if asks := w.received(func(a *receivedRequest) bool { return a.Word == "ASK" && a.ID == quits[0].ID }); len(asks) > 1 {
				t.Error("the next attempt went out before the QUIT was read for certain")
			}
			close(read)
		}
		return false
	})
	w.start()
	client := w.dial()
	patient := func(nth, ram string) map[string]string {
		return map[string]string{"nth": nth, "ram": ram, "limit": "60000"}
	}
	client.send(request(1, "footage", patient("1", "40"), ""))
	w.waitUntil("it is out", func() bool { return len(w.received(hasWord("ASK"))) == 1 })
	for id := uint64(2); id <= 4; id++ {
		client.send(request(id, "footage", patient(strconv.FormatUint(id, 10), "80"), ""))
		client.mustRead()
	}
	<-read
	if a := client.mustRead(); a.ID != 1 || a.Body != "1" {
		t.Errorf("%+v, want the answer of the second attempt", a)
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

// TestResetNewConnectionsDoNotEject: two connections that were reset as they came up had the box ejected for seconds, as each request that
// waited for them was held against it.
func TestResetNewConnectionsDoNotEject(t *testing.T) {
	w := newTestbed(t, nil, "c2")
	ln := w.listenOn("127.0.0.1:0")
	w.listed[0]["dial"] = ln.Addr().String()
	next := make(chan net.Conn)
	go func() {
		for n := 0; ; n++ {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			if n < 2 {
				_ = conn.(*net.TCPConn).SetLinger(0)
				_ = conn.Close()
				continue
			}
			next <- conn
		}
	}()
	go w.endpoints.Serve("c1", channelListener{ln, next})
	w.start()
	client := w.dial()
	for id := range uint64(4) {
		client.send(request(id, "footage", nil, ""))
	}
	for range 4 {
		if a := client.mustRead(); a.Error != "" {
			t.Errorf("%+v, want it served", a)
		}
	}
	if strings.Contains(w.log.String(), "ejected") {
		t.Error("the box was ejected")
	}
}

// channelListener is a listener whose connections come from a channel.
type channelListener struct {
	net.Listener
	conns chan net.Conn
}

func (h channelListener) Accept() (net.Conn, error) { return <-h.conns, nil }

// TestLivenessChecks: when a connection on which an answer waits is asked by NOOP whether it lives. Every
// check is priced and answered from the box's budget of probes, which all doormans of a fleet share. Checks after each
// 100 ms of quiet, due or not, came with a fifth of all attempts on a fleet day, and a slow box drew dozens for one
// answer; all were answered READY. Its size makes the answer due in about 0.47 s.
func TestLivenessChecks(t *testing.T) {
	for _, c := range []struct {
		name        string
		takes       time.Duration
		least, most int
	}{
		{"an answer that is not late is waited for without a check", 300 * time.Millisecond, 0, 0},
		{"a late answer of a box that answers the check is slow: one check, two at most", 1200 * time.Millisecond, 1, 2},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			w := newTestbed(t, func(a *receivedRequest) {
				time.Sleep(c.takes)
				a.Answer("ACK", "-", "sound")
			}, "c2")
			w.start()
			client := w.dial()
			client.send(request(1, "footage", map[string]string{"ram": "2000", "limit": "60000"}, ""))
			if a := client.mustRead(); a.Body != "sound" {
				t.Fatalf("%+v, want it served", a)
			}
			if n := len(w.received(hasWord("NOOP"))); n < c.least || n > c.most {
				t.Errorf("%d NOOPs, want %d to %d", n, c.least, c.most)
			}
		})
	}
}

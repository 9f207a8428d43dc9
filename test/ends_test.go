package test

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand"
	"net"
	"os"
	"os/exec"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/miekg/dns"
)

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

func listEvent(no int, whole bool, hosts ...map[string]any) string {
	text, _ := json.Marshal(map[string]any{"no": no, "roster": map[string]any{"seq": no, "whole": whole, "hosts": hosts}})
	return string(text)
}

// TestListWatchResumes: lines that can't be read, gaps and lost connections end in the stream being resumed behind the last
// event, and nothing of it is lost.
func TestListWatchResumes(t *testing.T) {
	w := newTestbed(t, nil, "c2")
	w.start()
	after := func(want string) {
		t.Helper()
		select {
		case got := <-w.listPolls:
			if got != want {
				t.Fatalf("the program asked for %q, want %q", got, want)
			}
		case <-time.After(waitLimit):
			t.Fatalf("the program did not ask for %q", want)
		}
	}
	after("after 1")
	w.listFeed <- `{"no":2,"recall":{"item":"00000000000000aa","issued":1}}`
	w.listFeed <- "2"
	w.listFeed <- "!" // the connection ends
	w.listFeed <- "!" // may meet the old connection
	after("after 2")
	select {
	case <-w.listPolls:
	case <-time.After(time.Second):
	}
	w.listFeed <- `{"no":4,"recall":{"lot":3,"issued":1}}` // 3 is missing
	w.listFeed <- "!"
	after("after 2")
	w.listFeed <- `{"no":3,"roster":{"hosts":[{"host":"c9","health":"dancing"}]}}`
	w.listFeed <- "!"
	after("after 2")                                                               // asked for again
	w.listFeed <- `{"no":3,"roster":{"hosts":[{"host":"c9","health":"dancing"}]}}` // it has it so
	w.listFeed <- listEvent(4, false, listEntry("c1", w.listeners["c1"].Addr().String(), "edge", "std", "removed", 0),
		listEntry("c2", w.listeners["c2"].Addr().String(), "edge", "std", "up", 0))
	client := w.dial()
	id := uint64(0)
	w.waitUntil("c2 serves, and c1 no more", func() bool {
		id++
		client.send(request(id, "footage", map[string]string{"item": fmt.Sprintf("%016x", id)}, ""))
		client.mustRead()
		asks := w.received(hasWord("ASK"))
		return asks[len(asks)-1].Endpoint == "c2"
	})
}

// TestEndpointReplacedAtSameAddress: a new box at the address of one that has gone has connections of its own, and what was out to the
// old one is tried again.
func TestEndpointReplacedAtSameAddress(t *testing.T) {
	w := newTestbed(t, func(a *receivedRequest) {
		if a.Endpoint == "c1" && a.Fields["nth"] == "0" {
			return // silent
		}
		a.Answer("ACK", "-", a.Fields["nth"])
	}, "c2")
	w.start()
	client := w.dial()
	client.send(request(1, "footage", nil, ""))
	w.waitUntil("the attempt is out", func() bool { return len(w.received(hasWord("ASK"))) == 1 })
	old := w.received(hasWord("ASK"))[0].Conn
	address := w.listeners["c1"].Addr().String()
	w.listFeed <- listEvent(2, false, listEntry("c1", address, "edge", "std", "removed", 0),
		listEntry("c7", address, "edge", "std", "up", time.Now().UnixMilli()))
	w.waitUntil("the attempt to the old box is tried again", func() bool { return len(w.received(hasWord("ASK"))) > 1 })
	client.send(request(2, "footage", map[string]string{"nth": "1"}, ""))
	for {
		if a := client.mustRead(); a.ID == 2 {
			if a.Body != "1" {
				t.Errorf("%+v, want it served by the new box", a)
			}
			break
		}
	}
	for _, a := range w.received(hasWord("ASK"))[1:] {
		if a.Conn == old {
			t.Errorf("%+v went out on the old box's connection", a)
		}
	}
}

// TestInvalidationBoundsAge: after a purge no copy from before it will do, for the object and for its group.
func TestInvalidationBoundsAge(t *testing.T) {
	w := newTestbed(t, nil)
	w.start()
	<-w.listPolls
	client := w.dial()
	issued := time.Now().Add(-100 * time.Millisecond).UnixMilli()
	w.listFeed <- fmt.Sprintf(`{"no":2,"recall":{"item":"7f3a9c21e0b4d655","issued":%d}}`, issued)
	w.listFeed <- fmt.Sprintf(`{"no":3,"recall":{"lot":9,"issued":%d}}`, issued)
	id := uint64(0)
	for _, fields := range []map[string]string{{}, {"item": "00000000000000bb", "batch": "9"}} {
		w.waitUntil("requests ask for younger copies", func() bool {
			id++
			client.send(request(id, "footage", fields, ""))
			client.mustRead()
			asks := w.received(hasWord("ASK"))
			last := asks[len(asks)-1]
			var fresh int64
			_, _ = fmt.Sscan(last.Fields["fresh"], &fresh)
			if oldest := last.At.UnixMilli() - fresh; fresh > 0 && oldest < issued {
				t.Fatalf("a copy of %d ms before the purge would do", issued-oldest)
			}
			return fresh > 0
		})
	}
}

// TestQuotaRejections: what a team has not agreed to is refused with a wait, and attempts are charged to its budget.
func TestQuotaRejections(t *testing.T) {
	for _, c := range []struct {
		name, contract, class string
		wants                 []string // errors of requests in turn
	}{
		{"a class it may not use", "class lookup", "footage", []string{"Overloaded"}},
		{"its rate", "requests 0.01/s\nburst 200s", "footage", []string{"", "", "Overloaded"}},
		{"its budget of attempts", "attempts 0.01/s", "footage", []string{"", "Overloaded"}},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			w := newTestbed(t, nil)
			w.addSettings("contracts {\nteam lanes {\n" + c.contract + "\n}\n}")
			w.start()
			client := w.dial()
			for i, want := range c.wants {
				client.send(request(uint64(i+1), c.class, map[string]string{"team": "lanes"}, ""))
				if a := client.mustRead(); a.Error != want || want != "" && a.Fields["later"] == "" {
					t.Errorf("request %d: %+v, want the error %q with a wait", i+1, a, want)
				}
			}
		})
	}
}

// TestCheckCommand: bad configuration exits with the key named.
func TestCheckCommand(t *testing.T) {
	for _, c := range []struct {
		name  string
		spoil func(w *testbed)
		want  string // empty: sound
	}{
		{"sound", func(*testbed) {}, ""},
		{"listen", func(w *testbed) { w.config["listen"] = "here" }, "listen"},
		{"descriptors", func(w *testbed) { w.config["limits"] = map[string]any{"sockets": 3} }, "limits.sockets"},
		{"memory", func(w *testbed) { w.config["limits"] = map[string]any{"memory_mb": "much"} }, "limits.memory_mb"},
		{"no settings", func(w *testbed) { delete(w.config, "settings") }, "settings"},
		{"no class", func(w *testbed) { w.config["settings"] = map[string]any{} }, "Classes"},
		{"an unknown word", func(w *testbed) {
			w.config["settings"].(map[string]any)["family-info"] = map[string]any{"detail": "some"}
		},
			"family-info.detail"},
		{"a list entry", func(w *testbed) { w.listed[0]["site"] = "nowhere" }, "site"},
		{"contracts", func(w *testbed) { w.addSettings("contracts {\n team a {\n  opne 3\n }\n}") }, ":3: contracts.team.opne: unknown directive; there is open"},
		{"the DNS zone", func(w *testbed) { w.addSettings("dns {\n listen 127.0.0.1:53\n}") }, ":1: dns: listen and zone are needed"},
		{"the catalogue", func(w *testbed) { w.addSettings("catalogue {\n agent 127.0.0.1:1\n wait fast\n}") },
			`:3: catalogue.wait: expected a duration of 1s to 10m, got "fast"`},
		{"all faults", func(w *testbed) { w.addSettings("opne 3\nlist {\n loss-share 2\n}") }, ":3: list.loss-share: expected a number of 0 to 1, got \"2\""},
		{"an old flag", func(w *testbed) { w.flags = []string{"--catalog", "x.json"} }, `the block "catalogue" of the file that --conf names`},
	} {
		t.Run(c.name, func(t *testing.T) {
			w := newTestbed(t, nil)
			c.spoil(w)
			text, _ := json.Marshal(w.config)
			out, err := exec.Command(program, append([]string{"check", "--config", w.writeFile(string(text))}, w.flags...)...).CombinedOutput()
			if (err != nil) != (c.want != "") || !strings.Contains(string(out), c.want) {
				t.Errorf("%v: %s, want %q named", err, out, c.want)
			}
		})
	}
}

// TestUnknownTeamOverDNS: a query goes through the contracts like any other request.
func TestUnknownTeamOverDNS(t *testing.T) {
	w := newTestbed(t, nil)
	w.enableDNS("")
	w.addSettings("contracts {\nteam lanes {\n}\n}")
	w.start()
	s := w.dialDNS("udp")
	for id, c := range []struct{ team, want string }{{"lanes", "NOERROR"}, {"others", "REFUSED"}} {
		s.query(uint16(id), "n0.00000000000000aa.lookup."+c.team, dns.TypeA)
		if a := s.mustRead(); a.Rcode != c.want {
			t.Errorf("team %s: %+v, want %s", c.team, a, c.want)
		}
	}
}

// listenWithFullBacklog gives an address where nothing is accepted and the queue is full, so that dials wait.
func (w *testbed) listenWithFullBacklog() (address string) {
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		w.t.Fatal(err)
	}
	at := &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}
	if err := errors.Join(syscall.Bind(fd, at), syscall.Listen(fd, 0)); err != nil {
		w.t.Fatal(err)
	}
	file := os.NewFile(uintptr(fd), "full")
	w.fullListener, err = net.FileListener(file)
	_ = file.Close()
	if err != nil {
		w.t.Fatal(err)
	}
	w.t.Cleanup(func() { _ = w.fullListener.Close() })
	filler, err := net.Dial("tcp", w.fullListener.Addr().String()) // the queue has one place
	if err != nil {
		w.t.Fatal(err)
	}
	w.t.Cleanup(func() { _ = filler.Close() })
	return w.fullListener.Addr().String()
}

// TestEndpointDrainsDuringDial: an attempt waits for the connection to a box that begins to drain. It goes elsewhere, and
// nothing is written when the connection comes up.
func TestEndpointDrainsDuringDial(t *testing.T) {
	w := newTestbed(t, nil, "c2")
	address := w.listenWithFullBacklog()
	w.listed[0]["dial"] = address
	w.config["settings"].(map[string]any)["limits"].(map[string]any)["dial-timeout-ms"] = 60000
	w.start()
	<-w.listPolls
	client := w.dial()
	client.send(request(1, "footage", map[string]string{"limit": "60000"}, ""))
	client.send(request(2, "status", nil, ""))
	if a := client.mustRead(); !a.Ready {
		t.Fatalf("%+v came first, want the status while the request waits", a)
	}
	w.listFeed <- listEvent(2, false, listEntry("c1", address, "edge", "std", "draining", 0))
	if a := client.mustRead(); a.ID != 1 || a.Error != "" {
		t.Errorf("%+v, want the request served elsewhere", a)
	}
	go w.endpoints.Serve("c1", w.fullListener) // what comes up now must stay empty
	waiting, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer waiting.Close()
	if asks := w.received(func(a *receivedRequest) bool { return a.Endpoint == "c1" }); len(asks) > 0 {
		t.Errorf("the draining box was sent %+v", asks[0])
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

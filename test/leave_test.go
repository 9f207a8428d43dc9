package test

import (
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"sloequay/internal/emulator"
)

// setDeadlines sets the deadline of all classes.
func (w *testbed) setDeadlines(ms int) {
	for _, c := range w.config["settings"].(map[string]any)["classes"].([]any) {
		c.(map[string]any)["deadline-ms"] = ms
	}
}

// waitExit waits until the program has ended by itself, with exit status 0.
func (w *testbed) waitExit() {
	w.t.Helper()
	select {
	case err := <-w.exited:
		if w.cmd = nil; err != nil {
			w.t.Errorf("the program ended with %v", err)
		}
	case <-time.After(waitLimit):
		w.t.Errorf("the program does not end")
	}
}

// terminate sends SIGTERM and says when.
func (w *testbed) terminate() time.Time {
	w.t.Helper()
	at := time.Now()
	w.signal(syscall.SIGTERM)
	w.waitUntil("it is leaving", func() bool { return strings.Contains(w.log.String(), "event=draining") })
	return at
}

// dialSmallBuffer is a client whose connection holds little that it has not read.
func (w *testbed) dialSmallBuffer() *client {
	w.t.Helper()
	d := net.Dialer{Control: func(_, _ string, c syscall.RawConn) error {
		var err error
		return errors.Join(c.Control(func(fd uintptr) {
			err = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, 4096)
		}), err)
	}}
	conn, err := d.Dial("tcp", w.address)
	if err != nil {
		w.t.Fatal(err)
	}
	w.t.Cleanup(func() { _ = conn.Close() })
	return &client{t: w.t, conn: conn, protocol: emulator.NewClient(conn)}
}

// nextReceived is the next attempt that a box has read.
func nextReceived(t *testing.T, held chan *receivedRequest) *receivedRequest {
	t.Helper()
	select {
	case a := <-held:
		return a
	case <-time.After(waitLimit):
		t.Fatal("no attempt reaches a box")
		return nil
	}
}

// waitListPoll waits until the program has asked the bulletin.
func (w *testbed) waitListPoll() string {
	w.t.Helper()
	select {
	case after := <-w.listPolls:
		return after
	case <-time.After(waitLimit):
		w.t.Fatal("the bulletin is not asked")
		return ""
	}
}

// TestGracefulShutdown has SIGTERM cross what can be under way. Each case sends its requests, and says what each client must read; then the
// program must end by itself with status 0, though no client closes its connection.
func TestGracefulShutdown(t *testing.T) {
	large := strings.Repeat("x", 240000)
	for _, c := range []struct {
		name     string
		deadline int // of the classes, in milliseconds; 0: as they are
		play     func(t *testing.T, w *testbed, held chan *receivedRequest)
	}{
		// The last answer was given in the round that ended the program: what the socket did not take of it was lost.
		{"the last answer is more than the socket takes", 0, func(t *testing.T, w *testbed, held chan *receivedRequest) {
			slow := w.dialSmallBuffer()
			at := w.terminate()
			time.Sleep(time.Until(at.Add(600 * time.Millisecond)))
			const many = 12 // beyond what the sockets between them hold
			for id := range uint64(many) {
				slow.send(request(id, "footage", map[string]string{"nth": fmt.Sprint(id)}, ""))
			}
			answers := map[net.Conn]string{}
			for range many {
				a := nextReceived(t, held)
				answers[a.Conn] += fmt.Sprintf("%s ACK tag=t1 %d\r\n%s\r\n", a.ID, len(large), large)
			}
			time.Sleep(time.Until(at.Add(950 * time.Millisecond))) // from here on it ends as soon as nothing is open
			for conn, text := range answers {
				if _, err := io.WriteString(conn, text); err != nil {
					t.Fatal(err)
				}
			}
			for range many {
				if got := slow.mustRead(); got.Body != large {
					t.Errorf("%d bytes came, want %d", len(got.Body), len(large))
				}
			}
		}},
		{"a request half read", 0, func(t *testing.T, w *testbed, held chan *receivedRequest) {
			client := w.dial()
			client.send(request(9, "status", nil, "")) // so that it is idle, but for what it has begun
			client.mustRead()
			frame := request(1, "charge", map[string]string{"unique": "k1"}, "body")
			client.send(frame[:len(frame)-2])
			w.dial() // idle
			at := w.terminate()
			time.Sleep(time.Until(at.Add(time.Second)))
			client.send(frame[len(frame)-2:])
			nextReceived(t, held).Answer("ACK", "tag=t1", "done")
			if got := client.mustRead(); got.Body != "done" {
				t.Errorf("%+v, want it served", got)
			}
		}},
		{"a keyed request is out, and both signals come again", 0, func(t *testing.T, w *testbed, held chan *receivedRequest) {
			client := w.dial()
			client.send(request(1, "charge", map[string]string{"unique": "k1"}, ""))
			a := nextReceived(t, held)
			w.terminate()
			w.signal(syscall.SIGHUP)
			w.signal(syscall.SIGTERM)
			w.waitUntil("the files are read", func() bool { return strings.Contains(w.log.String(), "event=reloaded") })
			if err := os.WriteFile(w.configPath, []byte(`{"listen":`), 0o600); err != nil { // just being replaced
				t.Fatal(err)
			}
			w.signal(syscall.SIGHUP)
			w.waitUntil("the fault is told", func() bool { return strings.Contains(w.log.String(), "event=reload-failed") })
			a.Answer("ACK", "tag=t1", "done")
			if got := client.mustRead(); got.Body != "done" {
				t.Errorf("%+v, want it served", got)
			}
		}},
		{"a box never answers", 1500, func(t *testing.T, w *testbed, held chan *receivedRequest) {
			client := w.dial()
			client.send(request(1, "lookup", map[string]string{"limit": "1500"}, ""))
			nextReceived(t, held)
			w.terminate()
			if got := client.mustRead(); got.Error == "" {
				t.Errorf("%+v, want an error", got)
			}
		}},
		// The client waits for ever; the program can't.
		{"a box never answers, and the client waits long", 1000, func(t *testing.T, w *testbed, held chan *receivedRequest) {
			client := w.dial()
			client.send(request(1, "charge", map[string]string{"limit": "600000", "unique": "k1"}, ""))
			nextReceived(t, held)
			at := w.terminate()
			if got, past := client.mustRead(), time.Since(at); got.Error != "Internal" || past < 1600*time.Millisecond {
				t.Errorf("%+v after %v, want an error no sooner than the deadline allows", got, past)
			}
		}},
		// SIGKILL may come 3.7 s after SIGTERM. Who asks later than 0.7 s after SIGTERM is owed an answer by then.
		{"a late request that no box answers", 0, func(t *testing.T, w *testbed, held chan *receivedRequest) {
			client := w.dial()
			at := w.terminate()
			time.Sleep(time.Until(at.Add(750 * time.Millisecond)))
			client.send(request(1, "footage", map[string]string{"limit": "6000"}, ""))
			nextReceived(t, held)
			if got, past := client.mustRead(), time.Since(at); got.Error == "" || past > 3700*time.Millisecond {
				t.Errorf("%+v after %v, want an error within 3.7 s", got, past)
			}
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			held := make(chan *receivedRequest, 100)
			w := newTestbed(t, func(a *receivedRequest) { held <- a })
			if c.deadline > 0 {
				w.setDeadlines(c.deadline)
			}
			w.start()
			c.play(t, w, held)
			w.waitExit()
		})
	}
}

// TestRequestsCrossShutdown has clients ask one request after another on a connection until it is closed under them. One that crosses
// the close is sent again on a new connection, once, as the protocol says, and each must be answered.
func TestRequestsCrossShutdown(t *testing.T) {
	w := newTestbed(t, nil)
	w.setDeadlines(1000)
	w.start()
	var wg sync.WaitGroup
	stop := make(chan struct{})
	served, crossed := make([]int, 8), make([]int, 8)
	for i := range served {
		wg.Add(1)
		go func() {
			defer wg.Done()
			c := w.dial()
			for id, again := uint64(1), false; ; {
				_ = c.protocol.Send(request(id, "lookup", map[string]string{"txn": fmt.Sprintf("%08x%08x", i, id)}, ""))
				a, err := c.read()
				switch {
				case err == nil && a.Error == "":
					served[i]++
					id, again = id+1, false
				case err == nil:
					t.Errorf("client %d: %+v", i, a)
					return
				case again || !errors.Is(err, io.EOF) && !errors.Is(err, syscall.ECONNRESET) && !errors.Is(err, syscall.EPIPE):
					t.Errorf("client %d: request %d was sent twice and has no answer: %v", i, id, err)
					return
				default:
					crossed[i]++
					again = true
					conn, err := net.Dial("tcp", w.address)
					if err != nil {
						t.Errorf("client %d: request %d crossed the close, and nobody is there any more: %v", i, id, err)
						return
					}
					defer conn.Close()
					c = &client{t: t, conn: conn, protocol: emulator.NewClient(conn)}
				}
				select {
				case <-stop:
					return
				case <-time.After(time.Duration(i) * time.Millisecond):
				}
			}
		}()
	}
	at := w.terminate()
	time.Sleep(time.Until(at.Add(1200 * time.Millisecond)))
	close(stop)
	wg.Wait()
	w.waitExit()
	sum := 0
	for i := range crossed {
		if sum += crossed[i]; served[i] == 0 {
			t.Errorf("client %d had nothing served", i)
		}
	}
	if sum == 0 {
		t.Error("no request crossed a close: the test does not try it")
	}
}

// TestSilentListServiceAtStart: a bulletin that takes connections and says nothing, from the first byte, keeps nobody from being served by
// what was known, and is asked again.
func TestSilentListServiceAtStart(t *testing.T) {
	w := newTestbed(t, nil)
	w.start()
	client := w.dial()
	for id := uint64(1); id <= 2; id++ {
		w.waitListPoll()
		client.send(request(id, "lookup", nil, ""))
		if got := client.mustRead(); got.Error != "" {
			t.Errorf("%+v, want it served", got)
		}
		if id == 1 {
			w.waitUntil("the silence is noticed", func() bool { return strings.Contains(w.log.String(), "event=endpoint-list-stale") })
			w.listFeed <- "!" // the stand-in serves one connection at a time
		}
	}
}

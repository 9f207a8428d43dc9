package test

import (
	"bufio"
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

// TestSIGTERMDuringAttempt: SIGTERM while an attempt waits for its dial, or is half read by its box: it goes on as always.
func TestSIGTERMDuringAttempt(t *testing.T) {
	t.Run("its dial", func(t *testing.T) {
		t.Parallel()
		w := newTestbed(t, nil, "c2")
		w.listed[0]["dial"] = w.listenWithFullBacklog()
		w.platformLimits()["dial-timeout-ms"] = 60000
		w.start()
		client := w.dial()
		client.send(request(1, "lookup", map[string]string{"limit": "3000"}, ""))
		client.send(request(2, "status", nil, ""))
		client.mustRead() // so the first one was read
		w.terminate()
		go w.endpoints.Serve("c1", w.fullListener)
		if a := client.mustRead(); a.Error != "" {
			t.Errorf("%+v, want it served", a)
		}
		w.waitExit()
	})
	t.Run("half read", func(t *testing.T) {
		t.Parallel()
		w := newTestbed(t, nil)
		ln := w.listenOn("127.0.0.1:0")
		w.listed[len(w.listed)-1]["dial"] = ln.Addr().String() // the origin
		w.start()
		half, termed := make(chan struct{}), make(chan struct{})
		go func() {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			r := bufio.NewReaderSize(conn, 16)
			_, _ = io.ReadFull(r, make([]byte, 20000))
			close(half)
			<-termed
			rest, _ := r.ReadString('#') // which ends the body
			_, _ = fmt.Fprintf(conn, "0000000000000001 ACK tag=t1 4\r\n%04d\r\n", len(rest)%10000)
		}()
		client := w.dial()
		client.send(request(1, "charge", map[string]string{"unique": "k1"}, strings.Repeat("x", 47999)+"#"))
		<-half
		w.terminate()
		close(termed)
		if a := client.mustRead(); a.Error != "" || len(a.Body) != 4 {
			t.Errorf("%+v, want it served", a)
		}
		w.waitExit()
	})
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

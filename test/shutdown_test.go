package test

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"
)

// TestSIGTERMServesOpenRequest checks that after SIGTERM the status is not ready, open requests are answered, and the
// program exits on its own.
func TestSIGTERMServesOpenRequest(t *testing.T) {
	release := make(chan struct{})
	bed := newTestbed(t, func(attempt *receivedRequest) {
		<-release
		attempt.Answer("ACK", "-", "late")
	})
	bed.start()
	client := bed.dial()
	client.send(request(1, "footage", map[string]string{"limit": "9000"}, ""))
	bed.waitAttempts(1)
	bed.signal(syscall.SIGTERM)
	bed.waitUntil("the status is not ready", func() bool {
		other := bed.dial()
		defer other.conn.Close()
		other.send(request(1, "status", nil, ""))
		answer, err := other.read()
		return err == nil && !answer.Ready
	})
	close(release)
	if answer := client.mustRead(); answer.Body != "late" {
		t.Errorf("request open at SIGTERM: got %+v, want it served", answer)
	}
	bed.waitExit()
}

// shutdownCase is a situation in which SIGTERM can arrive.
type shutdownCase struct {
	name     string
	deadline int // of all classes, in milliseconds; 0: the default
	// run sends the requests of the case and checks what each client reads. The endpoints' responder sends attempts to
	// pending.
	run func(t *testing.T, bed *testbed, pending chan *receivedRequest)
}

var shutdownCases = []shutdownCase{
	{"the last answer exceeds the socket buffer", 0, runLargeLastAnswer},
	{"a request is read in part", 0, runHalfReadRequest},
	{"a keyed request is open, and both signals are repeated", 0, runRepeatedSignals},
	{"an endpoint never answers", 1500, runSilentEndpoint},
	{"an endpoint never answers, and the client's time limit is long", 1000, runLongClientTimeout},
	{"a late request that no endpoint answers", 0, runRequestAfterSIGTERM},
	{"a late request, and SIGTERM was sent during a standstill", 0, runSIGTERMInStandstill},
	{"a late request, and SIGTERM was sent during a short standstill", 600, runSIGTERMInShortStandstill},
}

// runLargeLastAnswer guards against an answer that is truncated when the program exits in the same round of the event
// loop: the part that exceeded the socket buffer was lost.
func runLargeLastAnswer(t *testing.T, bed *testbed, pending chan *receivedRequest) {
	large := strings.Repeat("x", 240000)
	slow := bed.dialSmallBuffer()
	at := bed.terminate()
	time.Sleep(time.Until(at.Add(600 * time.Millisecond)))
	const count = 12 // more than the socket buffers between client and program hold
	for id := range uint64(count) {
		slow.send(request(id, "footage", map[string]string{"nth": fmt.Sprint(id)}, ""))
	}
	answers := map[net.Conn]string{}
	for range count {
		attempt := nextReceived(t, pending)
		answers[attempt.Conn] += fmt.Sprintf("%s ACK tag=t1 %d\r\n%s\r\n", attempt.ID, len(large), large)
	}
	time.Sleep(time.Until(at.Add(950 * time.Millisecond))) // from here on the program exits once no request is open
	for conn, text := range answers {
		if _, err := io.WriteString(conn, text); err != nil {
			t.Fatal(err)
		}
	}
	for range count {
		if answer := slow.mustRead(); answer.Body != large {
			t.Errorf("body: got %d bytes, want %d", len(answer.Body), len(large))
		}
	}
}

// runHalfReadRequest sends SIGTERM while the program has read only part of a request.
func runHalfReadRequest(t *testing.T, bed *testbed, pending chan *receivedRequest) {
	client := bed.dial()
	client.waitRequestsRead(9) // so that nothing but the partial request is open
	frame := request(1, "charge", map[string]string{"unique": "k1"}, "body")
	client.send(frame[:len(frame)-2])
	bed.dial() // idle
	at := bed.terminate()
	time.Sleep(time.Until(at.Add(time.Second)))
	client.send(frame[len(frame)-2:])
	answerDone(nextReceived(t, pending))
	if answer := client.mustRead(); answer.Body != "done" {
		t.Errorf("answer: got %+v, want it served", answer)
	}
}

// runRepeatedSignals repeats SIGHUP and SIGTERM while a keyed request is open, the last SIGHUP while the configuration
// file is being replaced.
func runRepeatedSignals(t *testing.T, bed *testbed, pending chan *receivedRequest) {
	client := bed.dial()
	client.send(request(1, "charge", map[string]string{"unique": "k1"}, ""))
	attempt := nextReceived(t, pending)
	bed.terminate()
	bed.signal(syscall.SIGHUP)
	bed.signal(syscall.SIGTERM)
	bed.waitLogged("event=reloaded")
	writeFile(t, bed.configPath, `{"listen":`)
	bed.signal(syscall.SIGHUP)
	bed.waitLogged("event=reload-failed")
	answerDone(attempt)
	if answer := client.mustRead(); answer.Body != "done" {
		t.Errorf("answer: got %+v, want it served", answer)
	}
}

// runSilentEndpoint sends SIGTERM while the endpoint does not respond and the client's time limit equals the deadline
// of the classes.
func runSilentEndpoint(t *testing.T, bed *testbed, pending chan *receivedRequest) {
	client := bed.dial()
	client.send(request(1, "lookup", map[string]string{"limit": "1500"}, ""))
	nextReceived(t, pending)
	bed.terminate()
	if answer := client.mustRead(); answer.Error == "" {
		t.Errorf("answer: got %+v, want an error", answer)
	}
}

// runLongClientTimeout sends SIGTERM while a client waits far longer than the program can run.
func runLongClientTimeout(t *testing.T, bed *testbed, pending chan *receivedRequest) {
	client := bed.dial()
	client.send(request(1, "charge", map[string]string{"limit": "600000", "unique": "k1"}, ""))
	nextReceived(t, pending)
	at := bed.terminate()
	answer := client.mustRead()
	if elapsed := time.Since(at); answer.Error != "Internal" || elapsed < 1600*time.Millisecond {
		t.Errorf("got answer %+v %v after SIGTERM, want an error no sooner than after 1.6 s", answer, elapsed)
	}
}

// runRequestAfterSIGTERM sends a request 0.75 s after SIGTERM. SIGKILL may come 3.7 s after SIGTERM, and requests sent
// later than 0.7 s after SIGTERM must be answered by then.
func runRequestAfterSIGTERM(t *testing.T, bed *testbed, pending chan *receivedRequest) {
	client := bed.dial()
	at := bed.terminate()
	time.Sleep(time.Until(at.Add(750 * time.Millisecond)))
	client.send(request(1, "footage", map[string]string{"limit": "6000"}, ""))
	nextReceived(t, pending)
	answer := client.mustRead()
	if elapsed := time.Since(at); answer.Error == "" || elapsed > 3700*time.Millisecond {
		t.Errorf("got answer %+v %v after SIGTERM, want an error within 3.7 s", answer, elapsed)
	}
}

// runSIGTERMInStandstill sends SIGTERM 1 s before the program can receive it. The 3.7 s count from when it was sent.
func runSIGTERMInStandstill(t *testing.T, bed *testbed, pending chan *receivedRequest) {
	client := bed.dial()
	client.waitRequestsRead(9)
	bed.suspend()
	at := time.Now()
	bed.signal(syscall.SIGTERM)
	time.Sleep(time.Second)
	bed.signal(syscall.SIGCONT)
	bed.waitLogged("event=draining")
	client.send(request(1, "footage", map[string]string{"limit": "6000"}, ""))
	nextReceived(t, pending)
	answer := client.mustRead()
	if elapsed := time.Since(at); answer.Error == "" || elapsed > 3700*time.Millisecond {
		t.Errorf("got answer %+v %v after SIGTERM was sent, want an error within 3.7 s", answer, elapsed)
	}
}

// runSIGTERMInShortStandstill sends SIGTERM during a standstill that is too short for the event loop to detect. SIGKILL
// may nevertheless come 1.3 s after SIGTERM was sent.
func runSIGTERMInShortStandstill(t *testing.T, bed *testbed, pending chan *receivedRequest) {
	client := bed.dial()
	client.waitRequestsRead(9)
	bed.suspend()
	at := time.Now()
	bed.signal(syscall.SIGTERM)
	time.Sleep(90 * time.Millisecond)
	bed.signal(syscall.SIGCONT)
	time.Sleep(time.Until(at.Add(850 * time.Millisecond)))
	client.send(request(1, "footage", map[string]string{"limit": "600"}, ""))
	nextReceived(t, pending)
	answer := client.mustRead()
	if elapsed := time.Since(at); answer.Error == "" || elapsed > 1300*time.Millisecond {
		t.Errorf("got answer %+v %v after SIGTERM was sent, want an error within 1.3 s", answer, elapsed)
	}
}

// TestGracefulShutdown sends SIGTERM in different situations. The program must exit on its own with status 0, although
// no client closes its connection.
func TestGracefulShutdown(t *testing.T) {
	for _, c := range shutdownCases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			pending := make(chan *receivedRequest, 100)
			bed := newTestbed(t, func(attempt *receivedRequest) { pending <- attempt })
			if c.deadline > 0 {
				bed.setDeadlines(c.deadline)
			}
			bed.start()
			c.run(t, bed, pending)
			bed.waitExit()
		})
	}
}

// persistentClient sends one request after another on a connection, and opens a new one when the connection is closed.
// As the protocol specifies, it sends a request that crosses the close once more.
type persistentClient struct {
	number          int
	served, crossed int
}

// run sends requests until stop is closed. It pauses after each for the client's number in milliseconds.
func (p *persistentClient) run(t *testing.T, bed *testbed, stop chan struct{}) {
	c := bed.dial()
	for id, isRetry := uint64(1), false; ; {
		fields := map[string]string{"txn": fmt.Sprintf("%08x%08x", p.number, id)}
		_ = c.protocol.Send(request(id, "lookup", fields, ""))
		answer, err := c.read()
		switch {
		case err == nil && answer.Error == "":
			p.served++
			id, isRetry = id+1, false
		case err == nil:
			t.Errorf("client %d: got %+v, want it served", p.number, answer)
			return
		case isRetry ||
			!errors.Is(err, io.EOF) && !errors.Is(err, syscall.ECONNRESET) && !errors.Is(err, syscall.EPIPE):
			t.Errorf("client %d: request %d was not answered; retry: %v; error: %v",
				p.number, id, isRetry, err)
			return
		default:
			p.crossed++
			isRetry = true
			conn, err := net.Dial("tcp", bed.address)
			if err != nil {
				t.Errorf("client %d: request %d crossed the close, and the program no longer listens: %v",
					p.number, id, err)
				return
			}
			defer conn.Close()
			c = newClient(t, conn)
		}
		select {
		case <-stop:
			return
		case <-time.After(time.Duration(p.number) * time.Millisecond):
		}
	}
}

// TestRequestsCrossShutdown makes clients send one request after another while the program shuts down and closes their
// connections. Each request must be answered.
func TestRequestsCrossShutdown(t *testing.T) {
	bed := newTestbed(t, nil)
	bed.setDeadlines(1000)
	bed.start()
	var running sync.WaitGroup
	stop := make(chan struct{})
	var clients [8]persistentClient
	for i := range clients {
		clients[i].number = i
		running.Add(1)
		go func() {
			defer running.Done()
			clients[i].run(t, bed, stop)
		}()
	}
	at := bed.terminate()
	time.Sleep(time.Until(at.Add(1200 * time.Millisecond)))
	close(stop)
	running.Wait()
	bed.waitExit()
	crossed := 0
	for _, c := range clients {
		crossed += c.crossed
		if c.served == 0 {
			t.Errorf("client %d: no request was served", c.number)
		}
	}
	if crossed == 0 {
		t.Error("no request crossed a close, so the test proves nothing")
	}
}

// TestSIGTERMDuringAttempt sends SIGTERM while an attempt waits for its connection, or while its endpoint has read only
// part of it. The attempt must complete as usual.
func TestSIGTERMDuringAttempt(t *testing.T) {
	t.Run("dial", func(t *testing.T) {
		t.Parallel()
		bed := newTestbed(t, nil, "c2")
		bed.setListedAddress("c1", bed.listenWithFullBacklog())
		bed.platformLimits()["dial-timeout-ms"] = 60000
		bed.start()
		client := bed.dial()
		client.send(request(1, "lookup", map[string]string{"limit": "3000"}, ""))
		client.waitRequestsRead(2)
		bed.terminate()
		go bed.endpoints.Serve("c1", bed.fullBacklogListener)
		if answer := client.mustRead(); answer.Error != "" {
			t.Errorf("answer: got %+v, want it served", answer)
		}
		bed.waitExit()
	})
	t.Run("partly read", func(t *testing.T) {
		t.Parallel()
		bed := newTestbed(t, nil)
		origin := bed.listenOn("127.0.0.1:0")
		bed.setListedAddress("o1", origin.Addr().String())
		bed.start()
		half, terminated := make(chan struct{}), make(chan struct{})
		go answerLargeRequestInHalves(origin, half, terminated)
		client := bed.dial()
		client.send(request(1, "charge", map[string]string{"unique": "k1"}, strings.Repeat("x", 47999)+"#"))
		<-half
		bed.terminate()
		close(terminated)
		if answer := client.mustRead(); answer.Error != "" || len(answer.Body) != 4 {
			t.Errorf("answer: got %+v, want it served", answer)
		}
		bed.waitExit()
	})
}

// answerLargeRequestInHalves accepts one connection, reads 20,000 bytes of an attempt and closes halfRead. Once next is
// closed, it reads to the end of the body, which is a #, and serves request 1.
func answerLargeRequestInHalves(listener net.Listener, halfRead chan<- struct{}, next <-chan struct{}) {
	conn, err := listener.Accept()
	if err != nil {
		return
	}
	r := bufio.NewReaderSize(conn, 16)
	_, _ = io.ReadFull(r, make([]byte, 20000))
	close(halfRead)
	<-next
	rest, _ := r.ReadString('#')
	_, _ = fmt.Fprintf(conn, "%s ACK tag=t1 4\r\n%04d\r\n", hexID(1), len(rest)%10000)
}

// TestRestartWithoutDelay guards against a proxy that exits with "address already in use" because its predecessor was
// killed with connections open, which remain in TIME_WAIT. It occurs if sockets have SO_REUSEPORT without SO_REUSEADDR.
func TestRestartWithoutDelay(t *testing.T) {
	bed := newTestbed(t, nil)
	for round := range 3 {
		bed.start()
		client := bed.dial()
		if answer := client.call(1, "footage", nil); answer.Error != "" {
			t.Fatalf("round %d: got %+v, want it served", round, answer)
		}
		bed.kill()
		_ = client.conn.Close()
	}
}

// TestSecondProcessIsRejected checks that a second process cannot listen on the same address. With SO_REUSEPORT alone
// it would share the address unnoticed.
func TestSecondProcessIsRejected(t *testing.T) {
	bed := newTestbed(t, nil)
	bed.start()
	other := newTestbed(t, nil)
	other.config["listen"] = bed.address
	other.address = bed.address
	other.start() // the status that start waits for is the first process's
	if err := <-other.exited; err == nil {
		t.Error("a second process listens on the same address, want it to exit with an error")
	}
	other.cmd = nil
}

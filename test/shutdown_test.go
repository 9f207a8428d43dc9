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

// TestSIGTERMServesOpenRequest: after SIGTERM status says false, what is open is answered, and the program ends by
// itself.
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
	bed.waitUntil("status says false", func() bool {
		other := bed.dial()
		defer other.conn.Close()
		other.send(request(1, "status", nil, ""))
		answer, err := other.read()
		return err == nil && !answer.Ready
	})
	close(release)
	if answer := client.mustRead(); answer.Body != "late" {
		t.Errorf("the request that was open at SIGTERM: %+v, want it served", answer)
	}
	bed.waitExit()
}

// shutdownCase is something that can be under way when SIGTERM comes.
type shutdownCase struct {
	name     string
	deadline int // of the classes, in milliseconds; 0: as they are
	// play sends the case's requests, and says what each client must read. Attempts go to pending.
	play func(t *testing.T, bed *testbed, pending chan *receivedRequest)
}

var shutdownCases = []shutdownCase{
	{"the last answer is more than the socket takes", 0, playLargeLastAnswer},
	{"a request half read", 0, playHalfRead},
	{"a keyed request is out, and both signals come again", 0, playSignalsAgain},
	{"an endpoint never answers", 1500, playSilentEndpoint},
	{"an endpoint never answers, and the client waits long", 1000, playPatientClient},
	{"a late request that no endpoint answers", 0, playRequestAfterSIGTERM},
	{"a late request, and SIGTERM came while the program stood still", 0, playSIGTERMInStandstill},
	{"a late request, and SIGTERM came in a short standstill", 600, playSIGTERMInShortStandstill},
}

// playLargeLastAnswer: the last answer was given in the round that ended the program, and what the socket did not
// take of it was lost.
func playLargeLastAnswer(t *testing.T, bed *testbed, pending chan *receivedRequest) {
	large := strings.Repeat("x", 240000)
	slow := bed.dialSmallBuffer()
	at := bed.terminate()
	time.Sleep(time.Until(at.Add(600 * time.Millisecond)))
	const count = 12 // beyond what the sockets between them hold
	for id := range uint64(count) {
		slow.send(request(id, "footage", map[string]string{"nth": fmt.Sprint(id)}, ""))
	}
	answers := map[net.Conn]string{}
	for range count {
		attempt := nextReceived(t, pending)
		answers[attempt.Conn] += fmt.Sprintf("%s ACK tag=t1 %d\r\n%s\r\n", attempt.ID, len(large), large)
	}
	time.Sleep(time.Until(at.Add(950 * time.Millisecond))) // from here on it ends as soon as nothing is open
	for conn, text := range answers {
		if _, err := io.WriteString(conn, text); err != nil {
			t.Fatal(err)
		}
	}
	for range count {
		if answer := slow.mustRead(); answer.Body != large {
			t.Errorf("%d bytes came, want %d", len(answer.Body), len(large))
		}
	}
}

// playHalfRead: SIGTERM comes while a request is half read.
func playHalfRead(t *testing.T, bed *testbed, pending chan *receivedRequest) {
	client := bed.dial()
	client.waitRequestsRead(9) // so that it is idle, but for what it has begun
	frame := request(1, "charge", map[string]string{"unique": "k1"}, "body")
	client.send(frame[:len(frame)-2])
	bed.dial() // idle
	at := bed.terminate()
	time.Sleep(time.Until(at.Add(time.Second)))
	client.send(frame[len(frame)-2:])
	answerDone(nextReceived(t, pending))
	if answer := client.mustRead(); answer.Body != "done" {
		t.Errorf("%+v, want it served", answer)
	}
}

// playSignalsAgain: while a keyed request is out, SIGHUP and SIGTERM come again, and SIGHUP with a file that is just
// being replaced.
func playSignalsAgain(t *testing.T, bed *testbed, pending chan *receivedRequest) {
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
		t.Errorf("%+v, want it served", answer)
	}
}

// playSilentEndpoint: the client's limit and the classes' deadline are the same.
func playSilentEndpoint(t *testing.T, bed *testbed, pending chan *receivedRequest) {
	client := bed.dial()
	client.send(request(1, "lookup", map[string]string{"limit": "1500"}, ""))
	nextReceived(t, pending)
	bed.terminate()
	if answer := client.mustRead(); answer.Error == "" {
		t.Errorf("%+v, want an error", answer)
	}
}

// playPatientClient: the client waits for ever; the program can't.
func playPatientClient(t *testing.T, bed *testbed, pending chan *receivedRequest) {
	client := bed.dial()
	client.send(request(1, "charge", map[string]string{"limit": "600000", "unique": "k1"}, ""))
	nextReceived(t, pending)
	at := bed.terminate()
	answer := client.mustRead()
	if past := time.Since(at); answer.Error != "Internal" || past < 1600*time.Millisecond {
		t.Errorf("%+v after %v, want an error no sooner than the deadline allows", answer, past)
	}
}

// playRequestAfterSIGTERM: SIGKILL may come 3.7 s after SIGTERM. Who asks later than 0.7 s after SIGTERM is owed an
// answer by then.
func playRequestAfterSIGTERM(t *testing.T, bed *testbed, pending chan *receivedRequest) {
	client := bed.dial()
	at := bed.terminate()
	time.Sleep(time.Until(at.Add(750 * time.Millisecond)))
	client.send(request(1, "footage", map[string]string{"limit": "6000"}, ""))
	nextReceived(t, pending)
	answer := client.mustRead()
	if past := time.Since(at); answer.Error == "" || past > 3700*time.Millisecond {
		t.Errorf("%+v after %v, want an error within 3.7 s", answer, past)
	}
}

// playSIGTERMInStandstill: the 3.7 s count from when SIGTERM was sent, which is 1 s before the program can take it.
func playSIGTERMInStandstill(t *testing.T, bed *testbed, pending chan *receivedRequest) {
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
	if past := time.Since(at); answer.Error == "" || past > 3700*time.Millisecond {
		t.Errorf("%+v %v after SIGTERM was sent, want an error within 3.7 s", answer, past)
	}
}

// playSIGTERMInShortStandstill: the loop takes no notice of a standstill this short. SIGKILL may come 1.3 s after
// SIGTERM was sent all the same.
func playSIGTERMInShortStandstill(t *testing.T, bed *testbed, pending chan *receivedRequest) {
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
	if past := time.Since(at); answer.Error == "" || past > 1300*time.Millisecond {
		t.Errorf("%+v %v after SIGTERM was sent, want an error within 1.3 s", answer, past)
	}
}

// TestGracefulShutdown has SIGTERM cross what can be under way. The program must then end by itself with status 0,
// though no client closes its connection.
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
			c.play(t, bed, pending)
			bed.waitExit()
		})
	}
}

// persistentClient asks one request after another on a connection, and on a new one when that is closed under it. One
// request that crosses the close is sent again, once, as the protocol says.
type persistentClient struct {
	number          int
	served, crossed int
}

// run asks until stop is closed, with a pause of as many milliseconds as the client's number.
func (p *persistentClient) run(t *testing.T, bed *testbed, stop chan struct{}) {
	c := bed.dial()
	for id, again := uint64(1), false; ; {
		fields := map[string]string{"txn": fmt.Sprintf("%08x%08x", p.number, id)}
		_ = c.protocol.Send(request(id, "lookup", fields, ""))
		answer, err := c.read()
		switch {
		case err == nil && answer.Error == "":
			p.served++
			id, again = id+1, false
		case err == nil:
			t.Errorf("client %d: %+v, want it served", p.number, answer)
			return
		case again || !errors.Is(err, io.EOF) && !errors.Is(err, syscall.ECONNRESET) && !errors.Is(err, syscall.EPIPE):
			t.Errorf("client %d: request %d has no answer, sent again: %v: %v", p.number, id, again, err)
			return
		default:
			p.crossed++
			again = true
			conn, err := net.Dial("tcp", bed.address)
			if err != nil {
				t.Errorf("client %d: request %d crossed the close, and nobody listens any more: %v", p.number, id, err)
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

// TestRequestsCrossShutdown has clients ask one request after another until their connections are closed under them;
// each must be answered.
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
			t.Errorf("client %d had nothing served", c.number)
		}
	}
	if crossed == 0 {
		t.Error("no request crossed a close: the test does not try it")
	}
}

// TestSIGTERMDuringAttempt: SIGTERM while an attempt waits for its dial, or is half read by its endpoint: it goes on
// as always.
func TestSIGTERMDuringAttempt(t *testing.T) {
	t.Run("its dial", func(t *testing.T) {
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
			t.Errorf("%+v, want it served", answer)
		}
		bed.waitExit()
	})
	t.Run("half read", func(t *testing.T) {
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
			t.Errorf("%+v, want it served", answer)
		}
		bed.waitExit()
	})
}

// answerLargeRequestInHalves takes one connection, reads 20,000 bytes of an attempt, closes half, and goes on once
// next is closed: it reads to the body's end, which is a #, and serves request 1.
func answerLargeRequestInHalves(listener net.Listener, half chan<- struct{}, next <-chan struct{}) {
	conn, err := listener.Accept()
	if err != nil {
		return
	}
	r := bufio.NewReaderSize(conn, 16)
	_, _ = io.ReadFull(r, make([]byte, 20000))
	close(half)
	<-next
	rest, _ := r.ReadString('#')
	_, _ = fmt.Fprintf(conn, "%s ACK tag=t1 4\r\n%04d\r\n", hexID(1), len(rest)%10000)
}

// TestRestartWithoutDelay: a proxy that was killed with connections open left them in TIME_WAIT; the next one exited
// with "address already in use", because the sockets had SO_REUSEPORT without SO_REUSEADDR.
func TestRestartWithoutDelay(t *testing.T) {
	bed := newTestbed(t, nil)
	for round := range 3 {
		bed.start()
		client := bed.dial()
		if answer := client.call(1, "footage", nil); answer.Error != "" {
			t.Fatalf("round %d: %+v, want it served", round, answer)
		}
		bed.kill()
		_ = client.conn.Close()
	}
}

// TestSecondProcessIsRejected: with SO_REUSEPORT a second program would share the address unnoticed.
func TestSecondProcessIsRejected(t *testing.T) {
	bed := newTestbed(t, nil)
	bed.start()
	other := newTestbed(t, nil)
	other.config["listen"] = bed.address
	other.address = bed.address
	other.start() // the first one answers its status
	if err := <-other.exited; err == nil {
		t.Error("a second program listens on the same address, want it to exit with an error")
	}
	other.cmd = nil
}

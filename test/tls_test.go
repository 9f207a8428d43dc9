package test

import (
	"bytes"
	"crypto/tls"
	"errors"
	"fmt"
	"io"
	"net"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"

	"sloequay/internal/proxy/admin"
)

// TestTLSListener: who calls is told by its certificate, on a new connection and a resumed one; large answers come
// complete.
func TestTLSListener(t *testing.T) {
	t.Parallel()
	large := strings.Repeat("x", 240_000)
	bed := newTLSTestbed(t, func(attempt *receivedRequest) {
		if attempt.Fields["profile"] == "charge" {
			attempt.Answer("ACK", "-", "posted")
			return
		}
		attempt.Answer("ACK", "tag=t1", large)
	})
	bed.start()
	for _, c := range []struct{ name, class, err, reason, body string }{
		{"lane3.lanes.test", "charge", "", "", "posted"},
		{"t7.staff.test", "charge", "Denied", "right", ""},
		{"t7.staff.test", "lookup", "", "", large},
		{"t8.staff.test", "lookup", "Denied", "unsigned", ""},
		{"", "charge", "Denied", "unsigned", ""},
	} {
		config := bed.clientConfig(c.name)
		for round := range 2 {
			client := bed.dialTLS(config)
			answer := client.call(1, c.class, map[string]string{"unique": fmt.Sprint(c.name, round),
				"txn": hexID(len(c.name)*2 + round)})
			if answer.Error != c.err || answer.Fields["reason"] != c.reason || answer.Body != c.body {
				t.Errorf("%q, %s, round %d: error %q, reason %q, %d bytes, want %q, %q, %d bytes", c.name, c.class,
					round, answer.Error, answer.Fields["reason"], len(answer.Body), c.err, c.reason, len(c.body))
			}
			if resumed := client.conn.(*tls.Conn).ConnectionState().DidResume; resumed != (round == 1) {
				t.Errorf("%q, round %d: resumed %v, want %v", c.name, round, resumed, round == 1)
			}
			_ = client.conn.Close()
		}
	}
	if charges := bed.attemptsOfClass("charge"); len(charges) != 2 {
		t.Errorf("%d charges reached an endpoint, want the lane's two", len(charges))
	}
}

// expectClosed fails unless the program closes a connection in time.
func expectClosed(t *testing.T, what string, conn net.Conn) {
	t.Helper()
	_ = conn.SetReadDeadline(time.Now().Add(waitLimit))
	if _, err := io.Copy(io.Discard, conn); err != nil && strings.Contains(err.Error(), "timeout") {
		t.Errorf("%s: open after %v, want it closed", what, waitLimit)
	}
	_ = conn.Close()
}

// dialAndWrite connects and writes a text.
func dialAndWrite(t *testing.T, address, text string) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	_, _ = io.WriteString(conn, text)
	return conn
}

// TestTLSListenerRejects: plain text to the TLS listener, TLS to the plain one, handshakes that stop or never begin,
// and an old version are closed in time, logged once a source, and keep nobody else out.
func TestTLSListenerRejects(t *testing.T) {
	t.Parallel()
	bed := newTLSTestbed(t, nil)
	bed.start()
	var slow []net.Conn
	for range 3 { // of the four places
		slow = append(slow, dialAndWrite(t, bed.tlsAddress, "\x16\x03\x01\x02"))
	}
	plain := dialAndWrite(t, bed.tlsAddress, string(request(1, "lookup", nil, "")))
	expectClosed(t, "plain text to the TLS listener", plain)
	good := bed.dialTLS(bed.clientConfig("lane3.lanes.test"))
	if answer := good.call(1, "lookup", nil); answer.Error != "" {
		t.Errorf("beside slow handshakes: %+v, want it served", answer)
	}
	for _, conn := range slow {
		expectClosed(t, "half a handshake", conn)
	}
	old := bed.clientConfig("lane3.lanes.test")
	old.MaxVersion = tls.VersionTLS12
	if conn, err := tls.Dial("tcp", bed.tlsAddress, old); err == nil {
		_ = conn.Close()
		t.Error("a handshake by TLS 1.2 succeeded, want it rejected")
	}
	dialer := &net.Dialer{Timeout: waitLimit}
	if conn, err := tls.DialWithDialer(dialer, "tcp", bed.address, bed.clientConfig("")); err == nil {
		_ = conn.Close()
		t.Error("a handshake with the plain listener succeeded, want it rejected")
	}
	stranger := bed.clientConfig("")
	stranger.Certificates = []tls.Certificate{makeCertificate(t, newAuthority(t), "lane3.lanes.test")}
	// The rejection of a client's certificate comes with the first read.
	if conn, err := tls.Dial("tcp", bed.tlsAddress, stranger); err == nil {
		expectClosed(t, "a certificate of another authority", conn)
		if _, err := conn.Write(request(1, "lookup", nil, "")); err == nil {
			t.Error("a certificate of another authority: the connection stands, want it closed")
		}
	}
	bed.waitLogged("event=tls-handshake-failed")
	if n := bed.timesLogged("event=tls-handshake-failed"); n != 1 {
		t.Errorf("%d lines of failed handshakes with one source, want 1", n)
	}
	if answer := good.call(2, "lookup", nil); answer.Error != "" {
		t.Errorf("after all that: %+v, want it served", answer)
	}
}

// TestCertificateSwap: the certificate is swapped while connections stand and a handshake is half done; one that does
// not fit its key leaves the old one in force.
func TestCertificateSwap(t *testing.T) {
	t.Parallel()
	bed := newTLSTestbed(t, nil)
	bed.start()
	config := bed.clientConfig("lane3.lanes.test")
	serial := func(c *client) string {
		return c.conn.(*tls.Conn).ConnectionState().PeerCertificates[0].SerialNumber.String()
	}
	standing := bed.dialTLS(config)
	first := serial(standing)
	half, err := net.Dial("tcp", bed.tlsAddress)
	if err != nil {
		t.Fatal(err)
	}
	defer half.Close()
	sound := readFile(t, bed.key)
	_, otherKey := makeCertificateFiles(t, bed.authority, "other", "proxy.test")
	writeFile(t, bed.key, readFile(t, otherKey))
	bed.waitLogged("event=keys-rejected")
	if got := serial(bed.dialTLS(bed.clientConfig("lane4.lanes.test"))); got != first {
		t.Errorf("with a key that does not fit, the certificate is %s, want the old %s", got, first)
	}
	writeFile(t, bed.key, sound)
	makeCertificateFiles(t, bed.authority, "server", "proxy.test")
	bed.waitUntil("the next certificate is in force", func() bool {
		return serial(bed.dialTLS(bed.clientConfig("lane5.lanes.test"))) != first
	})
	if answer := standing.call(1, "lookup", nil); answer.Error != "" {
		t.Errorf("by the connection that stood: %+v, want it served", answer)
	}
	finished := tls.Client(half, config)
	if err := finished.Handshake(); err == nil { // it may have run out of time
		client := newClient(t, finished)
		if answer := client.call(1, "lookup", map[string]string{"txn": "00000000000000ff"}); answer.Error != "" {
			t.Errorf("by the handshake that was half done: %+v, want it served", answer)
		}
	}
}

// TestTLSConnectionsReleaseDescriptors: connections that end leave no descriptor behind, whichever side ends them.
func TestTLSConnectionsReleaseDescriptors(t *testing.T) {
	t.Parallel()
	bed := newTLSTestbed(t, nil)
	bed.start()
	config := bed.clientConfig("lane3.lanes.test")
	bed.dialTLS(config).send(request(1, "lookup", nil, ""))
	bed.waitFirstAttempt() // a connection to an endpoint stands
	base := bed.openDescriptors()
	for n := range 20 {
		client := bed.dialTLS(config)
		client.call(1, "lookup", map[string]string{"txn": hexID(n + 100)})
		if n%2 == 0 {
			client.send([]byte{0xc1, 0xc1, 0xc1}) // what can't be read has the program end it
			if answer, err := client.read(); err == nil {
				t.Errorf("%+v answers what can't be read, want the end of the connection", answer)
			}
		}
		_ = client.conn.Close()
	}
	bed.waitUntil("the descriptors are given back", func() bool { return bed.openDescriptors() <= base })
}

// TestTLSListenerSurvivesRefusedWatches guards against clients by TLS that lose their connection, or their first
// request with it, as the system has no memory to watch a socket for a moment.
func TestTLSListenerSurvivesRefusedWatches(t *testing.T) {
	t.Parallel()
	bed := newTLSTestbed(t, nil)
	config := bed.clientConfig("lane3.lanes.test")
	bed.startWithFaults("epoll_ctl=ENOMEM%0.2")
	const clients = 40
	lost := 0
	for id := range uint64(clients) {
		conn, err := tls.Dial("tcp", bed.tlsAddress, config)
		if err != nil {
			lost++
			continue
		}
		client := newClient(t, conn)
		client.send(request(id+1, "lookup", nil, ""))
		if answer, err := client.read(); err != nil || answer.Error != "" {
			lost++
		}
		_ = conn.Close()
	}
	if lost > 0 {
		t.Errorf("%d of %d clients had no answer to their first request, want each served", lost, clients)
	}
}

// startWithDuplicates starts the program and gives the fault of its duplicates of descriptors, once it needs none but
// those of new clients.
func (bed *tlsTestbed) startWithDuplicates(errno string) refusal {
	bed.t.Helper()
	duplicates := refusal{bed: bed.testbed, name: "fcntl_dupfd", path: filepath.Join(bed.t.TempDir(), "duplicates")}
	bed.startWithFaults(duplicates.name + "=" + errno + "?" + duplicates.path)
	warm := bed.dialTLS(bed.clientConfig("lane3.lanes.test")) // connects the endpoints
	for id := range uint64(20) {
		warm.call(id+1, "lookup", map[string]string{"item": hexID(id + 1)})
	}
	return duplicates
}

// duplicatesOfClient is how many duplicates the program makes for a client by TLS: of the accepted socket, of both ends
// of the pair, and three of the end that the loop takes over, the last of which is gnet's.
const duplicatesOfClient = 6

// TestTLSListenerSurvivesExhaustedDescriptors guards against clients by TLS that lose their connection as one of the
// duplicates that it takes was refused for a moment.
func TestTLSListenerSurvivesExhaustedDescriptors(t *testing.T) {
	for first := range duplicatesOfClient {
		t.Run(strconv.Itoa(first+1), func(t *testing.T) {
			t.Parallel()
			bed := newTLSTestbed(t, nil)
			duplicates := bed.startWithDuplicates("EMFILE")
			duplicates.begin(strings.Repeat("-", first) + "xx-")
			client := bed.dialTLS(bed.clientConfig("lane4.lanes.test"))
			client.send(request(100, "lookup", nil, ""))
			expectServed(client)
			if got := duplicates.count(); got != 2 {
				t.Errorf("%d duplicates were refused, want 2 as the test has it", got)
			}
		})
	}
}

// TestTLSListenerTellsOfLostClients: a duplicate is refused for good. The log says why the client has lost its
// connection.
func TestTLSListenerTellsOfLostClients(t *testing.T) {
	for first := range duplicatesOfClient {
		t.Run(strconv.Itoa(first+1), func(t *testing.T) {
			t.Parallel()
			bed := newTLSTestbed(t, nil)
			duplicates := bed.startWithDuplicates("EIO")
			duplicates.begin(strings.Repeat("-", first) + "x-")
			if conn, err := tls.Dial("tcp", bed.tlsAddress, bed.clientConfig("lane4.lanes.test")); err == nil {
				expectClosed(t, "a client whose duplicate was refused", conn)
			}
			bed.waitLogMatches(`event=\S+ .*input/output error`)
		})
	}
}

// TestTLSClientGivenUpBeforeItsWatchIsTold guards against a connection that nobody closes and nobody answers: the proxy
// has given the client up, as one that has said nothing, before the watch of its connection was taken.
func TestTLSClientGivenUpBeforeItsWatchIsTold(t *testing.T) {
	t.Parallel()
	bed := newTLSTestbed(t, nil)
	control := socketPath(t)
	bed.addSettings("control " + control)
	watches := newRefusal(bed.testbed, "epoll_ctl_add/"+gnetPoller)
	bed.startWithFaults(watches.name + "=ENOMEM?" + watches.path)
	watches.begin("")
	client := bed.dialTLS(bed.clientConfig("lane4.lanes.test"))
	client.send(request(1, "lookup", nil, ""))
	watches.wait(1)
	bed.waitUntil("the client is given up", func() bool {
		var state bytes.Buffer
		return admin.Query(&state, control, "state") == nil && strings.HasPrefix(state.String(), "clients 0\n")
	})
	watches.end()
	_ = client.conn.SetReadDeadline(time.Now().Add(waitLimit))
	var timeout net.Error
	if _, err := client.conn.Read(make([]byte, 1)); errors.As(err, &timeout) && timeout.Timeout() {
		t.Errorf("neither an answer nor the end of the connection for %v, want one", waitLimit)
	}
}

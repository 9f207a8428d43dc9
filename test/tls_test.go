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

// TestTLSListener checks that callers are identified by their certificates on new and resumed connections, and that
// large answers arrive complete.
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
				t.Errorf("%q, %s, round %d: got error %q, reason %q and %d bytes, want %q, %q and %d bytes",
					c.name, c.class, round,
					answer.Error, answer.Fields["reason"], len(answer.Body), c.err, c.reason, len(c.body))
			}
			if resumed := client.conn.(*tls.Conn).ConnectionState().DidResume; resumed != (round == 1) {
				t.Errorf("%q, round %d: got resumed %v, want %v", c.name, round, resumed, round == 1)
			}
			_ = client.conn.Close()
		}
	}
	if charges := bed.attemptsOfClass("charge"); len(charges) != 2 {
		t.Errorf("charges that reached an endpoint: got %d, want the lane's two", len(charges))
	}
}

// expectClosed fails the test unless the program closes a connection within waitLimit.
func expectClosed(t *testing.T, description string, conn net.Conn) {
	t.Helper()
	_ = conn.SetReadDeadline(time.Now().Add(waitLimit))
	if _, err := io.Copy(io.Discard, conn); err != nil && strings.Contains(err.Error(), "timeout") {
		t.Errorf("%s: still open after %v, want it closed", description, waitLimit)
	}
	_ = conn.Close()
}

// dialAndWrite connects to an address and writes a text.
func dialAndWrite(t *testing.T, address, text string) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	_, _ = io.WriteString(conn, text)
	return conn
}

// TestTLSListenerRejects checks that connections with plain text to the TLS listener, TLS to the plain listener,
// incomplete handshakes, an old TLS version or an untrusted certificate are closed in time and logged once per source
// address, and that other clients are served meanwhile.
func TestTLSListenerRejects(t *testing.T) {
	t.Parallel()
	bed := newTLSTestbed(t, nil)
	bed.start()
	var slow []net.Conn
	for range 3 { // of the four handshakes that may be open at once
		slow = append(slow, dialAndWrite(t, bed.tlsAddress, "\x16\x03\x01\x02"))
	}
	plain := dialAndWrite(t, bed.tlsAddress, string(request(1, "lookup", nil, "")))
	expectClosed(t, "plain text to the TLS listener", plain)
	good := bed.dialTLS(bed.clientConfig("lane3.lanes.test"))
	if answer := good.call(1, "lookup", nil); answer.Error != "" {
		t.Errorf("during slow handshakes: got %+v, want it served", answer)
	}
	for _, conn := range slow {
		expectClosed(t, "incomplete handshake", conn)
	}
	old := bed.clientConfig("lane3.lanes.test")
	old.MaxVersion = tls.VersionTLS12
	if conn, err := tls.Dial("tcp", bed.tlsAddress, old); err == nil {
		_ = conn.Close()
		t.Error("the handshake with TLS 1.2 succeeded, want it rejected")
	}
	dialer := &net.Dialer{Timeout: waitLimit}
	if conn, err := tls.DialWithDialer(dialer, "tcp", bed.address, bed.clientConfig("")); err == nil {
		_ = conn.Close()
		t.Error("the handshake with the plain listener succeeded, want it rejected")
	}
	untrusted := bed.clientConfig("")
	untrusted.Certificates = []tls.Certificate{makeCertificate(t, newAuthority(t), "lane3.lanes.test")}
	// The client learns only at its first read that its certificate was rejected.
	if conn, err := tls.Dial("tcp", bed.tlsAddress, untrusted); err == nil {
		expectClosed(t, "certificate of another authority", conn)
		if _, err := conn.Write(request(1, "lookup", nil, "")); err == nil {
			t.Error("certificate of another authority: the connection is still open, want it closed")
		}
	}
	bed.waitLogged("event=tls-handshake-failed")
	if n := bed.timesLogged("event=tls-handshake-failed"); n != 1 {
		t.Errorf("log lines on failed handshakes from one source: got %d, want 1", n)
	}
	if answer := good.call(2, "lookup", nil); answer.Error != "" {
		t.Errorf("after the rejections: got %+v, want it served", answer)
	}
}

// TestCertificateSwap replaces the certificate while connections are open and a handshake is incomplete. A certificate
// that does not match its key must leave the old one in use.
func TestCertificateSwap(t *testing.T) {
	t.Parallel()
	bed := newTLSTestbed(t, nil)
	bed.start()
	config := bed.clientConfig("lane3.lanes.test")
	serial := func(c *client) string {
		return c.conn.(*tls.Conn).ConnectionState().PeerCertificates[0].SerialNumber.String()
	}
	established := bed.dialTLS(config)
	firstSerial := serial(established)
	unfinished, err := net.Dial("tcp", bed.tlsAddress)
	if err != nil {
		t.Fatal(err)
	}
	defer unfinished.Close()
	validKey := readFile(t, bed.key)
	_, otherKey := makeCertificateFiles(t, bed.authority, "other", "proxy.test")
	writeFile(t, bed.key, readFile(t, otherKey))
	bed.waitLogged("event=keys-rejected")
	if got := serial(bed.dialTLS(bed.clientConfig("lane4.lanes.test"))); got != firstSerial {
		t.Errorf("serial of the certificate with a mismatched key: got %s, want the old %s", got, firstSerial)
	}
	writeFile(t, bed.key, validKey)
	makeCertificateFiles(t, bed.authority, "server", "proxy.test")
	bed.waitUntil("the new certificate is in use", func() bool {
		return serial(bed.dialTLS(bed.clientConfig("lane5.lanes.test"))) != firstSerial
	})
	if answer := established.call(1, "lookup", nil); answer.Error != "" {
		t.Errorf("on the established connection: got %+v, want it served", answer)
	}
	finished := tls.Client(unfinished, config)
	if err := finished.Handshake(); err == nil { // the listener may have closed the slow handshake
		client := newClient(t, finished)
		if answer := client.call(1, "lookup", map[string]string{"txn": "00000000000000ff"}); answer.Error != "" {
			t.Errorf("on the connection with the incomplete handshake: got %+v, want it served", answer)
		}
	}
}

// TestTLSConnectionsReleaseDescriptors checks that a closed connection leaves no descriptor open, whichever side closed
// it.
func TestTLSConnectionsReleaseDescriptors(t *testing.T) {
	t.Parallel()
	bed := newTLSTestbed(t, nil)
	bed.start()
	config := bed.clientConfig("lane3.lanes.test")
	bed.dialTLS(config).send(request(1, "lookup", nil, ""))
	bed.waitFirstAttempt() // the program has a connection to an endpoint
	base := bed.openDescriptors()
	for n := range 20 {
		client := bed.dialTLS(config)
		client.call(1, "lookup", map[string]string{"txn": hexID(n + 100)})
		if n%2 == 0 {
			client.send([]byte{0xc1, 0xc1, 0xc1}) // a malformed request makes the program close it
			if answer, err := client.read(); err == nil {
				t.Errorf("malformed request: got answer %+v, want the connection closed", answer)
			}
		}
		_ = client.conn.Close()
	}
	bed.waitUntil("the descriptors are closed", func() bool { return bed.openDescriptors() <= base })
}

// TestTLSListenerSurvivesRefusedWatches guards against TLS clients that lose their connection, or their first request
// with it, because the kernel temporarily lacks the memory to watch a socket.
func TestTLSListenerSurvivesRefusedWatches(t *testing.T) {
	t.Parallel()
	bed := newTLSTestbed(t, nil)
	config := bed.clientConfig("lane3.lanes.test")
	bed.startWithFaults("epoll_ctl=ENOMEM%0.2")
	const clients = 40
	unserved := 0
	for id := range uint64(clients) {
		conn, err := tls.Dial("tcp", bed.tlsAddress, config)
		if err != nil {
			unserved++
			continue
		}
		client := newClient(t, conn)
		client.send(request(id+1, "lookup", nil, ""))
		if answer, err := client.read(); err != nil || answer.Error != "" {
			unserved++
		}
		_ = conn.Close()
	}
	if unserved > 0 {
		t.Errorf("clients whose first request was not served: got %d of %d, want none", unserved, clients)
	}
}

// startWithDuplicateFault starts the program with a switchable fault of duplicating descriptors. It first connects the
// endpoints, so that afterwards only new clients need duplicates.
func (bed *tlsTestbed) startWithDuplicateFault(errno string) switchableFault {
	bed.t.Helper()
	duplicates := switchableFault{bed: bed.testbed, name: "fcntl_dupfd",
		path: filepath.Join(bed.t.TempDir(), "duplicates")}
	bed.startWithFaults(duplicates.name + "=" + errno + "?" + duplicates.path)
	warm := bed.dialTLS(bed.clientConfig("lane3.lanes.test")) // connects the endpoints
	for id := range uint64(20) {
		warm.call(id+1, "lookup", map[string]string{"item": hexID(id + 1)})
	}
	return duplicates
}

// duplicatesPerClient is how many duplicate descriptors the program makes for a TLS client: one of the accepted socket,
// one of each end of the socket pair, and three of the end that the event loop takes over, the last of them by gnet.
const duplicatesPerClient = 6

// TestTLSListenerSurvivesExhaustedDescriptors guards against TLS clients that lose their connection because duplicating
// one of their descriptors temporarily fails: the process has no descriptor free.
func TestTLSListenerSurvivesExhaustedDescriptors(t *testing.T) {
	for first := range duplicatesPerClient {
		t.Run(strconv.Itoa(first+1), func(t *testing.T) {
			t.Parallel()
			bed := newTLSTestbed(t, nil)
			duplicates := bed.startWithDuplicateFault("EMFILE")
			duplicates.enable(strings.Repeat("-", first) + "xx-")
			client := bed.dialTLS(bed.clientConfig("lane4.lanes.test"))
			client.send(request(100, "lookup", nil, ""))
			expectServed(client)
			if got := duplicates.count(); got != 2 {
				t.Errorf("refused duplicates: got %d, want 2", got)
			}
		})
	}
}

// TestTLSListenerLogsLostClients makes the duplication of a descriptor fail with an error that is not retried. The log
// must say why the client lost its connection.
func TestTLSListenerLogsLostClients(t *testing.T) {
	for first := range duplicatesPerClient {
		t.Run(strconv.Itoa(first+1), func(t *testing.T) {
			t.Parallel()
			bed := newTLSTestbed(t, nil)
			duplicates := bed.startWithDuplicateFault("EIO")
			duplicates.enable(strings.Repeat("-", first) + "x-")
			if conn, err := tls.Dial("tcp", bed.tlsAddress, bed.clientConfig("lane4.lanes.test")); err == nil {
				expectClosed(t, "client whose duplicate was refused", conn)
			}
			bed.waitLogMatches(`event=\S+ .*input/output error`)
		})
	}
}

// TestTLSClientDroppedBeforeWatchIsAdded guards against a connection that is neither answered nor closed. It arises if
// the proxy drops the client as one that has sent nothing, before the watch of its connection is added.
func TestTLSClientDroppedBeforeWatchIsAdded(t *testing.T) {
	t.Parallel()
	bed := newTLSTestbed(t, nil)
	control := socketPath(t)
	bed.addSettings("control " + control)
	watches := newSwitchableFault(bed.testbed, "epoll_ctl_add/"+gnetPoller)
	bed.startWithFaults(watches.name + "=ENOMEM?" + watches.path)
	watches.enable("")
	client := bed.dialTLS(bed.clientConfig("lane4.lanes.test"))
	client.send(request(1, "lookup", nil, ""))
	watches.waitCount(1)
	bed.waitUntil("the client is dropped", func() bool {
		var state bytes.Buffer
		return admin.Query(&state, control, "state") == nil && strings.HasPrefix(state.String(), "clients 0\n")
	})
	watches.disable()
	_ = client.conn.SetReadDeadline(time.Now().Add(waitLimit))
	var timeout net.Error
	if _, err := client.conn.Read(make([]byte, 1)); errors.As(err, &timeout) && timeout.Timeout() {
		t.Errorf("got neither an answer nor a close within %v, want one of them", waitLimit)
	}
}

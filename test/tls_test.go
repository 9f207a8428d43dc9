package test

import (
	"crypto/tls"
	"fmt"
	"io"
	"net"
	"os"
	"strings"
	"testing"
	"time"

	"sloequay/internal/emulator"
)

// TestTLSListener: who calls is told by its certificate, on a new connection and a resumed one; large answers come whole.
func TestTLSListener(t *testing.T) {
	t.Parallel()
	large := strings.Repeat("x", 240_000)
	w := newTLSTestbed(t, func(a *receivedRequest) {
		if a.Fields["profile"] == "charge" {
			a.Answer("ACK", "-", "posted")
			return
		}
		a.Answer("ACK", "tag=t1", large)
	})
	w.start()
	for _, c := range []struct{ name, method, err, reason, body string }{
		{"lane3.lanes.test", "charge", "", "", "posted"},
		{"t7.staff.test", "charge", "Denied", "right", ""},
		{"t7.staff.test", "lookup", "", "", large},
		{"t8.staff.test", "lookup", "Denied", "unsigned", ""},
		{"", "charge", "Denied", "unsigned", ""},
	} {
		config := w.clientConfig(c.name)
		for round := range 2 {
			client := w.dialTLS(config)
			client.send(request(1, c.method, map[string]string{"unique": fmt.Sprint(c.name, round), "txn": fmt.Sprintf("%016x", len(c.name)*2+round)}, ""))
			if a := client.mustRead(); a.Error != c.err || a.Fields["reason"] != c.reason || a.Body != c.body {
				t.Errorf("%q, %s, round %d: error %q, reason %q, %d bytes", c.name, c.method, round, a.Error, a.Fields["reason"], len(a.Body))
			}
			if resumed := client.conn.(*tls.Conn).ConnectionState().DidResume; resumed != (round == 1) {
				t.Errorf("%q, round %d: resumed %v", c.name, round, resumed)
			}
			_ = client.conn.Close()
		}
	}
	if charges := w.received(func(a *receivedRequest) bool { return a.Fields["profile"] == "charge" }); len(charges) != 2 {
		t.Errorf("%d charges reached a box, want the lane's two", len(charges))
	}
}

// TestTLSListenerRejects: plain text at the TLS door, TLS at the plain one, handshakes that stop or never begin, and an old version
// are closed in time, logged once a source, and keep nobody else out.
func TestTLSListenerRejects(t *testing.T) {
	t.Parallel()
	w := newTLSTestbed(t, nil)
	w.start()
	closed := func(what string, conn net.Conn) {
		t.Helper()
		_ = conn.SetReadDeadline(time.Now().Add(waitLimit))
		if _, err := io.Copy(io.Discard, conn); err != nil && strings.Contains(err.Error(), "timeout") {
			t.Errorf("%s: not closed", what)
		}
		_ = conn.Close()
	}
	dial := func(address, text string) net.Conn {
		t.Helper()
		conn, err := net.Dial("tcp", address)
		if err != nil {
			t.Fatal(err)
		}
		_, _ = io.WriteString(conn, text)
		return conn
	}
	var slow []net.Conn
	for range 3 { // of the four places
		slow = append(slow, dial(w.address, "\x16\x03\x01\x02"))
	}
	closed("plain text at the TLS door", dial(w.address, string(request(1, "lookup", nil, ""))))
	good := w.dialTLS(w.clientConfig("lane3.lanes.test"))
	good.send(request(1, "lookup", nil, ""))
	if a := good.mustRead(); a.Error != "" {
		t.Errorf("beside slow handshakes: %+v", a)
	}
	for _, conn := range slow {
		closed("half a handshake", conn)
	}
	old := w.clientConfig("lane3.lanes.test")
	old.MaxVersion = tls.VersionTLS12
	if conn, err := tls.Dial("tcp", w.address, old); err == nil {
		_ = conn.Close()
		t.Error("TLS 1.2 is taken")
	}
	if conn, err := tls.DialWithDialer(&net.Dialer{Timeout: waitLimit}, "tcp", w.address, w.clientConfig("")); err == nil {
		_ = conn.Close()
		t.Error("TLS at the plain door is taken")
	}
	stranger, err := emulator.NewAuthority(t.TempDir())
	if err != nil {
		t.Fatal(err)
	}
	cert, key, err := stranger.Make("x", "lane3.lanes.test")
	if err != nil {
		t.Fatal(err)
	}
	pair, err := tls.LoadX509KeyPair(cert, key)
	if err != nil {
		t.Fatal(err)
	}
	c := w.clientConfig("")
	c.Certificates = []tls.Certificate{pair}
	if conn, err := tls.Dial("tcp", w.address, c); err == nil { // the refusal of a client's certificate comes with the first read
		closed("a certificate of another authority", conn)
		if _, err := conn.Write(request(1, "lookup", nil, "")); err == nil {
			t.Error("a certificate of another authority: the connection stands")
		}
	}
	w.waitUntil("a fault is logged", func() bool { return strings.Contains(w.log.String(), "event=tls-handshake-failed") })
	if n := strings.Count(w.log.String(), "event=tls-handshake-failed"); n != 1 {
		t.Errorf("%d lines of one source", n)
	}
	good.send(request(2, "lookup", nil, ""))
	if a := good.mustRead(); a.Error != "" {
		t.Errorf("after all that: %+v", a)
	}
}

// TestCertificateSwap is the sixth hard case: the certificate is swapped while connections stand and a handshake is half
// done; one that does not fit its key leaves the old one in force.
func TestCertificateSwap(t *testing.T) {
	t.Parallel()
	w := newTLSTestbed(t, nil)
	w.start()
	config := w.clientConfig("lane3.lanes.test")
	serial := func(c *client) string {
		return c.conn.(*tls.Conn).ConnectionState().PeerCertificates[0].SerialNumber.String()
	}
	standing := w.dialTLS(config)
	first := serial(standing)
	half, err := net.Dial("tcp", w.address)
	if err != nil {
		t.Fatal(err)
	}
	defer half.Close()
	sound, err := os.ReadFile(w.key)
	if err != nil {
		t.Fatal(err)
	}
	if _, other, err := w.ca.Make("other", "doorman.test"); err != nil {
		t.Fatal(err)
	} else if text, err := os.ReadFile(other); err != nil || os.WriteFile(w.key, text, 0o600) != nil {
		t.Fatal(err)
	}
	w.waitUntil("the key that does not fit is refused", func() bool { return strings.Contains(w.log.String(), "event=keys-rejected") })
	if got := serial(w.dialTLS(w.clientConfig("lane4.lanes.test"))); got != first {
		t.Errorf("with a key that does not fit the certificate is %s, want the old %s", got, first)
	}
	if err := os.WriteFile(w.key, sound, 0o600); err != nil {
		t.Fatal(err)
	}
	if _, _, err := w.ca.Make("server", "doorman.test"); err != nil {
		t.Fatal(err)
	}
	w.waitUntil("the next certificate is in force", func() bool { return serial(w.dialTLS(w.clientConfig("lane5.lanes.test"))) != first })
	standing.send(request(1, "lookup", nil, ""))
	if a := standing.mustRead(); a.Error != "" {
		t.Errorf("the connection that stood: %+v", a)
	}
	finished := tls.Client(half, config)
	if err := finished.Handshake(); err == nil { // it may have run out of time
		c := &client{t: t, conn: finished, protocol: emulator.NewClient(finished)}
		c.send(request(1, "lookup", map[string]string{"txn": "00000000000000ff"}, ""))
		if a := c.mustRead(); a.Error != "" {
			t.Errorf("the handshake that was half done: %+v", a)
		}
	}
}

// TestTLSConnectionsReleaseDescriptors: connections that end leave no descriptor behind, whichever side ends them.
func TestTLSConnectionsReleaseDescriptors(t *testing.T) {
	t.Parallel()
	w := newTLSTestbed(t, nil)
	w.start()
	config := w.clientConfig("lane3.lanes.test")
	w.dialTLS(config).send(request(1, "lookup", nil, ""))
	w.waitUntil("a box is connected", func() bool { return len(w.received(hasWord("ASK"))) > 0 })
	base := w.files()
	for id := range 20 {
		c := w.dialTLS(config)
		c.send(request(1, "lookup", map[string]string{"txn": fmt.Sprintf("%016x", id+100)}, ""))
		c.mustRead()
		if id%2 == 0 {
			c.send([]byte{0xc1, 0xc1, 0xc1}) // what can't be read has the program end it
			if _, err := c.read(); err == nil {
				t.Error("an answer to what can't be read")
			}
		}
		_ = c.conn.Close()
	}
	w.waitUntil("the descriptors are given back", func() bool { return w.files() <= base })
}

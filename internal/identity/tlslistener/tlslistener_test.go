package tlslistener

import (
	"crypto/tls"
	"crypto/x509"
	"io"
	"net"
	"os"
	"strings"
	"testing"
	"time"

	"sloequay/internal/emulator"
	"sloequay/internal/eventloop/bridge"
	"sloequay/internal/identity"
)

// openListener starts a listener that echoes what its connections send.
func openListener(t testing.TB) (*Listener, *emulator.Authority, *tls.Config) {
	t.Helper()
	ca, err := emulator.NewAuthority(t.TempDir())
	if err != nil {
		t.Fatal(err)
	}
	cert, key, err := ca.Issue("server", "doorman.test")
	if err != nil {
		t.Fatal(err)
	}
	config := Config{
		Listen:            "127.0.0.1:0",
		Cert:              cert,
		Key:               key,
		ClientCA:          ca.CertFile,
		MaxHandshakes:     32,
		HandshakeTimeout:  5 * time.Second,
		MaxConnections:    1000,
		TicketKeyRotation: time.Hour,
	}
	listener, err := Open(config,
		func([]string) (string, string) { return "", "" },
		func(conn net.Conn, _ identity.Caller) bool {
			go func() {
				_, _ = io.Copy(conn, conn)
				_ = conn.Close()
			}()
			return true
		}, func(string, ...any) {})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(listener.Close)
	roots := x509.NewCertPool()
	roots.AddCert(ca.Cert)
	return listener, ca, &tls.Config{RootCAs: roots, ServerName: "doorman.test"}
}

// TestLoad checks that files that do not match, do not exist, or that others can read are rejected with their names.
func TestLoad(t *testing.T) {
	ca, err := emulator.NewAuthority(t.TempDir())
	if err != nil {
		t.Fatal(err)
	}
	cert, key, err := ca.Issue("server", "doorman.test")
	if err != nil {
		t.Fatal(err)
	}
	_, other, err := ca.Issue("other", "doorman.test")
	if err != nil {
		t.Fatal(err)
	}
	_, open, err := ca.Issue("open", "doorman.test")
	if err != nil || os.Chmod(open, 0o644) != nil {
		t.Fatal(err)
	}
	openCert := strings.TrimSuffix(open, "-key.pem") + ".pem"
	for name, c := range map[string]struct {
		cfg  Config
		want string
	}{
		"valid":                         {Config{Cert: cert, Key: key, ClientCA: ca.CertFile}, ""},
		"key of another certificate":    {Config{Cert: cert, Key: other}, "other-key.pem"},
		"missing file":                  {Config{Cert: "/nowhere", Key: key}, "/nowhere"},
		"key that others can read":      {Config{Cert: openCert, Key: open}, "others can read it"},
		"CA file without a certificate": {Config{Cert: cert, Key: key, ClientCA: key}, "contains no certificate"},
	} {
		_, err := Load(c.cfg)
		if (err == nil) != (c.want == "") || err != nil && !strings.Contains(err.Error(), c.want) {
			t.Errorf("%s: got error %v, want %q", name, err, c.want)
		}
	}
}

// TestBackPressure checks that a side that does not read blocks the other, so that only the socket buffers fill up.
func TestBackPressure(t *testing.T) {
	listener, _, cfg := openListener(t)
	conn, err := tls.Dial("tcp", listener.socket.Address().String(), cfg)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	sent := 0
	chunk := make([]byte, 64<<10)
	for { // nothing reads the echo
		_ = conn.SetWriteDeadline(time.Now().Add(500 * time.Millisecond))
		n, err := conn.Write(chunk)
		sent += n
		if err != nil {
			break
		}
		if sent > 256<<20 {
			t.Fatalf("got %d MB written without a reader, want writes to block", sent>>20)
		}
	}
}

// BenchmarkHandshake measures the time from dialing to the first echoed byte, with new and with resumed TLS sessions.
func BenchmarkHandshake(b *testing.B) {
	listener, ca, cfg := openListener(b)
	cert, key, err := ca.Issue("client", "lane3.lanes.test")
	if err != nil {
		b.Fatal(err)
	}
	pair, err := tls.LoadX509KeyPair(cert, key)
	if err != nil {
		b.Fatal(err)
	}
	cfg.Certificates = []tls.Certificate{pair}
	connect := func(b *testing.B, c *tls.Config, resumed bool) {
		conn, err := tls.Dial("tcp", listener.socket.Address().String(), c)
		if err != nil {
			b.Fatal(err)
		}
		buf := []byte{1}
		if _, err = conn.Write(buf); err == nil {
			_, err = io.ReadFull(conn, buf)
		}
		if err != nil || conn.ConnectionState().DidResume != resumed {
			b.Fatal(err, conn.ConnectionState().DidResume)
		}
		_ = conn.Close()
	}
	b.Run("new", func(b *testing.B) {
		b.ReportAllocs()
		for range b.N {
			connect(b, cfg, false)
		}
	})
	b.Run("resumed", func(b *testing.B) {
		c := cfg.Clone()
		c.ClientSessionCache = tls.NewLRUClientSessionCache(4)
		connect(b, c, false)
		b.ReportAllocs()
		b.ResetTimer()
		for range b.N {
			connect(b, c, true)
		}
	})
}

// BenchmarkEcho measures the round trip of a small message on an open connection, over a socket pair alone and over TLS
// with a socket pair behind it.
func BenchmarkEcho(b *testing.B) {
	listener, _, cfg := openListener(b)
	run := func(conn net.Conn) func(*testing.B) {
		return func(b *testing.B) {
			buf := make([]byte, 300)
			b.ReportAllocs()
			for range b.N {
				if _, err := conn.Write(buf); err != nil {
					b.Fatal(err)
				}
				if _, err := io.ReadFull(conn, buf); err != nil {
					b.Fatal(err)
				}
			}
		}
	}
	ours, theirs, err := bridge.Pair()
	if err != nil {
		b.Fatal(err)
	}
	defer ours.Close()
	go func() { _, _ = io.Copy(theirs, theirs) }()
	b.Run("pair", run(ours))
	conn, err := tls.Dial("tcp", listener.socket.Address().String(), cfg)
	if err != nil {
		b.Fatal(err)
	}
	defer conn.Close()
	b.Run("tls+pair", run(conn))
}

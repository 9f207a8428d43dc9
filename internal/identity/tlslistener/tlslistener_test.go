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

// opened starts a listener whose connections are answered with what they send.
func opened(t testing.TB) (*Listener, *emulator.Authority, *tls.Config) {
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
	d, err := Open(config,
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
	t.Cleanup(d.Close)
	roots := x509.NewCertPool()
	roots.AddCert(ca.Cert)
	return d, ca, &tls.Config{RootCAs: roots, ServerName: "doorman.test"}
}

// TestLoad: files that do not fit, are not there, or that others can read are refused by name.
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
		"sound":                  {Config{Cert: cert, Key: key, ClientCA: ca.CertFile}, ""},
		"another's key":          {Config{Cert: cert, Key: other}, "other-key.pem"},
		"no file":                {Config{Cert: "/nowhere", Key: key}, "/nowhere"},
		"a key others can read":  {Config{Cert: openCert, Key: open}, "others can read it"},
		"no authority in a file": {Config{Cert: cert, Key: key, ClientCA: key}, "no certificate in it"},
	} {
		_, err := Load(c.cfg)
		if (err == nil) != (c.want == "") || err != nil && !strings.Contains(err.Error(), c.want) {
			t.Errorf("%s: %v, want %q", name, err, c.want)
		}
	}
}

// TestBackPressure: a side that does not read holds the other up, and nothing grows beyond the sockets' own buffers.
func TestBackPressure(t *testing.T) {
	d, _, cfg := opened(t)
	conn, err := tls.Dial("tcp", d.socket.Address().String(), cfg)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	sent := 0
	chunk := make([]byte, 64<<10)
	for { // nobody reads the echo
		_ = conn.SetWriteDeadline(time.Now().Add(500 * time.Millisecond))
		n, err := conn.Write(chunk)
		sent += n
		if err != nil {
			break
		}
		if sent > 256<<20 {
			t.Fatalf("%d MB went in with nobody reading", sent>>20)
		}
	}
}

// BenchmarkHandshake is a connection until its first byte is back: by plain TCP, by TLS new and resumed.
func BenchmarkHandshake(b *testing.B) {
	d, ca, cfg := opened(b)
	cert, key, err := ca.Issue("client", "lane3.lanes.test")
	if err != nil {
		b.Fatal(err)
	}
	pair, err := tls.LoadX509KeyPair(cert, key)
	if err != nil {
		b.Fatal(err)
	}
	cfg.Certificates = []tls.Certificate{pair}
	one := func(b *testing.B, c *tls.Config, resumed bool) {
		conn, err := tls.Dial("tcp", d.socket.Address().String(), c)
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
			one(b, cfg, false)
		}
	})
	b.Run("resumed", func(b *testing.B) {
		c := cfg.Clone()
		c.ClientSessionCache = tls.NewLRUClientSessionCache(4)
		one(b, c, false)
		b.ReportAllocs()
		b.ResetTimer()
		for range b.N {
			one(b, c, true)
		}
	})
}

// BenchmarkEcho is a small message there and back on a connection that stands: by the bare pair of sockets, and by
// TLS and the pair behind it.
func BenchmarkEcho(b *testing.B) {
	d, _, cfg := opened(b)
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
	conn, err := tls.Dial("tcp", d.socket.Address().String(), cfg)
	if err != nil {
		b.Fatal(err)
	}
	defer conn.Close()
	b.Run("tls+pair", run(conn))
}

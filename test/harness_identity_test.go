package test

import (
	"crypto/tls"
	"crypto/x509"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"sloequay/internal/emulator"
)

// keyring works a directory of keys by the program's own commands.
type keyring struct {
	t   *testing.T
	dir string
}

func (k keyring) run(args ...string) (string, error) {
	out, err := exec.Command(program, append(args, "--dir", k.dir)...).CombinedOutput()
	return strings.TrimSpace(string(out)), err
}

func (k keyring) must(args ...string) string {
	k.t.Helper()
	out, err := k.run(args...)
	if err != nil {
		k.t.Fatalf("%v: %v: %s", args, err, out)
	}
	return out
}

func (k keyring) token(subject, tenant string, life time.Duration) string {
	k.t.Helper()
	return k.must("token", "sign", "--subject", subject, "--tenant", tenant, "--life", life.String(), "--audience", "doorman")
}

// enableIdentity turns identity on: lanes may charge, staff may look up, and callers without a token may do what extra says.
func (w *testbed) enableIdentity(extra string) keyring {
	w.t.Helper()
	k := keyring{w.t, filepath.Join(w.t.TempDir(), "keys")}
	k.must("key", "new", "--id", "k1")
	w.addSettings("identity {\nkeys " + k.dir + "\naudience doorman\nskew 0s\nrole reader {\nright lookup footage\n}\n" +
		"tenant lanes {\nright charge\nrole reader\n}\ntenant staff {\nrole reader\n}\n" + extra + "\n}")
	return k
}

// tlsTestbed has identity with a TLS door, and certificates for a lane and a terminal.
type tlsTestbed struct {
	*testbed
	ca      *emulator.Authority
	address string
	cert    string
	key     string
}

func newTLSTestbed(t *testing.T, script func(*receivedRequest)) *tlsTestbed {
	w := &tlsTestbed{testbed: newTestbed(t, script)}
	var err error
	if w.ca, err = emulator.NewAuthority(t.TempDir()); err == nil {
		w.cert, w.key, err = w.ca.Make("server", "doorman.test")
	}
	if err != nil {
		t.Fatal(err)
	}
	w.address = w.freeAddress()
	w.enableIdentity("tls {\nlisten " + w.address + "\ncert " + w.cert + "\nkey " + w.key + "\nclient-ca " + w.ca.File + "\nlimit 500ms\nhandshakes 4\n}\n" +
		"tenant controllers {\nright charge lookup front=tls\ncertificate *.lanes.test\n}\ntenant terminals {\nright lookup\ncertificate t7.staff.test\n}")
	return w
}

// clientConfig is a client's, with a certificate for a name; empty: none.
func (w *tlsTestbed) clientConfig(name string) *tls.Config {
	w.t.Helper()
	roots := x509.NewCertPool()
	roots.AddCert(w.ca.Cert)
	c := &tls.Config{RootCAs: roots, ServerName: "doorman.test", ClientSessionCache: tls.NewLRUClientSessionCache(8)}
	if name != "" {
		cert, key, err := w.ca.Make(strings.ReplaceAll(name, ".", "-"), name)
		if err != nil {
			w.t.Fatal(err)
		}
		pair, err := tls.LoadX509KeyPair(cert, key)
		if err != nil {
			w.t.Fatal(err)
		}
		c.Certificates = []tls.Certificate{pair}
	}
	return c
}

func (w *tlsTestbed) dialTLS(c *tls.Config) *client {
	w.t.Helper()
	conn, err := tls.Dial("tcp", w.address, c)
	if err != nil {
		w.t.Fatal(err)
	}
	w.t.Cleanup(func() { _ = conn.Close() })
	return &client{t: w.t, conn: conn, protocol: emulator.NewClient(conn)}
}

func (w *testbed) certificate(ca *emulator.Authority, name string) tls.Certificate {
	w.t.Helper()
	cert, key, err := ca.Make(strings.ReplaceAll(name, ".", "-"), name)
	if err != nil {
		w.t.Fatal(err)
	}
	p, err := tls.LoadX509KeyPair(cert, key)
	if err != nil {
		w.t.Fatal(err)
	}
	return p
}

// replaceFile puts a file in another's place, as operators do.
func replaceFile(t *testing.T, from, to string) {
	t.Helper()
	text, err := os.ReadFile(from)
	if err == nil {
		err = os.WriteFile(to+".new", text, 0o600)
	}
	if err == nil {
		err = os.Rename(to+".new", to)
	}
	if err != nil {
		t.Fatal(err)
	}
}

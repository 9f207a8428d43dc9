package test

import (
	"crypto/tls"
	"crypto/x509"
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

// newKeyring names a directory that is not there yet.
func newKeyring(t *testing.T) keyring {
	t.Helper()
	return keyring{t, filepath.Join(t.TempDir(), "keys")}
}

// run runs a command on the directory.
func (k keyring) run(args ...string) (string, error) {
	out, err := exec.Command(programPath, append(args, "--dir", k.dir)...).CombinedOutput()
	return strings.TrimSpace(string(out)), err
}

// mustRun is run for a command that must succeed.
func (k keyring) mustRun(args ...string) string {
	k.t.Helper()
	out, err := k.run(args...)
	if err != nil {
		k.t.Fatalf("%v: %v, want it to succeed: %s", args, err, out)
	}
	return out
}

// token signs one for a subject, which is valid so long.
func (k keyring) token(subject, tenant string, life time.Duration) string {
	k.t.Helper()
	return k.mustRun("token", "sign", "--subject", subject, "--tenant", tenant, "--life", life.String(),
		"--audience", "proxy")
}

// enableIdentity turns identity on: lanes may charge, staff may look up, and callers without a token may do what
// extra says.
func (bed *testbed) enableIdentity(extra string) keyring {
	bed.t.Helper()
	keys := newKeyring(bed.t)
	keys.mustRun("key", "new", "--id", "k1")
	bed.addSettings("identity {", "keys "+keys.dir, "audience proxy", "skew 0s",
		"role reader {", "right lookup footage", "}",
		"tenant lanes {", "right charge", "role reader", "}",
		"tenant staff {", "role reader", "}",
		extra, "}")
	return keys
}

// newAuthority makes one that signs certificates.
func newAuthority(t *testing.T) *emulator.Authority {
	t.Helper()
	authority, err := emulator.NewAuthority(t.TempDir())
	if err != nil {
		t.Fatal(err)
	}
	return authority
}

// makeCertificateFiles makes a certificate for a name, and gives the paths of it and of its key, which are named by
// base. A second call with the same base replaces both.
func makeCertificateFiles(t *testing.T, authority *emulator.Authority, base, name string) (cert, key string) {
	t.Helper()
	cert, key, err := authority.Make(base, name)
	if err != nil {
		t.Fatal(err)
	}
	return cert, key
}

// makeCertificate makes a certificate for a name and loads it.
func makeCertificate(t *testing.T, authority *emulator.Authority, name string) tls.Certificate {
	t.Helper()
	cert, key := makeCertificateFiles(t, authority, strings.ReplaceAll(name, ".", "-"), name)
	pair, err := tls.LoadX509KeyPair(cert, key)
	if err != nil {
		t.Fatal(err)
	}
	return pair
}

// tlsTestbed has identity with a TLS listener, and tenants for the certificates of lanes and of a terminal.
type tlsTestbed struct {
	*testbed
	authority  *emulator.Authority
	tlsAddress string
	cert       string // path of the listener's certificate
	key        string // path of its key
}

func newTLSTestbed(t *testing.T, respond func(*receivedRequest)) *tlsTestbed {
	t.Helper()
	bed := &tlsTestbed{testbed: newTestbed(t, respond), authority: newAuthority(t)}
	bed.enableTLS("")
	return bed
}

// enableTLS turns identity on with a TLS listener; extra is added to the block of identity.
func (bed *tlsTestbed) enableTLS(extra string) {
	bed.t.Helper()
	bed.cert, bed.key = makeCertificateFiles(bed.t, bed.authority, "server", "proxy.test")
	bed.tlsAddress = bed.freeAddress()
	bed.enableIdentity(strings.Join([]string{
		"tls {", "listen " + bed.tlsAddress, "cert " + bed.cert, "key " + bed.key, "client-ca " + bed.authority.File,
		"limit 500ms", "handshakes 4", "}",
		"tenant controllers {", "right charge lookup front=tls", "certificate *.lanes.test", "}",
		"tenant terminals {", "right lookup", "certificate t7.staff.test", "}", extra}, "\n"))
}

// clientConfig is a client's, with a certificate for a name; empty: none.
func (bed *tlsTestbed) clientConfig(name string) *tls.Config {
	bed.t.Helper()
	roots := x509.NewCertPool()
	roots.AddCert(bed.authority.Cert)
	config := &tls.Config{RootCAs: roots, ServerName: "proxy.test",
		ClientSessionCache: tls.NewLRUClientSessionCache(8)}
	if name != "" {
		config.Certificates = []tls.Certificate{makeCertificate(bed.t, bed.authority, name)}
	}
	return config
}

// dialTLS connects a client by TLS, until the test ends.
func (bed *tlsTestbed) dialTLS(config *tls.Config) *client {
	bed.t.Helper()
	conn, err := tls.Dial("tcp", bed.tlsAddress, config)
	if err != nil {
		bed.t.Fatal(err)
	}
	bed.t.Cleanup(func() { _ = conn.Close() })
	return newClient(bed.t, conn)
}

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

// keyring manages a key directory with the program's own commands.
type keyring struct {
	t   *testing.T
	dir string
}

// newKeyring returns a keyring whose directory does not exist yet.
func newKeyring(t *testing.T) keyring {
	t.Helper()
	return keyring{t, filepath.Join(t.TempDir(), "keys")}
}

// run runs a command of the program on the key directory and returns its output.
func (k keyring) run(args ...string) (string, error) {
	out, err := exec.Command(programPath, append(args, "--dir", k.dir)...).CombinedOutput()
	return strings.TrimSpace(string(out)), err
}

// mustRun is like run but fails the test if the command fails.
func (k keyring) mustRun(args ...string) string {
	k.t.Helper()
	out, err := k.run(args...)
	if err != nil {
		k.t.Fatalf("command %v: got error %v, want success; output: %s", args, err, out)
	}
	return out
}

// token signs a token for a subject of a tenant, valid for lifetime.
func (k keyring) token(subject, tenant string, lifetime time.Duration) string {
	k.t.Helper()
	return k.mustRun("token", "sign", "--subject", subject, "--tenant", tenant, "--life", lifetime.String(),
		"--audience", "proxy")
}

// enableIdentity enables identity with two tenants: lanes may send charge, lookup and footage requests, staff only
// lookup and footage. extra is added to the identity block of the settings; it can grant rights to callers without a
// token.
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

// newAuthority creates a certificate authority.
func newAuthority(t *testing.T) *emulator.Authority {
	t.Helper()
	authority, err := emulator.NewAuthority(t.TempDir())
	if err != nil {
		t.Fatal(err)
	}
	return authority
}

// makeCertificateFiles creates a certificate for a name, and returns the paths of the certificate and its key. base is
// the prefix of both file names; a second call with the same base replaces both files.
func makeCertificateFiles(t *testing.T, authority *emulator.Authority, base, name string) (cert, key string) {
	t.Helper()
	cert, key, err := authority.Issue(base, name)
	if err != nil {
		t.Fatal(err)
	}
	return cert, key
}

// makeCertificate creates a certificate for a name and loads it.
func makeCertificate(t *testing.T, authority *emulator.Authority, name string) tls.Certificate {
	t.Helper()
	cert, key := makeCertificateFiles(t, authority, strings.ReplaceAll(name, ".", "-"), name)
	pair, err := tls.LoadX509KeyPair(cert, key)
	if err != nil {
		t.Fatal(err)
	}
	return pair
}

// tlsTestbed is a testbed with identity, a TLS listener, and tenants for the certificates of lanes and of one terminal.
type tlsTestbed struct {
	*testbed
	authority  *emulator.Authority
	tlsAddress string
	cert       string // path of the listener's certificate file
	key        string // path of the listener's key file
}

func newTLSTestbed(t *testing.T, respond func(*receivedRequest)) *tlsTestbed {
	t.Helper()
	bed := &tlsTestbed{testbed: newTestbed(t, respond), authority: newAuthority(t)}
	bed.enableTLS("")
	return bed
}

// enableTLS enables identity with a TLS listener; extra is added to the identity block of the settings.
func (bed *tlsTestbed) enableTLS(extra string) {
	bed.t.Helper()
	bed.cert, bed.key = makeCertificateFiles(bed.t, bed.authority, "server", "proxy.test")
	bed.tlsAddress = bed.freeAddress()
	bed.enableIdentity(strings.Join([]string{
		"tls {", "listen " + bed.tlsAddress, "cert " + bed.cert, "key " + bed.key,
		"client-ca " + bed.authority.CertFile,
		"limit 500ms", "handshakes 4", "}",
		"tenant controllers {", "right charge lookup front=tls", "certificate *.lanes.test", "}",
		"tenant terminals {", "right lookup", "certificate t7.staff.test", "}", extra}, "\n"))
}

// clientConfig returns a client's TLS configuration, with a certificate for name; if name is empty, with none.
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

// dialTLS connects a client by TLS. The connection is closed when the test ends.
func (bed *tlsTestbed) dialTLS(config *tls.Config) *client {
	bed.t.Helper()
	conn, err := tls.Dial("tcp", bed.tlsAddress, config)
	if err != nil {
		bed.t.Fatal(err)
	}
	bed.t.Cleanup(func() { _ = conn.Close() })
	return newClient(bed.t, conn)
}

package emulator

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"errors"
	"math/big"
	"os"
	"path/filepath"
	"time"
)

// validity is how long before and after its making a certificate is valid.
const validity = time.Hour

// Authority signs certificates and writes them to a folder as PEM files.
type Authority struct {
	Dir      string
	CertFile string // its own certificate
	Cert     *x509.Certificate

	key        *ecdsa.PrivateKey
	lastSerial int64
}

// NewAuthority makes one with its own certificate in a folder.
func NewAuthority(dir string) (*Authority, error) {
	authority := &Authority{Dir: dir}
	var err error
	authority.CertFile, _, err = authority.Issue("ca")
	return authority, err
}

// Issue writes NAME.pem and NAME-key.pem, for servers and clients alike, with the DNS names given. The first one is the
// authority's own.
func (a *Authority) Issue(name string, dnsNames ...string) (certFile, keyFile string, err error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return "", "", err
	}
	certificate, err := a.sign(key, name, dnsNames)
	if err != nil {
		return "", "", err
	}
	keyBytes, err := x509.MarshalECPrivateKey(key)
	if err != nil {
		return "", "", err
	}
	certFile = filepath.Join(a.Dir, name+".pem")
	keyFile = filepath.Join(a.Dir, name+"-key.pem")
	return certFile, keyFile, errors.Join(writePEM(certFile, "CERTIFICATE", certificate),
		writePEM(keyFile, "EC PRIVATE KEY", keyBytes))
}

// sign makes a certificate for a key. The first one is signed by its own key, which is the authority's from then on.
func (a *Authority) sign(key *ecdsa.PrivateKey, name string, dnsNames []string) ([]byte, error) {
	a.lastSerial++
	template := &x509.Certificate{
		SerialNumber: big.NewInt(a.lastSerial),
		Subject:      pkix.Name{CommonName: name},
		DNSNames:     dnsNames,
		NotBefore:    time.Now().Add(-validity),
		NotAfter:     time.Now().Add(validity),
		KeyUsage:     x509.KeyUsageDigitalSignature,
		ExtKeyUsage:  []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	if a.Cert != nil {
		return x509.CreateCertificate(rand.Reader, template, a.Cert, &key.PublicKey, a.key)
	}
	template.IsCA = true
	template.BasicConstraintsValid = true
	template.KeyUsage = x509.KeyUsageCertSign
	certificate, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	if err != nil {
		return nil, err
	}
	a.key = key
	a.Cert, err = x509.ParseCertificate(certificate)
	return certificate, err
}

func writePEM(path, kind string, content []byte) error {
	return os.WriteFile(path, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: content}), 0o600)
}

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

// validityMargin is how long a certificate is valid before and after its time of issue.
const validityMargin = time.Hour

// Authority is a certificate authority that writes the certificates and their keys to a directory as PEM files.
type Authority struct {
	Dir      string
	CertFile string // the path of the authority's own certificate
	Cert     *x509.Certificate

	key        *ecdsa.PrivateKey
	lastSerial int64
}

// NewAuthority creates an authority, and writes its own certificate and key to dir as ca.pem and ca-key.pem.
func NewAuthority(dir string) (*Authority, error) {
	authority := &Authority{Dir: dir}
	var err error
	authority.CertFile, _, err = authority.Issue("ca")
	return authority, err
}

// Issue writes a certificate with the given DNS names, for servers and clients alike, to NAME.pem and its key to
// NAME-key.pem. The first certificate that is issued is the authority's own.
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

// sign returns a certificate for a key. The first one is self-signed, and its key becomes the authority's key.
func (a *Authority) sign(key *ecdsa.PrivateKey, name string, dnsNames []string) ([]byte, error) {
	a.lastSerial++
	template := &x509.Certificate{
		SerialNumber: big.NewInt(a.lastSerial),
		Subject:      pkix.Name{CommonName: name},
		DNSNames:     dnsNames,
		NotBefore:    time.Now().Add(-validityMargin),
		NotAfter:     time.Now().Add(validityMargin),
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

func writePEM(path, blockType string, content []byte) error {
	return os.WriteFile(path, pem.EncodeToMemory(&pem.Block{Type: blockType, Bytes: content}), 0o600)
}

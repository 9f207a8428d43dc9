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

// Authority is a stand-in for what signs certificates: it writes them to a folder as PEM files.
type Authority struct {
	Dir  string
	File string // its own certificate
	Cert *x509.Certificate
	key  *ecdsa.PrivateKey
	next int64
}

// NewAuthority makes one with its own certificate in a folder.
func NewAuthority(dir string) (*Authority, error) {
	a := &Authority{Dir: dir}
	var err error
	a.File, _, err = a.Make("ca")
	return a, err
}

// Make writes NAME.pem and NAME-key.pem, for servers and clients alike, valid for an hour, with the names told.
func (a *Authority) Make(name string, names ...string) (cert, key string, err error) {
	k, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return "", "", err
	}
	a.next++
	template := &x509.Certificate{SerialNumber: big.NewInt(a.next), Subject: pkix.Name{CommonName: name}, DNSNames: names,
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour), KeyUsage: x509.KeyUsageDigitalSignature,
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth}}
	parent, signer := a.Cert, a.key
	if parent == nil {
		template.IsCA, template.BasicConstraintsValid, template.KeyUsage = true, true, x509.KeyUsageCertSign
		parent, signer = template, k
	}
	der, err := x509.CreateCertificate(rand.Reader, template, parent, &k.PublicKey, signer)
	if err != nil {
		return "", "", err
	}
	if a.Cert == nil {
		a.key = k
		if a.Cert, err = x509.ParseCertificate(der); err != nil {
			return "", "", err
		}
	}
	raw, err := x509.MarshalECPrivateKey(k)
	if err != nil {
		return "", "", err
	}
	cert, key = filepath.Join(a.Dir, name+".pem"), filepath.Join(a.Dir, name+"-key.pem")
	return cert, key, errors.Join(os.WriteFile(cert, pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der}), 0o600),
		os.WriteFile(key, pem.EncodeToMemory(&pem.Block{Type: "EC PRIVATE KEY", Bytes: raw}), 0o600))
}

package authenticator

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"os"
	"path/filepath"
	"time"
)

// Authority is a minimal certificate authority for demonstrations and tests. Deployments use
// their own CA.
type Authority struct {
	// CAFile is the PEM file with the certificate of the authority.
	CAFile string

	dir         string
	certificate *x509.Certificate
	key         *ecdsa.PrivateKey
}

// serialBits is the size of the random serial numbers of certificates.
const serialBits = 120

// NewAuthority creates an authority that writes its files to dir.
func NewAuthority(dir string, validUntil time.Time) (*Authority, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, err
	}
	a := &Authority{CAFile: filepath.Join(dir, "ca.pem"), dir: dir, key: key}
	template := &x509.Certificate{
		SerialNumber:          big.NewInt(1),
		Subject:               pkix.Name{CommonName: "lentilbridge"},
		NotAfter:              validUntil,
		IsCA:                  true,
		BasicConstraintsValid: true,
		KeyUsage:              x509.KeyUsageCertSign,
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	if err != nil {
		return nil, err
	}
	if a.certificate, err = x509.ParseCertificate(der); err != nil {
		return nil, err
	}
	return a, writePEM(a.CAFile, "CERTIFICATE", der)
}

// Issue creates a key and a certificate for a daemon and writes them to files.
func (a *Authority) Issue(vm string, role Role, validUntil time.Time) (certFile, keyFile string, err error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return "", "", err
	}
	serial, err := rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), serialBits))
	if err != nil {
		return "", "", err
	}
	template := &x509.Certificate{
		SerialNumber: serial,
		Subject:      pkix.Name{CommonName: vm, OrganizationalUnit: []string{string(role)}},
		NotAfter:     validUntil,
	}
	der, err := x509.CreateCertificate(rand.Reader, template, a.certificate, &key.PublicKey, a.key)
	if err != nil {
		return "", "", err
	}
	encoded, err := x509.MarshalECPrivateKey(key)
	if err != nil {
		return "", "", err
	}
	certFile = filepath.Join(a.dir, vm+".cert.pem")
	keyFile = filepath.Join(a.dir, vm+".key.pem")
	if err := writePEM(certFile, "CERTIFICATE", der); err != nil {
		return "", "", err
	}
	return certFile, keyFile, writePEM(keyFile, "EC PRIVATE KEY", encoded)
}

func writePEM(file, kind string, der []byte) error {
	return os.WriteFile(file, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der}), 0o600)
}

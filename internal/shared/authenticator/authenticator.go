// Package authenticator secures the gRPC connections between daemons with mutual TLS. The
// organizational unit of a certificate is the role of its holder, entry or agent. Each gRPC
// method accepts one role, so that an agent cannot send orders and a process without a
// certificate cannot call any method.
package authenticator

import (
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"os"
	"slices"
	"sync"
	"time"

	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/credentials/insecure"
)

// Role determines the gRPC methods that a daemon may call.
type Role string

// Roles of daemons, as written in certificates.
const (
	RoleEntry Role = "entry"
	RoleAgent Role = "agent"
)

// reloadInterval is the time after which the files are read again. Certificates can thus be
// renewed without a restart.
const reloadInterval = 10 * time.Second

// Authenticator provides TLS credentials from PEM files. If it is nil or no file is set,
// connections are not encrypted or authenticated. Exported fields must be set before use.
type Authenticator struct {
	CertFile string
	KeyFile  string
	CAFile   string
	// Now returns the current time; nil means time.Now.
	Now func() time.Time

	mu       sync.Mutex
	loadedAt time.Time
	loaded   *keyMaterial
}

// keyMaterial is the parsed content of the files.
type keyMaterial struct {
	certificate tls.Certificate
	roots       *x509.CertPool
}

// FileError reports a TLS file that cannot be used.
type FileError struct {
	File  string
	Cause error
}

func (e *FileError) Error() string { return fmt.Sprintf("TLS file %q: %v", e.File, e.Cause) }

func (e *FileError) Unwrap() error { return e.Cause }

// RoleError reports a peer whose certificate has none of the needed roles.
type RoleError struct {
	Needed []Role
	Found  []string
}

func (e *RoleError) Error() string {
	return fmt.Sprintf("peer has the roles %q, one of %q is needed", e.Found, e.Needed)
}

// Enabled reports whether any of the files is set.
func (a *Authenticator) Enabled() bool {
	return a != nil && (a.CertFile != "" || a.KeyFile != "" || a.CAFile != "")
}

// Check validates the settings and reads the files, so that a daemon with wrong settings
// fails at start.
func (a *Authenticator) Check() error {
	if !a.Enabled() {
		return nil
	}
	for _, file := range []string{a.CertFile, a.KeyFile, a.CAFile} {
		if file == "" {
			return errors.New("certificate, key and CA are set together or not at all")
		}
	}
	_, err := a.keyMaterial(a.now())
	return err
}

// Server returns the credentials of a gRPC server.
func (a *Authenticator) Server() credentials.TransportCredentials {
	if !a.Enabled() {
		return insecure.NewCredentials()
	}
	return credentials.NewTLS(&tls.Config{
		MinVersion: tls.VersionTLS13,
		ClientAuth: tls.RequireAnyClientCert,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
			return a.certificate()
		},
		VerifyConnection: a.verify,
	})
}

// Client returns the credentials of connections to other daemons. It verifies the chain and
// the role of a certificate but not its name, because the addresses of daemons change.
func (a *Authenticator) Client() credentials.TransportCredentials {
	if !a.Enabled() {
		return insecure.NewCredentials()
	}
	return credentials.NewTLS(&tls.Config{
		MinVersion: tls.VersionTLS13,
		// VerifyConnection verifies the chain instead; the host name is not verified.
		InsecureSkipVerify: true,
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			return a.certificate()
		},
		VerifyConnection: a.verify,
	})
}

// verify verifies the certificate chain of the peer against the CA and requires one of the
// roles. It accepts any extended key usage, because a daemon uses the same certificate as a
// client and as a server.
func (a *Authenticator) verify(state tls.ConnectionState) error {
	m, err := a.keyMaterial(a.now())
	if err != nil {
		return err
	}
	if len(state.PeerCertificates) == 0 {
		return errors.New("peer has no certificate")
	}
	leaf := state.PeerCertificates[0]
	intermediates := x509.NewCertPool()
	for _, c := range state.PeerCertificates[1:] {
		intermediates.AddCert(c)
	}
	_, err = leaf.Verify(x509.VerifyOptions{
		Roots:         m.roots,
		Intermediates: intermediates,
		CurrentTime:   a.now(),
		KeyUsages:     []x509.ExtKeyUsage{x509.ExtKeyUsageAny},
	})
	if err != nil {
		return err
	}
	return checkRole(leaf, RoleEntry, RoleAgent)
}

// checkRole returns a *RoleError unless the certificate has one of the needed roles.
func checkRole(leaf *x509.Certificate, needed ...Role) error {
	for _, role := range needed {
		if slices.Contains(leaf.Subject.OrganizationalUnit, string(role)) {
			return nil
		}
	}
	return &RoleError{Needed: needed, Found: leaf.Subject.OrganizationalUnit}
}

func (a *Authenticator) certificate() (*tls.Certificate, error) {
	m, err := a.keyMaterial(a.now())
	if err != nil {
		return nil, err
	}
	return &m.certificate, nil
}

// keyMaterial returns the content of the files and reads them again after reloadInterval. If
// that fails, it keeps returning the content that was read before.
func (a *Authenticator) keyMaterial(now time.Time) (*keyMaterial, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.loaded != nil && now.Sub(a.loadedAt) < reloadInterval {
		return a.loaded, nil
	}
	m, err := a.load()
	if err != nil {
		if a.loaded != nil {
			return a.loaded, nil
		}
		return nil, err
	}
	a.loaded, a.loadedAt = m, now
	return m, nil
}

// load reads and parses the files.
func (a *Authenticator) load() (*keyMaterial, error) {
	certificate, err := tls.LoadX509KeyPair(a.CertFile, a.KeyFile)
	if err != nil {
		return nil, &FileError{File: a.CertFile, Cause: err}
	}
	pem, err := os.ReadFile(a.CAFile)
	if err != nil {
		return nil, &FileError{File: a.CAFile, Cause: err}
	}
	roots := x509.NewCertPool()
	if !roots.AppendCertsFromPEM(pem) {
		return nil, &FileError{File: a.CAFile, Cause: errors.New("contains no certificate")}
	}
	return &keyMaterial{certificate: certificate, roots: roots}, nil
}

func (a *Authenticator) now() time.Time {
	if a.Now != nil {
		return a.Now()
	}
	return time.Now()
}

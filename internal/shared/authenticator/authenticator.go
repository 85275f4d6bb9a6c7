// Package authenticator protects the gRPC connections between daemons by
// mutual TLS. A certificate names the role of its holder, entry or agent, in
// an organizational unit; each method accepts one role, so that an agent
// cannot give orders and a process without a certificate can do nothing.
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

// Role is what a daemon may do to others.
type Role string

// Roles of daemons, as they stand in certificates.
const (
	RoleEntry Role = "entry"
	RoleAgent Role = "agent"
)

// reloadEvery is the longest time for which replaced files go unnoticed.
// Certificates can be renewed without a restart.
const reloadEvery = 10 * time.Second

// Authenticator makes credentials from files. Without files, or when it is
// nil, connections are not protected. Its exported fields are set before use.
type Authenticator struct {
	CertFile string
	KeyFile  string
	CAFile   string
	// Now is time.Now when nil.
	Now func() time.Time

	mu       sync.Mutex
	loadedAt time.Time
	loaded   *material
}

// material is what the files held when they were read last.
type material struct {
	certificate tls.Certificate
	roots       *x509.CertPool
}

// FilesError reports files that cannot be used.
type FilesError struct {
	File  string
	Cause error
}

func (e *FilesError) Error() string { return fmt.Sprintf("TLS file %q: %v", e.File, e.Cause) }

func (e *FilesError) Unwrap() error { return e.Cause }

// RoleError reports a peer whose certificate does not have a needed role.
type RoleError struct {
	Needed []Role
	Found  []string
}

func (e *RoleError) Error() string {
	return fmt.Sprintf("peer has the roles %q, one of %q is needed", e.Found, e.Needed)
}

// Enabled reports whether files are set.
func (a *Authenticator) Enabled() bool {
	return a != nil && (a.CertFile != "" || a.KeyFile != "" || a.CAFile != "")
}

// Check reads the files, so that a wrong setting stops the start.
func (a *Authenticator) Check() error {
	if !a.Enabled() {
		return nil
	}
	for _, file := range []string{a.CertFile, a.KeyFile, a.CAFile} {
		if file == "" {
			return errors.New("certificate, key and CA are set together or not at all")
		}
	}
	_, err := a.material(a.now())
	return err
}

// Server returns the credentials of a listener.
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

// Client returns the credentials of connections to other daemons. Daemons are
// reached by addresses that change, so that the chain and the role count and
// not the name in the certificate.
func (a *Authenticator) Client() credentials.TransportCredentials {
	if !a.Enabled() {
		return insecure.NewCredentials()
	}
	return credentials.NewTLS(&tls.Config{
		MinVersion: tls.VersionTLS13,
		// VerifyConnection checks the chain instead.
		InsecureSkipVerify: true,
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			return a.certificate()
		},
		VerifyConnection: a.verify,
	})
}

// verify checks the peer's chain against the CA, for both usages, and that it
// has a role at all.
func (a *Authenticator) verify(state tls.ConnectionState) error {
	m, err := a.material(a.now())
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

func checkRole(leaf *x509.Certificate, needed ...Role) error {
	for _, role := range needed {
		if slices.Contains(leaf.Subject.OrganizationalUnit, string(role)) {
			return nil
		}
	}
	return &RoleError{Needed: needed, Found: leaf.Subject.OrganizationalUnit}
}

func (a *Authenticator) certificate() (*tls.Certificate, error) {
	m, err := a.material(a.now())
	if err != nil {
		return nil, err
	}
	return &m.certificate, nil
}

// material returns the content of the files, read again after a while. Files
// that cannot be read now do not replace content that could be read before.
func (a *Authenticator) material(now time.Time) (*material, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.loaded != nil && now.Sub(a.loadedAt) < reloadEvery {
		return a.loaded, nil
	}
	m, err := a.read()
	if err != nil {
		if a.loaded != nil {
			return a.loaded, nil
		}
		return nil, err
	}
	a.loaded, a.loadedAt = m, now
	return m, nil
}

func (a *Authenticator) read() (*material, error) {
	certificate, err := tls.LoadX509KeyPair(a.CertFile, a.KeyFile)
	if err != nil {
		return nil, &FilesError{File: a.CertFile, Cause: err}
	}
	pem, err := os.ReadFile(a.CAFile)
	if err != nil {
		return nil, &FilesError{File: a.CAFile, Cause: err}
	}
	roots := x509.NewCertPool()
	if !roots.AppendCertsFromPEM(pem) {
		return nil, &FilesError{File: a.CAFile, Cause: errors.New("holds no certificate")}
	}
	return &material{certificate: certificate, roots: roots}, nil
}

func (a *Authenticator) now() time.Time {
	if a.Now != nil {
		return a.Now()
	}
	return time.Now()
}

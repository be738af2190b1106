package keys

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"net"
	"sync"
	"time"

	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/credentials/insecure"
)

// Source provides the TLS configurations of one instance; it is safe for concurrent use.
//
// The files are read before each handshake, so that a change applies from the next connection on. If the files cannot
// be used, the last valid ones stay in use. A nil source uses no TLS.
type Source struct {
	files        Files
	now          func() time.Time
	report       func(error)
	mu           sync.Mutex
	loaded       *parsedFiles
	lastContents fileContents
}

// New reads the files and returns their source; report is called with each later error of reading them.
//
// An incomplete set returns *IncompleteError, and a file that cannot be used returns *FileError.
func New(files Files, now func() time.Time, report func(error)) (*Source, error) {
	if err := files.check(); err != nil {
		return nil, err
	}
	contents, err := files.read()
	if err != nil {
		return nil, err
	}
	loaded, err := files.parse(contents)
	if err != nil {
		return nil, err
	}
	return &Source{files: files, now: now, report: report, loaded: loaded, lastContents: contents}, nil
}

// Plain returns a source without TLS.
func Plain() *Source { return &Source{loaded: &parsedFiles{}} }

// Mutual reports whether the system's own processes use TLS with one another.
func (s *Source) Mutual() bool { return s != nil && s.files.Certificate != "" }

// current returns the certificate and the authority, reloaded if the files have changed.
func (s *Source) current() *parsedFiles {
	s.mu.Lock()
	defer s.mu.Unlock()
	contents, err := s.files.read()
	if err != nil {
		s.report(err)
		return s.loaded
	}
	if contents == s.lastContents {
		return s.loaded
	}
	s.lastContents = contents
	loaded, err := s.files.parse(contents)
	if err != nil {
		s.report(err)
		return s.loaded
	}
	s.loaded = loaded
	return loaded
}

// Server returns the credentials of a gRPC server that requires client certificates signed by the authority.
func (s *Source) Server() credentials.TransportCredentials {
	if !s.Mutual() {
		return insecure.NewCredentials()
	}
	return credentials.NewTLS(&tls.Config{
		MinVersion:             tls.VersionTLS13,
		ClientAuth:             tls.RequireAnyClientCert,
		SessionTicketsDisabled: true,
		GetCertificate:         s.serverCertificate,
		VerifyConnection: func(state tls.ConnectionState) error {
			_, err := s.verify(state, x509.ExtKeyUsageClientAuth)
			return err
		},
	})
}

// Client returns the credentials of a gRPC client that connects only to the instance expectName, or to any instance
// if it is empty.
func (s *Source) Client(expectName string) credentials.TransportCredentials {
	if !s.Mutual() {
		return insecure.NewCredentials()
	}
	return credentials.NewTLS(&tls.Config{
		MinVersion: tls.VersionTLS13,
		// VerifyConnection checks the chain and the name: instances are identified by name and not by host.
		InsecureSkipVerify: true,
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			return s.current().certificate, nil
		},
		VerifyConnection: func(state tls.ConnectionState) error {
			identity, err := s.verify(state, x509.ExtKeyUsageServerAuth)
			if err == nil && expectName != "" && identity.Name != expectName {
				return &NameError{Want: expectName, Got: identity}
			}
			return err
		},
	})
}

// HTTPServer returns the TLS configuration of an HTTP server for callers or operators, or nil if the instance
// uses no TLS.
func (s *Source) HTTPServer() *tls.Config {
	if !s.Mutual() {
		return nil
	}
	return &tls.Config{MinVersion: tls.VersionTLS12, GetCertificate: s.serverCertificate}
}

// HTTPClient returns the TLS configuration of an HTTP client that trusts the authority, or nil without an
// authority file.
func (s *Source) HTTPClient() *tls.Config {
	if s == nil || s.files.Authority == "" {
		return nil
	}
	return &tls.Config{MinVersion: tls.VersionTLS12, RootCAs: s.current().authority}
}

// CheckClaim returns *ClaimError if the peer of a gRPC call is not the instance that it claims to be; without TLS it
// returns nil.
func (s *Source) CheckClaim(ctx context.Context, name, region string) error {
	if !s.Mutual() {
		return nil
	}
	got, ok := Peer(ctx)
	if !ok || got.Name != name || got.Region != region {
		return &ClaimError{Name: name, Region: region, Got: got}
	}
	return nil
}

func (s *Source) serverCertificate(*tls.ClientHelloInfo) (*tls.Certificate, error) {
	return s.current().certificate, nil
}

// verify checks the peer's certificate chain against the current authority and returns the instance that it names.
func (s *Source) verify(state tls.ConnectionState, usage x509.ExtKeyUsage) (Identity, error) {
	if len(state.PeerCertificates) == 0 {
		return Identity{}, &NoCertificateError{}
	}
	intermediates := x509.NewCertPool()
	for _, c := range state.PeerCertificates[1:] {
		intermediates.AddCert(c)
	}
	leaf := state.PeerCertificates[0]
	_, err := leaf.Verify(x509.VerifyOptions{
		Roots:         s.current().authority,
		Intermediates: intermediates,
		CurrentTime:   s.now(),
		KeyUsages:     []x509.ExtKeyUsage{usage},
	})
	if err != nil {
		return Identity{}, err
	}
	return IdentityOf(leaf)
}

// Listener returns a listener of TLS connections for callers or operators, or l itself if the instance uses no
// TLS.
func (s *Source) Listener(l net.Listener) net.Listener {
	if cfg := s.HTTPServer(); cfg != nil {
		return tls.NewListener(l, cfg)
	}
	return l
}

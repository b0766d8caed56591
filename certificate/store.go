// Package certificate holds a host's certificate, its key and the certificates
// that it trusts, read from files and read again when they change.
//
// # Usage
//
//	store, err := certificate.New(certificate.Files{
//		Cert: "host.pem",
//		Key:  "host.key",
//		CA:   "fleet.pem",
//	}, timers, logger)
//	tree.Add(supervisor.Duty{Name: "certificates", Run: store.Run})
//	server.TLSConfig = store.Mutual()
//
// Hosts and operators know each other by the fleet's own CA: a certificate that
// it signed is enough, whatever name stands in it. Endpoints and the platform
// are known by name, under the CA's certificates and the system's.
package certificate

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"net"
	"os"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"
	"github.com/gravitational/trace"

	"cactuswell/timer"
)

const (
	// reloadInterval is the time between two looks at the files.
	reloadInterval = 10 * time.Second
	// handshakeTimeout bounds a TLS handshake of a client.
	handshakeTimeout = 5 * time.Second
)

// Files are the paths of PEM files.
type Files struct {
	// Cert is the host's certificate chain and Key its key.
	Cert string
	Key  string
	// CA holds the certificates that sign hosts and operators.
	CA string
}

// LoadError says that a file could not be used.
type LoadError struct {
	File  string
	Cause error
}

// Error names the file and the cause.
func (e *LoadError) Error() string {
	return fmt.Sprintf("certificate file %s: %v", e.File, e.Cause)
}

// Unwrap returns the cause.
func (e *LoadError) Unwrap() error { return e.Cause }

// NoCertificateError says that a file holds no certificate, or a peer sent none.
type NoCertificateError struct{}

// Error describes the fault.
func (*NoCertificateError) Error() string { return "no certificate" }

// material is what the files held when they were last read.
type material struct {
	certificate tls.Certificate
	// fleet is the CA's certificates; trusted has the system's besides.
	fleet    *x509.CertPool
	trusted  *x509.CertPool
	modified [3]time.Time
}

// Store holds the present certificates. It is safe for concurrent use.
type Store struct {
	files   Files
	timers  *timer.Service
	logger  log.Logger
	current atomic.Pointer[material]
	reloads atomic.Uint64
}

// New reads the files. The error is a *LoadError.
func New(files Files, timers *timer.Service, logger log.Logger) (*Store, error) {
	s := &Store{
		files:  files,
		timers: timers,
		logger: logger,
	}
	loaded, err := s.load()
	if err != nil {
		return nil, trace.Wrap(err)
	}
	s.current.Store(loaded)
	return s, nil
}

// Run reads the files again when they change, until ctx ends.
func (s *Store) Run(ctx context.Context) error {
	tick := s.timers.Every(reloadInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C():
			s.Reload()
		}
	}
}

// Reload reads the files if they have changed. Files that cannot be used leave
// the certificates as they are.
func (s *Store) Reload() {
	if s.modified() == s.current.Load().modified {
		return
	}
	loaded, err := s.load()
	if err != nil {
		_ = s.logger.Log("level", "error", "event", "certificatesNotReloaded", "error", err.Error())
		return
	}
	s.current.Store(loaded)
	s.reloads.Add(1)
	_ = s.logger.Log("level", "info", "event", "certificatesReloaded", "notAfter", s.NotAfter())
}

// Reloads returns how often the files were read again.
func (s *Store) Reloads() uint64 { return s.reloads.Load() }

// NotAfter returns when the host's certificate ends.
func (s *Store) NotAfter() time.Time {
	leaf := s.current.Load().certificate.Leaf
	if leaf == nil {
		return time.Time{}
	}
	return leaf.NotAfter
}

func (s *Store) modified() [3]time.Time {
	var times [3]time.Time
	for i, file := range []string{s.files.Cert, s.files.Key, s.files.CA} {
		if info, err := os.Stat(file); err == nil {
			times[i] = info.ModTime()
		}
	}
	return times
}

func (s *Store) load() (*material, error) {
	loaded := &material{
		modified: s.modified(),
	}
	var err error
	if loaded.certificate, err = tls.LoadX509KeyPair(s.files.Cert, s.files.Key); err != nil {
		return nil, &LoadError{
			File:  s.files.Cert,
			Cause: err,
		}
	}
	authorities, err := os.ReadFile(s.files.CA)
	if err != nil {
		return nil, &LoadError{
			File:  s.files.CA,
			Cause: err,
		}
	}
	loaded.fleet = x509.NewCertPool()
	if !loaded.fleet.AppendCertsFromPEM(authorities) {
		return nil, &LoadError{
			File:  s.files.CA,
			Cause: &NoCertificateError{},
		}
	}
	if loaded.trusted, err = x509.SystemCertPool(); err != nil {
		loaded.trusted = x509.NewCertPool()
	}
	loaded.trusted.AppendCertsFromPEM(authorities)
	return loaded, nil
}

// PublicTLSConfig returns the configuration of a listener that asks for no certificate.
func (s *Store) PublicTLSConfig() *tls.Config {
	return &tls.Config{
		MinVersion:         tls.VersionTLS12,
		GetConfigForClient: s.forClient(tls.NoClientCert),
	}
}

// MutualTLSConfig returns a configuration for both ends of a connection between hosts,
// or between an operator and a host. Each end must show a certificate that the
// fleet's CA signed.
func (s *Store) MutualTLSConfig() *tls.Config {
	return &tls.Config{
		MinVersion:         tls.VersionTLS13,
		GetConfigForClient: s.forClient(tls.RequireAndVerifyClientCert),
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			return &s.current.Load().certificate, nil
		},
		// The chain is checked by verifyFleet, without the name.
		InsecureSkipVerify: true,
		VerifyConnection:   s.verifyFleet,
	}
}

func (s *Store) forClient(auth tls.ClientAuthType) func(*tls.ClientHelloInfo) (*tls.Config, error) {
	return func(*tls.ClientHelloInfo) (*tls.Config, error) {
		current := s.current.Load()
		return &tls.Config{
			MinVersion:   tls.VersionTLS12,
			Certificates: []tls.Certificate{current.certificate},
			ClientAuth:   auth,
			ClientCAs:    current.fleet,
			NextProtos:   []string{"h2", "http/1.1"},
		}, nil
	}
}

// verifyFleet checks that the other end's certificate is signed by the fleet's
// CA and is valid now.
func (s *Store) verifyFleet(state tls.ConnectionState) error {
	if len(state.PeerCertificates) == 0 {
		return trace.Wrap(&NoCertificateError{})
	}
	options := x509.VerifyOptions{
		Roots:         s.current.Load().fleet,
		Intermediates: x509.NewCertPool(),
		KeyUsages:     []x509.ExtKeyUsage{x509.ExtKeyUsageAny},
	}
	for _, intermediate := range state.PeerCertificates[1:] {
		options.Intermediates.AddCert(intermediate)
	}
	_, err := state.PeerCertificates[0].Verify(options)
	return trace.Wrap(err)
}

// DialTLS connects to an endpoint or to the platform and checks its name. It
// fits http.Transport's DialTLSContext.
func (s *Store) DialTLS(ctx context.Context, network, address string) (net.Conn, error) {
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	current := s.current.Load()
	dialer := &tls.Dialer{
		NetDialer: &net.Dialer{
			Timeout: handshakeTimeout,
		},
		Config: &tls.Config{
			MinVersion:   tls.VersionTLS12,
			RootCAs:      current.trusted,
			Certificates: []tls.Certificate{current.certificate},
			ServerName:   host,
		},
	}
	ctx, cancel := context.WithTimeout(ctx, handshakeTimeout)
	defer cancel()
	conn, err := dialer.DialContext(ctx, network, address)
	return conn, trace.Wrap(err)
}

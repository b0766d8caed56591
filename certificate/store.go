// Package certificate loads a host's certificate, its key and the CA certificates
// that it trusts from files, and reloads them when the files change.
//
// # Usage
//
//	store, err := certificate.New(certificate.Files{
//		Cert: "host.pem",
//		Key:  "host.key",
//		CA:   "fleet.pem",
//	}, timers, logger)
//	tree.Add(supervisor.Duty{Name: "certificates", Run: store.Run})
//	server.TLSConfig = store.MutualTLSConfig()
//
// Hosts and operators authenticate each other by the fleet's CA: any certificate that
// it signed is accepted, regardless of the name. The certificates of endpoints and of
// the platform are verified by name against the fleet's CA and the system's CAs.
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
	// reloadInterval is the delay between two checks of the files for changes.
	reloadInterval = 10 * time.Second
	// handshakeTimeout is the timeout of a client's dial and TLS handshake.
	handshakeTimeout = 5 * time.Second
)

// Files holds the paths of the PEM files.
type Files struct {
	// Cert is the host's certificate chain and Key its private key.
	Cert string
	Key  string
	// CA holds the CA certificates that sign the certificates of hosts and
	// operators.
	CA string
}

// LoadError reports that a file could not be loaded.
type LoadError struct {
	File  string
	Cause error
}

// Error returns the message with the file and the cause.
func (e *LoadError) Error() string {
	return fmt.Sprintf("certificate file %s: %v", e.File, e.Cause)
}

// Unwrap returns the cause.
func (e *LoadError) Unwrap() error { return e.Cause }

// NoCertificateError reports that a file contains no certificate or that a peer sent
// none.
type NoCertificateError struct{}

// Error returns the message.
func (*NoCertificateError) Error() string { return "no certificate" }

// loadedFiles holds the contents of the files when they were last loaded.
type loadedFiles struct {
	certificate tls.Certificate
	// fleetCAs holds the certificates of the fleet's CA; serverCAs also holds those
	// of the system's CAs.
	fleetCAs  *x509.CertPool
	serverCAs *x509.CertPool
	modTimes  [3]time.Time
}

// Store holds the current certificates. It is safe for concurrent use.
type Store struct {
	files   Files
	timers  *timer.Service
	logger  log.Logger
	current atomic.Pointer[loadedFiles]
	reloads atomic.Uint64
}

// New loads the files. The error is a *LoadError.
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

// Run reloads the files when they change, until ctx is done.
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

// Reload loads the files if they have changed. If loading fails, the current
// certificates stay in use.
func (s *Store) Reload() {
	if s.fileModTimes() == s.current.Load().modTimes {
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

// Reloads returns how often the files were reloaded.
func (s *Store) Reloads() uint64 { return s.reloads.Load() }

// NotAfter returns when the host's certificate expires.
func (s *Store) NotAfter() time.Time {
	leaf := s.current.Load().certificate.Leaf
	if leaf == nil {
		return time.Time{}
	}
	return leaf.NotAfter
}

// fileModTimes returns the modification times of the files, or zero times for files
// that cannot be read.
func (s *Store) fileModTimes() [3]time.Time {
	var times [3]time.Time
	for i, file := range []string{s.files.Cert, s.files.Key, s.files.CA} {
		if info, err := os.Stat(file); err == nil {
			times[i] = info.ModTime()
		}
	}
	return times
}

func (s *Store) load() (*loadedFiles, error) {
	loaded := &loadedFiles{
		modTimes: s.fileModTimes(),
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
	loaded.fleetCAs = x509.NewCertPool()
	if !loaded.fleetCAs.AppendCertsFromPEM(authorities) {
		return nil, &LoadError{
			File:  s.files.CA,
			Cause: &NoCertificateError{},
		}
	}
	if loaded.serverCAs, err = x509.SystemCertPool(); err != nil {
		loaded.serverCAs = x509.NewCertPool()
	}
	loaded.serverCAs.AppendCertsFromPEM(authorities)
	return loaded, nil
}

// PublicTLSConfig returns the configuration of a listener that requests no client
// certificate.
func (s *Store) PublicTLSConfig() *tls.Config {
	return &tls.Config{
		MinVersion:         tls.VersionTLS12,
		GetConfigForClient: s.configForClient(tls.NoClientCert),
	}
}

// MutualTLSConfig returns the mutual TLS configuration for both ends of a connection between
// hosts, or between an operator and a host. Each end must present a certificate that
// the fleet's CA signed.
func (s *Store) MutualTLSConfig() *tls.Config {
	return &tls.Config{
		MinVersion:         tls.VersionTLS13,
		GetConfigForClient: s.configForClient(tls.RequireAndVerifyClientCert),
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			return &s.current.Load().certificate, nil
		},
		// verifyFleetCertificate verifies the chain without the name.
		InsecureSkipVerify: true,
		VerifyConnection:   s.verifyFleetCertificate,
	}
}

// configForClient returns a GetConfigForClient function that uses the current
// certificates.
func (s *Store) configForClient(auth tls.ClientAuthType) func(*tls.ClientHelloInfo) (*tls.Config, error) {
	return func(*tls.ClientHelloInfo) (*tls.Config, error) {
		current := s.current.Load()
		return &tls.Config{
			MinVersion:   tls.VersionTLS12,
			Certificates: []tls.Certificate{current.certificate},
			ClientAuth:   auth,
			ClientCAs:    current.fleetCAs,
			NextProtos:   []string{"h2", "http/1.1"},
		}, nil
	}
}

// verifyFleetCertificate checks that the peer's certificate is signed by the fleet's CA
// and is currently valid.
func (s *Store) verifyFleetCertificate(state tls.ConnectionState) error {
	if len(state.PeerCertificates) == 0 {
		return trace.Wrap(&NoCertificateError{})
	}
	options := x509.VerifyOptions{
		Roots:         s.current.Load().fleetCAs,
		Intermediates: x509.NewCertPool(),
		KeyUsages:     []x509.ExtKeyUsage{x509.ExtKeyUsageAny},
	}
	for _, intermediate := range state.PeerCertificates[1:] {
		options.Intermediates.AddCert(intermediate)
	}
	_, err := state.PeerCertificates[0].Verify(options)
	return trace.Wrap(err)
}

// DialTLS connects to an endpoint or to the platform and verifies its name. It can be
// used as DialTLSContext of an http.Transport.
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
			RootCAs:      current.serverCAs,
			Certificates: []tls.Certificate{current.certificate},
			ServerName:   host,
		},
	}
	ctx, cancel := context.WithTimeout(ctx, handshakeTimeout)
	defer cancel()
	conn, err := dialer.DialContext(ctx, network, address)
	return conn, trace.Wrap(err)
}

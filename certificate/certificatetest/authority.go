// Package certificatetest issues certificates for tests.
//
// # Usage
//
//	authority := certificatetest.New(t)
//	files := authority.Issue(t, "host-1")
package certificatetest

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"

	"cactuswell/certificate"
)

// validityPeriod is the validity of the certificates before and after their creation.
const validityPeriod = 24 * time.Hour

// Authority is a CA that signs certificates.
type Authority struct {
	certificate *x509.Certificate
	key         *ecdsa.PrivateKey
	serial      int64
}

// New returns a new CA with a self-signed certificate.
func New(t testing.TB) *Authority {
	t.Helper()
	key := newKey(t)
	template := &x509.Certificate{
		SerialNumber:          big.NewInt(1),
		Subject:               pkix.Name{CommonName: "fleet"},
		NotBefore:             time.Now().Add(-validityPeriod),
		NotAfter:              time.Now().Add(validityPeriod),
		IsCA:                  true,
		BasicConstraintsValid: true,
		KeyUsage:              x509.KeyUsageCertSign,
	}
	data, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	if err != nil {
		t.Fatal(err)
	}
	parsed, err := x509.ParseCertificate(data)
	if err != nil {
		t.Fatal(err)
	}
	return &Authority{
		certificate: parsed,
		key:         key,
		serial:      1,
	}
}

// Issue writes a certificate for name and the loopback address to files in a new
// temporary folder.
func (a *Authority) Issue(t testing.TB, name string) certificate.Files {
	t.Helper()
	folder := t.TempDir()
	files := certificate.Files{
		Cert: filepath.Join(folder, "host.pem"),
		Key:  filepath.Join(folder, "host.key"),
		CA:   filepath.Join(folder, "fleet.pem"),
	}
	a.IssueInto(t, name, files)
	return files
}

// IssueInto writes a certificate for name and the loopback address to the given files.
// It sets the modification time of the certificate file to a value that differs from
// those of earlier calls.
func (a *Authority) IssueInto(t testing.TB, name string, files certificate.Files) {
	t.Helper()
	a.serial++
	key := newKey(t)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(a.serial),
		Subject:      pkix.Name{CommonName: name},
		NotBefore:    time.Now().Add(-validityPeriod),
		NotAfter:     time.Now().Add(validityPeriod),
		IPAddresses:  []net.IP{net.IPv4(127, 0, 0, 1)},
		ExtKeyUsage:  []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	data, err := x509.CreateCertificate(rand.Reader, template, a.certificate, &key.PublicKey, a.key)
	if err != nil {
		t.Fatal(err)
	}
	keyData, err := x509.MarshalECPrivateKey(key)
	if err != nil {
		t.Fatal(err)
	}
	writePEM(t, files.Cert, "CERTIFICATE", data)
	writePEM(t, files.Key, "EC PRIVATE KEY", keyData)
	writePEM(t, files.CA, "CERTIFICATE", a.certificate.Raw)
	modTime := time.Unix(a.serial*1000+a.certificate.NotBefore.UnixNano()%1000, 0)
	if err := os.Chtimes(files.Cert, modTime, modTime); err != nil {
		t.Fatal(err)
	}
}

func newKey(t testing.TB) *ecdsa.PrivateKey {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	return key
}

func writePEM(t testing.TB, path, kind string, data []byte) {
	t.Helper()
	block := pem.EncodeToMemory(&pem.Block{
		Type:  kind,
		Bytes: data,
	})
	if err := os.WriteFile(path, block, 0o600); err != nil {
		t.Fatal(err)
	}
}

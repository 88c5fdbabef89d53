package commander

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"fmt"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"limpetcleat/loader"
)

// authority signs certificates into files.
type authority struct {
	t           *testing.T
	directory   string
	certificate *x509.Certificate
	key         *ecdsa.PrivateKey
	file        string
}

func newAuthority(t *testing.T) *authority {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	assert.NilError(t, err)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "authority"}, NotAfter: time.Now().Add(time.Hour),
		IsCA: true, BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign,
	}
	data, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	assert.NilError(t, err)
	certificate, err := x509.ParseCertificate(data)
	assert.NilError(t, err)
	authority := &authority{t: t, directory: t.TempDir(), certificate: certificate, key: key}
	authority.file = authority.write("authority.pem", "CERTIFICATE", data)
	return authority
}

func (authority *authority) write(name, kind string, data []byte) string {
	path := filepath.Join(authority.directory, name)
	assert.NilError(authority.t, os.WriteFile(path, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: data}), 0o600))
	return path
}

// issue returns the files of a certificate under the name and of its key.
func (authority *authority) issue(name string) (certificate, key string) {
	authority.t.Helper()
	private, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	assert.NilError(authority.t, err)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(2), DNSNames: []string{name}, NotAfter: time.Now().Add(time.Hour),
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	data, err := x509.CreateCertificate(rand.Reader, template, authority.certificate, &private.PublicKey, authority.key)
	assert.NilError(authority.t, err)
	encoded, err := x509.MarshalECPrivateKey(private)
	assert.NilError(authority.t, err)
	return authority.write(name+".pem", "CERTIFICATE", data), authority.write(name+".key", "EC PRIVATE KEY", encoded)
}

const secureSettings = `
[node]
name = entry-1
dataCentre = west
[callers]
listen = 127.0.0.1:8080
[operators]
listen = 127.0.0.1:8081
token = operators-token-of-the-test
[inner]
listen = 127.0.0.1:8082
tlsCertificate = %s
tlsKey = %s
tlsAuthority = %s
[platform]
addresses = http://127.0.0.1:8000
`

// inner returns the TLS of a node whose certificate is the issuer's and that
// believes the trusted authority.
func inner(t *testing.T, issuer, trusted *authority, name string) (serverSide, clientSide *tls.Config) {
	t.Helper()
	certificate, key := issuer.issue(name)
	settings, err := loader.Parse("entry.ini", fmt.Appendf(nil, secureSettings, certificate, key, trusted.file))
	assert.NilError(t, err)
	serverSide, clientSide, err = innerTLS(settings.Inner())
	assert.NilError(t, err)
	return serverSide, clientSide
}

// TestInnerTLSProvesBothSides lets a node dial another in every way that must
// be refused, and in the one that must not.
func TestInnerTLSProvesBothSides(t *testing.T) {
	ours, theirs := newAuthority(t), newAuthority(t)
	serverSide, bare := inner(t, ours, ours, InnerName)
	bare.Certificates = nil
	old := bare.Clone()
	old.MinVersion, old.MaxVersion = tls.VersionTLS10, tls.VersionTLS12
	_, good := inner(t, ours, ours, InnerName)
	_, foreign := inner(t, theirs, ours, InnerName)
	_, misnamed := inner(t, ours, ours, "engine-1")
	foreignServer, _ := inner(t, theirs, ours, InnerName)
	misnamedServer, _ := inner(t, ours, ours, "engine-1")
	cases := []struct {
		name           string
		server, client *tls.Config
		accepted       bool
	}{
		{"good", serverSide, good, true},
		{"client without a certificate", serverSide, bare, false},
		{"client of another authority", serverSide, foreign, false},
		{"client under another name", serverSide, misnamed, false},
		{"client of an old version", serverSide, old, false},
		{"server of another authority", foreignServer, good, false},
		{"server under another name", misnamedServer, good, false},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			assert.Equal(t, handshake(t, test.server, test.client), test.accepted)
		})
	}
}

// handshake tells whether both sides accept each other.
func handshake(t *testing.T, server, client *tls.Config) bool {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
	defer cancel()
	listener, err := (&net.ListenConfig{}).Listen(ctx, "tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer listener.Close()
	near, err := (&net.Dialer{}).DialContext(ctx, "tcp", listener.Addr().String())
	assert.NilError(t, err)
	defer near.Close()
	far, err := listener.Accept()
	assert.NilError(t, err)
	accepted := make(chan error, 1)
	go func() {
		err := tls.Server(far, server).HandshakeContext(ctx)
		far.Close()
		accepted <- err
	}()
	dialled := tls.Client(near, client).HandshakeContext(ctx)
	if dialled != nil {
		near.Close()
	}
	// The server judges the client's certificate after the client is done.
	return <-accepted == nil && dialled == nil
}

func TestInnerTLSWantsWholeFiles(t *testing.T) {
	ours := newAuthority(t)
	certificate, key := ours.issue(InnerName)
	empty := ours.write("empty.pem", "NOTHING", nil)
	cases := []struct{ name, certificate, key, authority string }{
		{"no certificate", "/nonexistent", key, ours.file},
		{"no key", certificate, "/nonexistent", ours.file},
		{"no authority", certificate, key, "/nonexistent"},
		{"empty authority", certificate, key, empty},
		{"key of another", certificate, certificate, ours.file},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			settings, err := loader.Parse("entry.ini", fmt.Appendf(nil, secureSettings, test.certificate, test.key, test.authority))
			assert.NilError(t, err)
			_, _, err = innerTLS(settings.Inner())
			assert.Assert(t, err != nil)
		})
	}
}

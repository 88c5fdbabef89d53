package messenger_test

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"errors"
	"io"
	"math/big"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"limpetcleat/messenger"
)

func errorsAs(err error, target any) bool { return errors.As(err, target) }

// authority signs certificates.
type authority struct {
	certificate *x509.Certificate
	key         *ecdsa.PrivateKey
	pool        *x509.CertPool
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
	pool := x509.NewCertPool()
	pool.AddCert(certificate)
	return &authority{certificate: certificate, key: key, pool: pool}
}

func (authority *authority) issue(t *testing.T, name string) tls.Certificate {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	assert.NilError(t, err)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(2), DNSNames: []string{name}, NotAfter: time.Now().Add(time.Hour),
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	data, err := x509.CreateCertificate(rand.Reader, template, authority.certificate, &key.PublicKey, authority.key)
	assert.NilError(t, err)
	return tls.Certificate{Certificate: [][]byte{data}, PrivateKey: key}
}

// trusting returns the dialling side under a certificate of this authority that
// trusts the servers of the pool.
func (authority *authority) trusting(t *testing.T, name string, pool *x509.CertPool) *tls.Config {
	return &tls.Config{Certificates: []tls.Certificate{authority.issue(t, name)}, RootCAs: pool, ServerName: "limpetcleat-inner", MinVersion: tls.VersionTLS13}
}

// secure returns mutual TLS under a certificate of that name.
func (authority *authority) secure(t *testing.T, name string) messenger.Option {
	t.Helper()
	server := &tls.Config{Certificates: []tls.Certificate{authority.issue(t, name)}, ClientAuth: tls.RequireAndVerifyClientCert, ClientCAs: authority.pool, MinVersion: tls.VersionTLS13}
	return messenger.WithTLS(server, authority.trusting(t, name, authority.pool))
}

// relay counts the bytes between one dialler and a server.
type relay struct {
	address       string
	forward, back atomic.Int64
}

func startRelay(t *testing.T, target string) *relay {
	t.Helper()
	listener, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	relay := &relay{address: listener.Addr().String()}
	done := make(chan struct{})
	t.Cleanup(func() {
		listener.Close()
		<-done
	})
	go func() {
		defer close(done)
		near, err := listener.Accept()
		if err != nil {
			return
		}
		defer near.Close()
		defer context.AfterFunc(t.Context(), func() { near.Close() })()
		far, err := net.Dial("tcp", target)
		if err != nil {
			return
		}
		defer far.Close()
		back := make(chan struct{})
		go func() {
			defer close(back)
			io.Copy(counting{near, &relay.back}, far)
			near.Close()
		}()
		io.Copy(counting{far, &relay.forward}, near)
		far.Close()
		<-back
	}()
	return relay
}

// counting counts what is written.
type counting struct {
	io.Writer
	count *atomic.Int64
}

// Write writes and counts.
func (counting counting) Write(data []byte) (int, error) {
	count, err := counting.Writer.Write(data)
	counting.count.Add(int64(count))
	return count, err
}

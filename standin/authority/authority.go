// Package authority is a certificate authority for test deployments on one machine. It never stores
// its private key, so that no further certificates can be issued after the process ends.
package authority

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"math/big"
	"time"

	"limpetcleat/failer"
)

// NodeServerName is the DNS name in the certificates of all nodes, which peers verify.
const NodeServerName = "limpetcleat-inner"

const (
	defaultLifetime = 30 * 24 * time.Hour
	// clockSkew is the tolerated clock difference between the machines of a test deployment.
	clockSkew        = time.Hour
	serialNumberBits = 128
)

// Kind classifies an Error.
type Kind string

const (
	// SigningFailed marks a certificate that could not be created.
	SigningFailed Kind = "unsigned"
	// WriteFailed marks a file that could not be written.
	WriteFailed Kind = "unwritten"
)

// Error is the error type of this package.
type Error = failer.Error[Kind]

// Authority signs certificates with a private key that exists only in memory.
type Authority struct {
	lifetime    time.Duration
	certificate *x509.Certificate
	key         *ecdsa.PrivateKey
}

// Option configures an Authority.
type Option func(*Authority)

// WithLifetime sets the validity period of the authority's certificate and of those that it issues.
// The default is 30 days.
func WithLifetime(lifetime time.Duration) Option {
	return func(authority *Authority) { authority.lifetime = lifetime }
}

// New returns an Authority with a new key and a self-signed certificate.
func New(opts ...Option) (*Authority, error) {
	authority := &Authority{lifetime: defaultLifetime}
	for _, opt := range opts {
		opt(authority)
	}
	template := authority.template("limpetcleat trial authority")
	template.IsCA, template.BasicConstraintsValid = true, true
	template.KeyUsage = x509.KeyUsageCertSign
	var err error
	authority.certificate, authority.key, err = sign(template, nil, nil)
	return authority, err
}

// Issue returns a certificate for the DNS name that is valid for both servers and clients. The
// subject becomes the common name, which is informational and not verified.
func (authority *Authority) Issue(subject, dnsName string) (*Certificate, error) {
	template := authority.template(subject)
	template.DNSNames = []string{dnsName}
	template.KeyUsage = x509.KeyUsageDigitalSignature
	template.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth}
	signed, key, err := sign(template, authority.certificate, authority.key)
	if err != nil {
		return nil, err
	}
	return &Certificate{leaf: signed, key: key}, nil
}

// Pool returns a pool that contains only the certificate of this authority.
func (authority *Authority) Pool() *x509.CertPool {
	pool := x509.NewCertPool()
	pool.AddCert(authority.certificate)
	return pool
}

// TLSConfigs returns the server and client configurations for mutual TLS between nodes, with a
// certificate for the given DNS name. The client configuration expects peers to have
// NodeServerName.
func (authority *Authority) TLSConfigs(dnsName string) (serverConfig, clientConfig *tls.Config, err error) {
	certificate, err := authority.Issue(dnsName, dnsName)
	if err != nil {
		return nil, nil, err
	}
	serverConfig = &tls.Config{
		Certificates: []tls.Certificate{certificate.TLSCertificate()},
		ClientAuth:   tls.RequireAndVerifyClientCert,
		ClientCAs:    authority.Pool(),
		MinVersion:   tls.VersionTLS13,
	}
	clientConfig = &tls.Config{
		Certificates: []tls.Certificate{certificate.TLSCertificate()},
		RootCAs:      authority.Pool(),
		ServerName:   NodeServerName,
		MinVersion:   tls.VersionTLS13,
	}
	return serverConfig, clientConfig, nil
}

// template returns the fields that all certificates of the authority have.
func (authority *Authority) template(subject string) *x509.Certificate {
	now := time.Now()
	return &x509.Certificate{
		Subject:   pkix.Name{CommonName: subject},
		NotBefore: now.Add(-clockSkew),
		NotAfter:  now.Add(authority.lifetime),
	}
}

// sign creates a key and a certificate for it; without a parent the certificate is self-signed.
func sign(template, parent *x509.Certificate, parentKey *ecdsa.PrivateKey) (*x509.Certificate, *ecdsa.PrivateKey, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, nil, signingError(err)
	}
	template.SerialNumber, err = rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), serialNumberBits-1))
	if err != nil {
		return nil, nil, signingError(err)
	}
	if parent == nil {
		parent, parentKey = template, key
	}
	data, err := x509.CreateCertificate(rand.Reader, template, parent, &key.PublicKey, parentKey)
	if err != nil {
		return nil, nil, signingError(err)
	}
	signed, err := x509.ParseCertificate(data)
	if err != nil {
		return nil, nil, signingError(err)
	}
	return signed, key, nil
}

func signingError(err error) error {
	return failer.New("authority.sign", SigningFailed, "%w", err)
}

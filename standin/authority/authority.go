// Package authority makes certificates for the nodes of a trial on one machine. It keeps its own key
// nowhere, so that what it signed is worth nothing beyond the trial.
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

// InnerName is the DNS name that all nodes share.
const InnerName = "limpetcleat-inner"

const (
	defaultLifetime = 30 * 24 * time.Hour
	// clockSkew is how far the clocks of a trial may be apart.
	clockSkew  = time.Hour
	serialBits = 128
)

// Kind classifies an Error.
type Kind string

const (
	// Unsigned marks a certificate that could not be made.
	Unsigned Kind = "unsigned"
	// Unwritten marks a file that could not be written.
	Unwritten Kind = "unwritten"
)

// Error is the one error type of this package.
type Error = failer.Error[Kind]

// Authority signs certificates.
type Authority struct {
	lifetime    time.Duration
	certificate *x509.Certificate
	key         *ecdsa.PrivateKey
}

// Option changes one property of an Authority.
type Option func(*Authority)

// WithLifetime sets how long the authority and its certificates hold; 30 days unless set.
func WithLifetime(lifetime time.Duration) Option {
	return func(authority *Authority) { authority.lifetime = lifetime }
}

// New returns an Authority with a fresh key.
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

// Issue returns a certificate that holds the DNS name and serves on both sides of a connection. The
// subject is for people alone.
func (authority *Authority) Issue(subject, name string) (*Certificate, error) {
	template := authority.template(subject)
	template.DNSNames = []string{name}
	template.KeyUsage = x509.KeyUsageDigitalSignature
	template.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth}
	signed, key, err := sign(template, authority.certificate, authority.key)
	if err != nil {
		return nil, err
	}
	return &Certificate{signed: signed, key: key}, nil
}

// Pool returns a pool that holds this authority alone.
func (authority *Authority) Pool() *x509.CertPool {
	pool := x509.NewCertPool()
	pool.AddCert(authority.certificate)
	return pool
}

// Configs returns the two sides of mutual TLS between nodes for one that proves the name: what it
// serves with, and what it dials peers with.
func (authority *Authority) Configs(name string) (serverSide, clientSide *tls.Config, err error) {
	certificate, err := authority.Issue(name, name)
	if err != nil {
		return nil, nil, err
	}
	serverSide = &tls.Config{
		Certificates: []tls.Certificate{certificate.Pair()},
		ClientAuth:   tls.RequireAndVerifyClientCert,
		ClientCAs:    authority.Pool(),
		MinVersion:   tls.VersionTLS13,
	}
	clientSide = &tls.Config{
		Certificates: []tls.Certificate{certificate.Pair()},
		RootCAs:      authority.Pool(),
		ServerName:   InnerName,
		MinVersion:   tls.VersionTLS13,
	}
	return serverSide, clientSide, nil
}

func (authority *Authority) template(subject string) *x509.Certificate {
	now := time.Now()
	return &x509.Certificate{
		Subject:   pkix.Name{CommonName: subject},
		NotBefore: now.Add(-clockSkew),
		NotAfter:  now.Add(authority.lifetime),
	}
}

// sign makes a key and its certificate; without a parent the certificate signs itself.
func sign(template, parent *x509.Certificate, parentKey *ecdsa.PrivateKey) (*x509.Certificate, *ecdsa.PrivateKey, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, nil, unsigned(err)
	}
	template.SerialNumber, err = rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), serialBits-1))
	if err != nil {
		return nil, nil, unsigned(err)
	}
	if parent == nil {
		parent, parentKey = template, key
	}
	data, err := x509.CreateCertificate(rand.Reader, template, parent, &key.PublicKey, parentKey)
	if err != nil {
		return nil, nil, unsigned(err)
	}
	signed, err := x509.ParseCertificate(data)
	if err != nil {
		return nil, nil, unsigned(err)
	}
	return signed, key, nil
}

func unsigned(err error) error {
	return failer.New("authority.sign", Unsigned, "%w", err)
}

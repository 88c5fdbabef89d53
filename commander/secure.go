package commander

import (
	"crypto/tls"
	"crypto/x509"
	"errors"
	"net"
	"os"

	"limpetcleat/loader"
)

// InnerName is the name that the certificate of every node must hold. Nodes
// are replaced at any time and reached by IP, so that all share one name.
const InnerName = "limpetcleat-inner"

// innerTLS returns the two sides of mutual TLS between nodes, or nothing when
// the settings ask for plain connections.
func innerTLS(inner *loader.Inner) (serverSide, clientSide *tls.Config, err error) {
	if inner.Plain() {
		return nil, nil, nil
	}
	certificate, err := tls.LoadX509KeyPair(inner.TLSCertificate(), inner.TLSKey())
	if err != nil {
		return nil, nil, fail("innerTLS", Failed, "%w", err)
	}
	authority, err := readCertPool(inner.TLSAuthority())
	if err != nil {
		return nil, nil, err
	}
	serverSide = &tls.Config{
		Certificates: []tls.Certificate{certificate},
		ClientAuth:   tls.RequireAndVerifyClientCert,
		ClientCAs:    authority,
		MinVersion:   tls.VersionTLS13,
		// An authority may sign for others than nodes.
		VerifyConnection: func(state tls.ConnectionState) error {
			return state.PeerCertificates[0].VerifyHostname(InnerName)
		},
	}
	clientSide = &tls.Config{
		Certificates: []tls.Certificate{certificate},
		RootCAs:      authority,
		ServerName:   InnerName,
		MinVersion:   tls.VersionTLS13,
	}
	return serverSide, clientSide, nil
}

// callerListener returns the listener under TLS, if the settings ask for it.
func callerListener(callers *loader.Callers, listener net.Listener) (net.Listener, error) {
	if callers.TLSCertificate() == "" {
		return listener, nil
	}
	certificate, err := tls.LoadX509KeyPair(callers.TLSCertificate(), callers.TLSKey())
	if err != nil {
		return nil, fail("callerListener", Failed, "%w", err)
	}
	return tls.NewListener(listener, &tls.Config{Certificates: []tls.Certificate{certificate}, MinVersion: tls.VersionTLS12}), nil
}

func readCertPool(path string) (*x509.CertPool, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, fail("readAuthority", Failed, "%w", err)
	}
	authority := x509.NewCertPool()
	if !authority.AppendCertsFromPEM(data) {
		return nil, fail("readAuthority", Failed, "%s: %w", path, errors.New("there is no certificate in it"))
	}
	return authority, nil
}

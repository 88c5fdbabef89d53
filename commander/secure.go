package commander

import (
	"crypto/tls"
	"crypto/x509"
	"errors"
	"net"
	"os"

	"limpetcleat/loader"
)

// NodeServerName is the DNS name that the certificate of every node must contain. All nodes share
// one name, since nodes are replaced at any time and connect by IP address.
const NodeServerName = "limpetcleat-inner"

// innerTLS returns the server's and the client's configuration for mutual TLS between nodes, or nil
// for both if the settings select plain connections.
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
		// The authority may also issue certificates to clients that are not nodes.
		VerifyConnection: func(state tls.ConnectionState) error {
			return state.PeerCertificates[0].VerifyHostname(NodeServerName)
		},
	}
	clientSide = &tls.Config{
		Certificates: []tls.Certificate{certificate},
		RootCAs:      authority,
		ServerName:   NodeServerName,
		MinVersion:   tls.VersionTLS13,
	}
	return serverSide, clientSide, nil
}

// callerListener wraps the listener in TLS if the settings name a certificate.
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
		return nil, fail("readAuthority", Failed, "%s: %w", path, errors.New("the file contains no PEM certificate"))
	}
	return authority, nil
}

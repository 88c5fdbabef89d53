package commander

import (
	"bytes"
	"context"
	"crypto/tls"
	"encoding/pem"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"limpetcleat/loader"
	"limpetcleat/standin/authority"
)

// tlsFiles holds the paths of the TLS files in the settings of a node.
type tlsFiles struct{ certificate, key, authority string }

func newTestAuthority(t *testing.T) *authority.Authority {
	t.Helper()
	testAuthority, err := authority.New()
	assert.NilError(t, err)
	return testAuthority
}

// writeTLSFiles writes a certificate for the name, signed by issuer, and the certificate of the
// trusted authority to a new directory.
func writeTLSFiles(t *testing.T, issuer, trusted *authority.Authority, name string) (files tlsFiles) {
	t.Helper()
	directory := t.TempDir()
	certificate, err := issuer.Issue("node", name)
	assert.NilError(t, err)
	files.certificate, files.key, err = certificate.Write(directory, "node")
	assert.NilError(t, err)
	files.authority, err = trusted.Write(directory)
	assert.NilError(t, err)
	return files
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

// innerConfigs returns the TLS configurations of a node whose certificate is signed by issuer and
// that accepts certificates of the trusted authority.
func innerConfigs(t *testing.T, issuer, trusted *authority.Authority, name string) (serverSide, clientSide *tls.Config) {
	t.Helper()
	serverSide, clientSide, err := writeTLSFiles(t, issuer, trusted, name).loadInnerTLS(t)
	assert.NilError(t, err)
	return serverSide, clientSide
}

// loadInnerTLS returns the TLS configurations that a node creates from the files.
func (tlsFiles tlsFiles) loadInnerTLS(t *testing.T) (serverSide, clientSide *tls.Config, err error) {
	t.Helper()
	settings, err := loader.Parse("entry.ini", fmt.Appendf(nil, secureSettings, tlsFiles.certificate, tlsFiles.key, tlsFiles.authority))
	assert.NilError(t, err)
	return innerTLS(settings.Inner())
}

// TestInnerTLSProvesBothSides guards against connections between nodes without mutual
// authentication: only certificates of the shared authority with the shared name are accepted.
func TestInnerTLSProvesBothSides(t *testing.T) {
	ours, theirs := newTestAuthority(t), newTestAuthority(t)
	serverSide, bare := innerConfigs(t, ours, ours, NodeServerName)
	bare.Certificates = nil
	old := bare.Clone()
	old.MinVersion, old.MaxVersion = tls.VersionTLS10, tls.VersionTLS12
	_, good := innerConfigs(t, ours, ours, NodeServerName)
	_, foreign := innerConfigs(t, theirs, ours, NodeServerName)
	_, misnamed := innerConfigs(t, ours, ours, "engine-1")
	foreignServer, _ := innerConfigs(t, theirs, ours, NodeServerName)
	misnamedServer, _ := innerConfigs(t, ours, ours, "engine-1")
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

// handshake reports whether the server and the client accept each other.
func handshake(t *testing.T, server, client *tls.Config) bool {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
	defer cancel()
	listener, err := (&net.ListenConfig{}).Listen(ctx, "tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer listener.Close()
	clientConn, err := (&net.Dialer{}).DialContext(ctx, "tcp", listener.Addr().String())
	assert.NilError(t, err)
	defer clientConn.Close()
	serverConn, err := listener.Accept()
	assert.NilError(t, err)
	serverResult := make(chan error, 1)
	go func() {
		err := tls.Server(serverConn, server).HandshakeContext(ctx)
		serverConn.Close()
		serverResult <- err
	}()
	clientErr := tls.Client(clientConn, client).HandshakeContext(ctx)
	if clientErr != nil {
		clientConn.Close()
	}
	// In TLS 1.3 the server verifies the client's certificate after the client's handshake returns.
	return <-serverResult == nil && clientErr == nil
}

func TestInnerTLSWantsWholeFiles(t *testing.T) {
	ours := newTestAuthority(t)
	whole := writeTLSFiles(t, ours, ours, NodeServerName)
	empty := filepath.Join(t.TempDir(), "empty.pem")
	assert.NilError(t, os.WriteFile(empty, pem.EncodeToMemory(&pem.Block{Type: "NOTHING"}), 0o600))
	cases := []struct {
		name  string
		files tlsFiles
	}{
		{"no certificate", tlsFiles{"/nonexistent", whole.key, whole.authority}},
		{"no key", tlsFiles{whole.certificate, "/nonexistent", whole.authority}},
		{"no authority", tlsFiles{whole.certificate, whole.key, "/nonexistent"}},
		{"empty authority", tlsFiles{whole.certificate, whole.key, empty}},
		{"key of another", tlsFiles{whole.certificate, whole.certificate, whole.authority}},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			_, _, err := test.files.loadInnerTLS(t)
			assert.Assert(t, err != nil)
		})
	}
}

// TestAuthorityForTrials checks that two nodes accept each other with the certificates that standin
// authority writes, and that a second run into the same directory fails.
func TestAuthorityForTrials(t *testing.T) {
	directory := t.TempDir()
	var out, problems bytes.Buffer
	args := []string{"standin", "authority", "-dir", directory, "-names", "a,b"}
	assert.Equal(t, New(&out, &problems).Run(t.Context(), args), ExitSuccess, problems.String())
	assert.Equal(t, strings.Count(out.String(), "\n"), 5, out.String())
	path := func(name string) string { return filepath.Join(directory, name) }
	serverSide, _, err := tlsFiles{path("a.pem"), path("a.key"), path("authority.pem")}.loadInnerTLS(t)
	assert.NilError(t, err)
	_, clientSide, err := tlsFiles{path("b.pem"), path("b.key"), path("authority.pem")}.loadInnerTLS(t)
	assert.NilError(t, err)
	assert.Assert(t, handshake(t, serverSide, clientSide))
	assert.Equal(t, New(&out, &problems).Run(t.Context(), args), ExitFailed, "the files exist already")
}

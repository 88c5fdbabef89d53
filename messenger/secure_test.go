package messenger_test

import (
	"context"
	"crypto/tls"
	"errors"
	"testing"

	"gotest.tools/v3/assert"

	"limpetcleat/messenger"
	"limpetcleat/standin/authority"
	"limpetcleat/standin/relay"
	"limpetcleat/standin/runner"
)

func errorsAs(err error, target any) bool { return errors.As(err, target) }

func newAuthority(t *testing.T) *authority.Authority {
	t.Helper()
	made, err := authority.New()
	assert.NilError(t, err)
	return made
}

// trusting returns the TLS configuration of a dialler whose certificate comes from
// the issuer and which trusts servers of another authority.
func trusting(t *testing.T, issuer, trusted *authority.Authority) *tls.Config {
	t.Helper()
	_, client, err := issuer.TLSConfigs(authority.NodeServerName)
	assert.NilError(t, err)
	client.RootCAs = trusted.Pool()
	return client
}

// secure returns the option for mutual TLS with a certificate of the given name.
func secure(t *testing.T, issuer *authority.Authority, name string) messenger.Option {
	t.Helper()
	server, client, err := issuer.TLSConfigs(name)
	assert.NilError(t, err)
	return messenger.WithTLS(server, client)
}

// startRelay starts a relay that counts the bytes between diallers of its address and
// a server.
func startRelay(t *testing.T, target string) (counting *relay.Relay, address string) {
	t.Helper()
	counting = relay.New(relay.WithTarget(target))
	running, err := runner.Start(context.Background(), counting, runner.Loopback)
	assert.NilError(t, err)
	t.Cleanup(func() { assert.NilError(t, running.Stop()) })
	return counting, running.Address()
}

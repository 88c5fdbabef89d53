package authority_test

import (
	"crypto/tls"
	"crypto/x509"
	"os"
	"path/filepath"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"limpetcleat/standin/authority"
)

func TestFilesProveTheSharedName(t *testing.T) {
	issuer, err := authority.New(authority.WithLifetime(time.Hour))
	assert.NilError(t, err)
	untrusted, err := authority.New()
	assert.NilError(t, err)
	directory := filepath.Join(t.TempDir(), "trial")
	paths, err := issuer.WriteNodes(directory, "a", "b")
	assert.NilError(t, err)
	assert.Equal(t, len(paths), 5)
	data, err := os.ReadFile(filepath.Join(directory, authority.AuthorityFile))
	assert.NilError(t, err)
	pool := x509.NewCertPool()
	assert.Assert(t, pool.AppendCertsFromPEM(data))
	for _, node := range []string{"a", "b"} {
		key := filepath.Join(directory, node+".key")
		pair, err := tls.LoadX509KeyPair(filepath.Join(directory, node+".pem"), key)
		assert.NilError(t, err)
		info, err := os.Stat(key)
		assert.NilError(t, err)
		assert.Equal(t, info.Mode().Perm(), os.FileMode(0o600))
		assert.Equal(t, pair.Leaf.Subject.CommonName, node)
		assert.Assert(t, time.Until(pair.Leaf.NotAfter) <= time.Hour)
		cases := []struct {
			name  string
			pool  *x509.CertPool
			use   x509.ExtKeyUsage
			valid bool
		}{
			{authority.NodeServerName, pool, x509.ExtKeyUsageServerAuth, true},
			{authority.NodeServerName, pool, x509.ExtKeyUsageClientAuth, true},
			{authority.NodeServerName, pool, x509.ExtKeyUsageCodeSigning, false},
			{node, pool, x509.ExtKeyUsageServerAuth, false},
			{authority.NodeServerName, untrusted.Pool(), x509.ExtKeyUsageServerAuth, false},
		}
		for _, test := range cases {
			_, err := pair.Leaf.Verify(x509.VerifyOptions{DNSName: test.name, Roots: test.pool, KeyUsages: []x509.ExtKeyUsage{test.use}})
			assert.Equal(t, err == nil, test.valid, "%v %v", test, err)
		}
	}
	_, err = issuer.WriteNodes(directory, "c")
	assert.ErrorIs(t, err, os.ErrExist)
	_, err = issuer.WriteNodes(t.TempDir(), "../c")
	assert.ErrorContains(t, err, "not a plain file name")
}

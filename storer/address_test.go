package storer_test

import (
	"net/http/httptest"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"limpetcleat/standin/platform"
	"limpetcleat/storer"
)

// TestAddressForms checks that the platform is reached at a base URL and at a host with
// a port, the two forms that settings and code use.
func TestAddressForms(t *testing.T) {
	server := httptest.NewServer(platform.New().Handler())
	defer server.Close()
	for _, address := range []string{server.URL, strings.TrimPrefix(server.URL, "http://")} {
		client := storer.New([]string{address}, "")
		_, err := client.VMs(t.Context())
		assert.NilError(t, err, address)
		client.Close()
	}
}

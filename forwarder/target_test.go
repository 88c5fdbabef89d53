package forwarder_test

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"limpetcleat/router"
)

// TestTargetsReachUpstreamsAsTheyAre guards against callers that choose the path and host that an upstream receives:
// two slashes in front made an absolute target of it.
func TestTargetsReachUpstreamsAsTheyAre(t *testing.T) {
	harness := newHarness(t, answer(200, "text"))
	harness.configure(func(definition *router.Definition) {
		definition.Rules = []router.Rule{rule("all", func(rule *router.Rule) { rule.PathPrefix, rule.Timeout = "/", time.Minute })}
	})
	cases := []struct{ sent, received string }{
		{"/a", "/a"},
		{"//a/b", "//a/b"},
		{"///a", "///a"},
		{"//other.example/v1/x?y=1", "//other.example/v1/x?y=1"},
		{"/http://other.example/x", "/http://other.example/x"},
		{"/?", "/?"},
		{"/a?b?c=d&&", "/a?b?c=d&&"},
		{"/a%2fb%2F%00/../c/./d", "/a%2fb%2F%00/../c/./d"},
		{"/a#b", "/a#b"},
		{"/\"<>^`{|}\x80", "/\"<>^`{|}\x80"},
		{"http://h.example/a%2fb?c", "/a%2fb?c"},
		{"http://h.example//a", "//a"},
		{"http://h.example/?c", "/?c"},
		{"http:/a?b", "/a?b"},
	}
	for _, test := range cases {
		t.Run(test.sent, func(t *testing.T) {
			conn, err := net.Dial("tcp", harness.address)
			assert.NilError(t, err)
			defer conn.Close()
			_, err = fmt.Fprintf(conn, "GET %s HTTP/1.1\r\nHost: h.example\r\n%s: a\r\nAuthorization: Bearer key\r\n\r\n", test.sent, attemptHeader)
			assert.NilError(t, err)
			got, err := http.ReadResponse(bufio.NewReader(conn), nil)
			assert.NilError(t, err)
			assert.Equal(t, got.StatusCode, http.StatusOK)
			harness.mutex.Lock()
			defer harness.mutex.Unlock()
			received := harness.requests[len(harness.requests)-1]
			assert.Equal(t, received.RequestURI, test.received)
			assert.Equal(t, received.Host, "h.example")
		})
	}
}

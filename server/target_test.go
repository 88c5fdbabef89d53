package server_test

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	"limpetcleat/standin/service"
)

// TestServiceTargetsReachUpstreamsAsTheyAre guards against callers that choose the path or query that an upstream
// receives: escaped bytes of the path were written to it unescaped, and a fragment was left out.
func TestServiceTargetsReachUpstreamsAsTheyAre(t *testing.T) {
	system := start(t, setup{})
	cases := []struct {
		sent, received string
		status         int
	}{
		{"/services/stock/a", "/a", 200},
		{"/services/stock/a%3Fx=1", "/a%3Fx=1", 200},
		{"/services/stock/a%23b", "/a%23b", 200},
		{"/services/stock/a%2fb%2F%00/%20", "/a%2fb%2F%00/%20", 200},
		{"/services/stock/%2e%2e/b/../c", "/%2e%2e/b/../c", 200},
		{"/services/stock//other.example/x", "//other.example/x", 200},
		{"/services/stock/http://other.example/x", "/http://other.example/x", 200},
		{"/services/stock/?", "/?", 200},
		{"/services/stock/a?b?c=%2f#d", "/a?b?c=%2f#d", 200},
		{"/services/%73tock/a", "/a", 200},
		{"http://h.example/services/stock/a%3Fb?c", "/a%3Fb?c", 200},
		{"/services/stock%2fa/b", "", 404},
		{"/services/stock%2fa", "", 404},
		{"//services/stock/a", "", 404},
		{"*", "", 405},
	}
	for _, test := range cases {
		t.Run(test.sent, func(t *testing.T) {
			conn, err := net.Dial("tcp", system.callerAddresses[0])
			assert.NilError(t, err)
			defer conn.Close()
			_, err = fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: h.example\r\nAuthorization: Bearer %s\r\nX-Repeat: never\r\nContent-Length: 0\r\n\r\n", test.sent, apiKey)
			assert.NilError(t, err)
			got, err := http.ReadResponse(bufio.NewReader(conn), nil)
			assert.NilError(t, err)
			defer got.Body.Close()
			assert.Equal(t, got.StatusCode, test.status)
			if test.status != http.StatusOK {
				return
			}
			var answer service.Answer
			assert.NilError(t, json.NewDecoder(got.Body).Decode(&answer))
			assert.Equal(t, answer.Target, test.received)
		})
	}
}

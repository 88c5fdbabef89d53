package forwarder_test

import (
	"bytes"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"limpetcleat/router"
)

// floodHead answers with bytes without a line end until the connection is closed.
func floodHead(t *testing.T) http.HandlerFunc {
	t.Helper()
	return func(writer http.ResponseWriter, _ *http.Request) {
		conn, _, err := http.NewResponseController(writer).Hijack()
		assert.Check(t, err)
		defer conn.Close()
		part := bytes.Repeat([]byte("x"), 64<<10)
		for {
			if _, err := conn.Write(part); err != nil {
				return
			}
		}
	}
}

// TestHeadWithoutEndIsABrokenAnswer guards against callers that wait for the time limit while the head of an answer
// does not end: the request goes on elsewhere where it may, and fails at once where it may not.
func TestHeadWithoutEndIsABrokenAnswer(t *testing.T) {
	cases := []struct {
		path   string
		status int
		sends  int
	}{
		{"/safe/x", http.StatusOK, 2},
		{"/once/x", http.StatusBadGateway, 1},
	}
	for _, test := range cases {
		t.Run(test.path, func(t *testing.T) {
			harness := newHarness(t, floodHead(t), answer(200, "text"))
			harness.configure(func(definition *router.Definition) {
				for index := range definition.Rules {
					definition.Rules[index].Timeout = time.Hour // The size ends the answer, not the time.
				}
			})
			got, _, err := harness.call(test.path, "", nil)
			assert.NilError(t, err)
			assert.Equal(t, got.StatusCode, test.status)
			assert.Equal(t, harness.sends(), test.sends)
		})
	}
}

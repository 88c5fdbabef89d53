package operation_test

import (
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	"limpetcleat/standin/tester"
)

// TestNodeOutlivesItsLogReader guards against a node that ends with all its requests, without a word, at the
// first line that it logs after the process that read its log has ended.
func TestNodeOutlivesItsLogReader(t *testing.T) {
	fleet := tester.NewFleet(t)
	fleet.Configure(tester.UnsafeRule("/"))
	fleet.StartUpstream("one", func(writer http.ResponseWriter, request *http.Request) {
		tester.WriteAttemptHeaders(writer, request)
		writer.WriteHeader(http.StatusOK)
	})
	node, reader := fleet.StartNodeWithLogReader("entry")
	node.AwaitReady()
	assert.NilError(t, reader.Close())
	client := tester.NewClient(t)
	for range 5 {
		assert.Equal(t, client.Send(node.Request("/")).Status, http.StatusOK)
	}
	node.Terminate()
	assert.Equal(t, node.AwaitExit(tester.HangTimeout), 0)
}

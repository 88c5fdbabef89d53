package connector_test

import (
	"context"
	"testing"

	"gotest.tools/v3/assert"

	"limpetcleat/connector"
)

// TestHeadsThatWereCutAreNotCompletedByTheNext guards against the status of a surplus response that was cut short and
// the id of the response after it: a request that runs would count as refused.
func TestHeadsThatWereCutAreNotCompletedByTheNext(t *testing.T) {
	for name, cut := range map[string]string{
		"in the status line": "HTTP/1.1 421 Misdir",
		"in a header":        "HTTP/1.1 503 Service Unavailable\r\nX-Not-Run: 1\r\nDate: Mon",
		"twice":              "HTTP/1.1 421 MisdirHTTP/1.1 4",
	} {
		t.Run(name, func(t *testing.T) {
			address, _ := startUpstream(t, cut+plainAnswer("1", "a"))
			client := connector.New()
			t.Cleanup(client.Close)
			_, err := client.Exchange(context.Background(), context.Background(), address, newOutgoing())
			assert.Equal(t, errorKind(t, err), connector.Unanswered)
		})
	}
}

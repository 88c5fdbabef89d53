package forwarder_test

import (
	"fmt"
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"limpetcleat/definer"
	"limpetcleat/issuer"
	"limpetcleat/throttler"
)

// TestNothingIsBelievedOfSurplusAnswers guards against upstreams that are avoided, or whose permits are given back, because
// of what a surplus answer before the request's own one states.
func TestNothingIsBelievedOfSurplusAnswers(t *testing.T) {
	for name, surplus := range map[string]string{
		"full":                               "503 Busy\r\n" + notRunHeader + ": 1",
		"a backoff":                          "503 Busy\r\n" + notRunHeader + ": 1\r\nRetry-After: 9",
		"a backoff that is no refusal":       "503 Busy\r\nRetry-After: 9",
		"limits":                             "200 OK\r\nServer-Limit: 0.1\r\nServer-Brittle: 0.1",
		"leaving and cold":                   "200 OK\r\nServer-Leaving: 1\r\nX-Cold-Ms: 9000",
		"another upstream has the address":   "421 Misdirected\r\n" + notRunHeader + ": 1",
		"a failure":                          "500 Error\r\n" + signatureHeader + ": signed",
		"the connection is about to be left": "200 OK\r\nConnection: close",
	} {
		t.Run(name, func(t *testing.T) {
			harness := newHarness(t, func(writer http.ResponseWriter, request *http.Request) {
				conn, _, err := http.NewResponseController(writer).Hijack()
				assert.Check(t, err)
				defer conn.Close()
				_, _ = fmt.Fprintf(conn, "HTTP/1.1 %s\r\n%s: other\r\nContent-Length: 0\r\n\r\n"+
					"HTTP/1.1 200 OK\r\n%s: %s\r\n%s: signed\r\nServer-Brittle: 6\r\nContent-Length: 4\r\n\r\ntext",
					surplus, attemptHeader, attemptHeader, request.Header.Get(attemptHeader), signatureHeader)
			})
			harness.rejectionLimit.Limit = definer.LimitTo(6)
			harness.take = func(throttler.PermitRequest) throttler.Permit {
				return throttler.Permit{Granted: true, Holding: &throttler.Holding{}}
			}
			for range 2 {
				got, text, err := harness.call("/once/", "body", nil)
				assert.NilError(t, err)
				assert.Equal(t, got.StatusCode, http.StatusOK)
				assert.Equal(t, text, "text")
				<-harness.finished
			}
			assert.DeepEqual(t, harness.heard, []string{"u0 none", "u0 none"})
			assert.DeepEqual(t, harness.evidence, []string{"u0 alive", "u0 alive"})
			assert.DeepEqual(t, harness.returned, []issuer.Outcome{issuer.Served, issuer.Served})
			for _, record := range harness.records {
				assert.Assert(t, record.Sends == 1 && record.Skipped == 1 && !record.RejectedFirst, "%+v", record)
			}
			assert.Assert(t, !strings.Contains(harness.lines.String(), "eventName=sendFailed"))
		})
	}
}

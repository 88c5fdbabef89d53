package server

import (
	"net/http"
	"net/http/httptest"
	"testing"

	"gotest.tools/v3/assert"

	"limpetcleat/definer"
)

func TestRejectionsAreToldOnce(t *testing.T) {
	cases := []struct {
		name      string
		status    int
		submitted bool
		reported  bool
	}{
		{"unknown key", http.StatusUnauthorized, false, true},
		{"malformed", http.StatusBadRequest, false, true},
		{"refused by the core", http.StatusTooManyRequests, true, false},
		{"not ready", http.StatusServiceUnavailable, false, false},
		{"served", http.StatusOK, false, false},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			var reported []int
			server := New(nil, nil, WithRejectionHandler(func(_ definer.RequestID, status int) { reported = append(reported, status) }))
			handler := http.HandlerFunc(func(writer http.ResponseWriter, _ *http.Request) {
				if test.submitted {
					markSubmitted(writer)
				}
				writer.WriteHeader(test.status)
			})
			server.serveAndReport(httptest.NewRecorder(), httptest.NewRequest(http.MethodPost, "/", http.NoBody), handler)
			assert.Equal(t, len(reported) == 1 && reported[0] == test.status, test.reported)
		})
	}
}

package storer_test

import (
	"io"
	"net/http"
	"net/http/httptest"
	"testing"

	"gotest.tools/v3/assert"

	"limpetcleat/storer"
)

// TestAnswersToOtherCallsAreLost guards against a claim that counts as stored because an earlier write was.
func TestAnswersToOtherCallsAreLost(t *testing.T) {
	cases := []struct {
		name, answer string
		kind         storer.Kind
	}{
		{"own", `{"kind":"claims","name":"01","version":8}`, ""},
		{"of an earlier write", `{"kind":"claims","name":"01","version":7}`, storer.Lost},
		{"of another object", `{"kind":"claims","name":"02","version":8}`, storer.Lost},
		{"of another kind", `{"kind":"configuration","name":"01","version":8}`, storer.Lost},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			server := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, _ *http.Request) {
				_, _ = io.WriteString(writer, test.answer)
			}))
			defer server.Close()
			client := storer.New([]string{server.URL}, "")
			defer client.Close()
			_, err := client.Update(t.Context(), "claims", "01", 7, []byte("{}"))
			assert.Equal(t, storer.KindOf(err), test.kind, "%v", err)
		})
	}
}

package acceptor_test

import (
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"limpetcleat/acceptor"
)

// startServer starts a server behind an acceptor that allows delays of a minute, and returns its address.
func startServer(t *testing.T) string {
	t.Helper()
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	accepted := acceptor.New(func() time.Duration { return time.Minute })
	server := &http.Server{ReadHeaderTimeout: time.Minute, Handler: http.HandlerFunc(func(writer http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(writer, "served")
	})}
	accepted.Attach(server)
	go func() { _ = server.Serve(accepted.Listen(inner)) }()
	t.Cleanup(func() { _ = server.Close() })
	return inner.Addr().String()
}

// It guards against connections that send nothing, or half a header, and keep others out.
func TestSilentConnectionsGiveWay(t *testing.T) {
	address := startServer(t)
	for number := range 700 {
		conn, err := net.Dial("tcp", address)
		assert.NilError(t, err)
		t.Cleanup(func() { _ = conn.Close() })
		if number%2 == 0 {
			_, err = io.WriteString(conn, "GET / HT")
			assert.NilError(t, err)
		}
	}
	<-time.After(time.Second) // The silent connections become old enough to give way.
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	for range 300 {
		response, err := client.Get("http://" + address)
		assert.NilError(t, err)
		text, err := io.ReadAll(response.Body)
		assert.NilError(t, err)
		assert.NilError(t, response.Body.Close())
		assert.Equal(t, string(text), "served")
	}
}

// It guards against a connection that counts as waiting for its request after it was served, so that callers
// of long connections are closed.
func TestServedConnectionsStay(t *testing.T) {
	address := startServer(t)
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1}}
	get := func() {
		response, err := client.Get("http://" + address)
		assert.NilError(t, err)
		_, err = io.Copy(io.Discard, response.Body)
		assert.NilError(t, err)
		assert.NilError(t, response.Body.Close())
	}
	get()
	for range 700 {
		conn, err := net.Dial("tcp", address)
		assert.NilError(t, err)
		t.Cleanup(func() { _ = conn.Close() })
	}
	<-time.After(time.Second)
	get()
}

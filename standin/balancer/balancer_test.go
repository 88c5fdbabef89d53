package balancer_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/goleak"
	"gotest.tools/v3/assert"

	"limpetcleat/standin/balancer"
	"limpetcleat/standin/runner"
)

// backend responds with its name, and to health checks as ready is set.
type backend struct {
	address string
	ready   atomic.Bool
}

func newBackend(t *testing.T, name string) *backend {
	t.Helper()
	backend := &backend{}
	backend.ready.Store(true)
	server := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		if request.URL.Path == "/readyz" && !backend.ready.Load() {
			writer.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		_, _ = io.WriteString(writer, name)
	}))
	t.Cleanup(server.Close)
	backend.address = server.Listener.Addr().String()
	return backend
}

// start runs the balancer and returns a function that sends a request through it and returns the
// name of the back end that responded, or "none".
func start(t *testing.T, standin *balancer.Balancer) func() string {
	t.Helper()
	running, err := runner.Start(context.Background(), standin, runner.Loopback)
	assert.NilError(t, err)
	t.Cleanup(func() { assert.NilError(t, running.Stop()) })
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	return func() string {
		response, err := client.Get("http://" + running.Address() + "/")
		if err != nil {
			return "none"
		}
		defer response.Body.Close()
		name, err := io.ReadAll(response.Body)
		assert.NilError(t, err)
		return string(name)
	}
}

// closedAddress returns a loopback address without a listener.
func closedAddress(t *testing.T) string {
	t.Helper()
	reservation, err := runner.Reserve(t.Context())
	assert.NilError(t, err)
	t.Cleanup(func() { _ = reservation.Close() })
	return reservation.Address()
}

func TestConnectionsGoInTurn(t *testing.T) {
	one, two, closed := newBackend(t, "1"), newBackend(t, "2"), closedAddress(t)
	cases := []struct {
		name     string
		backends []string
		want     string
	}{
		{"two", []string{one.address, two.address}, "1 2 1 2"},
		{"one gone", []string{one.address, closed}, "1 1 1 1"},
		{"all gone", []string{closed}, "none none none none"},
		{"none", nil, "none none none none"},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			call := start(t, balancer.New(balancer.WithBackends(test.backends...)))
			names := []string{call(), call(), call(), call()}
			assert.Equal(t, strings.Join(names, " "), test.want)
		})
	}
}

func TestUnreadyBackendIsLeftOut(t *testing.T) {
	one, two := newBackend(t, "1"), newBackend(t, "2")
	standin := balancer.New(balancer.WithHealthCheck("", time.Millisecond))
	standin.SetBackends(one.address, two.address)
	call := start(t, standin)
	for _, unready := range []*backend{one, two} {
		other := "1"
		if unready == one {
			other = "2"
		}
		unready.ready.Store(false)
		for consecutive := 0; consecutive < 4; consecutive++ {
			if call() != other {
				consecutive = -1
			}
		}
		unready.ready.Store(true)
		for seen := other; seen == other; {
			seen = call()
		}
	}
}

func TestCloseEndsOpenConnections(t *testing.T) {
	defer goleak.VerifyNone(t)
	upstream, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer upstream.Close()
	standin := balancer.New(balancer.WithBackends(upstream.Addr().String()))
	running, err := runner.Start(context.Background(), standin, runner.Loopback)
	assert.NilError(t, err)
	client, err := net.Dial("tcp", running.Address())
	assert.NilError(t, err)
	defer client.Close()
	backendConn, err := upstream.Accept()
	assert.NilError(t, err)
	defer backendConn.Close()
	assert.NilError(t, running.Stop())
	_, err = backendConn.Read(make([]byte, 1))
	assert.Assert(t, err != nil)
}

package forwarder_test

import (
	"fmt"
	"net"
	"net/http"
	"slices"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"limpetcleat/router"
)

// TestManyRefusedConnectionsCostNothing guards against refusals after a few attempts that reached no
// upstream, while others are alive: 721 requests were refused so when a quarter of the engines
// crashed at once.
func TestManyRefusedConnectionsCostNothing(t *testing.T) {
	for _, path := range []string{"/once/", "/safe/"} {
		harness := newHarness(t)
		harness.configure(func(definition *router.Definition) {
			for index := range definition.Rules {
				definition.Rules[index].Timeout = time.Minute // Only the number of refusals is under test.
			}
		})
		for index := range 30 {
			harness.add(index, closedAddress(t))
		}
		other := newHarness(t, answer(200, "text"))
		harness.add(30, other.upstreams[0].Address)
		// The one that answers is presumed lost, so that it is tried last.
		harness.selector.SetLost(time.Now(), harness.upstreams[30].Start(), time.Now().Add(time.Minute))
		got, body, err := harness.call(path, "", unchanged)
		assert.NilError(t, err)
		assert.Equal(t, got.StatusCode, 200)
		assert.Equal(t, body, "text")
		assert.Equal(t, harness.records[0].Sends, 1)
		assert.Equal(t, len(harness.evidence), 31)
		assert.Assert(t, !slices.Contains(harness.evidence[:30], "u0 alive"))
	}
}

// TestRetryBudgetCountsSendsOnly guards against refused connections that use up the retry budget, here
// of ten retries, after a first send that broke.
func TestRetryBudgetCountsSendsOnly(t *testing.T) {
	harness := newHarness(t, cut)
	for index := range 15 {
		harness.add(index+1, closedAddress(t))
	}
	other := newHarness(t, answer(200, "text"))
	harness.add(16, other.upstreams[0].Address)
	harness.selector.SetLost(time.Now(), harness.upstreams[16].Start(), time.Now().Add(time.Minute))
	got, _, err := harness.call("/safe/", "", unchanged)
	assert.NilError(t, err)
	assert.Equal(t, got.StatusCode, 200)
	assert.Equal(t, harness.records[0].Sends, 2)
}

// TestDeadlineBoundsAttemptsWithoutConnection checks that a request whose deadline passes while no
// upstream accepts a connection is answered as not run, in time and without trying all upstreams.
func TestDeadlineBoundsAttemptsWithoutConnection(t *testing.T) {
	harness := newHarness(t)
	for index := range 12 {
		harness.add(index, unansweredAddress(t))
	}
	began := time.Now()
	got, _, err := harness.call("/once/", "", func(request *http.Request) { request.Header.Set("X-Deadline-Ms", "700") })
	assert.NilError(t, err)
	assert.Equal(t, got.StatusCode, http.StatusServiceUnavailable)
	assert.Assert(t, got.Header.Get("Retry-After") != "")
	t.Logf("answered after %v", time.Since(began))
	// 12 attempts would take 3.6 s.
	assert.Assert(t, time.Since(began) < 2*time.Second, time.Since(began))
	assert.Assert(t, !harness.records[0].MayHaveRun && len(harness.evidence) == 0)
}

// unansweredAddress returns an address at which connections are neither accepted nor refused: the
// queue of its listener is full.
func unansweredAddress(t *testing.T) string {
	t.Helper()
	descriptor, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM, 0)
	assert.NilError(t, err)
	t.Cleanup(func() { _ = syscall.Close(descriptor) })
	assert.NilError(t, syscall.Bind(descriptor, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}))
	assert.NilError(t, syscall.Listen(descriptor, 0))
	name, err := syscall.Getsockname(descriptor)
	assert.NilError(t, err)
	address := fmt.Sprintf("127.0.0.1:%d", name.(*syscall.SockaddrInet4).Port)
	for range 2 {
		if conn, err := net.DialTimeout("tcp", address, 100*time.Millisecond); err == nil {
			t.Cleanup(func() { _ = conn.Close() })
		}
	}
	return address
}

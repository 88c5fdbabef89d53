package server_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sourcegraph/conc"
	"gotest.tools/v3/assert"

	"limpetcleat/definer"
)

const (
	// crashingBody crashes each upstream that runs it.
	crashingBody = `{"item":"ending"}`
	serviceCount = 10
	// maxCrashes is the number of crashes after which the request is quarantined. The node that
	// observes the third crash reports it to the other nodes before the next attempt.
	maxCrashes = 3
	// restartDelay is the downtime after a crash. It exceeds 1 s, because two crashes within 1 s
	// count as one for an upstream that does not report its starts.
	restartDelay = 1500 * time.Millisecond
	// attemptInterval is the time between two attempts, long enough for the nodes to exchange
	// their reports.
	attemptInterval = 500 * time.Millisecond
)

// crashingServices are services that crash on a request with crashingBody and restart.
type crashingServices struct {
	t *testing.T
	// fixed is set when the request no longer crashes a service.
	fixed   atomic.Bool
	crashes atomic.Int32
	// stop is closed at the end of the test.
	stop  chan struct{}
	group conc.WaitGroup
}

// startCrashingServices starts the services and returns their addresses.
func startCrashingServices(t *testing.T) (services *crashingServices, addresses []string) {
	t.Helper()
	services = &crashingServices{t: t, stop: make(chan struct{})}
	for range serviceCount {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		assert.NilError(t, err)
		services.group.Go(func() { services.serve(listener) })
		addresses = append(addresses, listener.Addr().String())
	}
	t.Cleanup(func() {
		close(services.stop)
		services.group.Wait()
	})
	return services, addresses
}

// serve runs a service and restarts it after each crash, until stop is closed.
func (crashingServices *crashingServices) serve(listener net.Listener) {
	for {
		server := &http.Server{}
		ended := make(chan struct{})
		server.Handler = crashingServices.handler(sync.OnceFunc(func() { close(ended) }))
		crashingServices.group.Go(func() { _ = server.Serve(listener) }) // Serve returns an error when the server is closed.
		select {
		case <-crashingServices.stop:
			_ = server.Close() // No request is pending at the end of the test.
			return
		case <-ended:
		}
		crashingServices.crashes.Add(1)
		_ = server.Close() // The crash interrupts all requests of the service.
		<-time.After(restartDelay)
		again, err := net.Listen("tcp", listener.Addr().String())
		if !assert.Check(crashingServices.t, err) {
			return
		}
		listener = again
	}
}

func (crashingServices *crashingServices) handler(end func()) http.Handler {
	return http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		body, err := io.ReadAll(request.Body)
		if err == nil && string(body) == crashingBody && !crashingServices.fixed.Load() {
			end()
			<-request.Context().Done()
			return
		}
		writer.Header().Set("X-Attempt-Id", request.Header.Get("X-Attempt-Id"))
		_, _ = io.WriteString(writer, "served") // A write to a disconnected caller may fail.
	})
}

// TestRequestThatEndsServices checks that a request which crashes every upstream that runs it is
// quarantined after at most maxCrashes crashes, when a caller sends it repeatedly to two nodes in
// turn. It guards against nodes that attribute each crash to the upstream and retry the request on
// the next one.
func TestRequestThatEndsServices(t *testing.T) {
	for _, repeat := range []definer.Repeat{definer.Idempotent, definer.Never} {
		t.Run(string(repeat), func(t *testing.T) {
			services, addresses := startCrashingServices(t)
			system := start(t, setup{nodes: 2, configure: func(document *definer.Document) {
				stock := &document.Pools[1]
				stock.Upstreams = nil
				for index, address := range addresses {
					stock.Upstreams = append(stock.Upstreams, definer.UpstreamDocument{Name: fmt.Sprintf("stock-%d", index), DataCentre: dataCentre, Address: address, Slots: 8})
				}
			}})
			send := func(node int, body string) (status int, text, retryAfter string) {
				request := system.request("/services/stock/items", body, "X-Repeat", string(repeat))
				request.URL.Host = system.callerAddresses[node]
				answer := system.do(request)
				return answer.Status, answer.Body, answer.Header.Get("Retry-After")
			}
			for count := range 2 * serviceCount {
				send(count%2, crashingBody)
				<-time.After(attemptInterval / 5)
				if count < 2*maxCrashes {
					<-time.After(attemptInterval)
				}
			}
			assert.Check(t, int(services.crashes.Load()) <= maxCrashes, "%d upstreams crashed", services.crashes.Load())
			for node := range 2 {
				status, text, retryAfter := send(node, crashingBody)
				assert.Check(t, status == http.StatusServiceUnavailable && strings.Contains(text, "heldOff"), "%d %s", status, text)
				assert.Check(t, retryAfter != "")
				status, text, _ = send(node, `{"item":"another"}`)
				assert.Check(t, status == http.StatusOK, "%d %s", status, text)
			}
			system.liftQuarantine(t, services, func(node int) int {
				status, _, _ := send(node, crashingBody)
				return status
			})
		})
	}
}

// liftQuarantine fixes the services and lifts the quarantine of the request at the second node, as
// an operator does. Both nodes must then serve the request.
func (system *system) liftQuarantine(t *testing.T, services *crashingServices, send func(node int) (status int)) {
	t.Helper()
	services.fixed.Store(true)
	quarantine := system.nodes[1].Quarantine()
	listed := quarantine.List(time.Now())
	assert.Equal(t, len(listed), 1)
	assert.Assert(t, listed[0].Held && len(listed[0].Upstreams) == maxCrashes)
	assert.Assert(t, quarantine.Lift(time.Now(), listed[0].Identity))
	assert.Assert(t, !quarantine.Lift(time.Now(), listed[0].Identity), "the quarantine was lifted already")
	<-time.After(attemptInterval)
	for node := range system.nodes {
		assert.Equal(t, send(node), http.StatusOK)
	}
}

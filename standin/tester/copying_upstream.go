package tester

import (
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"gotest.tools/v3/assert"

	"limpetcleat/standin/copier"
)

// CopyingUpstream is an upstream at one address that sends copies of its answers. Its process may be replaced by one
// with another name.
type CopyingUpstream struct {
	Address string

	ledger *Ledger
	copier *copier.Copier
	status func() int
	work   time.Duration

	// mutex guards the fields below.
	mutex sync.Mutex
	name  string
	// wrong counts the requests that were meant for another process.
	wrong int
}

// StartCopying starts an upstream without a name, which is not listed. Status returns the status of the next answer: 200,
// 500 of a request that ran, or that of a refusal. The work takes a time.
func StartCopying(fleet *Fleet, ledger *Ledger, work time.Duration, status func() int, plan copier.Plan) *CopyingUpstream {
	t := fleet.T
	t.Helper()
	listener, err := net.Listen("tcp", Loopback+":0")
	assert.NilError(t, err)
	upstream := &CopyingUpstream{Address: listener.Addr().String(), ledger: ledger, status: status, work: work}
	upstream.copier = copier.New(http.HandlerFunc(upstream.serve), plan)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- upstream.copier.Serve(ctx, listener) }()
	t.Cleanup(func() {
		cancel()
		assert.Check(t, <-done)
	})
	return upstream
}

// Replace ends the process at the address and starts one with the name there. Requests that run go on.
func (upstream *CopyingUpstream) Replace(name string) {
	upstream.mutex.Lock()
	upstream.name = name
	upstream.mutex.Unlock()
	upstream.copier.CloseConnections()
}

// Wrong returns the number of requests that were meant for another process.
func (upstream *CopyingUpstream) Wrong() int {
	upstream.mutex.Lock()
	defer upstream.mutex.Unlock()
	return upstream.wrong
}

// expects reports whether the request is meant for the process.
func (upstream *CopyingUpstream) expects(request *http.Request) bool {
	upstream.mutex.Lock()
	defer upstream.mutex.Unlock()
	if request.Header.Get("X-Expect-Runner") == upstream.name {
		return true
	}
	upstream.wrong++
	return false
}

// serve refuses or runs a request.
func (upstream *CopyingUpstream) serve(writer http.ResponseWriter, request *http.Request) {
	writer.Header().Set("Keep-Alive", "timeout=30")
	WriteAttemptHeaders(writer, request)
	status := http.StatusMisdirectedRequest
	if upstream.expects(request) {
		status = upstream.status()
	}
	if status != http.StatusOK && status != http.StatusInternalServerError {
		writer.Header().Del("X-Response-Seal")
		writer.Header().Set("X-Not-Executed", "1")
		writer.WriteHeader(status)
		return
	}
	text := upstream.ledger.Run(request.Header.Get(copier.IDHeader))
	<-time.After(upstream.work)
	writer.WriteHeader(status)
	_, _ = io.WriteString(writer, text) // A recorder does not fail.
}

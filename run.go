package limpetcleat

import (
	"context"
	"errors"
	"log"
	"net"
	"net/http"
	"strings"
	"time"

	"limpetcleat/decider"
	"limpetcleat/failer"
	"limpetcleat/logger"
	"limpetcleat/timer"
	"limpetcleat/weigher"
)

// Kind classifies an Error.
type Kind string

const (
	// DrainTimedOut is the kind of a graceful shutdown that exceeded its time limit.
	DrainTimedOut Kind = "drainTimedOut"
)

// Error is the error type of this package.
type Error = failer.Error[Kind]

const (
	readHeaderTimeout = 5 * time.Second
	idleTimeout       = 2 * time.Minute
	maxHeaderBytes    = 64 << 10
	closeTimeout      = 5 * time.Second
	// Requests of operators have small bodies; the largest response is that of the metrics.
	operatorReadTimeout  = 10 * time.Second
	operatorWriteTimeout = 30 * time.Second
)

// httpErrorWriter writes the error log of an http.Server to the journal.
type httpErrorWriter struct {
	journal *journal
}

// Write queues one line as an event.
func (httpErrorWriter httpErrorWriter) Write(line []byte) (int, error) {
	httpErrorWriter.journal.put(decider.LogEvent{Number: logger.EventServerComplaint, Pairs: []any{"line", strings.TrimSpace(string(line))}})
	return len(line), nil
}

// Run serves until the context ends or a graceful shutdown has completed. A graceful shutdown lets
// all requests finish; the error is of kind DrainTimedOut if it exceeds its time limit, else nil.
func (node *Node) Run(ctx context.Context) error {
	defer close(node.done)
	partsContext, end := context.WithCancel(context.WithoutCancel(ctx))
	defer end()
	node.partsContext = partsContext
	node.start(partsContext)
	callers := node.server.HTTP()
	if node.callerListener != nil {
		heads := weigher.New(node.memory.bodies)
		heads.Attach(callers)
		node.serve(heads.Listen(node.server.LimitConnections(node.callerListener)), callers)
	}
	operators := operatorServer(node.operatorHandler())
	if node.operatorListener != nil {
		node.serve(node.memory.ListenAuxiliary(node.operatorListener, operators), operators)
	}
	node.server.SetReady(true)
	err := node.awaitStop(ctx)
	shutDownServers(callers, operators)
	node.server.Close()
	end()
	node.awaitParts()
	return err
}

// Done returns a channel that is closed when Run has ended every part of the node.
func (node *Node) Done() <-chan struct{} { return node.done }

// Drain requests a graceful shutdown. It may be called more than once.
func (node *Node) Drain() { node.drainOnce.Do(func() { close(node.drainRequested) }) }

func (node *Node) start(ctx context.Context) {
	node.background.Go(func() { node.journal.run(ctx) })
	node.timer.Start(ctx)
	if node.platform != nil {
		node.platform.Start(ctx)
	}
	if node.innerListener != nil {
		node.messenger.Start(ctx, node.innerListener)
	}
	node.core.Lock()
	defer node.core.Unlock()
	node.carryOut(node.decider.Start(time.Now()))
}

// serve serves the listener in the background.
func (node *Node) serve(listener net.Listener, httpServer *http.Server) {
	httpServer.ErrorLog = log.New(httpErrorWriter{node.journal}, "", 0)
	node.background.Go(func() {
		if err := httpServer.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			node.journal.event(logger.EventListenerFailed, "listen", listener.Addr(), "cause", err)
		}
	})
}

// operatorServer returns the HTTP server for operators.
func operatorServer(handler http.Handler) *http.Server {
	return &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: readHeaderTimeout,
		ReadTimeout:       operatorReadTimeout,
		WriteTimeout:      operatorWriteTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
	}
}

// awaitStop blocks until the context ends or Drain is called. After Drain, it runs the graceful
// shutdown and waits until that has completed or timed out.
func (node *Node) awaitStop(ctx context.Context) error {
	select {
	case <-ctx.Done():
		return nil
	case <-node.drainRequested:
	}
	node.server.SetReady(false)
	_ = timer.Sleep(ctx, node.balancerDelay) // The error is ignored because the select below observes ctx too.
	node.Submit(decider.DrainRequested{})
	limit := time.NewTimer(node.drainTimeout)
	defer limit.Stop()
	select {
	case <-ctx.Done():
		return nil
	case <-node.stopped:
		return nil
	case <-limit.C:
		return failer.New("limpetcleat.drain", DrainTimedOut, "%w", errors.New("requests were still open after "+node.drainTimeout.String()))
	}
}

// shutDownServers lets responses in progress finish for up to closeTimeout, then closes the
// servers.
func shutDownServers(servers ...*http.Server) {
	ctx, cancel := context.WithTimeout(context.Background(), closeTimeout)
	defer cancel()
	for _, httpServer := range servers {
		if err := httpServer.Shutdown(ctx); err != nil {
			_ = httpServer.Close()
		}
	}
}

// awaitParts waits for the parts that the node owns.
func (node *Node) awaitParts() {
	<-node.timer.Done()
	<-node.journal.done
	if node.innerListener != nil {
		<-node.messenger.Done()
	}
	if node.platform != nil {
		<-node.platform.Done()
	}
	node.background.Wait()
	node.dispatcher.Close()
	if node.ownedRecorder != nil {
		_ = node.ownedRecorder.Close()
	}
}

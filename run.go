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
)

// Kind classifies an Error.
type Kind string

const (
	// DrainTimedOut marks a planned stop that took too long.
	DrainTimedOut Kind = "drainTimedOut"
)

// Error is the one error type of this package.
type Error = failer.Error[Kind]

const (
	readHeaderTimeout = 5 * time.Second
	idleTimeout       = 2 * time.Minute
	maxHeaderBytes    = 64 << 10
	closeTimeout      = 5 * time.Second
	// The operators' requests have no body worth reading; the largest answer is
	// that of the metrics.
	operatorReadTimeout  = 10 * time.Second
	operatorWriteTimeout = 30 * time.Second
)

// complaints passes lines of the HTTP library on to the journal.
type complaints struct {
	journal *journal
}

// Write takes in one line.
func (complaints complaints) Write(line []byte) (int, error) {
	complaints.journal.put(decider.LogEvent{Number: logger.EventServerComplaint, Pairs: []any{"line", strings.TrimSpace(string(line))}})
	return len(line), nil
}

// Run serves until the context ends or a planned stop is over. A planned stop
// cuts no request; its error is nil unless it took too long.
func (node *Node) Run(ctx context.Context) error {
	defer close(node.done)
	life, end := context.WithCancel(context.WithoutCancel(ctx))
	defer end()
	node.ctx = life
	node.start(life)
	callers := node.server.HTTP()
	if node.callers != nil {
		node.serve(node.server.Limit(node.callers), callers)
	}
	operators := operatorServer(node.operatorHandler())
	if node.operators != nil {
		node.serve(node.operators, operators)
	}
	node.server.SetReady(true)
	err := node.wait(ctx)
	shutDown(callers, operators)
	node.server.Close()
	end()
	node.settle()
	return err
}

// Done is closed once the node has ended.
func (node *Node) Done() <-chan struct{} { return node.done }

// Drain asks for a planned stop.
func (node *Node) Drain() { node.drainOnce.Do(func() { close(node.drain) }) }

func (node *Node) start(ctx context.Context) {
	node.group.Go(func() { node.journal.run(ctx) })
	node.timer.Start(ctx)
	if node.platform != nil {
		node.platform.Start(ctx)
	}
	if node.inner != nil {
		node.messenger.Start(ctx, node.inner)
	}
	node.core.Lock()
	defer node.core.Unlock()
	node.carryOut(node.decider.Start(time.Now()))
}

// serve serves a listener in the background.
func (node *Node) serve(listener net.Listener, httpServer *http.Server) {
	httpServer.ErrorLog = log.New(complaints{node.journal}, "", 0)
	node.group.Go(func() {
		if err := httpServer.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			node.journal.event(logger.EventListenerFailed, "listen", listener.Addr(), "cause", err)
		}
	})
}

// operatorServer returns the HTTP server of the operators' interface.
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

// wait returns when the node is to end.
func (node *Node) wait(ctx context.Context) error {
	select {
	case <-ctx.Done():
		return nil
	case <-node.drain:
	}
	node.server.SetReady(false)
	_ = timer.Sleep(ctx, node.balancerDelay) // What follows ends with the context too.
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

// shutDown lets answers that are being written end, then closes.
func shutDown(servers ...*http.Server) {
	ctx, cancel := context.WithTimeout(context.Background(), closeTimeout)
	defer cancel()
	for _, httpServer := range servers {
		if err := httpServer.Shutdown(ctx); err != nil {
			_ = httpServer.Close()
		}
	}
}

// settle waits for the parts that the node owns.
func (node *Node) settle() {
	<-node.timer.Done()
	<-node.journal.done
	if node.inner != nil {
		<-node.messenger.Done()
	}
	if node.platform != nil {
		<-node.platform.Done()
	}
	node.group.Wait()
	node.dispatcher.Close()
	if node.ownRecorder != nil {
		_ = node.ownRecorder.Close()
	}
}

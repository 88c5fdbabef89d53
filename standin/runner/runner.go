// Package runner runs a stand-in, or any part that serves a listener, in this process.
package runner

import (
	"context"
	"net"

	"github.com/sourcegraph/conc"

	"limpetcleat/failer"
)

// Loopback is the address of a free port that this machine alone reaches.
const Loopback = "127.0.0.1:0"

// Kind classifies an Error.
type Kind string

// NotListening marks an address that cannot be listened on.
const NotListening Kind = "notListening"

// Error is the one error type of this package.
type Error = failer.Error[Kind]

// Server serves the connections of a listener until its context ends or it is closed.
type Server interface {
	Serve(ctx context.Context, listener net.Listener) error
	Close() error
}

// Runner is one server that runs.
type Runner struct {
	server  Server
	address string
	group   conc.WaitGroup
	// err is what Serve returned; it is set before the group is done.
	err error
}

// Start listens on the address and serves it until the context ends or Stop is called.
func Start(ctx context.Context, server Server, address string) (*Runner, error) {
	listener, err := (&net.ListenConfig{}).Listen(ctx, "tcp", address)
	if err != nil {
		return nil, failer.New("runner.Start", NotListening, "%w", err)
	}
	runner := &Runner{server: server, address: listener.Addr().String()}
	runner.group.Go(func() { runner.err = server.Serve(ctx, listener) })
	return runner, nil
}

// Address returns the address listened on, with its port.
func (runner *Runner) Address() string { return runner.address }

// Wait returns what Serve returned, once it has.
func (runner *Runner) Wait() error {
	runner.group.Wait()
	return runner.err
}

// Stop closes the server, waits for its end and returns the first failure.
func (runner *Runner) Stop() error {
	if err := runner.server.Close(); err != nil {
		return err
	}
	return runner.Wait()
}
